"""The sections of the external processor itself. No I/O."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field, field_validator, model_validator

from wheatroute.config.fields import Count, Name, NonNegative, Positive, Section, check_address

# of the Gateway API's endpoint picker protocol
DESTINATION_HEADER = "x-gateway-destination-endpoint"
METADATA_NAMESPACE = "envoy.lb"


class TlsSettings(Section):
    """Certificate and key of a listener."""

    certificate: Name
    key: Name
    client_authorities: str = ""


class HeaderNames(Section):
    """Which header of the proxy means what; an empty name turns one off."""

    request_id: Name = "x-request-id"
    timeout: str = Field(default="request-timeout", alias="time_out")
    tenant: str = Field(default="tenant", alias="customer")
    idempotency_key: str = Field(default="idempotency-key", alias="receipt")
    attempt_number: str = Field(default="x-envoy-attempt-count", alias="attempt")
    client_retry: str = Field(default="client-retry", alias="repeated")
    work_hint: str = Field(default="", alias="work")


class ProcessorSettings(Section):
    """The external processor."""

    listen: str
    pool: Name
    workers: Annotated[int, Field(ge=1, le=64)] = 1
    destination_header: str = DESTINATION_HEADER
    metadata_namespace: str = METADATA_NAMESPACE
    time_header: str = ""
    max_attempts: Annotated[int, Field(ge=1, le=20)] = Field(default=3, alias="tries")
    max_connections: Count = Field(default=512, alias="most_connections")
    max_streams: Count = Field(default=1000, alias="most_streams")
    max_request_ids: Count = Field(default=200_000, alias="most_ids")
    max_retry_after_s: NonNegative = Field(default=2.0, alias="longest_advice")
    headers: HeaderNames = HeaderNames()
    tls: TlsSettings | None = None

    _check_listen = field_validator("listen")(check_address)


class SnapshotSettings(Section):
    """Where a worker keeps what it knows; off without it."""

    path: Name
    interval_s: Positive = Field(default=5.0, alias="every")
    max_age_s: Positive = Field(default=3600.0, alias="oldest")


class AgreementSettings(Section):
    """Where versions of the settings are stored, and the time within which all processes agree."""

    directory: str = ""
    relay: str = ""
    etcd_endpoints: list[str] = Field(default=[], alias="etcd")
    prefix: str = ""
    agreement_time_s: Positive = Field(default=10.0, alias="within")

    @field_validator("etcd_endpoints")
    @classmethod
    def _check_endpoints(cls, endpoints: list[str]) -> list[str]:
        return [check_address(endpoint) for endpoint in endpoints]

    @model_validator(mode="after")
    def _check_store(self) -> AgreementSettings:
        stores = sum(map(bool, (self.directory, self.relay, self.etcd_endpoints)))
        if stores != 1 or bool(self.etcd_endpoints) != bool(self.prefix):
            raise ValueError("a directory, a relay's directory, or etcd endpoints and a prefix")
        return self
