"""Client for the platform's log service. No other module depends on its wire format."""

from __future__ import annotations

import aiohttp
import msgspec

from greengagewood.internal.records import StoredRecord
from greengagewood.internal.settings import Address

__all__ = ["AppendOutcomeUnknown", "LogService", "LogUnavailable", "NewRecord", "StreamBatch"]


# With these statuses the service says that it did nothing; any other may come from something
# between this process and the service.
REFUSAL_STATUSES = frozenset({400, 404, 409, 413, 429, 503, 507})


class LogUnavailable(Exception):
    """Report that a read failed, or that an append certainly had no effect."""


class AppendOutcomeUnknown(Exception):
    """Report that an append got no valid reply, so it may have taken effect."""


class NewRecord(msgspec.Struct, frozen=True):
    """Represent a record to append; its body is JSON."""

    id: str
    body: msgspec.Raw


class StreamBatch(msgspec.Struct, frozen=True):
    """Hold the records read from one stream.

    `first_offset` is the oldest offset that the log still keeps, and `end_offset` the one that the
    next appended record will get.
    """

    first_offset: int
    end_offset: int
    records: tuple[StoredRecord, ...]


class _AppendReply(msgspec.Struct):
    offsets: tuple[int, ...]


class _RecordReply(msgspec.Struct, array_like=True):
    offset: int
    id: str
    body: msgspec.Raw


class _StreamReply(msgspec.Struct):
    first: int
    end: int
    records: tuple[_RecordReply, ...]


class _ReadReply(msgspec.Struct):
    streams: dict[str, _StreamReply]


_append_reply_decoder = msgspec.json.Decoder(_AppendReply)
_read_reply_decoder = msgspec.json.Decoder(_ReadReply)


class LogService:
    """Append records to the streams of the platform's log and read them."""

    def __init__(self, session: aiohttp.ClientSession, address: Address) -> None:
        self._session = session
        self._base = f"http://{address}/log"

    async def append(
        self, stream: str, records: list[NewRecord], timeout_s: float
    ) -> tuple[int, ...]:
        """Append records to a stream, in order, and return their offsets.

        Raise LogUnavailable or AppendOutcomeUnknown.
        """
        data = msgspec.json.encode({"records": records})
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        url = f"{self._base}/{stream}/append"
        try:
            async with self._session.post(url, data=data, timeout=timeout) as resp:
                if resp.status in REFUSAL_STATUSES:
                    raise LogUnavailable(f"log service returned status {resp.status}")
                if resp.status != 200:
                    raise AppendOutcomeUnknown(f"log service returned status {resp.status}")
                offsets = _append_reply_decoder.decode(await resp.read()).offsets
        except aiohttp.ClientConnectorError as exc:
            raise LogUnavailable(str(exc)) from exc
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError) as exc:
            raise AppendOutcomeUnknown(repr(exc)) from exc
        if len(offsets) != len(records):
            raise AppendOutcomeUnknown("log service returned a wrong number of offsets")
        return offsets

    async def read(
        self, cursors: dict[str, int], wait_ms: int, max_records: int
    ) -> dict[str, StreamBatch]:
        """Read each stream from its cursor on, at most `max_records` of each.

        If there are no new records, wait up to `wait_ms` for some. Raise LogUnavailable.
        """
        data = msgspec.json.encode({"cursors": cursors, "wait_ms": wait_ms, "limit": max_records})
        # The service itself may wait for `wait_ms` before it replies.
        timeout = aiohttp.ClientTimeout(total=wait_ms / 1000 + 3)
        try:
            async with self._session.post(f"{self._base}/read", data=data, timeout=timeout) as resp:
                if resp.status != 200:
                    raise LogUnavailable(f"log service returned status {resp.status}")
                streams = _read_reply_decoder.decode(await resp.read()).streams
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError) as exc:
            raise LogUnavailable(repr(exc)) from exc
        return {name: _to_stream_batch(batch) for name, batch in streams.items()}


def _to_stream_batch(reply: _StreamReply) -> StreamBatch:
    records = tuple(StoredRecord(r.offset, r.id, bytes(r.body)) for r in reply.records)
    return StreamBatch(reply.first, reply.end, records)
