"""Records of the streams in the platform's log.

A failed append is retried with the same record ids, so a stream may hold several copies of a
record: only the first of them takes effect in replay.
"""

from __future__ import annotations

import msgspec

__all__ = [
    "AnyRecord",
    "CellClaimed",
    "CellReleased",
    "CellSnapshot",
    "ConfigPublished",
    "ConfigSnapshot",
    "EvacuationOrder",
    "EvacuationOrdered",
    "EvacuationsSnapshot",
    "JobCancelled",
    "JobSubmitted",
    "JobsAdopted",
    "KeyClaimed",
    "KeyReleased",
    "StreamNames",
    "TasksProgressed",
    "WorkersChanged",
]


class ConfigPublished(msgspec.Struct, frozen=True, tag="config", forbid_unknown_fields=True):
    """Publish a configuration; accepted only if `based_on` is the offset accepted so far."""

    digest: str
    text: str
    based_on: int
    operator: str
    at_ms: int


class JobSubmitted(msgspec.Struct, frozen=True, tag="job", forbid_unknown_fields=True):
    """Submit a job to one cell, with the size and the run time that its caller declares."""

    job: str
    caller: str
    team: str
    batch_class: str
    cell: str
    tasks: int
    cpus: int
    memory_mb: int
    accelerators: int
    run_ms: int
    body_digest: str
    at_ms: int


class JobCancelled(msgspec.Struct, frozen=True, tag="cancel", forbid_unknown_fields=True):
    """Cancel the tasks of a job that have not ended."""

    job: str
    at_ms: int


class KeyClaimed(msgspec.Struct, frozen=True, tag="key", forbid_unknown_fields=True):
    """Claim an idempotency key for one attempt to run its request."""

    key: str
    attempt: str
    holder: str
    boot: int
    body_digest: str
    at_ms: int


class KeyReleased(msgspec.Struct, frozen=True, tag="unkey", forbid_unknown_fields=True):
    """Release a claimed key whose request certainly did not run."""

    key: str
    attempt: str


class CellClaimed(msgspec.Struct, frozen=True, tag="claim", forbid_unknown_fields=True):
    """Claim a cell; valid only if `based_on` is the cell's epoch. Its offset is the new epoch.

    `candidates` are the schedulers that must have acknowledged the owner before it may continue
    without the log. Only they may rule out, by elapsed time alone, that tasks still run when they
    take the cell over.
    """

    owner: str
    boot: int
    based_on: int
    candidates: tuple[str, ...]


class CellReleased(msgspec.Struct, frozen=True, tag="release", forbid_unknown_fields=True):
    """Release a cell; valid only from the owner of this epoch."""

    epoch: int


class WorkersChanged(msgspec.Struct, frozen=True, tag="workers", forbid_unknown_fields=True):
    """Record the workers that a cell's owner may command; valid only from the owner of this epoch.

    An owner commands a worker only after it has read this record back from the log. So a scheduler
    that takes the cell over knows all workers that it has to fence, even if its instance list is
    out of date.
    """

    epoch: int
    added: dict[str, str]
    removed: tuple[str, ...] = ()


class TaskOutcome(msgspec.Struct, frozen=True, array_like=True):
    """Record the outcome of one attempt of a task."""

    task: str
    attempt: int
    outcome: str
    detail: str = ""


class TasksProgressed(msgspec.Struct, frozen=True, tag="progress", forbid_unknown_fields=True):
    """Record outcomes of tasks; valid only from the owner of this epoch."""

    epoch: int
    outcomes: tuple[TaskOutcome, ...]
    at_ms: int = 0


class JobsAdopted(msgspec.Struct, frozen=True, tag="adopt", forbid_unknown_fields=True):
    """Record jobs that a cell took from the job stream; valid only from this epoch's owner."""

    epoch: int
    jobs: tuple[JobSubmitted, ...]
    at_ms: int = 0


class CellSnapshot(msgspec.Struct, frozen=True, tag="snapshot", forbid_unknown_fields=True):
    """Hold one part of the JSON of a cell's state, as of the offset `upto`; see celllog."""

    snapshot: str
    upto: int
    part: int
    parts: int
    data: str


class ConfigSnapshot(
    msgspec.Struct, frozen=True, tag="config-snapshot", forbid_unknown_fields=True
):
    """Repeat the accepted configuration before the log drops its record."""

    offset: int
    digest: str
    text: str


class EvacuationOrdered(msgspec.Struct, frozen=True, tag="evacuation", forbid_unknown_fields=True):
    """Order the evacuation of a failure domain, or withdraw the order.

    The newest record of each failure domain counts.
    """

    domain: str
    in_force: bool
    operator: str
    at_ms: int


class EvacuationOrder(msgspec.Struct, frozen=True, array_like=True):
    """Hold an order that was read from the log, with the offset of its record."""

    domain: str
    offset: int
    in_force: bool
    operator: str
    at_ms: int


class EvacuationsSnapshot(
    msgspec.Struct, frozen=True, tag="evacuations-snapshot", forbid_unknown_fields=True
):
    """Repeat the newest order of each failure domain, as of the offset `upto`."""

    upto: int
    orders: tuple[EvacuationOrder, ...]


AnyRecord = (
    ConfigPublished
    | JobSubmitted
    | JobCancelled
    | KeyClaimed
    | KeyReleased
    | CellClaimed
    | CellReleased
    | TasksProgressed
    | WorkersChanged
    | JobsAdopted
    | CellSnapshot
    | ConfigSnapshot
    | EvacuationOrdered
    | EvacuationsSnapshot
)


class StoredRecord(msgspec.Struct, frozen=True, array_like=True):
    """Hold a record as read from the log; the body is JSON."""

    offset: int
    id: str
    body: bytes


class StreamNames:
    """Hold the names of the streams of one environment and stage."""

    def __init__(self, environment: str, stage: str) -> None:
        prefix = f"{environment}.{stage}"
        self.config = f"{prefix}.config"
        self.jobs = f"{prefix}.jobs"
        self.keys = f"{prefix}.keys"
        self._cell_prefix = f"{prefix}.cell."

    def cell(self, name: str) -> str:
        """Return the name of a cell's stream."""
        return self._cell_prefix + name


_decoder = msgspec.json.Decoder(AnyRecord)


def decode_record(body: bytes | msgspec.Raw) -> AnyRecord | None:
    """Decode a record; return None if the body is not a valid record."""
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return None


def encode_record(record: AnyRecord) -> bytes:
    """Return the JSON of a record."""
    return msgspec.json.encode(record)
