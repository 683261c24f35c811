"""The workers' own entries in the platform's store."""

from __future__ import annotations

from collections import Counter

import msgspec

from greengagewood.internal.logs import Log
from greengagewood.internal.ports import LogEntry, LogTruncated, WorkerInfo
from greengagewood.platform.store import KeyedLog

__all__ = ["StoreDirectory", "parse_worker"]

STATES = frozenset({"ready", "draining"})

_log = Log("directory")


class _Room(msgspec.Struct):
    cpu: int
    memory_mb: int = msgspec.field(name="mem-mb")
    accelerators: int = msgspec.field(name="gpu", default=0)


class _Entry(msgspec.Struct):
    service: str
    address: str
    failure_domain: str = msgspec.field(name="zone")
    state: str
    room: _Room = msgspec.field(name="capacity")
    labels: list[str]  # the kind of the worker, then its rack
    leaving_in_ms: int | None = msgspec.field(name="remaining-ms", default=None)
    cold_ms: int = msgspec.field(name="cold-remaining-ms", default=0)
    born: int = 0


def parse_worker(worker: str, value: bytes) -> WorkerInfo | None:
    """Return the worker of an entry, or None if another writer made it or it cannot be read."""
    try:
        entry = msgspec.json.decode(value, type=_Entry)
    except (ValueError, RecursionError):
        return None
    host, _, port = entry.address.rpartition(":")
    if entry.state not in STATES or not host or not port.isdigit() or not worker:
        return None
    return WorkerInfo(
        worker,
        entry.address,
        entry.service,
        entry.failure_domain,
        entry.labels[-1] if entry.labels else "",
        frozenset(entry.labels),
        entry.room.cpu,
        entry.room.memory_mb,
        entry.room.accelerators,
        entry.state == "draining",
        entry.leaving_in_ms,
        entry.born,
        entry.cold_ms,
    )


class StoreDirectory:
    """List the workers by following their entries."""

    def __init__(self, log: KeyedLog) -> None:
        self._log = log
        self._end: int | None = None
        self._workers: dict[str, WorkerInfo] = {}
        self.passed_over: Counter[str] = Counter()

    async def refresh(self) -> dict[str, WorkerInfo]:
        """Return the workers as they are listed now; raise StoreUnavailable."""
        if self._end is not None:
            try:
                page = await self._log.read(self._end, 0)
            except LogTruncated:
                self._end = None
        if self._end is None:
            page = await self._log.load()
            self._workers.clear()
        for entry in page.entries:
            self._take(entry)
        self._end = page.next_offset
        return dict(self._workers)

    def _take(self, entry: LogEntry) -> None:
        info = parse_worker(entry.key, entry.value) if entry.value else None
        if info is not None:
            self._workers[entry.key] = info
            return
        self._workers.pop(entry.key, None)
        if entry.value:
            self.passed_over[entry.key] += 1
            if self.passed_over[entry.key] == 1:  # it may come again with each heartbeat
                _log.warning("worker_unreadable", key=entry.key, bytes=len(entry.value))
