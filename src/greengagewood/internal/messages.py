"""Messages between the system's processes."""

from __future__ import annotations

import msgspec

from greengagewood.internal.records import StoredRecord
from greengagewood.internal.verdict import Refusal

__all__ = ["AnyMessage"]


class _Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    pass


class Version(_Message, frozen=True):
    """Identify a configuration: the offset of its record and the digest of its document."""

    offset: int
    digest: str


class ConfigCopy(_Message, frozen=True):
    """Carry the accepted configuration."""

    offset: int
    digest: str
    text: str


class Shape(_Message, frozen=True):
    """Hold what one worker of a cell has for batch tasks, whether free or not."""

    cpus: int
    memory_mb: int
    accelerators: int


class CellLoad(_Message, frozen=True):
    """Summarise one cell for those who choose a cell for a job."""

    cell: str
    epoch: int
    placing: bool
    free_cpus: int
    waiting_cpus: int
    shapes: tuple[Shape, ...] = ()


class CellClaim(_Message, frozen=True):
    """Tell that the sender has tried to append a claim which replaces this epoch."""

    cell: str
    based_on: int


class Member(_Message, frozen=True):
    """Describe one instance as its own keeper does."""

    instance: str
    failure_domain: str
    boot: int
    heartbeat_number: int
    leaving: bool
    keeper_address: str
    gateway_address: str
    scheduler_address: str
    config: Version
    owned_cells: tuple[CellLoad, ...] = ()
    cell_claims: tuple[CellClaim, ...] = ()


class Heartbeat(_Message, frozen=True):
    """Tell a peer about the sender and the members that it knows; ages in milliseconds."""

    sender: Member
    others: tuple[tuple[Member, int], ...] = ()


class HeartbeatAck(_Message, frozen=True):
    """Answer a heartbeat with the receiver's own description."""

    member: Member


class FetchConfig(_Message, frozen=True):
    """Ask a peer for the configuration that it has in force."""


class AppendRequest(_Message, frozen=True):
    """Ask the keeper to append one record, answered when it is durable or given up."""

    stream: str
    id: str
    body: bytes
    timeout_ms: int


class AppendReply(_Message, frozen=True):
    """Answer an append: the offset, or whether the record may still be in the log."""

    offset: int
    may_be_in_log: bool


class ClaimKey(_Message, frozen=True):
    """Ask the keeper to claim an idempotency key in the log."""

    key: str
    attempt: str
    body_digest: str
    timeout_ms: int


class ClaimReply(_Message, frozen=True):
    """Return the claim that holds the key, or whether this claim may still be in the log."""

    holder: str
    boot: int
    attempt: str
    body_digest: str
    may_be_in_log: bool


class WorkerEntry(_Message, frozen=True):
    """Describe a worker as the instance list does."""

    worker: str
    failure_domain: str
    rack: str
    url: str
    leaving: bool


class BackendEntry(_Message, frozen=True):
    """Describe a backend server as the instance list does."""

    service: str
    worker: str
    failure_domain: str
    url: str
    leaving: bool


class SyncRequest(_Message, frozen=True):
    """Ask the keeper for what is newer than what the sender has; held until there is some."""

    role: str
    config_offset: int
    members_version: int
    list_version: int
    cursors: dict[str, int]
    wait_ms: int
    owned_cells: tuple[CellLoad, ...] | None = None


class SyncReply(_Message, frozen=True):
    """Carry what is new: configuration, members with ages, records, and the log's condition."""

    config: ConfigCopy | None
    members_version: int
    members: tuple[tuple[Member, int], ...]
    records: dict[str, tuple[StoredRecord, ...]]
    first_offsets: dict[str, int]
    reached_end: bool
    log_read_age_ms: int
    log_writable: bool
    list_version: int
    workers: tuple[WorkerEntry, ...] | None
    backends: tuple[BackendEntry, ...] | None
    confirmed_ages_ms: dict[str, int]


class AnswerQuery(_Message, frozen=True):
    """Ask a gateway for the answer to the attempt that holds a key."""

    key: str
    attempt: str
    wait_ms: int


class StoredAnswer(_Message, frozen=True):
    """Carry a whole answer that a gateway has kept."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class AnswerReply(_Message, frozen=True):
    """Answer a query: the answer, a refusal, or neither if the attempt is still in progress."""

    answer: StoredAnswer | None
    refusal: Refusal | None
    known: bool


class LatencyRow(_Message, frozen=True):
    """Sum up a service's latencies at one worker: count, sum and sum of squares of ln(ms)."""

    service: str
    worker: str
    count: int
    log_sum: float
    log_square_sum: float


class LatencyReport(_Message, frozen=True):
    """Tell an owner what a gateway saw in the last second."""

    latencies: tuple[LatencyRow, ...]


class JobQuery(_Message, frozen=True):
    """Ask a cell's owner about a job, and wait up to `wait_ms` for its end."""

    job: str
    wait_ms: int = 0
    with_results: bool = False


class JobView(_Message, frozen=True):
    """Describe a job to its caller."""

    job: str
    known: bool
    caller: str = ""
    state: str = ""
    task_counts: dict[str, int] = {}
    reason: str = ""
    results: dict[str, str] = {}


class Drain(_Message, frozen=True):
    """Ask a process to stop gracefully."""


class Failure(_Message, frozen=True):
    """Answer a request that the receiver could not serve."""

    reason: str


class Done(_Message, frozen=True):
    """Answer a request that has no other answer."""


AnyMessage = (
    Heartbeat
    | HeartbeatAck
    | FetchConfig
    | ConfigCopy
    | AppendRequest
    | AppendReply
    | ClaimKey
    | ClaimReply
    | SyncRequest
    | SyncReply
    | AnswerQuery
    | AnswerReply
    | LatencyReport
    | JobQuery
    | JobView
    | Drain
    | Failure
    | Done
)
