"""Stored records of a cell's jobs and ownership.

The platform's store never deletes the newest record of a key, so there are no snapshots. Any
instance writes submissions and cancellations; every submission of a job ID has the same content.
Only the owner of the cell writes the other records, under its fencing token.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from greengagewood.internal.jobs.model import JobSpec, Queue

__all__ = [
    "PROGRESS_PREFIX",
    "REGISTERED_WORKERS_KEY",
    "Cancellation",
    "DensityBand",
    "Departures",
    "Forecast",
    "Ownership",
    "PlacedRun",
    "PossibleRuns",
    "Progress",
    "QueueBacklog",
    "Record",
    "RecordError",
    "RegisteredWorker",
    "RegisteredWorkers",
    "ServiceForecast",
    "Submission",
    "TaskId",
    "TaskProgress",
    "decode_record",
    "encode_record",
    "key_of",
]


class RecordError(ValueError):
    """Raised for bytes that do not decode to a record."""


class TaskId(NamedTuple):
    """Identify a task by its job, occurrence, step, and number in the step."""

    job_id: str
    occurrence: int
    step: int
    number: int


class _Record(msgspec.Struct, frozen=True, tag=True, array_like=True, omit_defaults=True):
    pass


class Submission(_Record, frozen=True):
    """An accepted job; `accepted_ms` is the time of day at which it was accepted."""

    job_id: str
    queue: Queue
    spec: JobSpec
    accepted_ms: int


class Cancellation(_Record, frozen=True):
    """Cancellation of a job."""

    job_id: str


class PlacedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run of a task, whether its worker had accepted it, and that worker's boot."""

    number: int
    worker_id: str
    address: str
    boot_time_ms: int
    accepted: bool


