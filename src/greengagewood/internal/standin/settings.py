"""Settings of the simulated platform."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from greengagewood.internal.settings import Address

__all__ = ["StandinSettings", "WorkerSettings"]


class WorkerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe a simulated worker, and its backend server unless `backend_port` is 0."""

    name: str
    failure_domain: str
    rack: str
    cpus: int = 64
    memory_mb: int = 250_000
    accelerators: int = 0
    backend_port: int = 0


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe an entry instance as the instance list shows it."""

    instance: str
    failure_domain: str
    keeper: str


class StandinSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Configure ggw-standin, the simulated platform.

    `slots` is the number of requests that a backend server runs at once, and `connections` the
    number that it accepts at once. Each batch task on its worker adds `interference` times the base
    latency to a request's latency. `list_lag_ms` and `usage_lag_ms` delay the instance list and the
    usage reports.
    """

    listen: Address
    service: str
    workers: tuple[WorkerSettings, ...]
    entries: tuple[EntrySettings, ...] = ()
    slots: int = 8
    connections: int = 64
    base_latency_ms: float = 8.0
    interference: float = 0.1
    list_lag_ms: int = 2000
    usage_lag_ms: int = 3000
    log_delay_ms: float = 2.0
    retention_records: Annotated[int, Meta(ge=10)] = 1_000_000
    seed: int = 1
    instance: str = "standin"
    log_level: str = "INFO"
