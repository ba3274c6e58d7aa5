"""The schema of an operator's configuration. No I/O.

Field names are the keys of the configuration. Unknown fields are kept and not validated. The schema is not
sufficient: `wheatroute.cluster.configuration.decode_configuration` must accept the configuration as well.

A list is validated up to its first invalid item, because the errors of many items would take far more memory
than the items.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, FailFast, Field, ValidationError, model_validator

Name = Annotated[str, Field(min_length=1)]


class _Model(BaseModel):
    model_config = ConfigDict(extra="allow", allow_inf_nan=False)


class WeightedServiceModel(_Model):
    """A service in the split of a route, and its weight in that split."""

    backend: Name
    weight: float = Field(ge=0)


class RouteModel(_Model):
    """A route: the requests that it matches, their destination, and the rules that apply to them."""

    name: Name
    hostname: Name
    path_prefix: str = Field(pattern="^/")
    kind: Name
    timeout_ms: float = Field(gt=0)
    target_ms: float = Field(default=0, ge=0)
    priority: int = 5
    backend: str | None = None
    split: Annotated[list[WeightedServiceModel] | None, FailFast()] = None
    retries: int = Field(default=1, ge=0)
    public: bool = False
    sticky: bool = False
    resume: bool = False
    gap_aim_ms: float = Field(default=0, ge=0)

    @model_validator(mode="after")
    def _check_destination(self) -> RouteModel:
        if self.split:
            total_weight = sum(service.weight for service in self.split)
            if not 0 < total_weight < math.inf:
                raise ValueError("split: the sum of the weights must be greater than 0 and finite")
        elif not self.backend:
            raise ValueError("backend or split is required")
        return self


class EngineModel(_Model):
    """The capacity of a service's model servers."""

    slots: int = Field(default=0, ge=0)
    kv_capacity: int = Field(default=0, ge=0)


class ServiceModel(_Model):
    """A service for which servers register."""

    name: Name
    health_path: str = "/"
    max_conns: int = Field(default=0, ge=0)
    engine: EngineModel | None = None


class LimitsModel(_Model):
    """Limits on the requests and connections of clients."""

    max_header_bytes: int = Field(default=16384, gt=0)
    max_body_bytes: int = Field(default=4194304, ge=0)
    header_timeout_ms: float = Field(default=10000, gt=0)
    idle_timeout_ms: float = Field(default=60000, gt=0)


class TenantModel(_Model):
    """A tenant: its API keys, its priority and its rate limit."""

    name: Name
    api_keys: Annotated[list[Name], FailFast()] = []
    priority: int | None = None
    unit: str = "requests"
    uncached_tokens: float = Field(default=1, ge=0)
    rate_per_s: float = Field(default=0, ge=0)
    burst: float = Field(default=0, ge=0)


class ConfigurationModel(_Model):
    """A complete configuration."""

    generation: int = Field(gt=0)
    routes: Annotated[list[RouteModel], FailFast()]
    services: Annotated[list[ServiceModel], FailFast()]
    limits: LimitsModel = LimitsModel()
    tenants: Annotated[list[TenantModel], FailFast()] = []

    @model_validator(mode="after")
    def _check_references_and_names(self) -> ConfigurationModel:
        services = {service.name for service in self.services}
        for route in self.routes:
            destinations = [service.backend for service in route.split] if route.split else [route.backend]
            for destination in destinations:
                if destination not in services:
                    raise ValueError(f"route {route.name}: service {destination} is not defined")
        _check_unique("route", [route.name for route in self.routes])
        _check_unique(
            "hostname and path prefix", [(route.hostname.lower(), route.path_prefix) for route in self.routes]
        )
        _check_unique("service", [service.name for service in self.services])
        _check_unique("tenant", [tenant.name for tenant in self.tenants])
        _check_unique(
            "API key", [key for tenant in self.tenants for key in set(tenant.api_keys)], is_secret=True
        )
        return self


def _check_unique(kind: str, values: list[Any], is_secret: bool = False) -> None:
    """Raises `ValueError` for a value that occurs more than once; the message omits a secret value."""
    for value, count in Counter(values).items():
        if count > 1:
            raise ValueError(f"duplicate {kind}" + ("" if is_secret else f": {value}"))


def validation_errors(configuration: dict[str, Any]) -> list[str]:
    """Returns one line for each error of a configuration; an empty list if it is valid."""
    try:
        ConfigurationModel.model_validate(configuration)
    except ValidationError as errors:
        return [
            f"{'.'.join(str(key) for key in error['loc']) or 'configuration'}: {error['msg']}"
            for error in errors.errors(include_url=False, include_input=False)
        ]
    return []
