"""The gateway: callers' HTTP, on to backend servers, the keeper and the schedulers."""

from __future__ import annotations

import asyncio
import random
import uuid
from typing import Any

from aiohttp import web
from multidict import CIMultiDict

from greengagewood.internal.access import AccessTable, AuthenticatedCaller
from greengagewood.internal.body import BodyRefused, read_body
from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.confighistory import AcceptedConfig
from greengagewood.internal.connections import ConnectionGuard
from greengagewood.internal.daemon import supervised_loop
from greengagewood.internal.dispatch import Dispatcher, OpenAnswer
from greengagewood.internal.document import Document, Service
from greengagewood.internal.feed import Feed, ReplayedRecord
from greengagewood.internal.jobapi import JobApi
from greengagewood.internal.jobindex import JobIndex
from greengagewood.internal.keyed import KeyedRequests, digest_parts
from greengagewood.internal.link import Link, Listener
from greengagewood.internal.linkpool import LinkPool
from greengagewood.internal.logs import Log
from greengagewood.internal.messages import LatencyReport, Member, StoredAnswer
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.native.backends import (
    HOP_HEADERS,
    REQUEST_ID,
    Answer,
    Backends,
    OutgoingRequest,
)
from greengagewood.internal.records import JobSubmitted, StreamNames
from greengagewood.internal.settings import GatewaySettings
from greengagewood.internal.verdict import Reason, Refusal, Verdict, not_run

__all__ = ["Gateway"]

MAX_LINE_BYTES = 8 * 1024
MAX_HEADER_BYTES = 16 * 1024
STOP_TIMEOUT_S = 30.0
REPORT_INTERVAL_S = 1.0
REPORT_TIMEOUT_S = 0.5
KEY_HEADER = "Idempotency-Key"
MAX_KEY_CHARS = 200
STRIPPED_HEADERS = HOP_HEADERS | {
    "authorization",
    "x-caller",
    "x-team",
    "x-request-id",
    "idempotency-key",
    "expect",
}

_log = Log("gateway")


