"""The records of a stream that an instance keeps for its processes."""

from __future__ import annotations

from bisect import bisect_left

from greengagewood.internal.records import Stored

__all__ = ["StreamCache"]


class StreamCache:
    """Keep records in the order of their offsets."""

    def __init__(self) -> None:
        self.next = 1
        self._records: list[Stored] = []

    def extend(self, records: tuple[Stored, ...]) -> list[Stored]:
        """Add records that are new; return them."""
        new = [record for record in records if record.offset >= self.next]
        if new:
            self._records.extend(new)
            self.next = new[-1].offset + 1
        return new

    def since(self, offset: int, limit: int) -> tuple[Stored, ...]:
        """Return records from an offset on."""
        start = bisect_left(self._records, offset, key=lambda record: record.offset)
        return tuple(self._records[start : start + limit])

    def forget_before(self, offset: int) -> None:
        """Drop records that the log no longer keeps either."""
        start = bisect_left(self._records, offset, key=lambda record: record.offset)
        del self._records[:start]

    def __len__(self) -> int:
        return len(self._records)
