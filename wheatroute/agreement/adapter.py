"""Adapts the versions of settings to one process: stable numbers, decision settings, forms. No I/O.

Request classes and tenants of all versions that the process has met are numbered once; a number is never
given to another name. What versions don't cover comes from the process's own file. A class is never entered
through a form (a method, a key) whose guarantee the new rules rest on and the request does not give.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any, NamedTuple

from wheatroute.agreement import joint_settings
from wheatroute.agreement.errors import ContentError
from wheatroute.agreement.join_rules import SETTING_RULES, VERSION_PARTS, JoinRule
from wheatroute.agreement.member import EffectiveVersions
from wheatroute.balancing.interface import Idempotency
from wheatroute.balancing.settings import DecisionSettings, RequestClass, TenantQuota
from wheatroute.wire_names import NameNumbering

# by class: the idempotencies that its forms have, and the class that requests of another form enter
Forms = dict[int, tuple[frozenset[Idempotency], int]]
STRICT_SUFFIX = "\0strict"  # of the name of a class's strict variant


class DerivedSettings(NamedTuple):
    """What a process acts on by one version: names with their numbers in it, and the decision settings."""

    request_classes: dict[str, int]
    tenants: dict[str, int]
    settings: DecisionSettings

    @staticmethod
    def from_dict(derived: dict[str, Any]) -> DerivedSettings:
        """Return the settings that were derived from a process's file."""
        return DerivedSettings(derived["request_classes"], derived["tenants"], derived["decision_settings"])

    def request_class(self, name: str) -> RequestClass:
        """Return the settings of a request class; raises `KeyError` if the version does not have it."""
        return self.settings.request_classes[self.request_classes[name]]


# derives what a process acts on from a version's content; raises `ContentError`
DeriveSettings = Callable[[dict[str, Any]], DerivedSettings]


class AdaptedVersion(NamedTuple):
    """What a node acts on: names that it takes, settings, and the forms that a class may come in as well."""

    request_classes: dict[str, int]
    tenants: dict[str, int]
    settings: DecisionSettings
    forms: Forms


