"""The sections of the settings file for pools of servers. No I/O."""

from __future__ import annotations

from typing import Literal

from pydantic import Field, field_validator, model_validator

from wheatroute.config.fields import (
    Fraction,
    Name,
    NonNegative,
    Positive,
    Section,
    check_address,
    check_unique,
)


class ServerSettings(Section):
    """A server that is listed in the settings file; `address` is "IPv4:PORT".

    For request classes with the deduplication group `cell`, servers of the same cell share their memory of
    idempotency keys.
    """

    id: Name
    address: str
    zone: str = ""
    model: str = ""
    cell: int = 0
    state: Literal["in_service", "terminating"] = "in_service"

    _check_address = field_validator("address")(check_address)


class PoolRules(Section):
    """Warm-up, drain and overload parameters of a pool's servers; see the rules in `docs/design.md`.

    It is assumed that a server that is warming up fails if it gets `overload_multiple` times its usual rate
    for `overload_window_s` seconds.
    """

    warmup_s: NonNegative = Field(default=20.0, alias="cold_time")
    warmup_initial_share: Fraction = Field(default=0.3, alias="cold_share")
    drain_grace_s: NonNegative = Field(default=2.0, alias="drain_grace")
    overload_window_s: Positive = Field(default=1.0, alias="fall_span")
    overload_multiple: Positive = Field(default=3.0, alias="fall_multiple")
    answer_slack_s: NonNegative = Field(default=0.02, alias="answer_slack")


class EtcdTlsSettings(Section):
    """Paths of the TLS files for connections to etcd.

    Without `authorities`, the system's certificate authorities apply.
    """

    authorities: str = ""
    certificate: str = ""
    key: str = ""


class EtcdSettings(Section):
    """The etcd cluster and key prefix under which a pool's servers are listed.

    Nodes register under `nodes_prefix`, if it is set. `password_file` is the path of a file that contains the
    password of `user`.
    """

    endpoints: list[str] = Field(min_length=1)
    prefix: Name
    nodes_prefix: str = ""
    user: str = ""
    password_file: str = ""
    tls: EtcdTlsSettings | None = None

    @field_validator("endpoints")
    @classmethod
    def _check_endpoints(cls, endpoints: list[str]) -> list[str]:
        return [check_address(endpoint) for endpoint in endpoints]

    @model_validator(mode="after")
    def _check_user(self) -> EtcdSettings:
        if bool(self.user) != bool(self.password_file):
            raise ValueError("user and password_file must be given together")
        return self


class PoolSettings(Section):
    """A pool of interchangeable servers, listed in the file, by a list service or in etcd.

    `zone` is the zone of this node. Prices are in units of the value of one request.
    """

    name: Name
    list_service: str | None = None
    etcd: EtcdSettings | None = None
    zones: list[Name] = []
    zone: str = ""
    crossing_price: NonNegative = 0.0
    connection_price: NonNegative = 0.0
    connect_timeout_s: Positive = Field(default=0.25, alias="connect_within")
    rules: PoolRules = PoolRules()
    servers: list[ServerSettings] = []

    @field_validator("list_service")
    @classmethod
    def _check_list_service(cls, address: str | None) -> str | None:
        return address if address is None else check_address(address)

    @model_validator(mode="after")
    def _check_pool(self) -> PoolSettings:
        if sum(map(bool, (self.servers, self.list_service, self.etcd))) != 1:
            raise ValueError("exactly one of servers, list_service and etcd must be given")
        check_unique("servers", [server.id for server in self.servers])
        if self.zone and self.zone not in self.zones:
            raise ValueError(f"zone {self.zone!r} is not listed in zones")
        return self
