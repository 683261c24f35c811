"""Stand-in of the platform's workers: many in one process, each at an address of its own."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any, Literal

import aiohttp
import msgspec
from aiohttp import web

from greengagewood.internal.placement import Resources
from greengagewood.platform.standin.advice import AdviceStandin
from greengagewood.platform.standin.boot import Boot, Gangs, Order
from greengagewood.platform.standin.common import (
    Faults,
    History,
    admin_handler,
    json_answer,
    leave_unanswered,
    listen,
    reset_connection,
)
from greengagewood.platform.standin.settings import Fault, WorkerSettings, WorkersSettings
from greengagewood.platform.wire import CALL_PATH

__all__ = ["WorkersStandin"]

KIND_BY_CALL = {"run-start": "start", "run-stop": "stop", "hold": "hold", "pace": "pace"}
FAULT_KINDS = frozenset({"late_orders", "lost_answers", "fail_runs", "busy", "odd_rows"})
HIDDEN_SHARE = 0.3  # of the lists with odd rows, the share in which one stands for a run
IMMEDIATE_SHARE = 0.4  # of the orders left unanswered, the share that is carried out at once
HEARTBEATS_KEPT = 3  # intervals without a heartbeat after which the store deletes an entry
HEARTBEAT_RETRY_S = 0.3
HEARTBEAT_TIMEOUT_S = 2.0
CRASHED_S = 3.0  # from a crash that a task caused to the next boot
SLOTS = 8
VERSION = "v1"
_LEVELS = 100_000
_NAME = "0000000000000000.0.0.0"
ODD_ROWS = (
    "null",
    "{}",
    '["hello",1]',
    f'["{_NAME}",18446744073709551616,"",1,1]',
    f'["{_NAME}",0,"",1,1]',
    '["\\ud800.0.0.0",1,"",1,1]',
    '["0000000000000000.0.0.-1",1,"",1,1]',
    "[" * _LEVELS + "]" * _LEVELS,
)


class _Change(msgspec.Struct, forbid_unknown_fields=True):
    id: str
    do: Literal["crash", "boot", "drain", "resize", "gone"]
    new_id: str = ""
    ms: int | None = None  # stay of a drain; how far the time of day is off at a boot
    cpu: int | None = None
    mem_mb: int | None = None


class _Worker:
    """A worker's address, and its boot while it is up."""

    def __init__(self, cfg: WorkerSettings, fleet: WorkersStandin, rng: random.Random) -> None:
        self.cfg = cfg
        self.boot: Boot | None = None
        self.capacity = Resources(cfg.cpu, cfg.mem_mb, 0)
        self.address = cfg.listen
        self._fleet = fleet
        self._rng = rng
        self._id = cfg.id
        self._last_born = 0
        self._seq = 0
        self._leaves_at: float | None = None  # set once it drains
        self._draining = False
        self._stay_ms = 0  # once it drains, the time that it stays
        self._runner: web.ServerRunner | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def start(self, new_id: str = "", clock_shift_ms: int = 0) -> None:
        """Boot, unless the worker is up; its time of day is off by the shift."""
        if self.boot is not None:
            raise ValueError(f"worker {self._id} is up already; crash it first")
        self._id = new_id or self._id
        born = time.time_ns() // 1_000_000 + clock_shift_ms
        self._last_born = born if clock_shift_ms < 0 else max(self._last_born + 1, born)
        self._seq, self._draining, self._leaves_at = 0, False, None
        cfg = self._fleet.cfg
        boot = Boot(
            self._id,
            self._last_born,
            self.capacity,
            self.cfg.guarded,
            self.cfg.clock_rate,
            cfg.lease_ms,
            cfg.stop_ms,
            cfg.cold_ms,
            cfg.seed,
            self._rng,
            self._fleet.gangs,
            lambda: self._draw("fail_runs") is not None,
            lambda: self._spawn(self._crash_for_a_while()),
            self._fleet.history.write,
        )
        self._runner = await listen(self._handle, self.address)
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"  # later boots listen at the same port
        self.boot = boot
        room = {"cpu": self.capacity.cpus, "mem_mb": self.capacity.memory_mb}
        self._fleet.history.write("boot", {"worker": self._id, "born": boot.born, **room})
        self._spawn(self._send_heartbeats(boot))

    async def shut_down(self, how: str) -> None:
        """End everything at once, as a crash does, unless the worker is down."""
        if self.boot is None or self._runner is None:
            return
        boot, runner = self.boot, self._runner
        self.boot = self._runner = None
        boot.shut_down(how)
        self._fleet.history.write("leave", {"worker": boot.id, "born": boot.born, "how": how})
        await runner.cleanup()

    async def _crash_for_a_while(self) -> None:
        if self.boot is None:
            return  # another task has crashed it already
        await self.shut_down("crashed")
        await asyncio.sleep(CRASHED_S)
        if self.boot is None:
            await self.start()

    async def leave(self) -> None:
        """Leave for good: end everything and remove the entry."""
        entry_id = self._id
        await self.shut_down("gone")
        await self._fleet.put_entry(entry_id, None)

    async def close(self) -> None:
        """Cancel everything."""
        for task in list(self._tasks):
            task.cancel()
        await self.shut_down("crashed")

    def resize(self, cpu: int | None, mem_mb: int | None) -> None:
        """Change the capacity; the entry shows it with the next heartbeat."""
        self.capacity = Resources(
            self.capacity.cpus if cpu is None else cpu,
            self.capacity.memory_mb if mem_mb is None else mem_mb,
            0,
        )
        room = {"cpu": self.capacity.cpus, "mem_mb": self.capacity.memory_mb}
        if self.boot is not None:
            self.boot.capacity = self.capacity
            self._fleet.history.write(
                "resize", {"worker": self._id, "born": self.boot.born, **room}
            )

    def drain(self, stay_ms: int) -> None:
        """Report that the worker drains; it leaves `stay_ms` after the store took the report."""
        boot = self.boot
        if boot is None:
            raise ValueError(f"worker {self._id} is down; boot it first")
        self._draining, self._stay_ms = True, stay_ms

        async def leave_later() -> None:
            while not await self._send_heartbeat(boot):
                await asyncio.sleep(HEARTBEAT_RETRY_S)
            self._leaves_at = time.monotonic() + stay_ms / 1000
            self._fleet.history.write("drain", {"worker": boot.id, "born": boot.born})
            await asyncio.sleep(stay_ms / 1000)
            if self.boot is boot:
                await self.leave()

        self._spawn(leave_later())

    # Heartbeats.

    async def _send_heartbeats(self, boot: Boot) -> None:
        interval_s = self._fleet.cfg.heartbeat_ms / 1000
        while self.boot is boot:
            sent = await self._send_heartbeat(boot)
            await asyncio.sleep(interval_s if sent else HEARTBEAT_RETRY_S)

    async def _send_heartbeat(self, boot: Boot) -> bool:
        """Write the entry; return whether the store took it."""
        if self.boot is not boot:
            return True
        self._seq += 1
        entry: dict[str, Any] = {
            "service": self.cfg.service,
            "address": self.cfg.advertised,
            "zone": self.cfg.zone,
            "version": VERSION,
            "slots": SLOTS,
            "state": "draining" if self._draining else "ready",
            "cold-remaining-ms": boot.cold_remaining_ms,
            "capacity": {"cpu": self.capacity.cpus, "mem-mb": self.capacity.memory_mb, "gpu": 0},
            "labels": ["a", self.cfg.rack],
            "born": boot.born,
            "seq": self._seq,
        }
        if self._draining:
            left_s = self._stay_ms / 1000
            if self._leaves_at is not None:
                left_s = max(0.0, self._leaves_at - time.monotonic())
            entry["remaining-ms"] = int(left_s * 1000)
        return await self._fleet.put_entry(boot.id, entry)

    # The platform's wire.

    def _draw(self, kind: str) -> Fault | None:
        return self._fleet.faults.draw(kind, worker=self.cfg.id)

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        body = await req.read()
        boot = self.boot
        if boot is None:
            return reset_connection(req)
        if req.path == "/health":
            return web.Response(
                status=503 if self._draining else 200, headers={"X-Instance-Id": boot.id}
            )
        if req.headers.get("X-Expected-Instance", boot.id) != boot.id:
            return web.Response(status=421)
        kind = KIND_BY_CALL.get(req.path.removeprefix(CALL_PATH))
        if kind is None or req.method != "POST":
            return web.Response(status=404)
        try:
            order = msgspec.json.decode(body, type=Order)
        except ValueError as exc:
            return json_answer({"clock-ms": boot.clock_ms(), "error": str(exc)}, 400)
        if self._draw("busy"):
            return web.Response(status=503)
        client = req.remote or ""
        late = self._draw("late_orders")
        if late is not None:
            self._leave_for_later(boot, kind, order, client, late.ms)
            return await leave_unanswered(req)
        status, answer = boot.execute(kind, order, client)
        if self._draw("lost_answers"):
            return await leave_unanswered(req)
        if kind == "hold" and status == 200:
            await boot.wait_for_end(order.wait_ms)
            answer = boot.lists()
            if self._draw("odd_rows"):
                self._add_odd_rows(answer)
        return json_answer(answer, status)

    def _add_odd_rows(self, answer: dict[str, Any]) -> None:
        """Add an odd row to each list; sometimes the one of a run takes its place."""
        for name in ("running", "finished"):
            rows = answer[name] = list(answer[name])
            index = self._rng.randint(0, len(rows))
            hides = name == "running" and self._rng.random() < HIDDEN_SHARE
            odd = msgspec.Raw(self._rng.choice(ODD_ROWS).encode())
            rows[index : index + hides] = [odd]

    def _leave_for_later(
        self, boot: Boot, kind: str, order: Order, client: str, delay_ms: int
    ) -> None:
        if not delay_ms:
            if self._rng.random() < IMMEDIATE_SHARE:
                boot.execute(kind, order, client)
                return
            delay_ms = self._rng.randint(0, self._fleet.cfg.max_order_delay_ms)
        self._spawn(self._execute_late(boot, kind, order, client, delay_ms))

    async def _execute_late(
        self, sent_to: Boot, kind: str, order: Order, client: str, delay_ms: int
    ) -> None:
        """Carry an order out after a delay, also by a later boot with the same ID.

        The ack-cursor of a hold counts the ends of one boot, so a later boot ignores it.
        """
        await self._fleet.sleep(delay_ms / 1000)
        boot = self.boot
        if boot is None or boot.id != sent_to.id or (kind == "hold" and boot is not sent_to):
            return
        boot.execute(kind, order, client, late=True)


