"""Settings of the stand-ins, and the faults that their admin ports take."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from greengagewood.internal.entry.settings import HostPort, Millis

__all__ = ["Fault", "Rates", "StoreSettings", "WorkerSettings", "WorkersSettings"]

Share = Annotated[float, Meta(ge=0.0, le=1.0)]


class Rates(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Calls that the store accepts per second from all callers together; 0 means no limit."""

    writes_per_s: float = 0
    reads_per_s: float = 0


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Configure the store."""

    listen: HostPort
    admin: HostPort
    record: str
    rates: Rates = Rates()
    seed: int = 1
    keep_s: Annotated[float, Meta(gt=0)] = 300  # age at which records expire


class WorkerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Configure one worker; `guarded` workers refuse starts that exceed their capacity."""

    id: str
    listen: HostPort
    advertised: HostPort
    service: str
    zone: str
    rack: str
    cpu: int = 64_000
    mem_mb: int = 250_000
    clock_rate: Annotated[float, Meta(gt=0, le=1)] = 1.0
    guarded: bool = True


class WorkersSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Configure the workers of one process."""

    admin: HostPort
    store_admin: HostPort
    advice: HostPort | None = None  # where this process is the advice service, too
    record: str
    workers: tuple[WorkerSettings, ...]
    seed: int = 1
    lease_ms: Millis = 6_000
    heartbeat_ms: Annotated[int, Meta(ge=10)] = 1_500
    stop_ms: Millis = 300
    max_order_delay_ms: Millis = 12_000
    drain_ms: Millis = 2_000
    cold_ms: Millis = 0


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Switch a fault on; an empty list of clients, workers or topics means all.

    Faults of one kind with different ids are in force side by side.
    """

    kind: str
    share: Share = 1.0
    ms: Millis = 0
    clients: tuple[str, ...] = msgspec.field(name="for", default=())
    workers: tuple[str, ...] = ()
    topics: tuple[str, ...] = ()
    id: str = ""
    only: str = ""  # the kind that `clear` ends, with the same id if one is given; empty for all
