"""The whole settings file, a TOML document. No I/O.

The platform's node has a different file, see `net/node_settings.py`.
"""

from __future__ import annotations

from typing import Annotated

from pydantic import Field, model_validator

from wheatroute.config.fields import Count, Name, Section, check_unique
from wheatroute.config.pools import PoolSettings
from wheatroute.config.processor import AgreementSettings, ProcessorSettings, SnapshotSettings
from wheatroute.config.request_classes import RequestClassSettings, TenantSettings


class Settings(Section):
    """The sections and top-level keys of the settings file."""

    name: Name = "wheatroute"
    seed: str = ""
    nodes: Count = 1
    node: Annotated[int, Field(ge=0)] = 0
    pools: list[PoolSettings] = Field(min_length=1)
    request_classes: list[RequestClassSettings] = Field(min_length=1, alias="traffic_types")
    tenants: list[TenantSettings] = Field(default=[], alias="customers")
    processor: ProcessorSettings | None = None
    snapshot: SnapshotSettings | None = None
    agreement: AgreementSettings | None = None

    @model_validator(mode="after")
    def _check_sections(self) -> Settings:
        check_unique("pools", [pool.name for pool in self.pools])
        check_unique("traffic_types", [request_class.name for request_class in self.request_classes])
        check_unique("customers", [tenant.name for tenant in self.tenants])
        if self.node >= self.nodes:
            raise ValueError(f"node {self.node} is out of range: {self.nodes} nodes are numbered from 0")
        if self.processor is not None and self.processor.pool not in [pool.name for pool in self.pools]:
            raise ValueError(f"processor.pool: there is no pool named {self.processor.pool!r}")
        return self
