"""Measure replaying the stream of a cell, writing a snapshot, and starting from a snapshot."""

from __future__ import annotations

import time

from devtools.bench import Bound, Result
from greengagewood.internal.celllog import CellLog
from greengagewood.internal.records import (
    AnyRecord,
    CellClaimed,
    JobsAdopted,
    JobSubmitted,
    TaskOutcome,
    TasksProgressed,
    decode_record,
    encode_record,
)

__all__ = ["run"]

TASK_COUNTS = (1000, 2000, 4000, 8000)
TASKS_PER_JOB = 20
OUTCOMES_PER_RECORD = 25
SNAPSHOT_PART_CHARS = 100_000
MAX_REPLAY_S = 10.0


def _encoded_stream(tasks: int) -> list[bytes]:
    """Return the encoded records of a cell in which half of the jobs have ended."""
    records: list[AnyRecord] = [CellClaimed("s1", 1, 0, ("s2",))]
    names = [f"job-{n:024}" for n in range(tasks // TASKS_PER_JOB)]
    for name in names:
        spec = JobSubmitted(name, "a", "t", "c", "cell", TASKS_PER_JOB, 1, 1, 0, 1000, "0" * 64, 0)
        records.append(JobsAdopted(1, (spec,), 0))
    ended_tasks = [f"{name}/{n}" for name in names[::2] for n in range(TASKS_PER_JOB)]
    for at in range(0, len(ended_tasks), OUTCOMES_PER_RECORD):
        batch = ended_tasks[at : at + OUTCOMES_PER_RECORD]
        outcomes = tuple(TaskOutcome(t, (1 << 20) + 1, "done", f"{t}:1000") for t in batch)
        records.append(TasksProgressed(1, outcomes, 0))
    return [encode_record(record) for record in records]


def _replay(bodies: list[bytes]) -> tuple[CellLog, float]:
    """Return the log after the replay, and the processor seconds of the replay."""
    log = CellLog("cell")
    started = time.process_time()
    for offset, body in enumerate(bodies, 1):
        record = decode_record(body)
        assert record is not None
        log.replay(offset, record)
    return log, time.process_time() - started


def run() -> Result:
    """Measure streams of each number of tasks."""
    rows = []
    for tasks in TASK_COUNTS:
        bodies = _encoded_stream(tasks)
        log, replay_s = _replay(bodies)
        started = time.process_time()
        parts = log.write_snapshot("s", SNAPSHOT_PART_CHARS)
        write_s = time.process_time() - started
        late_reader = CellLog("cell")
        late_reader.lose_sync()
        started = time.process_time()
        for offset, part in enumerate(parts, len(bodies) + 1):
            late_reader.replay(offset, part)
        load_s = time.process_time() - started
        assert late_reader.state == log.state
        snapshot_chars = sum(len(part.data) for part in parts)
        rows.append(
            (tasks, len(bodies), sum(map(len, bodies)) / 1000, replay_s * 1000,
             snapshot_chars / 1000, write_s * 1000, load_s * 1000)
        )  # fmt: skip
    largest_replay_s = rows[-1][3] / 1000
    columns = (
        "tasks", "records", "stream KB", "replay ms", "snapshot KB", "write ms", "load ms"
    )  # fmt: skip
    bound = Bound(
        "replay of 8,000 tasks",
        f"{MAX_REPLAY_S} s",
        largest_replay_s,
        largest_replay_s <= MAX_REPLAY_S,
    )
    return Result("replay", columns, tuple(rows), (bound,))
