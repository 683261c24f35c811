"""Stand-in of the platform's store: its calls over HTTP, rates, faults and admin port."""

from __future__ import annotations

import asyncio
import base64
import random
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web

from greengagewood.platform.standin.common import (
    Faults,
    History,
    admin_handler,
    json_answer,
    leave_unanswered,
    listen,
    monotonic_ms,
    reset_connection,
)
from greengagewood.platform.standin.partition import (
    AppendCall,
    Partition,
    frame_keyed,
    split_keyed,
    split_records,
)
from greengagewood.platform.standin.settings import Fault, StoreSettings
from greengagewood.platform.wire import CALL_PATH, decode

__all__ = ["StoreStandin"]

PARTITIONS = 32  # of each topic
APPEND_S = 0.002
PARTITION_BYTES_PER_S = 20e6
MAX_QUEUED_S = 2.0  # of appends to one partition; the store answers 503 to more
MAX_RECORD_BYTES = 262_144
MAX_CALL_BYTES = 2_097_152
MAX_WAIT_MS = 30_000
MAX_READ_KB = 1_024
KEYED_PREFIX = "keyed."
WORKERS_TOPIC = "keyed.servers"
READ_ONLY_TOPICS = frozenset({WORKERS_TOPIC, "keyed.op"})
WRITE_CALLS = frozenset({"log-append", "log-trim"})
SWEEP_INTERVAL_S = 0.05
KINDS = frozenset({"silent", "busy", "reset", "slow", "lose_answers", "apply_late", "lapse"})


class _Entry(msgspec.Struct, forbid_unknown_fields=True):
    key: str
    value: Any = None
    ttl_ms: int = 0


class _Truncation(msgspec.Struct, forbid_unknown_fields=True):
    topic: str
    keep: int
    part: int = 0


class _Budget:
    """Calls that are left of a rate; up to one second of them can be saved."""

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._left = per_s
        self._since_ms = monotonic_ms()

    def take(self) -> bool:
        """Take one call; return False if none is left."""
        if not self._per_s:
            return True
        now_ms = monotonic_ms()
        earned = (now_ms - self._since_ms) / 1000 * self._per_s
        self._left, self._since_ms = min(self._per_s, self._left + earned), now_ms
        if self._left < 1:
            return False
        self._left -= 1
        return True


