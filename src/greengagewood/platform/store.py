"""HTTP client of the platform's store, which keeps logs of keyed records in topics."""

from __future__ import annotations

import base64
import binascii
import json
import struct
from collections.abc import Sequence
from urllib.parse import urlencode

import aiohttp
import msgspec

from greengagewood.internal.logs import Log
from greengagewood.internal.ports import (
    AppendResult,
    LogEntry,
    LogPage,
    LogTruncated,
    Outcome,
    StoreUnavailable,
)
from greengagewood.platform.wire import CALL_PATH, Session, call_timeout, decode, transfer_timeout

__all__ = ["KeyedLog"]

APPEND_TIMEOUT_S = 0.7  # a slow store answers an append within 0.4 s, an unreachable one never
READ_SILENCE_MARGIN_S = 1.0  # added to the time that a read may wait for records
MAX_READ_KB = 1024
OWNER_PRODUCER_ID = "owner"
MAX_LOGGED_LENGTH = 100
MAX_KEY_BYTES = 255  # the length of a key is sent as one byte

# With these statuses the store says that it did nothing. Any other, such as 500 or 504, may come
# from something between this instance and the store, after the store has carried out the call.
REFUSAL_STATUSES = frozenset({400, 403, 404, 409, 412, 413, 429, 503, 507})

_READ_HEADER = struct.Struct(">QQ")  # end offset of the log, and offset of its oldest record
_RECORD_LENGTH = struct.Struct(">I")
_CALL_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)

_log = Log("store")


class _NewestRecord(msgspec.Struct):
    key: str
    value: str
    offset: int


class _NewestPage(msgspec.Struct):
    items: list[_NewestRecord]
    more: bool
    end: int


class _LoosePage(msgspec.Struct):
    items: list[object]  # of _NewestRecord, but some cannot be read
    more: bool
    end: int


class _AppendAnswer(msgspec.Struct):
    offset: int


class _RefusalBody(msgspec.Struct):
    refusal_reason: str = msgspec.field(name="reason", default="")


class KeyedLog:
    """Read and append to partition 0 of one keyed topic.

    Values longer than `max_value_bytes` are cut off: whoever else writes to the topic must not be
    able to exhaust the memory of an instance.
    """

    def __init__(
        self,
        session: Session,
        address: str,
        topic: str,
        max_value_bytes: int | None = None,
    ) -> None:
        self._session = session
        self._max_value_bytes = max_value_bytes
        self._url = f"http://{address}{CALL_PATH}"
        self._partition_query = {"topic": topic, "part": "0"}

    async def load(self) -> LogPage:
        """Return the newest record of each key, and the offset at which the next read starts.

        The pages are not a snapshot: records may be appended between two of them. So the next read
        starts at the end of the log that the first page gives.
        """
        entries: list[LogEntry] = []
        end: int | None = None
        continue_after: dict[str, str] = {}
        while True:
            body = await self._get("log-newest", {**self._partition_query, **continue_after}, 0)
            if body is None:
                return LogPage((), 0)
            try:
                page = _parse_page(body)
            except ValueError as exc:
                raise StoreUnavailable(f"unreadable answer: {exc}") from exc
            end = page.end if end is None else end
            entries.extend(_log_entry(item, self._max_value_bytes) for item in page.items)
            if not page.more:
                return LogPage(tuple(entries), end)
            if not page.items:  # the keys that follow are not known, so they would count as deleted
                raise StoreUnavailable("log-newest: a page without items is not the last one")
            # The next page starts after this key; the store names the parameter depends-on.
            continue_after = {"depends-on": page.items[-1].key}

    async def read(self, start: int, wait_ms: int, max_kb: int = MAX_READ_KB) -> LogPage:
        """Return the records from an offset on; wait up to `wait_ms` if there are none yet.

        The store sends at least one record, even if it is larger than `max_kb`. Raise
        StoreUnavailable or LogTruncated.
        """
        query = {**self._partition_query, "from": str(start), "max-kb": str(max_kb)}
        if wait_ms:
            query["wait-ms"] = str(wait_ms)
        body = await self._get("log-read", query, wait_ms)
        if body is None:
            return LogPage((), start)
        if len(body) < _READ_HEADER.size:  # it does not say whether the log has further records
            raise StoreUnavailable("log-read: an answer without the end of the log")
        entries = _parse_records(body, start, self._max_value_bytes)
        end = _READ_HEADER.unpack_from(body)[0]
        return LogPage(entries, start + len(entries), end)

    async def _get(self, call: str, query: dict[str, str], wait_ms: int) -> bytes | None:
        """Return the body of the answer to a GET, or None if the topic has no records yet."""
        timeout = transfer_timeout(wait_ms / 1000 + READ_SILENCE_MARGIN_S)
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
        """Append records atomically."""
        return await self._append(entries, {})

    async def claim(self, entry: tuple[str, bytes], expected_end: int, token: int) -> AppendResult:
        """Append a claim if the log ends at `expected_end`; the store then fences lower tokens."""
        condition = {"at": str(expected_end), **_producer_query(token, 1)}
        return await self._append([entry], condition)

    async def append_fenced(
        self, entries: Sequence[tuple[str, bytes]], token: int, sequence: int
    ) -> AppendResult:
        """Append records as the owner with this fencing token.

        `sequence` numbers the owner's appends; its claim is number 1.
        """
        return await self._append(entries, _producer_query(token, sequence))

    async def _append(
        self, entries: Sequence[tuple[str, bytes]], query: dict[str, str]
    ) -> AppendResult:
        url = f"{self._url}log-append?{urlencode({**self._partition_query, **query})}"
        data = b"".join(_frame_record(key, value) for key, value in entries)
        try:
            async with self._session.post(
                url, data=data, timeout=call_timeout(APPEND_TIMEOUT_S)
            ) as resp:
                body = await resp.read()
        except aiohttp.ClientConnectorError:
            return AppendResult(Outcome.REFUSED)  # without a connection nothing was sent
        except _CALL_ERRORS:
            return AppendResult(Outcome.UNKNOWN)
        if resp.status == 200:
            try:
                return AppendResult(Outcome.DONE, decode(body, _AppendAnswer).offset)
            except ValueError:
                return AppendResult(Outcome.UNKNOWN)
        if resp.status not in REFUSAL_STATUSES:
            return AppendResult(Outcome.UNKNOWN)
        fenced = resp.status == 409 and _refusal_reason(body) == "fenced"
        return AppendResult(Outcome.REFUSED, fenced=fenced, too_large=resp.status == 413)


