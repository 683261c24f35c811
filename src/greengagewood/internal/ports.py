"""Interfaces to everything outside of the product: store, workers and advice service.

The adapter to a platform implements them, and so do the simulated platforms of the tests. A failure
that leaves open whether a call was carried out is reported as `Outcome.UNKNOWN`, never as
`Outcome.REFUSED`.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from greengagewood.internal.jobs.model import Queue
from greengagewood.internal.jobs.records import TaskId

__all__ = [
    "UNKNOWN_RESULT",
    "AdviceService",
    "AdviceUnavailable",
    "AllEndsReply",
    "AppendResult",
    "Configuration",
    "JobStore",
    "LeaseReply",
    "LogEntry",
    "LogPage",
    "LogTruncated",
    "Outcome",
    "Ports",
    "RouteRule",
    "RunEnd",
    "RunListPage",
    "RunningTask",
    "StoreUnavailable",
    "WorkerCallFailed",
    "WorkerDirectory",
    "WorkerInfo",
    "WorkerLink",
    "WorkerUnreachable",
    "WrongBoot",
]


UNKNOWN_RESULT = "unknown"  # of a run whose end could not be read


class Outcome(enum.Enum):
    """Whether a call was carried out."""

    DONE = "done"
    REFUSED = "refused"  # certainly not carried out
    UNKNOWN = "unknown"  # it may have been carried out, or may still be


class StoreUnavailable(Exception):
    """Raised when the store gave no usable answer; the call may have been carried out."""


class LogTruncated(Exception):
    """Raised when the offset to read from is below the oldest record that the store keeps."""


class WorkerCallFailed(Exception):
    """Raised when a worker did not answer; the order may have been carried out."""


class WorkerUnreachable(WorkerCallFailed):
    """Raised when no connection to a worker could be opened, so the order was not sent."""


class WrongBoot(Exception):
    """Raised when another boot of the worker answers at its address."""


class AdviceUnavailable(Exception):
    """Raised when the advice service rejects calls for now, or did not answer.

    `busy` says that it has rejected the call because others wait, and `timed_out` that the call may
    still be waiting there. No call is welcome for `retry_after_ms`.
    """

    def __init__(
        self, message: str, busy: bool = False, timed_out: bool = False, retry_after_ms: int = 0
    ) -> None:
        super().__init__(message)
        self.busy = busy
        self.timed_out = timed_out
        self.retry_after_ms = retry_after_ms


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One record of the log as stored; an empty value deletes the key."""

    offset: int
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records of the log, and the offset at which the next read starts.

    `end_offset` is the end of the log at the time of the read, or -1 if it is not known.
    """

    entries: tuple[LogEntry, ...]
    next_offset: int
    end_offset: int = -1

    @property
    def reaches_end(self) -> bool:
        """Return whether the log had no further records at the time of the read."""
        return self.next_offset >= self.end_offset


@dataclass(frozen=True, slots=True)
class AppendResult:
    """Result of an append; `fenced` means that the store knows a newer owner's token.

    One that is refused as `too_large` would be refused again.
    """

    outcome: Outcome
    offset: int = -1
    fenced: bool = False
    too_large: bool = False


class JobStore(Protocol):
    """Log of one cell's records, compacted by key: the newest record of a key is never deleted."""

    async def load(self) -> LogPage:
        """Return the newest record of each key.

        Raise StoreUnavailable.
        """

    async def read(self, start: int, wait_ms: int) -> LogPage:
        """Return the records from an offset on; wait up to `wait_ms` if there are none yet.

        Raise StoreUnavailable or LogTruncated.
        """

    async def append(self, entries: Sequence[tuple[str, bytes]]) -> AppendResult:
        """Append records atomically."""

    async def claim(self, entry: tuple[str, bytes], expected_end: int, token: int) -> AppendResult:
        """Append a claim of ownership if the log ends at `expected_end`.

        If it is appended, the store refuses every later append with a lower fencing token.
        """

    async def append_fenced(
        self, entries: Sequence[tuple[str, bytes]], token: int, sequence: int
    ) -> AppendResult:
        """Append records atomically as the owner with this fencing token.

        `sequence` numbers the appends under a token; the claim of the token is number 1. An append
        with a repeated number has no effect.
        """


@dataclass(frozen=True, slots=True)
class WorkerInfo:
    """A worker as it describes itself in the directory.

    `leaving_in_ms` is the shortest time for which a draining worker will still run. `boot_time_ms`
    tells the boots of a worker apart: a later boot has a higher value, and 0 means unknown. For
    `cold_ms` after this entry, the worker is still slow from its start.
    """

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
    cold_ms: int = 0


