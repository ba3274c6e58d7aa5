"""The sections of the settings file for request classes and tenants. No I/O."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, model_validator

from wheatroute.config.fields import Name, NonNegative, Positive, Section

Path = Annotated[str, Field(pattern="^/")]


class RequestClassSettings(Section):
    """A class of requests: what it matches, and its idempotency, deadline and value.

    Without `methods`, all methods match. The default target latency is the deadline. `late_value` is a
    fraction of `value`.
    """

    name: Name
    idempotency: Literal["pure", "receipted", "effectful"] = Field(alias="effect")
    paths: list[Path] = Field(min_length=1)
    methods: list[Name] = []
    deadline_s: Positive = Field(alias="hard_stop")
    target_latency_s: Positive | None = Field(default=None, alias="target_time")
    value: Positive = Field(default=1.0, alias="utility")
    late_value: NonNegative = Field(default=0.0, alias="late_utility")
    deduplication_group: Literal["all", "zone", "cell"] = Field(default="all", alias="group")
    retry_window_s: NonNegative = Field(default=0.0, alias="repeat_window")

    @model_validator(mode="after")
    def _check_times(self) -> RequestClassSettings:
        if self.target_latency_s is not None and self.target_latency_s > self.deadline_s:
            raise ValueError("target_time must not be greater than hard_stop")
        return self


class TenantSettings(Section):
    """A tenant and its quota in requests per second across all nodes; 0 means no quota."""

    name: Name
    rate: NonNegative = 0.0
