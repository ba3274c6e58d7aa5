"""The base class and the value types that all sections of the settings file share. No I/O.

A field whose name in the code differs from its key in the file has the key as its alias. Files must use the
key, and errors name the key.
"""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from wheatroute.net.addresses import parse_address

NonNegative = Annotated[float, Field(ge=0.0, allow_inf_nan=False)]
Positive = Annotated[float, Field(gt=0.0, allow_inf_nan=False)]
Fraction = Annotated[float, Field(gt=0.0, le=1.0)]
Count = Annotated[int, Field(ge=1, le=1_000_000)]
Name = Annotated[str, Field(min_length=1, max_length=200)]


class Section(BaseModel):
    """A table of the settings file; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


def check_address(text: str) -> str:
    """Returns the text of an address unchanged; raises `ValueError` if it is not "IPv4:PORT"."""
    parse_address(text)
    return text


def check_unique(key: str, names: list[str]) -> None:
    """Raises `ValueError` if a name occurs more than once in the list under `key`."""
    if len(set(names)) == len(names):
        return
    first_duplicate = min(name for name in names if names.count(name) > 1)
    raise ValueError(f"{key}: the name {first_duplicate!r} is used more than once")
