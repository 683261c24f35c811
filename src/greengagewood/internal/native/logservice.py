"""Client of the platform's log service; the one module that knows its wire format."""

from __future__ import annotations

import aiohttp
import msgspec

from greengagewood.internal.records import StoredRecord
from greengagewood.internal.settings import Address

__all__ = ["AppendUnknown", "Batch", "LogDown", "LogService", "NewRecord"]


class LogDown(Exception):
    """Report that the log service did not take the request: it has had no effect."""


class AppendUnknown(Exception):
    """Report that the answer was lost: the append may have taken effect."""


class NewRecord(msgspec.Struct, frozen=True):
    """Hold a record to append; the body is JSON."""

    id: str
    body: msgspec.Raw


class Batch(msgspec.Struct, frozen=True):
    """Hold what was read of one stream: the oldest offset kept, and the next to be given."""

    first: int
    end: int
    records: tuple[StoredRecord, ...]


class _Appended(msgspec.Struct):
    offsets: tuple[int, ...]


class _WireRecord(msgspec.Struct, array_like=True):
    offset: int
    id: str
    body: msgspec.Raw


class _WireBatch(msgspec.Struct):
    first: int
    end: int
    records: tuple[_WireRecord, ...]


class _ReadReply(msgspec.Struct):
    streams: dict[str, _WireBatch]


_appended = msgspec.json.Decoder(_Appended)
_read = msgspec.json.Decoder(_ReadReply)


class LogService:
    """Append to and read from the streams of the platform's log."""

    def __init__(self, session: aiohttp.ClientSession, address: Address) -> None:
        self._session = session
        self._base = f"http://{address}/log"

    async def append(
        self, stream: str, records: list[NewRecord], timeout: float
    ) -> tuple[int, ...]:
        """Append records in order and return their offsets; raise LogDown or AppendUnknown."""
        data = msgspec.json.encode({"records": records})
        limit = aiohttp.ClientTimeout(total=timeout)
        url = f"{self._base}/{stream}/append"
        try:
            async with self._session.post(url, data=data, timeout=limit) as resp:
                if resp.status != 200:
                    raise LogDown(f"log service answered {resp.status}")
                offsets = _appended.decode(await resp.read()).offsets
        except aiohttp.ClientConnectorError as exc:
            raise LogDown(str(exc)) from exc
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError) as exc:
            raise AppendUnknown(repr(exc)) from exc
        if len(offsets) != len(records):
            raise AppendUnknown("log service answered another number of offsets")
        return offsets

    async def read(self, cursors: dict[str, int], wait_ms: int, limit: int) -> dict[str, Batch]:
        """Read streams from their cursors, waiting for something new; raise LogDown."""
        data = msgspec.json.encode({"cursors": cursors, "wait_ms": wait_ms, "limit": limit})
        timeout = aiohttp.ClientTimeout(total=wait_ms / 1000 + 3)
        try:
            async with self._session.post(f"{self._base}/read", data=data, timeout=timeout) as resp:
                if resp.status != 200:
                    raise LogDown(f"log service answered {resp.status}")
                wire = _read.decode(await resp.read()).streams
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError) as exc:
            raise LogDown(repr(exc)) from exc
        return {name: _batch(found) for name, found in wire.items()}


def _batch(wire: _WireBatch) -> Batch:
    records = tuple(StoredRecord(r.offset, r.id, bytes(r.body)) for r in wire.records)
    return Batch(wire.first, wire.end, records)
