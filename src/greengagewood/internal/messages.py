"""Messages between the system's processes.

Messages are tagged with their class names, and fields are encoded by position.
"""

from __future__ import annotations

import msgspec

from greengagewood.internal.records import EvacuationOrder, StoredRecord
from greengagewood.internal.verdict import Refusal

__all__ = ["AnyMessage"]


class _Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    pass


class Version(_Message, frozen=True):
    """Identify a configuration by the offset of its record and the digest of its document."""

    offset: int
    digest: str


class ConfigCopy(_Message, frozen=True):
    """Carry the accepted configuration."""

    offset: int
    digest: str
    text: str


class Shape(_Message, frozen=True):
    """Describe what one size of worker has for batch tasks in total, free or in use."""

    cpus: int
    memory_mb: int
    accelerators: int


class CellLoad(_Message, frozen=True):
    """Summarise one cell for gateways, which choose a cell for each job.

    `placing` says whether the cell's owner places tasks at present.
    """

    cell: str
    epoch: int
    placing: bool
    free_cpus: int
    waiting_cpus: int
    shapes: tuple[Shape, ...] = ()


class CellClaim(_Message, frozen=True):
    """Announce a claim that the sender has tried to append, and the epoch that it replaces."""

    cell: str
    based_on: int


class Member(_Message, frozen=True):
    """Describe one instance, as stated by its own keeper.

    `boot` is the wall-clock time of the keeper's start in milliseconds. An address is empty while
    the process is not running. `evacuations_offset` is the offset of the newest order to evacuate a
    failure domain that the keeper knows, 0 if there is none, or -1 while it may miss one.
    """

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
    evacuations_offset: int = -1


class Heartbeat(_Message, frozen=True):
    """Carry the sender's description and those of other members with their ages in milliseconds."""

    sender: Member
    others: tuple[tuple[Member, int], ...] = ()


class HeartbeatAck(_Message, frozen=True):
    """Answer a heartbeat with the receiver's own description."""

    member: Member


class FetchConfig(_Message, frozen=True):
    """Ask a peer for its accepted configuration."""


class FetchEvacuations(_Message, frozen=True):
    """Ask a peer for the orders to evacuate failure domains that it knows."""


class EvacuationsCopy(_Message, frozen=True):
    """Carry the newest order of each failure domain.

    Every order up to the offset `upto` is known to the sender; `known` says whether that includes
    all that were in the log when the sender last read it.
    """

    known: bool
    upto: int
    orders: tuple[EvacuationOrder, ...]


class AppendRequest(_Message, frozen=True):
    """Ask the keeper to append a record; answered once it is durable or has reached its timeout."""

    stream: str
    id: str
    body: bytes
    timeout_ms: int


class AppendReply(_Message, frozen=True):
    """Return the record's offset, or 0 and whether the record may still be in the log."""

    offset: int
    may_be_in_log: bool


class ClaimKey(_Message, frozen=True):
    """Ask the keeper to claim an idempotency key in the log."""

    key: str
    attempt: str
    body_digest: str
    timeout_ms: int


class ClaimReply(_Message, frozen=True):
    """Return the claim that holds the key.

    If `holder` is empty, none is known; `may_be_in_log` then says whether the new claim may be.
    """

    holder: str
    boot: int
    attempt: str
    body_digest: str
    may_be_in_log: bool


class WorkerEntry(_Message, frozen=True):
    """Describe a worker as in the instance list."""

    worker: str
    failure_domain: str
    rack: str
    url: str
    leaving: bool


class BackendEntry(_Message, frozen=True):
    """Describe a backend server as in the instance list."""

    service: str
    worker: str
    failure_domain: str
    url: str
    leaving: bool


class SyncRequest(_Message, frozen=True):
    """Ask the keeper for what is newer than what the sender has.

    The keeper holds the request until there is something newer or `wait_ms` has passed. `cursors`
    are the next offsets that the sender wants, by stream. `evacuations_offset` is the offset of the
    newest order to evacuate a failure domain that the sender obeys.
    """

    role: str
    config_offset: int
    members_version: int
    list_version: int
    cursors: dict[str, int]
    wait_ms: int
    owned_cells: tuple[CellLoad, ...] | None = None
    evacuations_version: int = 0
    evacuations_offset: int = 0


class SyncReply(_Message, frozen=True):
    """Carry what is newer than what the sender of the request has.

    `first_offsets` are the oldest offsets that the keeper has, by stream; `reached_end` says
    whether `records` go up to the newest ones. Ages are in milliseconds; `log_read_age_ms` is -1
    if the log was never read to its end.
    """

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
    evacuations: EvacuationsCopy | None = None
    evacuations_version: int = 0


class AnswerQuery(_Message, frozen=True):
    """Ask a gateway for the outcome of the attempt that holds a key."""

    key: str
    attempt: str
    wait_ms: int


class StoredAnswer(_Message, frozen=True):
    """Hold a complete HTTP answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class AnswerReply(_Message, frozen=True):
    """Return the answer or the refusal of an attempt.

    If there is neither, the attempt is in progress if `known`, else its outcome is not stored.
    """

    answer: StoredAnswer | None
    refusal: Refusal | None
    known: bool


class LatencyRow(_Message, frozen=True):
    """Summarise a service's latencies at one worker: count, sum and sum of squares of ln(ms)."""

    service: str
    worker: str
    count: int
    log_sum: float
    log_square_sum: float


class LatencyReport(_Message, frozen=True):
    """Report to a cell's owner the latencies that a gateway measured since its last report."""

    latencies: tuple[LatencyRow, ...]


class JobQuery(_Message, frozen=True):
    """Ask a cell's owner about a job, waiting up to `wait_ms` for the job to end."""

    job: str
    wait_ms: int = 0
    with_results: bool = False


class JobView(_Message, frozen=True):
    """Describe a job; `known` is false if the scheduler does not know it."""

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
    """Say why the receiver could not serve a request."""

    reason: str


class Done(_Message, frozen=True):
    """Acknowledge a request that returns nothing."""


AnyMessage = (
    Heartbeat
    | HeartbeatAck
    | FetchConfig
    | ConfigCopy
    | FetchEvacuations
    | EvacuationsCopy
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
