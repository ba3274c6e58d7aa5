"""Conversion of dataclasses whose stored keys differ from the names of their fields. No I/O.

A field whose key differs has it in its metadata: `field(metadata={KEY: "commands"})`. Keys never change.
"""

from __future__ import annotations

from dataclasses import fields
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from _typeshed import DataclassInstance

KEY = "key"
Instance = TypeVar("Instance", bound="DataclassInstance")


def to_stored(instance: DataclassInstance) -> dict[str, Any]:
    """Returns the values of a dataclass instance by key, in the order of its fields."""
    return {item.metadata.get(KEY, item.name): getattr(instance, item.name) for item in fields(instance)}


def from_stored(dataclass_type: type[Instance], stored: dict[str, Any]) -> Instance:
    """Builds an instance from values by key; ignores unknown keys, raises KeyError if one is missing."""
    values = {item.name: stored[item.metadata.get(KEY, item.name)] for item in fields(dataclass_type)}
    return dataclass_type(**values)
