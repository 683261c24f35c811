"""The gateway: serves callers over HTTP.

It forwards requests for services to their backend servers. For jobs and idempotency keys, it asks
the keeper and the schedulers.
"""

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
from greengagewood.internal.dispatch import Dispatcher, OpenAnswer
from greengagewood.internal.document import Document, Service
from greengagewood.internal.feed import Feed, ReplayedRecord
from greengagewood.internal.httplistener import HttpListener
from greengagewood.internal.jobapi import JobApi
from greengagewood.internal.jobindex import JobIndex
from greengagewood.internal.keyed import KeyedRequests, digest_parts
from greengagewood.internal.link import Link, Listener
from greengagewood.internal.linkpool import LinkPool
from greengagewood.internal.logs import Log
from greengagewood.internal.messages import LatencyReport, Member, StoredAnswer
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.native.backends import (
    HOP_BY_HOP_HEADERS,
    REQUEST_ID_HEADER,
    BackendClient,
    BackendResponse,
    OutgoingRequest,
)
from greengagewood.internal.process import supervised_loop
from greengagewood.internal.records import JobSubmitted, StreamNames
from greengagewood.internal.settings import GatewaySettings
from greengagewood.internal.verdict import Reason, Refusal, Verdict, not_run

__all__ = ["Gateway"]

MAX_REQUEST_LINE_BYTES = 8 * 1024
MAX_HEADER_FIELD_BYTES = 16 * 1024
LISTEN_BACKLOG = 1024
STOP_TIMEOUT_S = 30.0  # for requests in progress to finish
LATENCY_REPORT_INTERVAL_S = 1.0
LATENCY_REPORT_TIMEOUT_S = 0.5
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
MAX_KEY_CHARS = 200
# Headers of a caller's request that do not reach the backend server; the gateway sets some itself.
STRIPPED_HEADERS = HOP_BY_HOP_HEADERS | {
    "authorization",
    "x-caller",
    "x-team",
    "x-request-id",
    "idempotency-key",
    "expect",
}

_log = Log("gateway")