class StoreStandin:
    """Keep topics in memory and serve them."""

    def __init__(
        self,
        cfg: StoreSettings,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._cfg = cfg
        self._sleep = sleep  # waits before a late append is applied
        self._rng = random.Random(cfg.seed)
        self.faults = Faults(KINDS, self._rng)
        self._history = History(cfg.record)
        self._topics: dict[str, dict[int, Partition]] = {}
        self._budgets = {
            True: _Budget(cfg.rates.writes_per_s),
            False: _Budget(cfg.rates.reads_per_s),
        }
        self._entry_deadlines_ms: dict[tuple[str, str], float] = {}
        self._late_appends: set[asyncio.Task[None]] = set()
        self._sweeper: asyncio.Task[None] | None = None
        self._runners: list[web.ServerRunner] = []

    async def start(self) -> None:
        """Open both addresses."""
        self._runners.append(await listen(self._handle, self._cfg.listen))
        admin = admin_handler(
            {
                "/state": lambda req, body: {},
                "/fault": lambda req, body: self.change_fault(body),
                "/entry": lambda req, body: self._write_entry(body),
                "/truncate": lambda req, body: self._truncate(body),
                "/records": lambda req, body: self._list_records(req),
            }
        )
        self._runners.append(await listen(admin, self._cfg.admin))
        self._sweeper = asyncio.create_task(self._sweep())

    async def stop(self) -> None:
        """Close the addresses and the history."""
        for task in (*self._late_appends, *([self._sweeper] if self._sweeper else [])):
            task.cancel()
        for runner in self._runners:
            await runner.cleanup()
        self._history.close()

    @property
    def addresses(self) -> list[str]:
        """Return the addresses that are open: the wire, then the admin port."""
        return ["{}:{}".format(*runner.addresses[0][:2]) for runner in self._runners]

    # The platform's wire.

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        body = await req.read()
        client = req.remote or ""
        call = req.path.removeprefix(CALL_PATH)
        topic = req.query.get("topic", "")
        if self.faults.draw("silent", client, topic=topic):
            return await leave_unanswered(req)
        if self.faults.draw("reset", client, topic=topic):
            return reset_connection(req)
        if self.faults.draw("busy", client, topic=topic):
            return web.Response(status=503)
        slow = self.faults.draw("slow", client, topic=topic)
        if slow is not None:
            await asyncio.sleep(slow.ms / 1000)
        if not self._budgets[call in WRITE_CALLS].take():
            return web.Response(status=429)
        try:
            resp = await self._serve(req, call, body, client)
        except (ValueError, KeyError) as exc:
            return json_answer({"error": f"{call}: {exc!r}"}, 400)
        if resp is None or self.faults.draw("silent", client, topic=topic):
            return await leave_unanswered(req)
        if self.faults.draw("lose_answers", client, topic=topic):
            return await leave_unanswered(req)
        return resp

    async def _serve(
        self, req: web.BaseRequest, call: str, body: bytes, client: str
    ) -> web.Response | None:
        topic, number = req.query.get("topic", ""), int(req.query.get("part", 0))
        if not topic or not 0 <= number < PARTITIONS:
            return json_answer({"error": f"no partition {number} of topic {topic!r}"}, 400)
        if call in WRITE_CALLS and topic in READ_ONLY_TOPICS:
            return web.Response(status=403)
        if (req.method, call) == ("POST", "log-append"):
            return await self._append(req, topic, number, body, client)
        part = self._topics.get(topic, {}).get(number)
        if part is None:
            return web.Response(status=404)
        match (req.method, call):
            case ("GET", "log-read"):
                return await self._read(req, part)
            case ("GET", "log-newest") if part.keyed:
                return self._newest(req, part)
            case ("POST", "log-trim"):
                part.trim(int(req.query["before"]))
                return json_answer({"first": part.first})
        return web.Response(status=400)

    async def _append(
        self, req: web.BaseRequest, topic: str, number: int, body: bytes, client: str
    ) -> web.Response | None:
        query = req.query
        contents = split_records(body)
        part = self._partition(topic, number)
        if part.keyed:
            for content in contents:
                split_keyed(content)
        if len(body) > MAX_CALL_BYTES or max(map(len, contents), default=0) > MAX_RECORD_BYTES:
            return web.Response(status=413)
        at = int(query["at"]) if "at" in query else None
        producer = query.get("producer", "")
        epoch, seq = int(query.get("epoch", 0)), int(query.get("seq", 0))
        append = AppendCall(contents, client, at, producer, epoch, seq)
        late = self.faults.draw("apply_late", client, topic=topic)
        if late is not None:
            delay_s = late.ms / 1000 * self._rng.uniform(0.5, 1.0)
            task = asyncio.create_task(self._append_late(delay_s, topic, number, append))
            self._late_appends.add(task)
            task.add_done_callback(self._late_appends.discard)
            return None
        takes_s = APPEND_S + len(body) / PARTITION_BYTES_PER_S
        if part.queued_s > MAX_QUEUED_S:
            return web.Response(status=503)
        part.queued_s += takes_s
        try:
            async with part.lock:
                await asyncio.sleep(takes_s)
                status, answer = self._apply(topic, number, append, False)
        finally:
            part.queued_s -= takes_s
        return json_answer(answer, status)

    async def _append_late(
        self, delay_s: float, topic: str, number: int, append: AppendCall
    ) -> None:
        await self._sleep(delay_s)
        self._apply(topic, number, append, True)

    def _apply(
        self, topic: str, number: int, append: AppendCall, late: bool
    ) -> tuple[int, dict[str, Any]]:
        part = self._partition(topic, number)
        end_before = part.end
        status, answer = part.apply(append)
        if part.end > end_before:  # a repeated append is not recorded again
            what = "append" if append.at is None else "claim"
            details = {"epoch": append.epoch, "from": append.client, "late": late}
            for offset in range(end_before, part.end):
                self._record(what, topic, part, offset, details)
        return status, answer

    def _record(
        self, what: str, topic: str, part: Partition, offset: int, details: dict[str, Any]
    ) -> None:
        key = split_keyed(part.contents[offset])[0] if part.keyed else ""
        self._history.write(what, {"topic": topic, "key": key, "offset": offset, **details})

    async def _read(self, req: web.BaseRequest, part: Partition) -> web.Response:
        start = int(req.query["from"])
        wait_ms = int(req.query.get("wait-ms", 0))
        max_kb = int(req.query.get("max-kb", MAX_READ_KB))
        if start < 0 or not 0 <= wait_ms <= MAX_WAIT_MS:
            return json_answer({"error": f"from {start} or wait-ms {wait_ms} out of range"}, 400)
        if start >= part.end and wait_ms:
            await part.wait_for(start, wait_ms / 1000)
        if start < part.first:
            return json_answer({"first": part.first}, 410)
        body = part.encode_from(start, min(max_kb, MAX_READ_KB) * 1024)
        return web.Response(body=body, content_type="application/octet-stream")

    def _newest(self, req: web.BaseRequest, part: Partition) -> web.Response:
        page, more = part.newest_after(req.query.get("depends-on", ""))
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, offset, value in page
        ]
        return json_answer({"items": items, "more": more, "end": part.end})

    def _partition(self, topic: str, number: int) -> Partition:
        parts = self._topics.setdefault(topic, {})
        if number not in parts:
            parts[number] = Partition(topic.startswith(KEYED_PREFIX))
        return parts[number]

    # The admin port.

    def change_fault(self, body: bytes) -> dict[str, Any]:
        """Switch a fault on or off."""
        self.faults.change(msgspec.json.decode(body, type=Fault))
        return {}

    def _write_entry(self, body: bytes) -> dict[str, Any]:
        entry = msgspec.json.decode(body, type=_Entry)
        prefix, _, key = entry.key.partition("/")
        if not key:
            raise ValueError(f"key {entry.key!r} has no prefix; write servers/ID or op/NAME")
        topic = KEYED_PREFIX + prefix
        part = self._partition(topic, 0)
        if entry.ttl_ms:
            if self.faults.draw("lapse", worker=key):
                raise ConnectionRefusedError("heartbeats are not taken")
            self._entry_deadlines_ms[topic, key] = monotonic_ms() + entry.ttl_ms
            previous = part.newest.get(key)
            if previous is not None and _differs_in_seq_only(previous[1], entry.value):
                return {"offset": previous[0], "t": monotonic_ms()}
        else:
            self._entry_deadlines_ms.pop((topic, key), None)
        return {"offset": self._set_entry(topic, key, entry.value), "t": monotonic_ms()}

    def _set_entry(self, topic: str, key: str, value: Any) -> int:
        part = self._partition(topic, 0)
        encoded = value.encode() if isinstance(value, str) else msgspec.json.encode(value)
        offset = part.append([frame_keyed(key, b"" if value is None else encoded)])
        self._record("append", topic, part, offset, {"epoch": 0, "from": "admin", "late": False})
        return offset

    def _truncate(self, body: bytes) -> dict[str, Any]:
        request = msgspec.json.decode(body, type=_Truncation)
        part = self._partition(request.topic, request.part)
        part.trim(part.end - request.keep)
        return {"first": part.first, "end": part.end}

    def _list_records(self, req: web.BaseRequest) -> list[dict[str, Any]]:
        part = self._partition(req.query["topic"], int(req.query.get("part", 0)))
        records = []
        for offset, content in enumerate(part.contents):
            key, value = split_keyed(content) if part.keyed else ("", content)
            encoded = base64.b64encode(value).decode()
            time_ms = part.times_ms[offset]
            records.append({"offset": offset, "t": time_ms, "key": key, "value": encoded})
        return records

    async def _sweep(self) -> None:
        """Delete entries without heartbeats, and old records."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now_ms = monotonic_ms()
            for (topic, key), deadline_ms in list(self._entry_deadlines_ms.items()):
                if deadline_ms <= now_ms:
                    del self._entry_deadlines_ms[topic, key]
                    self._set_entry(topic, key, None)
            for parts in self._topics.values():
                for part in parts.values():
                    part.expire(now_ms - self._cfg.keep_s * 1000)


def _differs_in_seq_only(encoded: bytes, value: Any) -> bool:
    try:
        previous = decode(encoded, object)
    except ValueError:
        return False
    if not isinstance(previous, dict) or not isinstance(value, dict):
        return False
    return bool({**previous, "seq": 0} == {**value, "seq": 0})
