"""The records of a stream that an instance keeps for its processes."""

from __future__ import annotations

from bisect import bisect_left

from greengagewood.internal.records import StoredRecord

__all__ = ["StreamCache"]


class StreamCache:
    """Keep records in the order of their offsets, without a gap from `first` to `next`."""

    def __init__(self) -> None:
        self.first = 1
        self.next = 1
        self._records: list[StoredRecord] = []

    def extend(self, first: int, records: tuple[StoredRecord, ...]) -> list[StoredRecord]:
        """Add records that are new, after `first`, the oldest that the log keeps; return them."""
        if first > self.next:
            self._records.clear()
            self.first = self.next = first
        new = [record for record in records if record.offset >= self.next]
        if new:
            self._records.extend(new)
            self.next = new[-1].offset + 1
        return new

    def since(self, offset: int, max_records: int, max_bytes: int) -> tuple[StoredRecord, ...]:
        """Return records from an offset on, within bounds but never none."""
        start = bisect_left(self._records, offset, key=lambda record: record.offset)
        found: list[StoredRecord] = []
        size = 0
        for record in self._records[start : start + max_records]:
            size += len(record.body)
            if found and size > max_bytes:
                break
            found.append(record)
        return tuple(found)

    def forget_before(self, offset: int) -> None:
        """Drop records that a snapshot covers."""
        start = bisect_left(self._records, offset, key=lambda record: record.offset)
        del self._records[:start]
        self.first = max(self.first, min(offset, self.next))

    def __len__(self) -> int:
        return len(self._records)