class Gateway:
    """Serve the callers of one instance."""

    def __init__(self, cfg: GatewaySettings, metrics: Metrics) -> None:
        self._cfg = cfg
        self._metrics = metrics
        self._stream_names = StreamNames(cfg.environment, cfg.stage)
        self._rng = random.Random()
        self._document: Document | None = None
        self._access: AccessTable | None = None
        self._dispatchers: dict[str, Dispatcher] = {}
        self._job_index = JobIndex()
        self._draining = False
        self._requests_in_progress = 0
        self._connection_guard = ConnectionGuard(metrics, cfg.quiet_limit_ms)
        self._loops: list[asyncio.Future[None]] = []

    async def start(self) -> None:
        """Begin to sync with the keeper, and listen for callers."""
        cfg = self._cfg
        name = f"{cfg.instance}.gateway"
        self._backends = BackendClient(cfg.listen.ip)
        self._keeper = Link(name, str(cfg.keeper), cfg.keys, self._metrics)
        self._pool = LinkPool(name, cfg.keys, self._metrics)
        self._feed = Feed("gateway", self._keeper, self._metrics)
        self._feed.follow(self._stream_names.jobs)
        self._keyed_requests = KeyedRequests(
            cfg.instance,
            self._stream_names.keys,
            self._keeper,
            self._pool,
            self._feed,
            self._metrics,
        )
        self._job_api = JobApi(
            cfg.failure_domain,
            self._stream_names.jobs,
            self._keeper,
            self._pool,
            self._feed,
            self._job_index,
        )
        self._feed.config.subscribe(self._apply_config)
        self._feed.backends.subscribe(lambda _: self._update_backends())
        self._feed.evacuations.subscribe(lambda _: self._update_backends())
        self._feed.records.subscribe(self._apply_record)
        self._listener = Listener(
            name, cfg.peer, cfg.keys, self._keyed_requests.handle, self._metrics
        )
        self._listener.start()
        loop = supervised_loop("feed", self._feed.sync, self._metrics, 0.2)
        self._loops.append(asyncio.ensure_future(loop()))
        refresh = supervised_loop("backends", self._refresh_backends, self._metrics, 1.0)
        self._loops.append(asyncio.ensure_future(refresh()))
        await self._listen_for_callers()
        sweep = supervised_loop("sweep", self._enforce_connection_limits, self._metrics, 1.0)
        self._loops.append(asyncio.ensure_future(sweep()))

    async def _enforce_connection_limits(self) -> None:
        server = self._runner.server
        assert server is not None
        await self._connection_guard.enforce_limits(server)

    async def _listen_for_callers(self) -> None:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._handle_request)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            auto_decompress=False,
            max_line_size=MAX_REQUEST_LINE_BYTES,
            max_field_size=MAX_HEADER_FIELD_BYTES,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        await self._runner.setup()
        listen = self._cfg.listen
        self._caller_listener = HttpListener(self._runner, self._connection_guard)
        await self._caller_listener.start(listen.ip, listen.port, LISTEN_BACKLOG)

    async def stop(self) -> None:
        """Drain and close.

        The load balancer gets `drain_grace_ms` to see that the gateway is not ready; then the
        requests in progress, and those on their way, are finished.
        """
        self._draining = True
        await asyncio.sleep(self._cfg.drain_grace_ms / 1000)
        await self._caller_listener.stop_accepting()
        await self._caller_listener.wait_until_idle(STOP_TIMEOUT_S)
        await self._caller_listener.close()
        await self._keyed_requests.stop()
        for loop in self._loops:
            loop.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)
        await self._listener.stop()
        self._pool.close()
        self._keeper.close()
        await self._backends.close()

    def ready(self) -> str:
        """Return an empty string if the gateway can serve, else what it waits for."""
        if self._draining:
            return "its requests in progress, to stop"
        return "" if self._document else "a configuration"

    def status(self) -> Any:
        """Describe the requests in progress and the state of each service's backend servers."""
        return {
            "inside": self._requests_in_progress,
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

    # Updates from the keeper.

    def _apply_config(self, accepted: AcceptedConfig | None) -> None:
        if accepted is None:
            return
        document = accepted.document
        self._document = document
        self._access = AccessTable(document)
        for name in list(self._dispatchers):
            if name not in document.services:
                del self._dispatchers[name]
        for name, service in document.services.items():
            self._apply_service(name, service)
        self._update_backends()

    def _apply_service(self, name: str, service: Service) -> None:
        dispatcher = self._dispatchers.get(name)
        if dispatcher is not None:
            dispatcher.set_service(service)
            return
        self._dispatchers[name] = Dispatcher(
            name, service, self._cfg.failure_domain, self._backends, self._metrics, self._rng
        )

    def _apply_record(self, replayed: ReplayedRecord) -> None:
        if isinstance(replayed.record, JobSubmitted):
            self._job_index.add(replayed.record)

    async def _refresh_backends(self) -> None:
        self._update_backends()
        await self._report_latencies()
        await asyncio.sleep(LATENCY_REPORT_INTERVAL_S)

    async def _report_latencies(self) -> None:
        """Report each worker's latencies to the owners of cells; a lost report is not repeated."""
        latencies = tuple(
            latency
            for dispatcher in self._dispatchers.values()
            for latency in dispatcher.drain_latencies()
        )
        owners = {
            m.scheduler_address
            for m in self._live_members()
            if m.owned_cells and m.scheduler_address
        }
        if latencies and owners:
            requests = (
                self._pool.link(owner).request(LatencyReport(latencies), LATENCY_REPORT_TIMEOUT_S)
                for owner in owners
            )
            await asyncio.gather(*requests, return_exceptions=True)

    def _update_backends(self) -> None:
        gateways = sum(1 for member in self._live_members() if member.gateway_address)
        evacuated_domains = self._feed.evacuations.value.domains
        for name, dispatcher in self._dispatchers.items():
            entries = [b for b in self._feed.backends.value if b.service == name]
            dispatcher.set_backends(entries, gateways, evacuated_domains)
            evacuated = sum(backend.evacuated for backend in dispatcher.table)
            self._metrics.gauge("evacuated_backends", evacuated, service=name)

    def _live_members(self) -> list[Member]:
        if self._document is None:
            return []
        suspect_ms = self._document.leases.suspect_after_ms
        now_ms = monotonic_ms()
        members = self._feed.cluster_status.value.members.values()
        return [member for member, heard_ms in members if now_ms - heard_ms <= suspect_ms]

    # Requests of callers.

    async def _handle_request(self, req: web.Request) -> web.StreamResponse:
        request_id = uuid.uuid4().hex
        started_ms = monotonic_ms()
        transport = req.transport
        self._requests_in_progress += 1
        self._connection_guard.request_started(transport)
        try:
            resp = await self._answer(req, request_id)
        finally:
            self._requests_in_progress -= 1
            self._connection_guard.request_finished(transport)
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
            outcome = await self._job_api.handle(req, caller, self._document, self._live_members())
            if isinstance(outcome, Refusal):
                return self._refuse(outcome, request_id)
            return web.json_response(outcome.body, status=outcome.status)
        found_service = self._access.find_service(req.path)
        if found_service is None:
            refusal = not_run(Reason.NO_ROUTE, "no service has this route", 404, None)
            return self._refuse(refusal, request_id)
        try:
            return await self._serve(req, request_id, caller, *found_service)
        except BodyRefused as exc:
            return self._refuse(exc.refusal, request_id)

    def _refuse(self, refusal: Refusal, request_id: str) -> web.Response:
        self._metrics.count("refusals", verdict=refusal.verdict, reason=refusal.reason)
        headers = {REQUEST_ID_HEADER: request_id}
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
        key = req.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        if len(key) > MAX_KEY_CHARS:
            detail = f"{IDEMPOTENCY_KEY_HEADER} is longer than {MAX_KEY_CHARS} characters"
            return self._refuse(not_run(Reason.BAD_REQUEST, detail, 400, None), request_id)
        dispatcher = self._dispatchers[name]
        if key and not idempotent:
            return await self._serve_keyed(req, outgoing, caller, dispatcher, key, deadline_ms)
        outcome = await dispatcher.send(outgoing, deadline_ms)
        if isinstance(outcome, Refusal):
            return self._refuse(outcome, request_id)
        return await self._forward_answer(req, request_id, outcome)

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
        headers[REQUEST_ID_HEADER] = request_id
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
        scoped_key = digest_parts(caller.name, dispatcher.name, key)
        request_digest = digest_parts(outgoing.method, outgoing.path, outgoing.body)

        async def run() -> StoredAnswer | Refusal:
            open_answer = await dispatcher.send(outgoing, deadline_ms)
            return (
                open_answer if isinstance(open_answer, Refusal) else await _read_answer(open_answer)
            )

        outcome = await self._keyed_requests.run(
            scoped_key, outgoing.id, request_digest, self._document.outage, deadline_ms, run
        )
        if isinstance(outcome, Refusal):
            return self._refuse(outcome, outgoing.id)
        headers = CIMultiDict(outcome.headers)
        headers[REQUEST_ID_HEADER] = outgoing.id
        return web.Response(status=outcome.status, body=outcome.body, headers=headers)

    async def _forward_answer(
        self, req: web.Request, request_id: str, open_answer: OpenAnswer
    ) -> web.StreamResponse:
        answer = open_answer.answer
        answer.headers[REQUEST_ID_HEADER] = request_id
        if answer.body_rest is None:
            open_answer.close(True)
            return web.Response(
                status=answer.status, body=answer.body_start, headers=answer.headers
            )
        return await self._stream_answer(req, open_answer)

    async def _stream_answer(self, req: web.Request, open_answer: OpenAnswer) -> web.StreamResponse:
        """Stream a large answer; abort the caller's connection if it does not arrive completely."""
        answer = open_answer.answer
        assert answer.body_rest is not None
        resp = web.StreamResponse(status=answer.status, headers=answer.headers)
        if self._draining:
            resp.force_close()
        complete: bool | None = False
        try:
            await resp.prepare(req)
            await resp.write(answer.body_start)
            async for chunk in answer.body_rest:
                await resp.write(chunk)
            complete = True
            await resp.write_eof()
        except Exception as exc:
            self._metrics.count("answers_broken_off", kind=type(exc).__name__)
            if req.transport is None or req.transport.is_closing():
                complete = None  # the caller has hung up
            else:
                req.transport.abort()
        finally:
            open_answer.close(complete)
        return resp


async def _read_answer(open_answer: OpenAnswer) -> StoredAnswer | Refusal:
    answer: BackendResponse = open_answer.answer
    body = bytearray(answer.body_start)
    complete = False
    try:
        if answer.body_rest is not None:
            async for chunk in answer.body_rest:
                body += chunk
        complete = True
    except Exception as exc:
        return Refusal(Verdict.MAY_HAVE_RUN, Reason.BACKEND_BROKE_OFF, repr(exc), 504)
    finally:
        open_answer.close(complete)
    answer.headers.popall("Content-Length", None)
    headers = tuple((str(name), value) for name, value in answer.headers.items())
    return StoredAnswer(answer.status, headers, bytes(body))
