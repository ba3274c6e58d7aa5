"""From a version to what a process acts on: numbers that stay, terms, forms. Free of I/O.

Owns the numbering of request classes and tenants over all versions that a process has met, and what of its
own file no version touches. It must never give a number to another name, nor let a class be called by a form
whose promise (a key, no effect) the new rules rest on and the request does not hold.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any, NamedTuple

from wheatroute.agreement import joint_terms
from wheatroute.agreement.member import EffectiveVersions
from wheatroute.agreement.versions import ContentError
from wheatroute.balancing.interface import Idempotency
from wheatroute.balancing.settings import DecisionSettings, RequestClass, TenantQuota
from wheatroute.net.node_settings import NodeSettingsError, derive_settings
from wheatroute.wire_names import NameNumbering

Forms = dict[int, tuple[frozenset[Idempotency], int]]
Settle = Callable[[dict[str, Any]], dict[str, Any]]  # raises `ContentError`


class AdaptedVersion(NamedTuple):
    """What a node acts on: names that it takes, terms, and the forms that a class may come in as well."""

    request_classes: dict[str, int]
    tenants: dict[str, int]
    terms: DecisionSettings
    forms: Forms


class VersionAdapter:
    """A process's versions. `own` has its file's names and terms; `settle` makes the like of a version."""

    def __init__(self, own: dict[str, Any], settle: Settle) -> None:
        self._own, self._settle = own, settle
        self._classes, self._tenants = NameNumbering(), NameNumbering()
        self._known: dict[int, dict[str, Any]] = {0: own}
        self._seen: dict[str, RequestClass] = {}  # the rules that a class had when it was last there
        self._past = {0}  # versions that were in force here: clients may not have heard that they are not
        for names, numbers in ((own["request_classes"], self._classes), (own["tenants"], self._tenants)):
            for name, number in names.items():
                assert numbers[name] == number

    def check(self, number: int, content: Any) -> str:
        """A line that says why this process cannot use a version; empty if it can."""
        if not isinstance(content, dict) or not content or set(content) - set(joint_terms.PARTS):
            return "a version has the parts settings and file, and nothing else that this program knows"
        try:
            known = self._settle(content)
        except ContentError as trouble:
            return str(trouble)
        own, own_classes = self._own["terms"], self._own["request_classes"]
        for name, rule in joint_terms.TERMS.items():
            if rule == joint_terms.FIXED and getattr(known["terms"], name) != getattr(own, name):
                return f"{name}: {joint_terms.FIXED}, and is {getattr(own, name)!r} here"
        for name in own_classes.keys() & known["request_classes"].keys():
            streamed = [
                one["terms"].request_classes[one["request_classes"][name]].is_streamed
                for one in (self._own, known)
            ]
            if streamed[0] != streamed[1]:
                return f"{name}.streamed: {joint_terms.FIXED}, and is {streamed[0]!r} here"
        self._known[number] = known
        return ""

    def adapt(self, effective: EffectiveVersions) -> AdaptedVersion:
        """What to act on. Classes and tenants keep their numbers, also when they are not there any more."""
        self._past.add(effective.active)
        versions = [effective.active, *([effective.joint] if effective.joint else [])]
        for number in versions:
            self._number(number)
        terms = self._within(versions, effective.is_conservative)
        forms = self._forms(versions, terms)
        if len(terms.request_classes) < len(self._classes):
            terms = self._within(versions, effective.is_conservative)  # with the twins that forms wanted
        names = self._known[effective.active]
        return AdaptedVersion(
            {name: self._classes[name] for name in names["request_classes"]},
            {name: self._tenants[name] for name in names["tenants"]},
            terms,
            forms,
        )

    def _number(self, version: int) -> None:
        known = self._known[version]
        for name, place in known["request_classes"].items():
            self._classes[name]  # noqa: B018 - the next number, for a name that is new
            self._seen[name] = known["terms"].request_classes[place]
        for name in known["tenants"]:
            self._tenants[name]  # noqa: B018

    def _within(self, versions: list[int], careful: bool) -> DecisionSettings:
        terms = self._terms(versions[0])
        for number in versions[1:]:
            terms = joint_terms.joined(terms, self._terms(number))
        return joint_terms.careful(terms) if careful else terms

    def _terms(self, version: int) -> DecisionSettings:
        """A version's terms in this node's numbering."""
        known, own = self._known[version], self._own["terms"]
        terms: DecisionSettings = known["terms"]
        own_values = {
            name: getattr(own, name)
            for name, rule in joint_terms.TERMS.items()
            if rule in (joint_terms.OWN, joint_terms.FIXED)
        }
        kinds, tenants = [], []
        for name in self._classes:
            there, base = known["request_classes"].get(name.removesuffix("\0strict")), self._seen
            kind = (
                terms.request_classes[there]
                if there is not None
                else joint_terms.absent(base[name.removesuffix("\0strict")])
            )
            if name.endswith("\0strict"):
                kind = replace(kind, idempotency=Idempotency.NON_IDEMPOTENT)
            kinds.append(kind)
        for name in self._tenants:
            there = known["tenants"].get(name)
            tenants.append(terms.tenants[there] if there is not None else TenantQuota())
        return replace(terms, **own_values, request_classes=kinds, tenants=tenants)

    def _forms(self, versions: list[int], terms: DecisionSettings) -> Forms:
        """The forms of all versions that clients may have heard of: past, present and next."""
        forms: Forms = {}
        for name, number in list(self._classes.items()):
            if name.endswith("\0strict"):
                continue
            effects = {
                self._known[one]["terms"]
                .request_classes[self._known[one]["request_classes"][name]]
                .idempotency
                for one in {*versions, *self._past}
                if name in self._known[one]["request_classes"]
            }
            now = terms.request_classes[number].idempotency
            others = effects - {now}
            if others:
                # a class of its own only where the rules are looser than a form or rest on a key it lacks
                strict = now == Idempotency.KEYED or Idempotency.NON_IDEMPOTENT in others
                forms[number] = frozenset(effects), self._classes[f"{name}\0strict"] if strict else number
        return forms


def platform(own_settings: dict[str, Any], own_derived: dict[str, Any]) -> Settle:
    """Makes of a version what the platform's node acts on; `own_derived` are its file's `derive_settings`."""

    def settle(content: dict[str, Any]) -> dict[str, Any]:
        if "settings" not in content:
            return own_derived
        told = content["settings"]
        found = joint_terms.troubles(told)
        if found:
            raise ContentError(found[0] + (f" (and {len(found) - 1} more)" if len(found) > 1 else ""))
        whole = {key: dict(one) if isinstance(one, dict) else one for key, one in told.items()}
        for (
            path,
            rule,
        ) in joint_terms.PATHS.items():  # what is this node's own, or changes with a restart only
            if rule in (joint_terms.OWN, joint_terms.FIXED):
                _carry(own_settings, whole, path.split("."), rule == joint_terms.OWN)
        try:
            return derive_settings(whole)
        except NodeSettingsError as trouble:
            raise ContentError(str(trouble)) from trouble

    return settle


def _carry(own: Any, out: dict[str, Any], path: list[str], always: bool) -> None:
    """Puts the node's own value at a path, if it has one; over what is there only if `always`."""
    for name in path[:-1]:
        own = own.get(name) if isinstance(own, dict) else None
    if not isinstance(own, dict) or path[-1] not in own:
        return
    for name in path[:-1]:
        out = out.setdefault(name, {})
    if always or path[-1] not in out:
        out[path[-1]] = own[path[-1]]
