"""Records of jobs and ownership in the platform's store, one key each.

The store keeps the newest record of each key for good, so there are no snapshots. A submission is
written by any instance, always with the same content for the same ID; progress and ownership are
written only by the owner of the cell, under its fencing token.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from greengagewood.internal.jobs.model import JobSpec, Queue

__all__ = [
    "Cancellation",
    "Enlisted",
    "EnlistedWorker",
    "Ownership",
    "Progress",
    "Record",
    "RecordError",
    "Submission",
    "TaskId",
    "TaskProgress",
    "decode_record",
    "encode_record",
    "key_of",
]


class RecordError(ValueError):
    """Report bytes that are not a record of ours."""


class TaskId(NamedTuple):
    """Name a task: the job, its occurrence, the step and its number in it."""

    job_id: str
    occurrence: int
    step: int
    number: int


class _Record(msgspec.Struct, frozen=True, tag=True, array_like=True, omit_defaults=True):
    pass


class Submission(_Record, frozen=True):
    """Hold an accepted job; `at_ms` is the time of day at which it was accepted."""

    job_id: str
    queue: Queue
    spec: JobSpec
    accepted_ms: int


class Cancellation(_Record, frozen=True):
    """Tell that a job was cancelled."""

    job_id: str


class TaskProgress(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Hold what must be known of a task that has not ended but has failed or been saved."""

    occurrence: int
    step: int
    number: int
    failed_runs: tuple[int, ...] = ()
    checkpoint: str = ""


class Progress(_Record, frozen=True):
    """Hold how far a job is.

    `done` lists (occurrence, step, bits): bit i of the bytes, least significant first, tells
    whether task i has ended well.
    """

    job_id: str
    state: str
    done: tuple[tuple[int, int, bytes], ...] = ()
    tasks: tuple[TaskProgress, ...] = ()
    ended_ms: int = 0


class EnlistedWorker(msgspec.Struct, frozen=True, array_like=True):
    """Hold how to reach a worker that may have been given orders."""

    worker_id: str
    address: str
    service: str


class Enlisted(_Record, frozen=True):
    """List the workers that the owner may give orders to; it is stored before the first order."""

    workers: tuple[EnlistedWorker, ...]


class Ownership(_Record, frozen=True):
    """Tell who owns the cell; `token` is the fencing token, one more than that before.

    Of jobs that were submitted below the offset `settled`, only those have ever been started whose
    progress is in the store. `cpu_millis` is what the owner's instance has of processors.
    """

    token: int
    owner: str
    released: bool = False
    settled_offset: int = 0
    cpu_millis: int = 0


Record = Submission | Cancellation | Progress | Ownership | Enlisted

_decoder: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)
_encoder = msgspec.msgpack.Encoder()

OWNERSHIP_KEY = "o"
ENLISTED_KEY = "w"


def key_of(record: Record) -> str:
    """Return the key under which the record is kept."""
    match record:
        case Submission():
            return f"j{record.job_id}"
        case Cancellation():
            return f"c{record.job_id}"
        case Progress():
            return f"p{record.job_id}"
        case Ownership():
            return OWNERSHIP_KEY
        case Enlisted():
            return ENLISTED_KEY


def encode_record(record: Record) -> bytes:
    """Return the bytes of a record."""
    return _encoder.encode(record)


def decode_record(value: bytes) -> Record:
    """Return the record of these bytes; raise RecordError."""
    try:
        return _decoder.decode(value)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise RecordError(str(exc)) from exc
