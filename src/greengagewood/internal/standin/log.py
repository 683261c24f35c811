"""Simulation of the platform's log service."""

from __future__ import annotations

import asyncio
import random

import msgspec
from aiohttp import web

__all__ = ["StandinLog"]


class _NewRecord(msgspec.Struct):
    id: str
    body: msgspec.Raw


class _AppendRequest(msgspec.Struct):
    records: list[_NewRecord]


class _ReadRequest(msgspec.Struct):
    cursors: dict[str, int]
    wait_ms: int = 0
    limit: int = 1000


class LogFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Select the faults to inject into the log.

    `lose_answers` is the fraction of appends whose reply is lost after they took effect.
    """

    down: bool = False
    slow_ms: float = 0.0
    lose_answers: float = 0.0


class _Stream:
    def __init__(self) -> None:
        self.first_offset = 1
        self.records: list[tuple[int, str, msgspec.Raw]] = []

    @property
    def end_offset(self) -> int:
        return self.first_offset + len(self.records)


class StandinLog:
    """Keep streams in memory and serve them over HTTP; drop the oldest records of long streams."""

    def __init__(self, delay_ms: float, retention_records: int, rng: random.Random) -> None:
        self._delay_ms = delay_ms
        self._retention_records = retention_records
        self._rng = rng
        self._streams: dict[str, _Stream] = {}
        self._records_appended = asyncio.Event()
        self.faults = LogFaults()
        self.append_count = 0

    def register(self, app: web.Application) -> None:
        """Add the routes of the log service to an application."""
        app.router.add_post("/log/read", self._read)
        app.router.add_post("/log/{stream}/append", self._append)

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    async def _delay(self) -> None:
        await asyncio.sleep((self._delay_ms + self.faults.slow_ms) / 1000)

    async def _append(self, req: web.Request) -> web.StreamResponse:
        if self.faults.down:
            return web.Response(status=503)
        request = msgspec.json.decode(await req.read(), type=_AppendRequest)
        await self._delay()
        offsets = self.append(req.match_info["stream"], request.records)
        if self._rng.random() < self.faults.lose_answers:
            assert req.transport is not None
            req.transport.abort()
            return web.Response()
        return web.json_response({"offsets": offsets})

    def append(self, name: str, records: list[_NewRecord]) -> list[int]:
        """Append records to a stream and return their offsets."""
        self.append_count += 1
        stream = self._stream(name)
        offsets = []
        for record in records:
            offsets.append(stream.end_offset)
            stream.records.append((stream.end_offset, record.id, record.body))
        surplus = len(stream.records) - self._retention_records
        if surplus > 0:
            del stream.records[:surplus]
            stream.first_offset += surplus
        self._records_appended.set()
        self._records_appended = asyncio.Event()
        return offsets

    async def _read(self, req: web.Request) -> web.StreamResponse:
        if self.faults.down:
            return web.Response(status=503)
        request = msgspec.json.decode(await req.read(), type=_ReadRequest)
        await self._delay()
        if not self._has_new_records(request):
            try:
                async with asyncio.timeout(request.wait_ms / 1000):
                    while not self._has_new_records(request):
                        await self._records_appended.wait()
            except TimeoutError:
                pass
        if self.faults.down:
            return web.Response(status=503)
        streams = {
            name: self._read_stream(name, cursor, request.limit)
            for name, cursor in request.cursors.items()
        }
        body = msgspec.json.encode({"streams": streams})
        return web.Response(body=body, content_type="application/json")

    def _has_new_records(self, request: _ReadRequest) -> bool:
        return any(
            self._stream(name).end_offset > cursor for name, cursor in request.cursors.items()
        )

    def _read_stream(self, name: str, cursor: int, limit: int) -> dict[str, object]:
        stream = self._stream(name)
        start = max(0, cursor - stream.first_offset)
        return {
            "first": stream.first_offset,
            "end": stream.end_offset,
            "records": stream.records[start : start + limit],
        }
