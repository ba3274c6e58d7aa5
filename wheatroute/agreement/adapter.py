"""Adapts the versions of settings to one process: stable numbers, decision settings, forms. No I/O.

Request classes and tenants of all versions that the process has met are numbered once; a number is never
given to another name. What versions don't cover comes from the process's own file. A class is never entered
through a form (a method, a key) whose guarantee the new rules rest on and the request does not give.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any, NamedTuple

from wheatroute.agreement import joint_terms
from wheatroute.agreement.errors import ContentError
from wheatroute.agreement.member import EffectiveVersions
from wheatroute.balancing.interface import Idempotency
from wheatroute.balancing.settings import DecisionSettings, RequestClass, TenantQuota
from wheatroute.net.node_settings import NodeSettingsError, derive_settings
from wheatroute.wire_names import NameNumbering

Forms = dict[int, tuple[frozenset[Idempotency], int]]
# derives what a process acts on from a version's content; raises `ContentError`
DeriveSettings = Callable[[dict[str, Any]], dict[str, Any]]
STRICT_SUFFIX = "\0strict"  # of the name of a class's strict variant


class AdaptedVersion(NamedTuple):
    """What a node acts on: names that it takes, terms, and the forms that a class may come in as well."""

    request_classes: dict[str, int]
    tenants: dict[str, int]
    terms: DecisionSettings
    forms: Forms


class VersionAdapter:
    """The versions of one process.

    `own` has the names and settings of its file; `derive` returns the same for a version's content.
    """

    def __init__(self, own: dict[str, Any], derive: DeriveSettings) -> None:
        self._own, self._derive = own, derive
        self._classes, self._tenants = NameNumbering(), NameNumbering()
        self._derived_by_version: dict[int, dict[str, Any]] = {0: own}
        self._last_rules: dict[str, RequestClass] = {}  # by class: from the last version that has it
        self._past_versions = {0}  # that were active here: clients may still use their forms
        for names, numbers in ((own["request_classes"], self._classes), (own["tenants"], self._tenants)):
            for name, number in names.items():
                assert numbers[name] == number

    def check(self, number: int, content: Any) -> str:
        """A line that says why this process cannot use a version; empty if it can."""
        if not isinstance(content, dict) or not content or set(content) - set(joint_terms.PARTS):
            return "a version has the parts settings and file, and nothing else that this program knows"
        try:
            derived = self._derive(content)
        except ContentError as error:
            return str(error)
        own, own_classes = self._own["terms"], self._own["request_classes"]
        for name, rule in joint_terms.TERMS.items():
            if rule == joint_terms.FIXED and getattr(derived["terms"], name) != getattr(own, name):
                return f"{name}: {joint_terms.FIXED}, and is {getattr(own, name)!r} here"
        for name in own_classes.keys() & derived["request_classes"].keys():
            streamed = [
                one["terms"].request_classes[one["request_classes"][name]].is_streamed
                for one in (self._own, derived)
            ]
            if streamed[0] != streamed[1]:
                return f"{name}.streamed: {joint_terms.FIXED}, and is {streamed[0]!r} here"
        self._derived_by_version[number] = derived
        return ""

    def adapt(self, effective: EffectiveVersions) -> AdaptedVersion:
        """Return what to act on. Classes and tenants keep their numbers, also when no version has them."""
        self._past_versions.add(effective.active)
        versions = [effective.active, *([effective.joint] if effective.joint else [])]
        for number in versions:
            self._add_numbers(number)
        terms = self._joined_settings(versions, effective.is_conservative)
        forms = self._forms(versions, terms)
        if len(terms.request_classes) < len(self._classes):
            terms = self._joined_settings(versions, effective.is_conservative)  # with new strict variants
        names = self._derived_by_version[effective.active]
        return AdaptedVersion(
            {name: self._classes[name] for name in names["request_classes"]},
            {name: self._tenants[name] for name in names["tenants"]},
            terms,
            forms,
        )

    def _add_numbers(self, version: int) -> None:
        derived = self._derived_by_version[version]
        for name, index in derived["request_classes"].items():
            self._classes[name]  # noqa: B018 - the next number, for a name that is new
            self._last_rules[name] = derived["terms"].request_classes[index]
        for name in derived["tenants"]:
            self._tenants[name]  # noqa: B018

    def _joined_settings(self, versions: list[int], is_conservative: bool) -> DecisionSettings:
        terms = self._terms(versions[0])
        for number in versions[1:]:
            terms = joint_terms.joined(terms, self._terms(number))
        return joint_terms.conservative(terms) if is_conservative else terms

    def _terms(self, version: int) -> DecisionSettings:
        """Return a version's settings in this process's numbering."""
        derived, own = self._derived_by_version[version], self._own["terms"]
        terms: DecisionSettings = derived["terms"]
        own_values = {
            name: getattr(own, name)
            for name, rule in joint_terms.TERMS.items()
            if rule in (joint_terms.OWN, joint_terms.FIXED)
        }
        request_classes, tenants = [], []
        for name in self._classes:
            there, base = derived["request_classes"].get(name.removesuffix(STRICT_SUFFIX)), self._last_rules
            request_class = (
                terms.request_classes[there]
                if there is not None
                else joint_terms.absent(base[name.removesuffix(STRICT_SUFFIX)])
            )
            if name.endswith(STRICT_SUFFIX):
                request_class = replace(request_class, idempotency=Idempotency.NON_IDEMPOTENT)
            request_classes.append(request_class)
        for name in self._tenants:
            there = derived["tenants"].get(name)
            tenants.append(terms.tenants[there] if there is not None else TenantQuota())
        return replace(terms, **own_values, request_classes=request_classes, tenants=tenants)

    def _forms(self, versions: list[int], terms: DecisionSettings) -> Forms:
        """Return the forms of all versions that clients may know: past, present and next."""
        forms: Forms = {}
        for name, number in list(self._classes.items()):
            if name.endswith(STRICT_SUFFIX):
                continue
            effects = {
                self._derived_by_version[one]["terms"]
                .request_classes[self._derived_by_version[one]["request_classes"][name]]
                .idempotency
                for one in {*versions, *self._past_versions}
                if name in self._derived_by_version[one]["request_classes"]
            }
            now = terms.request_classes[number].idempotency
            others = effects - {now}
            if others:
                # a class of its own only where the rules are looser than a form or rest on a key it lacks
                strict = now == Idempotency.KEYED or Idempotency.NON_IDEMPOTENT in others
                forms[number] = frozenset(effects), self._classes[name + STRICT_SUFFIX] if strict else number
        return forms


def platform(own_settings: dict[str, Any], own_derived: dict[str, Any]) -> DeriveSettings:
    """Return a function that derives what the platform's node acts on from a version's content.

    `own_derived` are the derived settings of the node's own file.
    """

    def derive(content: dict[str, Any]) -> dict[str, Any]:
        if "settings" not in content:
            return own_derived
        told = content["settings"]
        found = joint_terms.setting_errors(told)
        if found:
            raise ContentError(found[0] + (f" (and {len(found) - 1} more)" if len(found) > 1 else ""))
        whole = {key: dict(one) if isinstance(one, dict) else one for key, one in told.items()}
        for (
            path,
            rule,
        ) in joint_terms.PATHS.items():  # values of this node alone, or that need a restart
            if rule in (joint_terms.OWN, joint_terms.FIXED):
                _carry(own_settings, whole, path.split("."), rule == joint_terms.OWN)
        try:
            return derive_settings(whole)
        except NodeSettingsError as error:
            raise ContentError(str(error)) from error

    return derive


def _carry(own: Any, out: dict[str, Any], path: list[str], always: bool) -> None:
    """Put the node's own value at a path, if it has one; an existing value is replaced only if `always`."""
    for name in path[:-1]:
        own = own.get(name) if isinstance(own, dict) else None
    if not isinstance(own, dict) or path[-1] not in own:
        return
    for name in path[:-1]:
        out = out.setdefault(name, {})
    if always or path[-1] not in out:
        out[path[-1]] = own[path[-1]]
