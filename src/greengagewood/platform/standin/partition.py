"""One partition of a topic of the store: its records, the newest of each key, and producers."""

from __future__ import annotations

import asyncio
import struct
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from greengagewood.platform.standin.common import monotonic_ms

__all__ = ["AppendCall", "Partition", "frame_keyed", "split_keyed", "split_records"]

REPEATS_KEPT = 5  # of an append that one of the last five repeats, the first answer is sent again
MAX_NEWEST_ITEMS = 500
MAX_NEWEST_BYTES = 1_000_000

_LENGTH = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")


def split_records(body: bytes) -> list[bytes]:
    """Split the body of an append into records; raise ValueError."""
    contents = []
    position = 0
    while position < len(body):
        start = position + _LENGTH.size
        if start > len(body):
            raise ValueError("the body ends within a length")
        position = start + _LENGTH.unpack_from(body, position)[0]
        if position > len(body):
            raise ValueError("the body ends within a record")
        contents.append(body[start:position])
    return contents


def split_keyed(content: bytes) -> tuple[str, bytes]:
    """Split a record of a keyed topic into key and value; raise ValueError."""
    if not content or len(content) < 1 + content[0]:
        raise ValueError("the record is shorter than its key")
    return content[1 : 1 + content[0]].decode(), content[1 + content[0] :]


def frame_keyed(key: str, value: bytes) -> bytes:
    """Return the record of a keyed topic for a key and a value."""
    encoded = key.encode()
    return bytes((len(encoded),)) + encoded + value


@dataclass(frozen=True)
class AppendCall:
    """An append, with its conditions."""

    contents: list[bytes]
    client: str
    at: int | None = None
    producer: str = ""
    epoch: int = 0
    seq: int = 0


@dataclass
class _Producer:
    epoch: int = -1
    seq: int = -1
    answers: deque[tuple[int, dict[str, Any]]] = field(
        default_factory=lambda: deque(maxlen=REPEATS_KEPT)
    )


class Partition:
    """Keep records; those below `first` are deleted for readers and kept for the checker."""

    def __init__(self, keyed: bool) -> None:
        self.keyed = keyed
        self.contents: list[bytes] = []
        self.times_ms: list[float] = []
        self.first = 0
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.lock = asyncio.Lock()  # appends are processed one at a time
        self.queued_s = 0.0
        self._producers: dict[str, _Producer] = {}
        self._appended = asyncio.Event()

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return len(self.contents)

    def apply(self, call: AppendCall) -> tuple[int, dict[str, Any]]:
        """Append if the conditions hold; return the status and the body of the answer."""
        producer = self._producers.get(call.producer) or _Producer()
        if call.producer:
            if call.epoch < producer.epoch:
                return 409, {"reason": "fenced"}
            if call.epoch == producer.epoch:
                for seq, answer in producer.answers:
                    if seq == call.seq and call.contents:
                        return 200, answer
                if call.contents and call.seq != producer.seq + 1:
                    return 409, {"reason": "seq", "seq": producer.seq + 1}
        if call.at is not None and call.at != self.end:
            return 412, {"end": self.end}
        offset = self.append(call.contents)
        answer = {"offset": offset, "end": self.end}
        if call.producer:
            if call.epoch > producer.epoch:
                producer = _Producer(call.epoch, call.seq - (not call.contents))
            if call.contents:
                producer.seq = call.seq
                producer.answers.append((call.seq, answer))
            self._producers[call.producer] = producer
        return 200, answer

    def append(self, contents: list[bytes]) -> int:
        """Append records without conditions; return the offset of the first."""
        offset = self.end
        for content in contents:
            if self.keyed:
                key, value = split_keyed(content)
                self.newest.pop(key, None)
                if value:
                    self.newest[key] = (self.end, value)
            self.contents.append(content)
            self.times_ms.append(monotonic_ms())
        if contents:
            self._appended.set()
            self._appended = asyncio.Event()
        return offset

    def trim(self, before: int) -> None:
        """Delete the records before an offset."""
        self.first = max(self.first, min(before, self.end))

    def expire(self, before_ms: float) -> None:
        """Delete the records that were appended before a time."""
        while self.first < self.end and self.times_ms[self.first] < before_ms:
            self.first += 1

    async def wait_for(self, offset: int, wait_s: float) -> None:
        """Wait until there is a record at an offset, or the time has passed."""
        try:
            async with asyncio.timeout(wait_s):
                while self.end <= offset:
                    await self._appended.wait()
        except TimeoutError:
            pass

    def encode_from(self, start: int, max_bytes: int) -> bytes:
        """Return the body of a read: one record at least, if there is one."""
        parts = [_READ_HEADER.pack(self.end, self.first)]
        size = 0
        for offset in range(start, self.end):
            content = self.contents[offset]
            size += _LENGTH.size + len(content)
            if size > max_bytes and len(parts) > 1:
                break
            parts += (_LENGTH.pack(len(content)), content)
        return b"".join(parts)

    def newest_after(self, key: str) -> tuple[list[tuple[str, int, bytes]], bool]:
        """Return a page of the newest records of the keys after one, and whether more follow."""
        keys = sorted(k for k in self.newest if k > key)
        page: list[tuple[str, int, bytes]] = []
        size = 0
        for name in keys[:MAX_NEWEST_ITEMS]:
            offset, value = self.newest[name]
            size += len(value)
            if page and size > MAX_NEWEST_BYTES:
                break
            page.append((name, offset, value))
        return page, len(page) < len(keys)
