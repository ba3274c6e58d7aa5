"""The sections of the settings file for the external processor itself. No I/O."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field, field_validator, model_validator

from wheatroute.config.fields import Count, Name, NonNegative, Positive, Section, check_address

# Header and metadata namespace that the Gateway API's endpoint picker protocol defines.
DESTINATION_HEADER = "x-gateway-destination-endpoint"
METADATA_NAMESPACE = "envoy.lb"


class TlsSettings(Section):
    """Paths of the TLS files of a listener; clients are authenticated if `client_authorities` is set."""

    certificate: Name
    key: Name
    client_authorities: str = ""


class HeaderNames(Section):
    """The names of the request headers that the processor reads; a header with an empty name is not read."""

    request_id: Name = "x-request-id"
    timeout: str = Field(default="request-timeout", alias="time_out")
    tenant: str = Field(default="tenant", alias="customer")
    idempotency_key: str = Field(default="idempotency-key", alias="receipt")
    attempt_number: str = Field(default="x-envoy-attempt-count", alias="attempt")
    client_retry: str = Field(default="client-retry", alias="repeated")
    work_hint: str = Field(default="", alias="work")


class ProcessorSettings(Section):
    """The listener, limits, headers and worker count of the external processor.

    An empty `destination_header`, `metadata_namespace` or `time_header` disables the respective output.
    """

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
    """The file of a worker's snapshots, how often it is written, and up to which age it is used.

    Without this section, no snapshots are written.
    """

    path: Name
    interval_s: Positive = Field(default=5.0, alias="every")
    max_age_s: Positive = Field(default=3600.0, alias="oldest")


class AgreementSettings(Section):
    """The store for versions of the settings, and the time within which all processes agree on one.

    The store is one of three: `directory`; `relay`, which is a directory that a relay updates; or `etcd`,
    which needs a key `prefix`.
    """

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
            raise ValueError(
                "exactly one of directory, relay and etcd must be given; "
                "prefix is required with etcd and not allowed without it"
            )
        return self
