"""Records of the system's streams in the platform's log.

Every record carries an id, so an append may be repeated: replay keeps the first of each id.
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
    """Publish a document; accepted only while `based_on` is the accepted offset."""

    digest: str
    text: str
    based_on: int
    operator: str
    at_ms: int


class JobSubmitted(msgspec.Struct, frozen=True, tag="job", forbid_unknown_fields=True):
    """Submit a job to one cell. Sizes are declared: cpus, megabytes, accelerators, milliseconds."""

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
    """Cancel every task of a job that has not ended."""

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
    """Give a claimed key back: its request was certainly not run."""

    key: str
    attempt: str


class CellClaimed(msgspec.Struct, frozen=True, tag="claim", forbid_unknown_fields=True):
    """Claim a cell; valid only while `based_on` is the cell's epoch. Its offset is the new epoch.

    `candidates` are the schedulers whose silence the owner takes into account before it goes on
    without the log; only they may rule tasks out by time alone when they take over.
    """

    owner: str
    boot: int
    based_on: int
    candidates: tuple[str, ...]


class CellReleased(msgspec.Struct, frozen=True, tag="release", forbid_unknown_fields=True):
    """Give a cell up; valid only from the owner of this epoch."""

    epoch: int


class WorkersChanged(msgspec.Struct, frozen=True, tag="workers", forbid_unknown_fields=True):
    """Record the workers that a cell's owner may command; valid only from the owner of this epoch.

    An owner commands a worker only after it has read this record back, so whoever takes the cell
    over knows every worker that has to be fenced, however late its instance list is.
    """

    epoch: int
    added: dict[str, str]
    removed: tuple[str, ...] = ()


class TaskOutcome(msgspec.Struct, frozen=True, array_like=True):
    """Record how one attempt of a task came out."""

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
    """Record jobs that a cell has taken from the job stream; valid only from this epoch's owner."""

    epoch: int
    jobs: tuple[JobSubmitted, ...]
    at_ms: int = 0


class CellSnapshot(msgspec.Struct, frozen=True, tag="snapshot", forbid_unknown_fields=True):
    """Carry one part of a cell's state after an offset, as JSON; see celllog."""

    snapshot: str
    upto: int
    part: int
    parts: int
    data: str


class ConfigSnapshot(
    msgspec.Struct, frozen=True, tag="config-snapshot", forbid_unknown_fields=True
):
    """Repeat the accepted configuration before its record is forgotten."""

    offset: int
    digest: str
    text: str


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
)


class StoredRecord(msgspec.Struct, frozen=True, array_like=True):
    """Hold a record as the log keeps it; the body is JSON."""

    offset: int
    id: str
    body: bytes


class StreamNames:
    """Name the streams of one environment and stage."""

    def __init__(self, environment: str, stage: str) -> None:
        prefix = f"{environment}.{stage}"
        self.config = f"{prefix}.config"
        self.jobs = f"{prefix}.jobs"
        self.keys = f"{prefix}.keys"
        self._cell_prefix = f"{prefix}.cell."

    def cell(self, name: str) -> str:
        """Name the stream of a cell."""
        return self._cell_prefix + name


_decoder = msgspec.json.Decoder(AnyRecord)


def decode_record(body: bytes | msgspec.Raw) -> AnyRecord | None:
    """Decode a record; return None if it is not one."""
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return None


def encode_record(record: AnyRecord) -> bytes:
    """Encode a record for the log."""
    return msgspec.json.encode(record)