class WorkersStandin:
    """Run the workers of one process and take the faults for them."""

    def __init__(
        self,
        cfg: WorkersSettings,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self.cfg = cfg
        self.sleep = sleep  # waits before a late order is carried out
        rng = random.Random(cfg.seed)
        self.faults = Faults(FAULT_KINDS, rng)
        self.history = History(cfg.record)
        self.gangs = Gangs()
        self.workers = {w.id: _Worker(w, self, random.Random(rng.random())) for w in cfg.workers}
        self._advice: web.ServerRunner | None = None
        self._runner: web.ServerRunner | None = None
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the admin port and boot all workers."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=HEARTBEAT_TIMEOUT_S)
        )
        if self.cfg.advice is not None:
            self._advice = await listen(AdviceStandin().handle, self.cfg.advice)
        for worker in self.workers.values():
            await worker.start()
        admin = admin_handler(
            {
                "/state": lambda req, body: self._state(),
                "/fault": lambda req, body: self.change_fault(body),
                "/worker": lambda req, body: self._change_worker(body),
            }
        )
        self._runner = await listen(admin, self.cfg.admin)

    async def stop(self) -> None:
        """Stop the workers and close the addresses and the history."""
        for worker in self.workers.values():
            await worker.close()
        for runner in (self._runner, self._advice):
            if runner is not None:
                await runner.cleanup()
        if self._session is not None:
            await self._session.close()
        self.history.close()

    async def put_entry(self, worker_id: str, entry: dict[str, Any] | None) -> bool:
        """Write or remove the entry of a worker; return whether the store took it."""
        assert self._session is not None
        ttl_ms = HEARTBEATS_KEPT * self.cfg.heartbeat_ms if entry else 0
        change = {"key": f"servers/{worker_id}", "value": entry, "ttl_ms": ttl_ms}
        url = f"http://{self.cfg.store_admin}/entry"
        try:
            async with self._session.post(url, data=msgspec.json.encode(change)) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    def change_fault(self, body: bytes) -> dict[str, Any]:
        """Switch a fault on or off."""
        self.faults.change(msgspec.json.decode(body, type=Fault))
        return {}

    async def _change_worker(self, body: bytes) -> dict[str, Any]:
        change = msgspec.json.decode(body, type=_Change)
        worker = self.workers.get(change.id)
        if worker is None:
            raise ValueError(f"no worker {change.id!r}; use an id of the settings")
        match change.do:
            case "crash":
                await worker.shut_down("crashed")
            case "boot":
                await worker.start(change.new_id, change.ms or 0)
            case "gone":
                await worker.leave()
            case "drain":
                worker.drain(self.cfg.drain_ms if change.ms is None else change.ms)
            case "resize":
                worker.resize(change.cpu, change.mem_mb)
        return {}

    def _state(self) -> list[dict[str, Any]]:
        return [
            {
                "id": worker.boot.id if worker.boot else worker_id,
                "address": worker.address,
                "up": worker.boot is not None,
                "born": worker.boot.born if worker.boot else 0,
                "running": worker.boot.runs if worker.boot else [],
            }
            for worker_id, worker in self.workers.items()
        ]
