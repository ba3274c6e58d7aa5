"""Turns versions into what a process acts on: numbers of classes and tenants, terms, forms. No I/O.

Request classes and tenants keep their numbers over all versions that a process has met. A request is accepted
in the forms of all versions that its client may know; where the new rules rest on something that a form does
not have (a key, idempotency), it is handled by a strict variant of its class.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from wheatroute import words
from wheatroute.agreement import joint_terms
from wheatroute.agreement.member import EffectiveVersions
from wheatroute.agreement.versions import ContentError
from wheatroute.balancing.interface import Idempotency
from wheatroute.net.node_settings import NodeSettingsError, derive_settings

Forms = dict[int, tuple[frozenset[Idempotency], int]]
# derives what a process acts on from a version's content; raises `ContentError`
DeriveSettings = Callable[[dict[str, Any]], dict[str, Any]]
STRICT_SUFFIX = "\0strict"  # of the name of a class's strict variant; no name in a file has it


class AdaptedVersion(NamedTuple):
    """What a process acts on.

    The names of request classes and tenants with their numbers, the terms, and by class the other forms in
    which its requests are accepted, with the number of the class whose rules these get.
    """

    request_classes: dict[str, int]
    tenants: dict[str, int]
    terms: dict[str, Any]
    forms: Forms


class VersionAdapter:
    """The versions of one process.

    `own` has the names and terms of its file; `derive` returns the same for a version's content.
    """

    def __init__(self, own: dict[str, Any], derive: DeriveSettings) -> None:
        self._own, self._derive = own, derive
        self._classes, self._tenants = words.Numbers(), words.Numbers()
        self._derived: dict[int, dict[str, Any]] = {0: own}
        self._last_class_terms: dict[str, dict[str, Any]] = {}  # by class: from the last version that has it
        self._past_versions = {0}  # that were active here: clients may still use their forms
        for names, numbers in ((own["request_classes"], self._classes), (own["tenants"], self._tenants)):
            for name, number in names.items():
                assert numbers[name] == number

    def check(self, number: int, content: Any) -> str:
        """Return why this process cannot use a version; empty if it can."""
        if not isinstance(content, dict) or not content or set(content) - set(joint_terms.PARTS):
            return "a version has the parts settings and file, and nothing else that this program knows"
        try:
            derived = self._derive(content)
        except ContentError as error:
            return str(error)
        own, own_classes = self._own["terms"], self._own["request_classes"]
        for name, rule in joint_terms.TERMS.items():
            if rule == joint_terms.FIXED and derived["terms"].get(name) != own.get(name):
                return f"{name}: {joint_terms.FIXED}, and is {own.get(name)!r} here"
        for name in own_classes.keys() & derived["request_classes"].keys():
            streamed = [
                one["terms"]["request_classes"][one["request_classes"][name]]["streamed"]
                for one in (self._own, derived)
            ]
            if streamed[0] != streamed[1]:
                return f"{name}.streamed: {joint_terms.FIXED}, and is {streamed[0]!r} here"
        self._derived[number] = derived
        return ""

    def adapt(self, effective: EffectiveVersions) -> AdaptedVersion:
        """Return what to act on. Classes and tenants keep their numbers, also when no version has them."""
        self._past_versions.add(effective.active)
        versions = [effective.active, *([effective.joint] if effective.joint else [])]
        for number in versions:
            self._add_numbers(number)
        terms = self._joined_terms(versions, effective.is_conservative)
        forms = self._forms(versions, terms)
        if len(terms["request_classes"]) < len(self._classes):
            terms = self._joined_terms(versions, effective.is_conservative)  # with new strict variants
        names = self._derived[effective.active]
        return AdaptedVersion(
            {name: self._classes[name] for name in names["request_classes"]},
            {name: self._tenants[name] for name in names["tenants"]},
            terms,
            forms,
        )

    def _add_numbers(self, version: int) -> None:
        derived = self._derived[version]
        for name, index in derived["request_classes"].items():
            self._classes[name]  # noqa: B018 - the next number, for a name that is new
            self._last_class_terms[name] = derived["terms"]["request_classes"][index]
        for name in derived["tenants"]:
            self._tenants[name]  # noqa: B018

    def _joined_terms(self, versions: list[int], is_conservative: bool) -> dict[str, Any]:
        terms = self._terms(versions[0])
        for number in versions[1:]:
            terms = joint_terms.joined(terms, self._terms(number))
        return joint_terms.conservative(terms) if is_conservative else terms

    def _terms(self, version: int) -> dict[str, Any]:
        """Return a version's terms in this process's numbering."""
        derived, own = self._derived[version], self._own["terms"]
        terms = derived["terms"] | {
            name: own[name]
            for name, rule in joint_terms.TERMS.items()
            if rule in (joint_terms.OWN, joint_terms.FIXED) and name in own
        }
        class_terms = [self._class_terms(derived, name) for name in self._classes]
        tenant_terms = []
        for name in self._tenants:
            index = derived["tenants"].get(name)
            tenant_terms.append(
                derived["terms"]["tenants"][index] if index is not None else dict(joint_terms.ABSENT_TENANT)
            )
        return terms | {"request_classes": class_terms, "tenants": tenant_terms}

    def _class_terms(self, derived: dict[str, Any], name: str) -> dict[str, Any]:
        """Return the terms of a class, or of its strict variant, in a version that may lack it."""
        base_name = name.removesuffix(STRICT_SUFFIX)
        index = derived["request_classes"].get(base_name)
        terms: dict[str, Any] = (
            derived["terms"]["request_classes"][index]
            if index is not None
            else self._last_class_terms[base_name] | joint_terms.ABSENT_CLASS
        )
        return terms | {"effect": Idempotency.NON_IDEMPOTENT} if name.endswith(STRICT_SUFFIX) else terms

    def _forms(self, versions: list[int], terms: dict[str, Any]) -> Forms:
        """Return the forms of all versions that clients may know: past, present and next."""
        forms: Forms = {}
        for name, number in list(self._classes.items()):
            if name.endswith(STRICT_SUFFIX):
                continue
            effects = self._effects(name, {*versions, *self._past_versions})
            present = terms["request_classes"][number]["effect"]
            others = effects - {present}
            if others:
                # a strict variant only where the rules are looser than a form, or rest on a key that it lacks
                is_strict = present == Idempotency.KEYED or Idempotency.NON_IDEMPOTENT in others
                form_class = self._classes[f"{name}{STRICT_SUFFIX}"] if is_strict else number
                forms[number] = frozenset(effects), form_class
        return forms

    def _effects(self, name: str, versions: set[int]) -> set[Idempotency]:
        """Return the effects that a class has in these versions."""
        effects = set()
        for version in versions:
            derived = self._derived[version]
            if name in derived["request_classes"]:
                index = derived["request_classes"][name]
                effects.add(derived["terms"]["request_classes"][index]["effect"])
        return effects


def platform(own_settings: dict[str, Any], own_derived: dict[str, Any]) -> DeriveSettings:
    """Return the derivation for the platform's node; `own_derived` are its file's `derive_settings`."""

    def derive(content: dict[str, Any]) -> dict[str, Any]:
        if "settings" not in content:
            return own_derived
        settings = content["settings"]
        errors = joint_terms.setting_errors(settings)
        if errors:
            raise ContentError(errors[0] + (f" (and {len(errors) - 1} more)" if len(errors) > 1 else ""))
        merged = {key: dict(value) if isinstance(value, dict) else value for key, value in settings.items()}
        # keys that are this node's own, or change with a restart only
        for path, rule in joint_terms.PATHS.items():
            if rule in (joint_terms.OWN, joint_terms.FIXED):
                _copy_own(own_settings, merged, path.split("."), rule == joint_terms.OWN)
        try:
            return derive_settings(merged)
        except NodeSettingsError as error:
            raise ContentError(str(error)) from error

    return derive


def _copy_own(own: Any, merged: dict[str, Any], path: list[str], overwrites: bool) -> None:
    """Copy the node's own value at a path, if it has one; over a present value only if `overwrites`."""
    for name in path[:-1]:
        own = own.get(name) if isinstance(own, dict) else None
    if not isinstance(own, dict) or path[-1] not in own:
        return
    for name in path[:-1]:
        merged = merged.setdefault(name, {})
    if overwrites or path[-1] not in merged:
        merged[path[-1]] = own[path[-1]]