class TaskProgress(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Numbers of the failed runs and newest checkpoint of a task that has not ended.

    `crashes` lists the runs that may have crashed their worker. `trial` is a run that may do so
    now: it was started after such a crash, or its worker does not answer. `failed_starts` counts
    the starts in a row that have failed soon, if they are many.
    """

    occurrence: int
    step: int
    number: int
    failed_runs: tuple[int, ...] = ()
    checkpoint: str = ""
    crashes: tuple[PlacedRun, ...] = ()
    trial: PlacedRun | None = None
    failed_starts: int = 0


class Progress(_Record, frozen=True):
    """Progress of a job.

    `done` lists (occurrence, step, bitmap): bit i of the bitmap, least significant bit first, is
    set if task i has succeeded. `tasks` lists other tasks with failed runs, a checkpoint or
    crashes; of a job of very many tasks it may lack some. All occurrences below `finished_below`
    have succeeded, and `done` need not list them.
    """

    job_id: str
    state: str
    done: tuple[tuple[int, int, bytes], ...] = ()
    tasks: tuple[TaskProgress, ...] = ()
    ended_ms: int = 0
    finished_below: int = 0


class PossibleRuns(msgspec.Struct, frozen=True, array_like=True):
    """Tasks that may run on a worker; None if it may be any.

    With `expire_in_ms`, the runs are over this long after the record was appended, since the owner
    extends no lease of the worker. Those that `may_start_later` may be carried out by a later boot
    of the worker, too, as starts that were not answered. `listed_ago_ms` is how long before the
    record the worker last listed its runs, if it has, and if the owner extends no lease.
    """

    tasks: tuple[TaskId, ...] | None
    expire_in_ms: int | None = None
    may_start_later: bool = False
    listed_ago_ms: int | None = None


class RegisteredWorker(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """A worker to which the owner may send orders.

    With `possible_runs`, the owner starts nothing there, and no other tasks can run there. They
    were started on the boot with the boot time `boot_time_ms`, or are starts without an answer; it
    is 0 if that is not known, and in records of older versions.
    """

    worker_id: str
    address: str
    service: str
    possible_runs: tuple[PossibleRuns, ...] | None = None
    boot_time_ms: int = 0


class RegisteredWorkers(_Record, frozen=True, tag="Enlisted"):
    """The workers to which the owner may send orders.

    The record is stored before the first order to any of them, so that a later owner knows which
    workers may have runs of the cell. A worker that can run no task of the cell may be left out.

    What it says of a worker's possible runs binds the owner with the fencing token `token`, until
    that owner stores a newer record. It holds on while later owners send no orders.

    `idle_ms` tells how long long-running tasks that have lost their runs had none, as far as it is
    known. It settles in which order they are started, and nothing else.
    """

    workers: tuple[RegisteredWorker, ...]
    token: int = 0
    idle_ms: tuple[tuple[TaskId, int], ...] = ()


class Departures(_Record, frozen=True):
    """Workers that have drained and left, with the boot time of each.

    Any instance may store what it has seen of this.
    """

    workers: tuple[tuple[str, int], ...]


class Ownership(_Record, frozen=True):
    """Ownership of the cell, as the owner claims, renews or releases it.

    `token` is the fencing token, one above that of the previous owner. No job whose submission is
    below `settled_offset` was ever started unless a progress record of it is stored. `cpu_millis`
    is the CPU capacity of the owner's instance. `heartbeats_limit_orders` says that the owner sends
    orders only for a limited time after a heartbeat that is stored; instances of older versions
    count that time from their reads alone.

    `last_ordering_token` is that of the last earlier owner that may have started runs or extended
    leases. An owner that names it does neither before it has stored a `RegisteredWorkers` record.
    It is 0 for the first owner, and for instances of older versions.
    """

    token: int
    owner: str
    released: bool = False
    settled_offset: int = 0
    cpu_millis: int = 0
    heartbeats_limit_orders: bool = False
    last_ordering_token: int = 0


class QueueBacklog(msgspec.Struct, frozen=True, array_like=True):
    """Unfinished best-effort work of a queue and mean work of its jobs, in CPU milliseconds."""

    queue: str
    cpu_ms: int
    mean_job_cpu_ms: int


class DensityBand(msgspec.Struct, frozen=True, array_like=True):
    """Best-effort work of jobs of one priority and of about the same value per CPU millisecond.

    `cpu_ms` is unfinished; `arriving_cpu_millis` arrives each ms, in thousandths of a CPU. A higher
    `band` goes first within a priority, see `forecast.density_band`.
    """

    priority: int
    band: int
    cpu_ms: int
    arriving_cpu_millis: int


class ServiceForecast(msgspec.Struct, frozen=True, array_like=True):
    """Best-effort load of a saturated service; `cpu_millis` is what its workers carry out."""

    service: str
    cpu_millis: int
    queues: tuple[QueueBacklog, ...]
    bands: tuple[DensityBand, ...]


class Forecast(_Record, frozen=True):
    """Forecast by the owner with the fencing token `token`; names only saturated services."""

    token: int
    services: tuple[ServiceForecast, ...] = ()


Record = (
    Submission | Cancellation | Progress | Ownership | RegisteredWorkers | Departures | Forecast
)

_decoder: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)
_encoder = msgspec.msgpack.Encoder()

PROGRESS_PREFIX = "p"  # followed by the ID of the job
OWNERSHIP_KEY = "o"
REGISTERED_WORKERS_KEY = "w"
DEPARTURES_KEY = "d"
FORECAST_KEY = "f"


def key_of(record: Record) -> str:
    """Return the key under which the record is stored."""
    match record:
        case Submission():
            return f"j{record.job_id}"
        case Cancellation():
            return f"c{record.job_id}"
        case Progress():
            return f"{PROGRESS_PREFIX}{record.job_id}"
        case Ownership():
            return OWNERSHIP_KEY
        case RegisteredWorkers():
            return REGISTERED_WORKERS_KEY
        case Departures():
            return DEPARTURES_KEY
        case Forecast():
            return FORECAST_KEY


def encode_record(record: Record) -> bytes:
    """Encode a record."""
    return _encoder.encode(record)


def decode_record(value: bytes) -> Record:
    """Decode a record; raise RecordError."""
    try:
        return _decoder.decode(value)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise RecordError(str(exc)) from exc