class VersionAdapter:
    """The versions of one process.

    `own` are the settings of its file; `derive` returns the same for a version's content.
    """

    def __init__(self, own: DerivedSettings, derive: DeriveSettings) -> None:
        self._own, self._derive = own, derive
        self._classes, self._tenants = NameNumbering(), NameNumbering()
        self._derived_by_version: dict[int, DerivedSettings] = {0: own}
        self._last_rules: dict[str, RequestClass] = {}  # by class: from the last version that has it
        self._past_versions = {0}  # that were active here: clients may still use their forms
        for names, numbers in ((own.request_classes, self._classes), (own.tenants, self._tenants)):
            for name, number in names.items():
                assert numbers[name] == number

    def check(self, number: int, content: Any) -> str:
        """Return a line that says why this process cannot use a version; empty if it can."""
        if not isinstance(content, dict) or not content or set(content) - set(VERSION_PARTS):
            return "a version has the parts settings and file, and nothing else that this program knows"
        try:
            derived = self._derive(content)
        except ContentError as error:
            return str(error)
        reason = self._fixed_setting_error(derived) or self._fixed_class_error(derived)
        if not reason:
            self._derived_by_version[number] = derived
        return reason

    def _fixed_setting_error(self, derived: DerivedSettings) -> str:
        """Return which setting differs that only a restart can change; empty for none."""
        for name in _fields_with(JoinRule.FIXED):
            own = getattr(self._own.settings, name)
            if getattr(derived.settings, name) != own:
                return f"{name}: {JoinRule.FIXED}, and is {own!r} here"
        return ""

    def _fixed_class_error(self, derived: DerivedSettings) -> str:
        """Return which key of a request class differs that only a restart can change; empty for none."""
        for name in self._own.request_classes.keys() & derived.request_classes.keys():
            is_streamed = self._own.request_class(name).is_streamed
            if derived.request_class(name).is_streamed != is_streamed:
                return f"{name}.streamed: {JoinRule.FIXED}, and is {is_streamed!r} here"
        return ""

    def adapt(self, effective: EffectiveVersions) -> AdaptedVersion:
        """Return what to act on. Classes and tenants keep their numbers, also when no version has them."""
        self._past_versions.add(effective.active)
        versions = [effective.active, *([effective.joint] if effective.joint else [])]
        for version in versions:
            self._add_numbers(self._derived_by_version[version])
        settings = self._joined_settings(versions, effective.is_conservative)
        forms = self._forms(versions, settings)
        if len(settings.request_classes) < len(self._classes):
            settings = self._joined_settings(versions, effective.is_conservative)  # with new strict variants
        active = self._derived_by_version[effective.active]
        return AdaptedVersion(
            {name: self._classes[name] for name in active.request_classes},
            {name: self._tenants[name] for name in active.tenants},
            settings,
            forms,
        )

    def _add_numbers(self, derived: DerivedSettings) -> None:
        """Number the names of a version that are new, by looking them up."""
        for name in derived.request_classes:
            _ = self._classes[name]
            self._last_rules[name] = derived.request_class(name)
        for name in derived.tenants:
            _ = self._tenants[name]

    def _joined_settings(self, versions: list[int], is_conservative: bool) -> DecisionSettings:
        settings = self._settings_of(versions[0])
        for version in versions[1:]:
            settings = joint_settings.joined(settings, self._settings_of(version))
        return joint_settings.conservative(settings) if is_conservative else settings

    def _settings_of(self, version: int) -> DecisionSettings:
        """Return a version's settings in this process's numbering."""
        derived, own = self._derived_by_version[version], self._own.settings
        own_values = {name: getattr(own, name) for name in _fields_with(JoinRule.OWN, JoinRule.FIXED)}
        return replace(
            derived.settings,
            **own_values,
            request_classes=[self._class_of(derived, name) for name in self._classes],
            tenants=[_tenant_of(derived, name) for name in self._tenants],
        )

    def _class_of(self, derived: DerivedSettings, name: str) -> RequestClass:
        """Return a request class, or a strict variant of one, as it counts in a version."""
        base_name = name.removesuffix(STRICT_SUFFIX)
        if base_name in derived.request_classes:
            request_class = derived.request_class(base_name)
        else:
            request_class = joint_settings.absent(self._last_rules[base_name])
        if name.endswith(STRICT_SUFFIX):
            return replace(request_class, idempotency=Idempotency.NON_IDEMPOTENT)
        return request_class

    def _forms(self, versions: list[int], settings: DecisionSettings) -> Forms:
        """Return the forms of all versions that clients may know: past, present and next."""
        forms: Forms = {}
        known = [self._derived_by_version[version] for version in {*versions, *self._past_versions}]
        for name, number in list(self._classes.items()):
            if name.endswith(STRICT_SUFFIX):
                continue
            idempotencies = {
                derived.request_class(name).idempotency
                for derived in known
                if name in derived.request_classes
            }
            present = settings.request_classes[number].idempotency
            others = idempotencies - {present}
            if others:
                # a class of its own only where the rules are looser than a form or rest on a key it lacks
                is_strict = present == Idempotency.KEYED or Idempotency.NON_IDEMPOTENT in others
                entered = self._classes[name + STRICT_SUFFIX] if is_strict else number
                forms[number] = frozenset(idempotencies), entered
        return forms


def _fields_with(*rules: JoinRule) -> Iterable[str]:
    """Return the fields of the decision settings that have one of the rules."""
    return (name for name, rule in SETTING_RULES.items() if rule in rules)


def _tenant_of(derived: DerivedSettings, name: str) -> TenantQuota:
    """Return a tenant as it counts in a version; without a quota where the version does not have it."""
    number = derived.tenants.get(name)
    return derived.settings.tenants[number] if number is not None else TenantQuota()
