"""When a scheduler writes a snapshot of a cell: the owner first, others some time after."""

from __future__ import annotations

from greengagewood.internal.celllog import CellLog
from greengagewood.internal.document import LogUse
from greengagewood.internal.records import CellSnapshot

__all__ = ["SnapshotPlan"]

AGE_FRACTION = 0.25  # of the log's retention
RETRY_MS = 3000
RANK_DELAY_MS = 5000
PART_CHARS = 100_000


class SnapshotPlan:
    """Remember the last snapshot that was seen, and decide when the next is due."""

    def __init__(self, writer: str) -> None:
        self._writer = writer
        self._upto = 0
        self._seen_ms: int | None = None
        self._written = 0

    def next_parts(
        self, log: CellLog, use: LogUse, rank: int | None, now_ms: int
    ) -> list[CellSnapshot]:
        """Return the parts to append now; `rank` is None for the owner, else the turn."""
        if self._seen_ms is None or log.snapshot_offset != self._upto or not _has_state(log):
            self._upto = log.snapshot_offset
            self._seen_ms = now_ms
            return []
        if now_ms < self._seen_ms + self._wait_ms(log, use, rank):
            return []
        self._seen_ms = now_ms  # not again before the same time has passed
        self._written += 1
        return log.write_snapshot(f"{self._writer}-{self._written}", PART_CHARS)

    def _wait_ms(self, log: CellLog, use: LogUse, rank: int | None) -> float:
        wait_ms = use.keeps_ms * AGE_FRACTION
        if log.offset - self._upto >= use.snapshot_records:
            wait_ms = min(wait_ms, RETRY_MS)
        return wait_ms if rank is None else wait_ms + (rank + 1) * RANK_DELAY_MS


def _has_state(log: CellLog) -> bool:
    return log.synced and log.offset > 0