def _producer_query(token: int, sequence: int) -> dict[str, str]:
    return {"producer": OWNER_PRODUCER_ID, "epoch": str(token), "seq": str(sequence)}


def _refusal_reason(body: bytes) -> str:
    try:
        return decode(body, _RefusalBody).refusal_reason
    except ValueError:
        return ""


def _frame_record(key: str, value: bytes) -> bytes:
    key_bytes = key.encode()
    if len(key_bytes) > MAX_KEY_BYTES:
        raise ValueError(f"key {key!r} is longer than {MAX_KEY_BYTES} bytes")
    return (
        _RECORD_LENGTH.pack(1 + len(key_bytes) + len(value))
        + bytes((len(key_bytes),))
        + key_bytes
        + value
    )


def _parse_page(body: bytes) -> _NewestPage:
    """Parse a page without its items that cannot be read, which are logged; raise ValueError."""
    try:
        return decode(body, _NewestPage)
    except ValueError as exc:
        page = _parse_loosely(body)
        records = [record for record in map(_readable_record, page.items) if record is not None]
        if page.more and not records:
            raise ValueError("there is no key to continue after") from exc
        return _NewestPage(records, page.more, page.end)


def _parse_loosely(body: bytes) -> _LoosePage:
    # msgspec does not pass over a lone surrogate, nor decode bytes that are not UTF-8.
    try:
        return msgspec.convert(json.loads(body.decode("utf-8", "replace")), _LoosePage)
    except RecursionError as exc:
        raise ValueError("the body is nested too deeply") from exc


def _readable_record(item: object) -> _NewestRecord | None:
    try:
        record = msgspec.convert(item, _NewestRecord)
        record.key.encode()  # a lone surrogate can neither be sent nor logged
    except ValueError as exc:
        _log.warning("item_unreadable", value=ascii(item)[:MAX_LOGGED_LENGTH], error=ascii(exc))
        return None
    return record


def _log_entry(item: _NewestRecord, max_value_bytes: int | None) -> LogEntry:
    try:
        value = base64.b64decode(item.value)[:max_value_bytes]
        return LogEntry(item.offset, item.key, value)
    except (binascii.Error, ValueError):
        # 0xc1 is invalid in MessagePack and JSON: the entry is counted as unreadable and skipped.
        return LogEntry(item.offset, item.key, b"\xc1")


def _parse_records(
    body: bytes, start: int, max_value_bytes: int | None = None
) -> tuple[LogEntry, ...]:
    """Return the complete records of an answer; the next read returns a truncated last one."""
    entries: list[LogEntry] = []
    position = _READ_HEADER.size
    while position + _RECORD_LENGTH.size <= len(body):
        (length,) = _RECORD_LENGTH.unpack_from(body, position)
        content = body[position + _RECORD_LENGTH.size : position + _RECORD_LENGTH.size + length]
        if len(content) < length:
            break
        position += _RECORD_LENGTH.size + length
        key_end = 1 + content[0] if content else 1
        key = content[1:key_end].decode("utf-8", "replace")
        value = content[key_end:][:max_value_bytes]
        entries.append(LogEntry(start + len(entries), key, value))
    return tuple(entries)
