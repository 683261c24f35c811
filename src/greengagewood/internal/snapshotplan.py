"""When a scheduler writes a snapshot of a cell: the owner first, the others after a delay."""

from __future__ import annotations

from greengagewood.internal.celllog import CellLog
from greengagewood.internal.document import LogRetention
from greengagewood.internal.records import CellSnapshot

__all__ = ["SnapshotPlan"]

MAX_AGE_FRACTION = 0.25  # of the log's retention
MIN_INTERVAL_MS = 3000  # between snapshots while many records follow the newest one
DELAY_PER_RANK_MS = 5000
MAX_PART_CHARS = 100_000


class SnapshotPlan:
    """Track the newest snapshot in the log, and decide when the next one is due."""

    def __init__(self, writer: str) -> None:
        self._writer = writer
        self._seen_offset = 0
        self._interval_start_ms: int | None = None
        self._snapshots_written = 0

    def next_parts(
        self, log: CellLog, use: LogRetention, rank: int | None, now_ms: int
    ) -> list[CellSnapshot]:
        """Return the parts to append now.

        `rank` is None for the owner; other schedulers wait longer the higher their rank.
        """
        if (
            self._interval_start_ms is None
            or log.snapshot_offset != self._seen_offset
            or not _has_state(log)
        ):
            self._seen_offset = log.snapshot_offset
            self._interval_start_ms = now_ms
            return []
        if now_ms < self._interval_start_ms + self._interval_ms(log, use, rank):
            return []
        self._interval_start_ms = now_ms  # the next attempt waits for the whole interval again
        self._snapshots_written += 1
        return log.write_snapshot(f"{self._writer}-{self._snapshots_written}", MAX_PART_CHARS)

    def _interval_ms(self, log: CellLog, use: LogRetention, rank: int | None) -> float:
        interval_ms = use.keeps_ms * MAX_AGE_FRACTION
        if log.offset - self._seen_offset >= use.snapshot_records:
            interval_ms = min(interval_ms, MIN_INTERVAL_MS)
        return interval_ms if rank is None else interval_ms + (rank + 1) * DELAY_PER_RANK_MS


def _has_state(log: CellLog) -> bool:
    return log.synced and log.offset > 0
