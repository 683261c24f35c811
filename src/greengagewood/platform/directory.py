"""Directory of workers, read from the entries that they write to the platform's store."""

from __future__ import annotations

from collections import Counter
from typing import Annotated

import msgspec
from msgspec import Meta

from greengagewood.internal.logs import Log
from greengagewood.internal.ports import (
    LogEntry,
    LogPage,
    LogTruncated,
    StoreUnavailable,
    WorkerInfo,
)
from greengagewood.platform.store import KeyedLog
from greengagewood.platform.wire import decode

__all__ = ["StoreDirectory", "parse_worker"]

KNOWN_STATES = frozenset({"ready", "draining"})

_Amount = Annotated[int, Meta(ge=0)]

_log = Log("directory")


class _Capacity(msgspec.Struct):
    cpu: _Amount  # thousandths of a CPU
    memory_mb: _Amount = msgspec.field(name="mem-mb")
    accelerators: _Amount = msgspec.field(name="gpu", default=0)


class _WorkerEntry(msgspec.Struct):
    service: str
    address: str
    failure_domain: str = msgspec.field(name="zone")
    state: str
    capacity: _Capacity
    labels: list[str]  # the worker's kind, then its rack
    leaving_in_ms: int | None = msgspec.field(name="remaining-ms", default=None)
    cold_ms: int = msgspec.field(name="cold-remaining-ms", default=0)  # time until it is warmed up
    born: int = 0  # boot time in milliseconds, 0 if unknown


def parse_worker(worker_id: str, value: bytes) -> WorkerInfo | None:
    """Return the worker that an entry describes, or None if it is invalid or not a worker's."""
    try:
        entry = decode(value, _WorkerEntry)
    except ValueError:
        return None
    host, _, port = entry.address.rpartition(":")
    if entry.state not in KNOWN_STATES or not host or not port.isdigit() or not worker_id:
        return None
    return WorkerInfo(
        worker_id,
        entry.address,
        entry.service,
        entry.failure_domain,
        entry.labels[-1] if entry.labels else "",
        frozenset(entry.labels),
        entry.capacity.cpu,
        entry.capacity.memory_mb,
        entry.capacity.accelerators,
        entry.state == "draining",
        entry.leaving_in_ms,
        entry.born,
        entry.cold_ms,
    )


class StoreDirectory:
    """Keep a list of the workers up to date by reading new entries of their topic."""

    def __init__(self, topic: KeyedLog) -> None:
        self._topic = topic
        self._next_offset: int | None = None
        self._workers: dict[str, WorkerInfo] = {}
        self.unreadable_entries: Counter[str] = Counter()

    async def refresh(self) -> dict[str, WorkerInfo]:
        """Return the listed workers by ID; raise StoreUnavailable."""
        if self._next_offset is not None:
            try:
                await self._read_to_end(self._next_offset)
            except LogTruncated:
                self._next_offset = None
        if self._next_offset is None:
            page = await self._topic.load()
            self._workers.clear()
            self._apply_page(page)
        return dict(self._workers)

    async def _read_to_end(self, start: int) -> None:
        while True:
            page = await self._topic.read(start, 0)
            self._apply_page(page)
            if page.reaches_end:
                return
            if page.next_offset == start:
                raise StoreUnavailable("the answer holds no whole record")
            start = page.next_offset

    def _apply_page(self, page: LogPage) -> None:
        for entry in page.entries:
            self._apply(entry)
        self._next_offset = page.next_offset

    def _apply(self, entry: LogEntry) -> None:
        info = parse_worker(entry.key, entry.value) if entry.value else None
        if info is not None:
            self._workers[entry.key] = info
            return
        self._workers.pop(entry.key, None)
        if entry.value:
            self.unreadable_entries[entry.key] += 1
            if self.unreadable_entries[entry.key] == 1:  # a worker writes its entry repeatedly
                _log.warning("worker_unreadable", key=entry.key, bytes=len(entry.value))
