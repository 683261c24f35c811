"""Settings of an entry instance."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

__all__ = ["Bounds", "EntrySettings", "HostPort"]

Millis = Annotated[int, Meta(ge=0, le=3_600_000)]
Seconds = Annotated[float, Meta(ge=0, le=3_600)]
HostPort = Annotated[str, Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")]


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Durations that the platform sets."""

    lease_ms: Millis  # of a worker's lease; the worker ends its runs when the lease expires
    grace_s: Seconds  # from SIGTERM until the process must have ended
    status_s: Seconds  # for which the state of an ended job can still be read


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of one entry instance."""

    instance: str
    failure_domain: str
    listen: HostPort
    ready: HostPort
    admin: HostPort
    store: HostPort
    advice: HostPort | None = None
    metrics: HostPort | None = None  # a second address for metrics, in addition to `admin`
    bounds: Bounds
    cores: Annotated[float, Meta(gt=0, le=1_024)] = 1.0
    cpu_share: Annotated[float, Meta(gt=0, le=1)] = 1.0  # usable share of the time of `cores`
    # Whether to refuse best-effort jobs that would end too late to be worth anything.
    refuse_hopeless_jobs: bool = False
    # Tasks of jobs that have not ended, which every instance must be able to hold in memory.
    max_unfinished_tasks: Annotated[int, Meta(ge=1_000, le=100_000_000)] = 200_000
    # Between two reports of a worker to the directory; 0 if that is not known.
    worker_report_interval_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 0
    log_level: Annotated[str, Meta(pattern=r"^(DEBUG|INFO|NOTICE|WARNING|ERROR)$")] = "INFO"

    @property
    def cpu_millis(self) -> int:
        """Return the instance's CPU capacity in thousandths of a core."""
        return round(1000 * self.cores * self.cpu_share)
