"""Adapts versions of the settings to one process: stable numbers, decision settings, accepted forms. No I/O.

Request classes and tenants of all versions that the process has acted on are numbered once; a number is never
reused for another name. Settings that versions don't cover come from the process's own file. A request's form
(its method, and whether it has an idempotency key) shows the idempotency that the client assumes. A request
never enters a class whose rules rely on a guarantee that the request's form does not give.
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

# Request classes, by number, for which clients may use another form than the current one. The values are the
# idempotencies whose forms are accepted, and the number of the class that requests enter if they need strict
# rules.
Forms = dict[int, tuple[frozenset[Idempotency], int]]
STRICT_SUFFIX = "\0strict"  # a class's name with this suffix is the name of its non-idempotent variant


class DerivedSettings(NamedTuple):
    """Decision settings derived from one version, with the numbers of its request classes and tenants."""

    request_classes: dict[str, int]
    tenants: dict[str, int]
    settings: DecisionSettings

    @staticmethod
    def from_dict(derived: dict[str, Any]) -> DerivedSettings:
        """Returns the settings in the result of `node_settings.derive_settings`."""
        return DerivedSettings(derived["request_classes"], derived["tenants"], derived["decision_settings"])

    def request_class(self, name: str) -> RequestClass:
        """Returns the settings of a request class; raises `KeyError` if the version does not have it."""
        return self.settings.request_classes[self.request_classes[name]]


# Derives a process's settings from a version's content; raises `ContentError`.
DeriveSettings = Callable[[dict[str, Any]], DerivedSettings]


class AdaptedVersion(NamedTuple):
    """The names and settings that a process uses, and the other forms in which it accepts requests."""

    request_classes: dict[str, int]
    tenants: dict[str, int]
    settings: DecisionSettings
    forms: Forms


class VersionAdapter:
    """Checks versions for one process, and adapts them to it.

    `own` are the settings derived from the process's file; `derive` derives them from a version's content.
    """

    def __init__(self, own: DerivedSettings, derive: DeriveSettings) -> None:
        self._own, self._derive = own, derive
        self._classes, self._tenants = NameNumbering(), NameNumbering()
        self._derived_by_version: dict[int, DerivedSettings] = {0: own}
        # By class name: the class's settings in the version that defined it last.
        self._last_definitions: dict[str, RequestClass] = {}
        self._past_versions = {0}  # versions that were active here; clients may still use their forms
        for names, numbers in ((own.request_classes, self._classes), (own.tenants, self._tenants)):
            for name, number in names.items():
                assert numbers[name] == number

    def check(self, number: int, content: Any) -> str:
        """Returns why this process cannot use a version, as one line; empty if it can."""
        if not isinstance(content, dict) or not content or set(content) - set(VERSION_PARTS):
            return 'a version must have the part "settings", "file" or both, and no other key'
        try:
            derived = self._derive(content)
        except ContentError as error:
            return str(error)
        reason = self._fixed_setting_error(derived) or self._fixed_class_error(derived)
        if not reason:
            self._derived_by_version[number] = derived
        return reason

    def _fixed_setting_error(self, derived: DerivedSettings) -> str:
        """Returns an error if a version changes a setting in a way that needs a restart; empty if not."""
        for name in _fields_with(JoinRule.RESTART_ONLY):
            own = getattr(self._own.settings, name)
            if getattr(derived.settings, name) != own:
                return f"{name}: {JoinRule.RESTART_ONLY}, the value here is {own!r}"
        return ""

    def _fixed_class_error(self, derived: DerivedSettings) -> str:
        """Returns an error if a version changes a class in a way that needs a restart; empty if not."""
        for name in self._own.request_classes.keys() & derived.request_classes.keys():
            is_streamed = self._own.request_class(name).is_streamed
            if derived.request_class(name).is_streamed != is_streamed:
                return f"{name}.streamed: {JoinRule.RESTART_ONLY}, the value here is {is_streamed!r}"
        return ""

    def adapt(self, effective: EffectiveVersions) -> AdaptedVersion:
        """Returns the settings that the process applies to act on these versions.

        Classes and tenants keep their numbers, even if no version has them any more.
        """
        self._past_versions.add(effective.active)
        versions = [effective.active, *([effective.joint] if effective.joint else [])]
        for version in versions:
            self._add_numbers(self._derived_by_version[version])
        settings = self._joined_settings(versions, effective.is_conservative)
        forms = self._forms(versions, settings)
        if len(settings.request_classes) < len(self._classes):
            # `_forms` has numbered new strict variants of classes, which the joined settings must include.
            settings = self._joined_settings(versions, effective.is_conservative)
        active = self._derived_by_version[effective.active]
        return AdaptedVersion(
            {name: self._classes[name] for name in active.request_classes},
            {name: self._tenants[name] for name in active.tenants},
            settings,
            forms,
        )

    def _add_numbers(self, derived: DerivedSettings) -> None:
        """Assigns numbers to a version's new names; looking up a new name in a `NameNumbering` numbers it."""
        for name in derived.request_classes:
            _ = self._classes[name]
            self._last_definitions[name] = derived.request_class(name)
        for name in derived.tenants:
            _ = self._tenants[name]

    def _joined_settings(self, versions: list[int], is_conservative: bool) -> DecisionSettings:
        settings = self._settings_of(versions[0])
        for version in versions[1:]:
            settings = joint_settings.joined(settings, self._settings_of(version))
        return joint_settings.conservative(settings) if is_conservative else settings

    def _settings_of(self, version: int) -> DecisionSettings:
        """Returns a version's settings with this process's numbers of classes and tenants."""
        derived, own = self._derived_by_version[version], self._own.settings
        own_values = {
            name: getattr(own, name) for name in _fields_with(JoinRule.PER_PROCESS, JoinRule.RESTART_ONLY)
        }
        return replace(
            derived.settings,
            **own_values,
            request_classes=[self._class_of(derived, name) for name in self._classes],
            tenants=[_tenant_of(derived, name) for name in self._tenants],
        )

    def _class_of(self, derived: DerivedSettings, name: str) -> RequestClass:
        """Returns a version's settings for a request class or its strict variant.

        If the version does not define the class, its last definition is used with value 0 (see
        `without_value`).
        """
        base_name = name.removesuffix(STRICT_SUFFIX)
        if base_name in derived.request_classes:
            request_class = derived.request_class(base_name)
        else:
            request_class = joint_settings.without_value(self._last_definitions[base_name])
        if name.endswith(STRICT_SUFFIX):
            return replace(request_class, idempotency=Idempotency.NON_IDEMPOTENT)
        return request_class

    def _forms(self, versions: list[int], settings: DecisionSettings) -> Forms:
        """Returns the forms of all versions that clients may know: past, current and next."""
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
                # A separate class is needed only if the rules of this class are looser than a form allows, or
                # rely on an idempotency key that a form lacks.
                is_strict = present == Idempotency.KEYED or Idempotency.NON_IDEMPOTENT in others
                entered = self._classes[name + STRICT_SUFFIX] if is_strict else number
                forms[number] = frozenset(idempotencies), entered
        return forms


def _fields_with(*rules: JoinRule) -> Iterable[str]:
    """Returns the names of the decision settings that have one of the rules."""
    return (name for name, rule in SETTING_RULES.items() if rule in rules)


def _tenant_of(derived: DerivedSettings, name: str) -> TenantQuota:
    """Returns a tenant's settings in a version; no quota if the version does not have the tenant."""
    number = derived.tenants.get(name)
    return derived.settings.tenants[number] if number is not None else TenantQuota()