class Gateway:
    """Serve callers."""

    def __init__(self, cfg: GatewaySettings, metrics: Metrics) -> None:
        self._cfg = cfg
        self._metrics = metrics
        self._names = StreamNames(cfg.environment, cfg.stage)
        self._rng = random.Random()
        self._document: Document | None = None
        self._access: AccessTable | None = None
        self._dispatchers: dict[str, Dispatcher] = {}
        self._index = JobIndex()
        self._draining = False
        self._inside = 0
        self._guard = ConnectionGuard(metrics, cfg.quiet_limit_ms)
        self._loops: list[asyncio.Future[None]] = []

    async def start(self) -> None:
        """Follow the keeper and open the callers' port."""
        cfg = self._cfg
        name = f"{cfg.instance}.gateway"
        self._backends = Backends(cfg.listen.ip)
        self._keeper = Link(name, str(cfg.keeper), cfg.keys, self._metrics)
        self._pool = LinkPool(name, cfg.keys, self._metrics)
        self._feed = Feed("gateway", self._keeper, self._metrics)
        self._feed.follow(self._names.jobs)
        self._keyed = KeyedRequests(
            cfg.instance, self._names.keys, self._keeper, self._pool, self._feed, self._metrics
        )
        self._jobs = JobApi(
            cfg.failure_domain, self._names.jobs, self._keeper, self._pool, self._feed, self._index
        )
        self._feed.config.subscribe(self._take_config)
        self._feed.backends.subscribe(lambda _: self._share_backends())
        self._feed.records.subscribe(self._take_record)
        self._listener = Listener(name, cfg.peer, cfg.keys, self._keyed.handle, self._metrics)
        self._listener.start()
        loop = supervised_loop("feed", self._feed.step, self._metrics, 0.2)
        self._loops.append(asyncio.ensure_future(loop()))
        refresh = supervised_loop("backends", self._refresh_backends, self._metrics, 1.0)
        self._loops.append(asyncio.ensure_future(refresh()))
        await self._open_port()
        sweep = supervised_loop("sweep", self._sweep, self._metrics, 1.0)
        self._loops.append(asyncio.ensure_future(sweep()))

    async def _sweep(self) -> None:
        server = self._runner.server
        assert server is not None
        await self._guard.sweep(server)

    async def _open_port(self) -> None:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._handle)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            auto_decompress=False,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        await self._runner.setup()
        listen = self._cfg.listen
        await web.TCPSite(self._runner, listen.ip, listen.port, backlog=1024).start()

    async def stop(self) -> None:
        """Let the balancer notice, finish every request in progress and close."""
        self._draining = True
        await asyncio.sleep(self._cfg.drain_grace_ms / 1000)
        await self._runner.cleanup()
        await self._keyed.stop()
        for loop in self._loops:
            loop.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)
        await self._listener.stop()
        self._pool.close()
        self._keeper.close()
        await self._backends.close()

    def ready(self) -> str:
        """Return what the gateway waits for, if anything."""
        if self._draining:
            return "its requests in progress, to stop"
        return "" if self._document else "a configuration"

    def status(self) -> Any:
        """Describe the services as this gateway sees them."""
        return {
            "inside": self._inside,
            "services": {
                name: {
                    "inside": dispatcher.limiter.in_progress,
                    "waiting": dispatcher.limiter.queued,
                    "in_flight_cap": dispatcher.table.in_flight_cap,
                    "backends": [vars(backend) for backend in dispatcher.table],
                }
                for name, dispatcher in self._dispatchers.items()
            },
        }

    # What the keeper tells.

    def _take_config(self, accepted: AcceptedConfig | None) -> None:
        if accepted is None:
            return
        document = accepted.document
        self._document = document
        self._access = AccessTable(document)
        for name in list(self._dispatchers):
            if name not in document.services:
                del self._dispatchers[name]
        for name, service in document.services.items():
            self._set_service(name, service)
        self._share_backends()

    def _set_service(self, name: str, service: Service) -> None:
        known = self._dispatchers.get(name)
        if known is not None:
            known.set_service(service)
            return
        self._dispatchers[name] = Dispatcher(
            name, service, self._cfg.failure_domain, self._backends, self._metrics, self._rng
        )

    def _take_record(self, replayed: ReplayedRecord) -> None:
        if isinstance(replayed.record, JobSubmitted):
            self._index.add(replayed.record)

    async def _refresh_backends(self) -> None:
        self._share_backends()
        await self._report_latencies()
        await asyncio.sleep(REPORT_INTERVAL_S)

    async def _report_latencies(self) -> None:
        """Tell the owners of cells what was seen at each worker; a lost report is not repeated."""
        rows = tuple(row for d in self._dispatchers.values() for row in d.drain_latencies())
        owners = {
            m.scheduler_address
            for m in self._live_members()
            if m.owned_cells and m.scheduler_address
        }
        if rows and owners:
            asks = (
                self._pool.link(owner).request(LatencyReport(rows), REPORT_TIMEOUT_S)
                for owner in owners
            )
            await asyncio.gather(*asks, return_exceptions=True)

    def _share_backends(self) -> None:
        gateways = sum(1 for member in self._live_members() if member.gateway_address)
        for name, dispatcher in self._dispatchers.items():
            entries = [b for b in self._feed.backends.value if b.service == name]
            dispatcher.set_backends(entries, gateways)

    def _live_members(self) -> list[Member]:
        if self._document is None:
            return []
        limit_ms = self._document.leases.suspect_after_ms
        now_ms = monotonic_ms()
        heard = self._feed.cluster_status.value.members.values()
        return [member for member, heard_ms in heard if now_ms - heard_ms <= limit_ms]

    # Callers.

    async def _handle(self, req: web.Request) -> web.StreamResponse:
        request_id = uuid.uuid4().hex
        started_ms = monotonic_ms()
        transport = req.transport
        self._inside += 1
        self._guard.entered(transport)
        try:
            resp = await self._answer(req, request_id)
        finally:
            self._inside -= 1
            self._guard.left(transport)
        if req.transport is None:
            self._metrics.count("callers_gone")
        if self._draining and not resp.prepared:
            resp.force_close()
        self._metrics.observe("request", (monotonic_ms() - started_ms) / 1000)
        return resp

    async def _answer(self, req: web.Request, request_id: str) -> web.StreamResponse:
        if self._document is None or self._access is None:
            refusal = not_run(Reason.NOT_READY, "no configuration is in force yet")
            return self._refuse(refusal, request_id)
        caller = self._access.find_caller(req.headers.get("Authorization", ""))
        if caller is None:
            refusal = not_run(Reason.UNKNOWN_CALLER, "no such bearer token", 401, None)
            return self._refuse(refusal, request_id)
        if req.path == "/v1/jobs" or req.path.startswith("/v1/jobs/"):
            outcome = await self._jobs.handle(req, caller, self._document, self._live_members())
            if isinstance(outcome, Refusal):
                return self._refuse(outcome, request_id)
            return web.json_response(outcome.body, status=outcome.status)
        found = self._access.find_service(req.path)
        if found is None:
            refusal = not_run(Reason.NO_ROUTE, "no service has this route", 404, None)
            return self._refuse(refusal, request_id)
        try:
            return await self._serve(req, request_id, caller, *found)
        except BodyRefused as exc:
            return self._refuse(exc.refusal, request_id)

    def _refuse(self, refusal: Refusal, request_id: str) -> web.Response:
        self._metrics.count("refusals", verdict=refusal.verdict, reason=refusal.reason)
        headers = {REQUEST_ID: request_id}
        if refusal.retry_after_ms is not None:
            headers["Retry-After"] = str(-(-refusal.retry_after_ms // 1000))
        return web.Response(
            status=refusal.status,
            body=refusal.to_json(request_id),
            content_type="application/json",
            headers=headers,
        )

    async def _serve(
        self,
        req: web.Request,
        request_id: str,
        caller: AuthenticatedCaller,
        name: str,
        service: Service,
    ) -> web.StreamResponse:
        deadline_ms = monotonic_ms() + service.limits.timeout_ms
        body = await read_body(req, service.limits.max_body_bytes)
        idempotent = req.method in service.idempotent_methods
        outgoing = OutgoingRequest(
            request_id,
            req.method,
            req.raw_path,
            self._headers_for_backend(req, caller, request_id),
            body,
            idempotent,
        )
        key = req.headers.get(KEY_HEADER, "")
        if len(key) > MAX_KEY_CHARS:
            detail = f"{KEY_HEADER} is longer than {MAX_KEY_CHARS} characters"
            return self._refuse(not_run(Reason.BAD_REQUEST, detail, 400, None), request_id)
        dispatcher = self._dispatchers[name]
        if key and not idempotent:
            return await self._serve_keyed(req, outgoing, caller, dispatcher, key, deadline_ms)
        outcome = await dispatcher.send(outgoing, deadline_ms)
        if isinstance(outcome, Refusal):
            return self._refuse(outcome, request_id)
        return await self._pass_on(req, request_id, outcome)

    def _headers_for_backend(
        self, req: web.Request, caller: AuthenticatedCaller, request_id: str
    ) -> CIMultiDict[str]:
        headers = CIMultiDict(
            (name, value)
            for name, value in req.headers.items()
            if name.lower() not in STRIPPED_HEADERS
        )
        headers["X-Caller"] = caller.name
        headers["X-Team"] = caller.team
        headers[REQUEST_ID] = request_id
        return headers

    async def _serve_keyed(
        self,
        req: web.Request,
        outgoing: OutgoingRequest,
        caller: AuthenticatedCaller,
        dispatcher: Dispatcher,
        key: str,
        deadline_ms: int,
    ) -> web.StreamResponse:
        assert self._document is not None
        scoped = digest_parts(caller.name, dispatcher.name, key)
        digest = digest_parts(outgoing.method, outgoing.path, outgoing.body)

        async def run() -> StoredAnswer | Refusal:
            opened = await dispatcher.send(outgoing, deadline_ms)
            return opened if isinstance(opened, Refusal) else await _read_whole(opened)

        outcome = await self._keyed.run(
            scoped, outgoing.id, digest, self._document.outage, deadline_ms, run
        )
        if isinstance(outcome, Refusal):
            return self._refuse(outcome, outgoing.id)
        headers = CIMultiDict(outcome.headers)
        headers[REQUEST_ID] = outgoing.id
        return web.Response(status=outcome.status, body=outcome.body, headers=headers)

    async def _pass_on(
        self, req: web.Request, request_id: str, opened: OpenAnswer
    ) -> web.StreamResponse:
        answer = opened.answer
        answer.headers[REQUEST_ID] = request_id
        if answer.rest is None:
            opened.close(True)
            return web.Response(status=answer.status, body=answer.first, headers=answer.headers)
        return await self._stream(req, opened)

    async def _stream(self, req: web.Request, opened: OpenAnswer) -> web.StreamResponse:
        """Pass a large answer on; break the connection off if it does not come whole."""
        answer = opened.answer
        assert answer.rest is not None
        resp = web.StreamResponse(status=answer.status, headers=answer.headers)
        if self._draining:
            resp.force_close()
        whole = False
        try:
            await resp.prepare(req)
            await resp.write(answer.first)
            async for chunk in answer.rest:
                await resp.write(chunk)
            await resp.write_eof()
            whole = True
        except Exception as exc:
            self._metrics.count("answers_broken_off", kind=type(exc).__name__)
            if req.transport is not None:
                req.transport.abort()
        finally:
            opened.close(whole)
        return resp


async def _read_whole(opened: OpenAnswer) -> StoredAnswer | Refusal:
    answer: Answer = opened.answer
    body = bytearray(answer.first)
    whole = False
    try:
        if answer.rest is not None:
            async for chunk in answer.rest:
                body += chunk
        whole = True
    except Exception as exc:
        return Refusal(Verdict.MAY_HAVE_RUN, Reason.BACKEND_BROKE_OFF, repr(exc), 504)
    finally:
        opened.close(whole)
    answer.headers.popall("Content-Length", None)
    headers = tuple((str(name), value) for name, value in answer.headers.items())
    return StoredAnswer(answer.status, headers, bytes(body))
