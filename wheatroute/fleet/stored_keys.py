"""Dataclasses that are stored under keys other than their fields' names. No I/O.

A field with another key has it in its metadata: `field(metadata={KEY: "commands"})`. Keys never change.
"""

from __future__ import annotations

from dataclasses import fields
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from _typeshed import DataclassInstance

KEY = "key"
Instance = TypeVar("Instance", bound="DataclassInstance")


def to_stored(instance: DataclassInstance) -> dict[str, Any]:
    """The values of a dataclass instance by key, in the order of its fields."""
    return {one.metadata.get(KEY, one.name): getattr(instance, one.name) for one in fields(instance)}


def from_stored(kind: type[Instance], stored: dict[str, Any]) -> Instance:
    """A dataclass of this kind from values by key; unknown keys are left out, KeyError if one is missing."""
    values = {one.name: stored[one.metadata.get(KEY, one.name)] for one in fields(kind)}
    return kind(**values)
