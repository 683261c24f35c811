"""Directory of workers, read from the entries that they write to the platform's store."""

from __future__ import annotations

import ipaddress
import re
from collections import Counter
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from greengagewood.internal.clock import monotonic_ms
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

__all__ = ["MAX_ENTRY_BYTES", "StoreDirectory", "parse_worker"]

KNOWN_STATES = frozenset({"ready", "draining"})
MAX_ENTRY_BYTES = 16_384  # of which a worker writes a few hundred
MAX_PORT = 65_535
MAX_LABELS = 32  # a worker has two
LAST_BOOT_MS = 4_102_444_800_000  # the year 2100; a later boot time would hide all true ones
MAX_REPORTED_LENGTH = 100

_BROADCAST = ipaddress.IPv4Address("255.255.255.255")
_Name = Annotated[str, Meta(max_length=255)]  # services are stored for each worker
_Amount = Annotated[int, Meta(ge=0, le=10**9)]
_Remaining = Annotated[int, Meta(ge=0, le=86_400_000)]  # milliseconds; a day
_PATH = re.compile(r"`\$(.*)`$")  # at the end of an error
_PATH_STEP = re.compile(r"\.([^.\[\]]+)|\[(\d+)\]")

_log = Log("directory")


class _Capacity(msgspec.Struct):
    cpu: _Amount  # thousandths of a CPU
    memory_mb: _Amount = msgspec.field(name="mem-mb")
    accelerators: _Amount = msgspec.field(name="gpu", default=0)


class _WorkerEntry(msgspec.Struct):
    service: _Name
    address: str
    failure_domain: _Name = msgspec.field(name="zone")
    state: str
    capacity: _Capacity
    # The worker's kind, then its rack.
    labels: Annotated[list[_Name], Meta(max_length=MAX_LABELS)]
    leaving_in_ms: _Remaining | None = msgspec.field(name="remaining-ms", default=None)
    # Time until it is warmed up.
    cold_ms: _Remaining = msgspec.field(name="cold-remaining-ms", default=0)
    # Boot time in milliseconds, 0 if unknown.
    born: Annotated[int, Meta(ge=0, le=LAST_BOOT_MS)] = 0


class _InvalidEntry(ValueError):
    """Raised for an entry that names no worker; `field` is empty if it is the entry as a whole."""

    def __init__(self, error: str, field: str, value: object) -> None:
        super().__init__(error)
        self.field = field
        self.value = ascii(value)[:MAX_REPORTED_LENGTH]


def parse_worker(worker_id: str, value: bytes) -> WorkerInfo | None:
    """Return the worker that an entry describes, or None if it names no worker to use."""
    try:
        return _read_entry(worker_id, value)
    except _InvalidEntry:
        return None


def _read_entry(worker_id: str, value: bytes) -> WorkerInfo:
    if not (worker_id and worker_id.isascii() and worker_id.isprintable()):
        raise _InvalidEntry("no ID that a header can carry", "key", worker_id)
    try:
        entry = decode(value, _WorkerEntry)
    except ValueError as exc:
        raise _invalid_entry(value, str(exc)) from exc
    if entry.state not in KNOWN_STATES:
        raise _InvalidEntry("unknown state", "state", entry.state)
    if not _is_address(entry.address):
        raise _InvalidEntry("no IPv4 address and port", "address", entry.address)
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


def _identity(info: WorkerInfo) -> tuple[str, str, str, int]:
    """Return what one boot of a worker never changes in its entry."""
    return info.service, info.address, info.failure_domain, info.boot_time_ms


def _is_address(address: str) -> bool:
    """Return whether this is the IPv4 address and the port of one machine."""
    host, _, port = address.partition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))):
        return False
    try:
        ip = ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 0 < int(port) <= MAX_PORT and not (
        ip.is_unspecified or ip.is_multicast or ip == _BROADCAST
    )


def _invalid_entry(value: bytes, error: str) -> _InvalidEntry:
    """Return what to report of an entry that was not decoded, from the path in the error."""
    at = _PATH.search(error)
    path = at[1] if at else ""
    found: Any = None
    try:
        found = decode(value, object) if path else None
        for name, index in _PATH_STEP.findall(path):
            found = found[name] if name else found[int(index)]
    except (ValueError, LookupError, TypeError):
        found = None
    if found is None:
        found = value[:MAX_REPORTED_LENGTH]
    return _InvalidEntry(error[:MAX_REPORTED_LENGTH], path.lstrip("."), found)


class StoreDirectory:
    """Keep a list of the workers up to date by reading new entries of their topic.

    The store removes the entry of a worker that has left, and that of one that was silent for three
    intervals of `report_interval_ms`. A worker that drains changes its entry with each report. So
    if such an entry is removed within two intervals of its last change, the worker has left.
    """

    def __init__(self, topic: KeyedLog, report_interval_ms: int = 0) -> None:
        self._topic = topic
        self._next_offset: int | None = None
        self._workers: dict[str, WorkerInfo] = {}
        self._removed_early_ms = 2 * report_interval_ms
        self._read_sent_ms: int | None = None  # when the last read to the end was sent
        self._written_after_ms: dict[str, int] = {}  # bound of the last change, by worker
        self._departed: dict[str, int] = {}
        self.unreadable_entries: Counter[str] = Counter()

    async def refresh(self) -> dict[str, WorkerInfo]:
        """Return the listed workers by ID; raise StoreUnavailable."""
        sent_ms = monotonic_ms()
        if self._next_offset is not None:
            try:
                await self._read_to_end(self._next_offset)
            except LogTruncated:
                self._next_offset = None
        if self._next_offset is None:
            page = await self._topic.load()
            self._workers.clear()
            self._written_after_ms.clear()
            self._read_sent_ms = None  # the entries may have been written at any time before
            self._apply_page(page)
        self._read_sent_ms = sent_ms
        return dict(self._workers)

    def take_departed(self) -> dict[str, int]:
        """Return the workers that have certainly left, as seen since the last call of this.

        The values are the boot times of the boots that have left.
        """
        departed, self._departed = self._departed, {}
        return departed

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
        key = entry.key
        former = self._workers.pop(key, None)
        written_after_ms = self._written_after_ms.pop(key, None)
        if not entry.value:
            if (
                former is not None
                and former.draining
                and former.boot_time_ms  # else another writer wrote the entry
                and self._is_recent(written_after_ms)
            ):
                self._departed[key] = former.boot_time_ms
            return
        try:
            info = self._workers[key] = _read_entry(key, entry.value)
        except _InvalidEntry as exc:
            self._note_invalid(entry, exc)
            return
        self._departed.pop(key, None)  # another boot has the same ID
        # An entry that another writer may have written does not show that the worker is not silent.
        by_worker = former is None or _identity(former) == _identity(info)
        if by_worker and self._read_sent_ms is not None:
            self._written_after_ms[key] = self._read_sent_ms

    def _is_recent(self, written_after_ms: int | None) -> bool:
        """Return whether an entry that was removed now would still be there without its worker."""
        return (
            written_after_ms is not None
            and monotonic_ms() - written_after_ms < self._removed_early_ms
        )

    def _note_invalid(self, entry: LogEntry, invalid: _InvalidEntry) -> None:
        self.unreadable_entries[entry.key] += 1
        if self.unreadable_entries[entry.key] > 1:  # an entry may be written again and again
            return
        _log.warning(
            "worker_unreadable",
            key=entry.key,
            field=invalid.field,
            value=invalid.value,
            error=str(invalid),
            bytes=len(entry.value),
        )
