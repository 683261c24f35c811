"""A cache of the records of one stream, from which the keeper serves its instance's processes."""

from __future__ import annotations

from bisect import bisect_left

from greengagewood.internal.records import StoredRecord

__all__ = ["StreamCache"]


class StreamCache:
    """Keep records in offset order, without gaps from `first_offset` until before `next_offset`."""

    def __init__(self) -> None:
        self.first_offset = 1
        self.next_offset = 1
        self._records: list[StoredRecord] = []

    def extend(self, oldest_offset: int, records: tuple[StoredRecord, ...]) -> list[StoredRecord]:
        """Add the records that are new, and return them.

        If the log's oldest record is beyond the next one expected, drop everything and continue
        from that record.
        """
        if oldest_offset > self.next_offset:
            self._records.clear()
            self.first_offset = self.next_offset = oldest_offset
        new = [record for record in records if record.offset >= self.next_offset]
        if new:
            self._records.extend(new)
            self.next_offset = new[-1].offset + 1
        return new

    def read_from(self, offset: int, max_records: int, max_bytes: int) -> tuple[StoredRecord, ...]:
        """Return records from an offset on, within the limits but at least one if there is any."""
        start = bisect_left(self._records, offset, key=lambda record: record.offset)
        found: list[StoredRecord] = []
        size_bytes = 0
        for record in self._records[start : start + max_records]:
            size_bytes += len(record.body)
            if found and size_bytes > max_bytes:
                break
            found.append(record)
        return tuple(found)

    def drop_before(self, offset: int) -> None:
        """Drop the records before an offset."""
        start = bisect_left(self._records, offset, key=lambda record: record.offset)
        del self._records[:start]
        self.first_offset = max(self.first_offset, min(offset, self.next_offset))

    def __len__(self) -> int:
        return len(self._records)
