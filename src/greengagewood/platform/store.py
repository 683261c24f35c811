"""The platform's store: a log of keyed topics, read and appended to over HTTP."""

from __future__ import annotations

import base64
import binascii
import struct
from collections.abc import Sequence
from urllib.parse import urlencode

import aiohttp
import msgspec

from greengagewood.internal.ports import (
    AppendResult,
    LogEntry,
    LogPage,
    LogTruncated,
    Outcome,
    StoreUnavailable,
)
from greengagewood.platform.wire import CALL_PATH, call_timeout, decode

__all__ = ["KeyedLog"]

APPEND_TIMEOUT_S = 0.7  # a slow store answers an append within 0.4 s, one that is cut never
READ_MARGIN_S = 1.0  # beyond the time that a read may wait
MAX_READ_KB = 1024
OWNER_PRODUCER = "owner"
MAX_KEY_BYTES = 255

_HEAD = struct.Struct(">QQ")  # a read begins with the end and the first kept offset
_LENGTH = struct.Struct(">I")
_CALL_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: int


class _Newest(msgspec.Struct):
    items: list[_Item]
    more: bool
    end: int


class _Appended(msgspec.Struct):
    offset: int


class _Refusal(msgspec.Struct):
    why: str = msgspec.field(name="reason", default="")


class KeyedLog:
    """Read and append to partition 0 of one keyed topic."""

    def __init__(self, session: aiohttp.ClientSession, address: str, topic: str) -> None:
        self._session = session
        self._url = f"http://{address}{CALL_PATH}"
        self._place = {"topic": topic, "part": "0"}

    async def load(self) -> LogPage:
        """Return the newest record of each key, and from where to read on.

        The pages are not a snapshot, so reading goes on from the end that the first one names.
        """
        entries: list[LogEntry] = []
        end: int | None = None
        after: dict[str, str] = {}
        while True:
            # The page's name for "continue behind this key" is that of a step's dependencies.
            body = await self._get("log-newest", {**self._place, **after}, 0)
            if body is None:
                return LogPage((), 0)
            try:
                page = decode(body, _Newest)
            except ValueError as exc:
                raise StoreUnavailable(f"unreadable answer: {exc}") from exc
            end = page.end if end is None else end
            entries.extend(map(_entry_of, page.items))
            if not page.more or not page.items:
                return LogPage(tuple(entries), end)
            after = {"depends-on": page.items[-1].key}

    async def read(self, start: int, wait_ms: int) -> LogPage:
        """Return records from an offset, waiting for one.

        Raise StoreUnavailable or LogTruncated.
        """
        query = {**self._place, "from": str(start), "max-kb": str(MAX_READ_KB)}
        if wait_ms:
            query["wait-ms"] = str(wait_ms)
        body = await self._get("log-read", query, wait_ms)
        if body is None:
            return LogPage((), start)
        entries = _parse_records(body, start)
        return LogPage(entries, start + len(entries))

    async def _get(self, call: str, query: dict[str, str], wait_ms: int) -> bytes | None:
        """Return the body of an answer, None if the topic has no records yet."""
        timeout = call_timeout(wait_ms / 1000 + READ_MARGIN_S)
        url = f"{self._url}{call}?{urlencode(query)}"
        try:
            async with self._session.get(url, timeout=timeout) as resp:
                body = await resp.read()
        except _CALL_ERRORS as exc:
            raise StoreUnavailable(f"{call}: {exc!r}") from exc
        if resp.status == 200:
            return body
        if resp.status == 404:
            return None
        if resp.status == 410:
            raise LogTruncated(call)
        raise StoreUnavailable(f"{call}: status {resp.status}")

    async def append(self, entries: Sequence[tuple[str, bytes]]) -> AppendResult:
        """Append records, all or none."""
        return await self._append(entries, {})

    async def claim(self, entry: tuple[str, bytes], expected_end: int, token: int) -> AppendResult:
        """Append a record if the log ends at `expected_end`, and fence every lower token."""
        condition = {"at": str(expected_end), **_as_owner(token, 1)}
        return await self._append([entry], condition)

    async def append_fenced(
        self, entries: Sequence[tuple[str, bytes]], token: int, sequence: int
    ) -> AppendResult:
        """Append records as the owner with this token; `sequence` counts its appends from 1."""
        return await self._append(entries, _as_owner(token, sequence))

    async def _append(
        self, entries: Sequence[tuple[str, bytes]], query: dict[str, str]
    ) -> AppendResult:
        url = f"{self._url}log-append?{urlencode({**self._place, **query})}"
        data = b"".join(_pack(key, value) for key, value in entries)
        try:
            async with self._session.post(
                url, data=data, timeout=call_timeout(APPEND_TIMEOUT_S)
            ) as resp:
                body = await resp.read()
        except aiohttp.ClientConnectorError:
            return AppendResult(Outcome.REFUSED)  # no connection, so nothing was sent
        except _CALL_ERRORS:
            return AppendResult(Outcome.UNKNOWN)
        if resp.status == 200:
            try:
                return AppendResult(Outcome.DONE, decode(body, _Appended).offset)
            except ValueError:
                return AppendResult(Outcome.UNKNOWN)
        fenced = resp.status == 409 and _reason_of(body) == "fenced"
        return AppendResult(Outcome.REFUSED, fenced=fenced)


def _as_owner(token: int, sequence: int) -> dict[str, str]:
    return {"producer": OWNER_PRODUCER, "epoch": str(token), "seq": str(sequence)}


def _reason_of(body: bytes) -> str:
    try:
        return decode(body, _Refusal).why
    except ValueError:
        return ""


def _pack(key: str, value: bytes) -> bytes:
    name = key.encode()
    if len(name) > MAX_KEY_BYTES:
        raise ValueError(f"key {key!r} is longer than {MAX_KEY_BYTES} bytes")
    return _LENGTH.pack(1 + len(name) + len(value)) + bytes((len(name),)) + name + value


def _entry_of(item: _Item) -> LogEntry:
    try:
        return LogEntry(item.offset, item.key, base64.b64decode(item.value))
    except (binascii.Error, ValueError):
        return LogEntry(item.offset, item.key, b"\xc1")  # never valid, so passed over and counted


def _parse_records(body: bytes, start: int) -> tuple[LogEntry, ...]:
    """Return the whole records of an answer; a cut one at its end is read again."""
    entries: list[LogEntry] = []
    position = _HEAD.size
    while position + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        record = body[position + _LENGTH.size : position + _LENGTH.size + length]
        if len(record) < length:
            break
        position += _LENGTH.size + length
        key_end = 1 + record[0] if record else 1
        key = record[1:key_end].decode("utf-8", "replace")
        entries.append(LogEntry(start + len(entries), key, record[key_end:]))
    return tuple(entries)