class WorkerDirectory(Protocol):
    """Directory of the workers."""

    async def refresh(self) -> dict[str, WorkerInfo]:
        """Return the listed workers by ID.

        Raise StoreUnavailable.
        """

    def take_departed(self) -> dict[str, int]:
        """Return the workers that have certainly left, as seen since the last call of this.

        The values are the boot times of the boots that have left.
        """


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that its worker lists as running.

    `tail_ms_or_cpu_millis` is the tail latency in milliseconds of a task that serves callers of its
    own, and the CPU use in thousandths of a CPU of any other task. Both are rough, and cover the
    last half second. Without `measured`, it and the progress are not known.
    """

    task_id: TaskId
    run_number: int
    checkpoint: str
    progress_percent: int
    tail_ms_or_cpu_millis: int
    measured: bool = True


@dataclass(frozen=True, slots=True)
class RunEnd:
    """End of a run, which its worker lists until it is acknowledged.

    `sequence` numbers the ends of one worker. `result` is done, failed, stopped, lapsed, broken,
    alone or `UNKNOWN_RESULT`.
    """

    sequence: int
    task_id: TaskId
    run_number: int
    result: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class RunListPage:
    """A worker's clock, and some of its runs and of the ends that were not acknowledged yet.

    Nothing follows for a run that is not listed: it may go on, or may have ended in any way. The
    worker lists further ends once these are acknowledged.
    """

    clock_ms: int
    boot_time_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[RunEnd, ...]


@dataclass(frozen=True, slots=True)
class AllEndsReply(RunListPage):
    """A page with all ends that were not acknowledged yet, though perhaps not with all runs."""


@dataclass(frozen=True, slots=True)
class LeaseReply(AllEndsReply):
    """All runs of a worker, and all ends that were not acknowledged yet.

    Only a reply of this type shows by itself that a run which it does not list is over.
    """


@dataclass(frozen=True, slots=True)
class OrderReply:
    """Answer to an order; `reason` says why it was refused, and is empty if it was accepted."""

    reason: str
    clock_ms: int | None


class WorkerLink(Protocol):
    """Orders to workers.

    `token` is the owner's fencing token: a worker refuses orders with a lower token than it has
    seen. Every method raises WorkerCallFailed or WrongBoot.
    """

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
        """Start a run; refused if the order arrives after `deadline_ms` on the worker's clock."""

    async def stop(self, worker: WorkerInfo, task: TaskId, run: int, token: int) -> OrderReply:
        """Stop a run; if it has not started yet, it can never start on this worker."""

    async def throttle(
        self, worker: WorkerInfo, task: TaskId, run: int, percent: int, token: int
    ) -> OrderReply:
        """Limit a run to a percentage of its full speed."""

    async def extend_lease(
        self,
        worker: WorkerInfo,
        deadline_ms: int | None,
        token: int,
        acknowledged: int,
        wait_ms: int,
    ) -> RunListPage | OrderReply:
        """Extend the lease of all runs of the worker, and list the runs.

        `deadline_ms` is on the worker's clock; with None the lease stays as it is. The ends up to
        the sequence number `acknowledged` are stored, so the worker may forget them. The worker
        waits up to `wait_ms` for the end of a run before it answers.
        """


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission to run the tasks of a step on a worker.

    `expires_ms` is on the owner's monotonic clock. The start of a run presents `ticket`.
    """

    ticket: str
    expires_ms: int


class AdviceService(Protocol):
    """Service of the platform that decides which workers may run a step."""

    async def request_permits(
        self, job: str, occurrence: int, step: int, workers: Sequence[str], timeout_s: float
    ) -> dict[str, Permit]:
        """Return a permit for each of the workers that may run the step.

        Raise AdviceUnavailable, at the latest after `timeout_s`.
        """


@dataclass(frozen=True)
class Ports:
    """Interfaces to the systems that an instance depends on."""

    store: JobStore
    directory: WorkerDirectory
    workers: WorkerLink
    advice: AdviceService | None


@dataclass(frozen=True, slots=True)
class RouteRule:
    """Route requests for a host and a path prefix to a queue."""

    host: str
    path_prefix: str
    queue: Queue


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration."""

    version: int
    routes: tuple[RouteRule, ...]
    max_body_bytes: int = 262_144
    max_header_bytes: int = 16_384
    idle_timeout_ms: int = 15_000
    queues: dict[str, Queue] = field(default_factory=dict)
