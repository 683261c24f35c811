"""A stand-in of the platform's log service."""

from __future__ import annotations

import asyncio
import random

import msgspec
from aiohttp import web

__all__ = ["StandinLog"]


class _NewRecord(msgspec.Struct):
    id: str
    body: msgspec.Raw


class _Append(msgspec.Struct):
    records: list[_NewRecord]


class _Read(msgspec.Struct):
    cursors: dict[str, int]
    wait_ms: int = 0
    limit: int = 1000


class LogFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Switch the faults of the log: `lose_answers` is the fraction lost after the effect."""

    down: bool = False
    slow_ms: float = 0.0
    lose_answers: float = 0.0


class _Stream:
    def __init__(self) -> None:
        self.first = 1
        self.records: list[tuple[int, str, msgspec.Raw]] = []

    @property
    def end(self) -> int:
        return self.first + len(self.records)


class StandinLog:
    """Keep streams in memory and serve them over HTTP."""

    def __init__(self, delay_ms: float, retention_records: int, rng: random.Random) -> None:
        self._delay_ms = delay_ms
        self._retention = retention_records
        self._rng = rng
        self._streams: dict[str, _Stream] = {}
        self._changed = asyncio.Event()
        self.faults = LogFaults()
        self.appends = 0

    def register(self, app: web.Application) -> None:
        """Add the log's routes."""
        app.router.add_post("/log/read", self._read)
        app.router.add_post("/log/{stream}/append", self._append)

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    async def _delay(self) -> None:
        await asyncio.sleep((self._delay_ms + self.faults.slow_ms) / 1000)

    async def _append(self, req: web.Request) -> web.StreamResponse:
        if self.faults.down:
            return web.Response(status=503)
        wanted = msgspec.json.decode(await req.read(), type=_Append)
        await self._delay()
        offsets = self.append(req.match_info["stream"], wanted.records)
        if self._rng.random() < self.faults.lose_answers:
            assert req.transport is not None
            req.transport.abort()
            return web.Response()
        return web.json_response({"offsets": offsets})

    def append(self, name: str, records: list[_NewRecord]) -> list[int]:
        """Append records and return their offsets."""
        self.appends += 1
        stream = self._stream(name)
        offsets = []
        for record in records:
            offsets.append(stream.end)
            stream.records.append((stream.end, record.id, record.body))
        surplus = len(stream.records) - self._retention
        if surplus > 0:
            del stream.records[:surplus]
            stream.first += surplus
        self._changed.set()
        self._changed = asyncio.Event()
        return offsets

    async def _read(self, req: web.Request) -> web.StreamResponse:
        if self.faults.down:
            return web.Response(status=503)
        wanted = msgspec.json.decode(await req.read(), type=_Read)
        await self._delay()
        if not self._has_news(wanted):
            try:
                async with asyncio.timeout(wanted.wait_ms / 1000):
                    while not self._has_news(wanted):
                        await self._changed.wait()
            except TimeoutError:
                pass
        if self.faults.down:
            return web.Response(status=503)
        streams = {name: self._slice(name, c, wanted.limit) for name, c in wanted.cursors.items()}
        body = msgspec.json.encode({"streams": streams})
        return web.Response(body=body, content_type="application/json")

    def _has_news(self, wanted: _Read) -> bool:
        return any(self._stream(name).end > cursor for name, cursor in wanted.cursors.items())

    def _slice(self, name: str, cursor: int, limit: int) -> dict[str, object]:
        stream = self._stream(name)
        start = max(0, cursor - stream.first)
        return {
            "first": stream.first,
            "end": stream.end,
            "records": stream.records[start : start + limit],
        }
