"""Simulation of the platform: its log, instance list, workers and backend servers.

Two more routes, /control and /audit, let the demo and the tests inject faults and read what ran.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections import deque
from typing import Any

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.placement import Resources
from greengagewood.internal.standin.backend import StandinBackend
from greengagewood.internal.standin.log import LogFaults, StandinLog
from greengagewood.internal.standin.settings import EntrySettings, StandinSettings
from greengagewood.internal.standin.worker import StandinWorker

__all__ = ["StandinPlatform"]

TICK_INTERVAL_S = 0.02
LIST_SNAPSHOT_INTERVAL_S = 0.1


class ControlRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Change the running simulation; a field that is None leaves its part unchanged.

    `cut_addresses` holds the IP addresses of clients whose requests are cut off, and `cut_from_log`
    those that only the log cuts off.
    """

    log: LogFaults | None = None
    leaving_backends: tuple[str, ...] | None = None
    silent_workers: tuple[str, ...] | None = None
    failing_workers: tuple[str, ...] | None = None
    entries: tuple[EntrySettings, ...] | None = None
    list_down: bool | None = None
    reserve_cpus: int | None = None
    cut_addresses: tuple[str, ...] | None = None
    cut_from_log: tuple[str, ...] | None = None


class StandinPlatform:
    """Run the simulations of all the platform's services in one process."""

    def __init__(self, cfg: StandinSettings) -> None:
        self._cfg = cfg
        rng = random.Random(cfg.seed)
        self.log = StandinLog(cfg.log_delay_ms, cfg.retention_records, rng)
        self.workers = {
            w.name: StandinWorker(w, cfg.usage_lag_ms, random.Random(rng.random()), monotonic_ms)
            for w in cfg.workers
        }
        self.backends = {
            w.name: StandinBackend(
                w.name,
                cfg.slots,
                cfg.connections,
                cfg.base_latency_ms,
                cfg.interference,
                random.Random(rng.random()),
                monotonic_ms,
                self._task_counter(w.name),
            )
            for w in cfg.workers
            if w.backend_port
        }
        self._entries = cfg.entries
        self._list_down = False
        self._cut_addresses: frozenset[str] = frozenset()
        self._cut_from_log: frozenset[str] = frozenset()
        self._list_history: deque[tuple[int, bytes]] = deque()
        self._runners: list[web.AppRunner] = []
        self._background_tasks: list[asyncio.Task[None]] = []

    def _task_counter(self, name: str) -> Any:
        """Return a function that counts the tasks now running on a worker."""
        return lambda: self.workers[name].running_tasks

    async def start(self) -> None:
        """Listen on every port and start the background tasks."""
        app = web.Application(
            client_max_size=64 * 1024 * 1024, middlewares=[self._partition_middleware()]
        )
        self.log.register(app)
        app.router.add_get("/instances", self._serve_list)
        app.router.add_post("/workers/{name}/exchange", self._serve_exchange)
        app.router.add_post("/control", self._apply_control)
        app.router.add_get("/audit", self._serve_audit)
        await self._listen_on(app, self._cfg.listen.port)
        for worker in self._cfg.workers:
            if worker.backend_port:
                backend_app = web.Application(
                    client_max_size=64 * 1024 * 1024, middlewares=[self._partition_middleware()]
                )
                backend_app.router.add_route("*", "/{p:.*}", self.backends[worker.name].serve)
                await self._listen_on(backend_app, worker.backend_port)
        self._background_tasks.append(asyncio.create_task(self._tick_workers()))
        self._background_tasks.append(asyncio.create_task(self._record_list_history()))

    def _partition_middleware(self) -> Middleware:
        """Return a middleware that aborts the connections of addresses that are cut off."""

        @web.middleware
        async def abort_if_cut(request: web.Request, handler: Handler) -> web.StreamResponse:
            is_cut = request.remote in self._cut_addresses
            if request.path.startswith("/log/"):
                is_cut = is_cut or request.remote in self._cut_from_log
            if not is_cut:
                return await handler(request)
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=503)

        return abort_if_cut

    async def _listen_on(self, app: web.Application, port: int) -> None:
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        await runner.setup()
        await web.TCPSite(runner, self._cfg.listen.ip, port, backlog=1024).start()
        self._runners.append(runner)

    async def stop(self) -> None:
        """Stop the background tasks and close every port."""
        for task in self._background_tasks:
            task.cancel()
        for runner in self._runners:
            await runner.cleanup()

    async def _tick_workers(self) -> None:
        while True:
            for worker in self.workers.values():
                worker.tick()
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _record_list_history(self) -> None:
        """Record the list regularly; the version served is about `list_lag_ms` old."""
        while True:
            now_ms = monotonic_ms()
            self._list_history.append((now_ms, self._encode_list()))
            while (
                len(self._list_history) > 1
                and self._list_history[1][0] <= now_ms - self._cfg.list_lag_ms
            ):
                self._list_history.popleft()
            await asyncio.sleep(LIST_SNAPSHOT_INTERVAL_S)

    def _encode_list(self) -> bytes:
        base = f"http://{self._cfg.listen}/workers"
        workers = [
            {
                "worker": w.name,
                "failure_domain": w.failure_domain,
                "rack": w.rack,
                "url": f"{base}/{w.name}",
                "leaving": False,
            }
            for w in self._cfg.workers
        ]
        backends = [
            {
                "service": self._cfg.service,
                "worker": w.name,
                "failure_domain": w.failure_domain,
                "url": f"http://{self._cfg.listen.ip}:{w.backend_port}",
                "leaving": self.backends[w.name].leaving_since_ms is not None,
            }
            for w in self._cfg.workers
            if w.backend_port
        ]
        entries = [
            {
                "instance": e.instance,
                "failure_domain": e.failure_domain,
                "keeper": e.keeper,
                "leaving": False,
            }
            for e in self._entries
        ]
        return msgspec.json.encode({"entries": entries, "workers": workers, "backends": backends})

    async def _serve_list(self, req: web.Request) -> web.Response:
        if self._list_down or not self._list_history:
            return web.Response(status=503)
        body = self._list_history[0][1]
        etag = f'"{hashlib.sha256(body).hexdigest()[:16]}"'
        if req.headers.get("If-None-Match") == etag:
            return web.Response(status=304, headers={"ETag": etag})
        return web.Response(body=body, content_type="application/json", headers={"ETag": etag})

    async def _serve_exchange(self, req: web.Request) -> web.Response:
        worker = self.workers.get(req.match_info["name"])
        return await worker.serve(req) if worker else web.Response(status=404)

    async def _apply_control(self, req: web.Request) -> web.Response:
        change = msgspec.json.decode(await req.read(), type=ControlRequest)
        if change.log is not None:
            self.log.faults = change.log
        if change.leaving_backends is not None:
            for name in change.leaving_backends:
                self.backends[name].leaving_since_ms = monotonic_ms()
        if change.silent_workers is not None:
            for name, worker in self.workers.items():
                worker.silent = name in change.silent_workers
        if change.failing_workers is not None:
            for name, worker in self.workers.items():
                worker.fail_every_task = name in change.failing_workers
        if change.entries is not None:
            self._entries = change.entries
        if change.list_down is not None:
            self._list_down = change.list_down
        if change.cut_addresses is not None:
            self._cut_addresses = frozenset(change.cut_addresses)
        if change.cut_from_log is not None:
            self._cut_from_log = frozenset(change.cut_from_log)
        if change.reserve_cpus is not None:
            for worker in self.workers.values():
                worker.reserved = Resources(change.reserve_cpus, 0, 0)
        return web.json_response({})

    async def _serve_audit(self, req: web.Request) -> web.Response:
        body = msgspec.json.encode(
            {
                "executions": [e for b in self.backends.values() for e in b.audit],
                "tasks": [e for w in self.workers.values() for e in w.audit],
                "max_committed": {n: w.max_committed for n, w in self.workers.items()},
                "capacity": {
                    n: Resources(w.cfg.cpus, w.cfg.memory_mb, w.cfg.accelerators)
                    for n, w in self.workers.items()
                },
                "log_appends": self.log.append_count,
            }
        )
        return web.Response(body=body, content_type="application/json")
