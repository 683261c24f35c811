"""What the product needs of the outside, as few and typed interfaces.

An adapter to a platform implements them, and so do the stand-ins of tests. Every failure that
leaves open whether a call was carried out is said so: `Outcome.UNKNOWN` is never `REFUSED`.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from greengagewood.internal.jobs.model import Queue
from greengagewood.internal.jobs.records import TaskId

__all__ = [
    "AdviceService",
    "AdviceUnavailable",
    "AppendResult",
    "Configuration",
    "JobStore",
    "LeaseReply",
    "LogEntry",
    "LogPage",
    "LogTruncated",
    "Outcome",
    "RouteRule",
    "RunEnd",
    "RunningTask",
    "StoreUnavailable",
    "WorkerCallFailed",
    "WorkerDirectory",
    "WorkerInfo",
    "WorkerLink",
    "WrongBoot",
]


class Outcome(enum.Enum):
    """Tell whether a call was carried out."""

    DONE = "done"
    REFUSED = "refused"  # certainly not carried out
    UNKNOWN = "unknown"  # it may have been carried out, or may still be


class StoreUnavailable(Exception):
    """Report a call to the store that was not answered; it may have been carried out."""


class LogTruncated(Exception):
    """Report a read of records that the store has dropped."""


class WorkerCallFailed(Exception):
    """Report a call to a worker that was not answered."""


class WrongBoot(Exception):
    """Report that another boot of the worker answers at its address."""


class AdviceUnavailable(Exception):
    """Report that the advice service takes no more calls now, or did not answer."""


@dataclass(frozen=True, slots=True)
class LogEntry:
    """Hold one record of the log; an empty value means that the key was dropped."""

    offset: int
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """Hold records and the offset from which to read on."""

    entries: tuple[LogEntry, ...]
    next_offset: int


@dataclass(frozen=True, slots=True)
class AppendResult:
    """Tell what became of an append; `fenced` if a newer owner writes now."""

    outcome: Outcome
    offset: int = -1
    fenced: bool = False


class JobStore(Protocol):
    """Keep the records of one cell, the newest of each key for good."""

    async def load(self) -> LogPage:
        """Return the newest record of each key; raise StoreUnavailable."""

    async def read(self, start: int, wait_ms: int) -> LogPage:
        """Return records from an offset, waiting for one.

        Raise StoreUnavailable or LogTruncated.
        """

    async def append(self, entries: Sequence[tuple[str, bytes]]) -> AppendResult:
        """Append records, all or none."""

    async def claim(self, entry: tuple[str, bytes], expected_end: int, token: int) -> AppendResult:
        """Append a record if the log ends at `expected_end`, and fence every lower token."""

    async def append_fenced(
        self, entries: Sequence[tuple[str, bytes]], token: int, sequence: int
    ) -> AppendResult:
        """Append records as the owner with this token; `sequence` counts its appends from 1."""


@dataclass(frozen=True, slots=True)
class WorkerInfo:
    """Describe a worker as it does itself; `leaving_in_ms` is the least time left, if it drains."""

    worker_id: str
    address: str
    service: str
    failure_domain: str
    rack: str
    labels: frozenset[str]
    cpu_millis: int
    memory_mb: int
    accelerators: int
    draining: bool
    leaving_in_ms: int | None
    boot_time_ms: int
    warmup_left_ms: int = 0


class WorkerDirectory(Protocol):
    """List the workers."""

    async def refresh(self) -> dict[str, WorkerInfo]:
        """Return the workers as they are listed now; raise StoreUnavailable."""


@dataclass(frozen=True, slots=True)
class RunningTask:
    """Describe a run as its worker does.

    `tail_ms` is set for tasks that serve callers of their own, `cpu_millis` for all others; both
    are rough and of the last half second.
    """

    task: TaskId
    run: int
    checkpoint: str
    progress_percent: int
    tail_ms_or_cpu_millis: int


@dataclass(frozen=True, slots=True)
class RunEnd:
    """Describe the end of a run: done, failed, stopped, lapsed, broken or alone."""

    sequence: int
    task: TaskId
    run: int
    result: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class LeaseReply:
    """Hold a worker's clock, its runs, and the ends that were not acknowledged yet."""

    clock_ms: int
    boot_time_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[RunEnd, ...]


@dataclass(frozen=True, slots=True)
class OrderReply:
    """Hold the answer to a start: `reason` is empty if it was accepted."""

    reason: str
    clock_ms: int | None


class WorkerLink(Protocol):
    """Give orders to workers; raises WorkerCallFailed, WrongBoot."""

    async def start(
        self,
        worker: WorkerInfo,
        task: TaskId,
        run: int,
        payload: str,
        deadline_ms: int,
        token: int,
        checkpoint: str,
        ticket: str,
    ) -> OrderReply:
        """Order the start of a run, which is refused after a deadline on the worker's clock."""

    async def stop(self, worker: WorkerInfo, task: TaskId, run: int, token: int) -> OrderReply:
        """Order the end of a run; it can never start on this worker afterwards."""

    async def throttle(
        self, worker: WorkerInfo, task: TaskId, run: int, percent: int, token: int
    ) -> OrderReply:
        """Let a run work at a share of its speed."""

    async def extend_lease(
        self,
        worker: WorkerInfo,
        deadline_ms: int | None,
        token: int,
        acknowledged: int,
        wait_ms: int,
    ) -> LeaseReply | OrderReply:
        """Extend the lease of all runs up to a deadline on the worker's clock, and list them."""


@dataclass(frozen=True, slots=True)
class Permit:
    """Allow the tasks of a step on a worker until a time of the owner's steady clock."""

    ticket: str
    expires_ms: int


class AdviceService(Protocol):
    """Ask which workers may run a step."""

    async def request_permits(
        self, job: str, occurrence: int, step: int, workers: Sequence[str]
    ) -> dict[str, Permit]:
        """Return a permit for each worker that may run the step; raise AdviceUnavailable."""


@dataclass(frozen=True, slots=True)
class RouteRule:
    """Send requests for a host and a prefix of the path to a queue."""

    host: str
    path_prefix: str
    queue: Queue


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold a version of what operators decide."""

    version: int
    routes: tuple[RouteRule, ...]
    max_body_bytes: int = 262_144
    max_header_bytes: int = 16_384
    idle_timeout_ms: int = 15_000
    queues: dict[str, Queue] = field(default_factory=dict)
