"""A stand-in of the platform's store that speaks its protocol, for tests of the adapter.

It keeps one keyed topic, sends answers over links of a limited bandwidth, and can answer any call
with a status of its own.
"""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from aiohttp import web

from greengagewood.platform.store import KeyedLog, _frame_record
from greengagewood.platform.wire import Session

# A route and a manifest, as operators write them.
ROUTE = {
    "name": "r",
    "host": "h",
    "path-prefix": "/p/",
    "kind": "non_idempotent",
    "timeout-ms": 3000,
    "target-latency-ms": 250,
    "priority": 0,
    "service": "svc",
    "max-attempts": 4,
    "slack-factor": 1.5,
}
MANIFEST = {"version": 7, "routes": [ROUTE], "services": [{"name": "svc"}], "limits": {}}

# An entry as workers write them.
WORKER_ENTRY = {
    "service": "svc",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-remaining-ms": 0,
    "capacity": {"cpu": 16_000, "mem-mb": 32_768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "seq": 4,
}

CHUNK_BYTES = 8 * 1024
PAGE_ITEMS = 500
WAIT_STEP_S = 0.02


@dataclass
class StoreStub:
    """The records of one topic; `link_bytes_per_s` limits each answer, 0 means no limit."""

    link_bytes_per_s: int = 0
    records: list[tuple[str, bytes]] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)  # answered to the next calls, in order
    applied_before_status: bool = False  # whether an append answered by a status is carried out
    sent_bytes: int = 0
    address: str = ""

    def append(self, key: str, value: bytes) -> None:
        """Append a record as another writer."""
        self.records.append((key, value))

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        body = await req.read()
        if self.statuses:
            status = self.statuses.pop(0)
            if self.applied_before_status and req.method == "POST":
                self._append_records(body)
            return web.Response(status=status)
        match req.path.rpartition("/")[2]:
            case "log-newest":
                return await self._send(req, self._newest(req.query.get("depends-on", "")))
            case "log-read":
                return await self._send(req, await self._read(req))
            case "log-append":
                offset = self._append_records(body)
                return web.json_response({"offset": offset, "end": len(self.records)})
        return web.Response(status=404)

    def _append_records(self, body: bytes) -> int:
        offset = len(self.records)
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + length]
            position += 4 + length
            key_end = 1 + content[0]
            self.records.append((content[1:key_end].decode(), content[key_end:]))
        return offset

    def _newest(self, after: str) -> bytes:
        newest = {key: (value, offset) for offset, (key, value) in enumerate(self.records)}
        keys = sorted(key for key, (value, _) in newest.items() if value and key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][0]).decode(),
                "offset": newest[key][1],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        page = {"items": items, "more": len(keys) > PAGE_ITEMS, "end": len(self.records)}
        return json.dumps(page).encode()

    async def _read(self, req: web.BaseRequest) -> bytes:
        start = int(req.query["from"])
        wait_s = int(req.query.get("wait-ms", 0)) / 1000
        while len(self.records) <= start and wait_s > 0:
            await asyncio.sleep(WAIT_STEP_S)
            wait_s -= WAIT_STEP_S
        body = struct.pack(">QQ", len(self.records), 0)
        for number, (key, value) in enumerate(self.records[start:]):
            record = _frame_record(key, value)
            if number and len(body) + len(record) > int(req.query["max-kb"]) * 1024:
                break
            body += record
        return body

    async def _send(self, req: web.BaseRequest, body: bytes) -> web.StreamResponse:
        resp = web.StreamResponse()
        resp.content_length = len(body)
        await resp.prepare(req)
        for start in range(0, len(body), CHUNK_BYTES):
            await resp.write(body[start : start + CHUNK_BYTES])
            self.sent_bytes += len(body[start : start + CHUNK_BYTES])
            if self.link_bytes_per_s:
                await asyncio.sleep(CHUNK_BYTES / self.link_bytes_per_s)
        await resp.write_eof()
        return resp


@asynccontextmanager
async def running_store(stub: StoreStub) -> AsyncIterator[Session]:
    """Serve a stand-in on a free port; yield a session for its clients."""
    runner = web.ServerRunner(web.Server(stub.handle))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    stub.address = f"{host}:{port}"
    session = Session(8)
    try:
        yield session
    finally:
        await session.close()
        await runner.cleanup()


def client_of(stub: StoreStub, session: Session) -> KeyedLog:
    """Return a client of the topic that the stand-in keeps."""
    return KeyedLog(session, stub.address, "keyed.op")
