"""HTTP server for callers: submit a job, read its state, cancel it, and count pending jobs."""

from __future__ import annotations

import re

from aiohttp import web

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.connections import ConnectionGuard
from greengagewood.internal.entry import EntryInstance
from greengagewood.internal.jobs.model import InvalidJob
from greengagewood.internal.logs import Log
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.ports import Outcome, RouteRule, StoreUnavailable
from greengagewood.platform.jobs import parse_job
from greengagewood.platform.wire import encode

__all__ = ["Frontend"]

JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
DEFAULT_DEADLINE_MS = 3_000
MAX_DEADLINE_MS = 60_000  # the cancellation of a job that is not stored yet is kept for longer
RESPONSE_MARGIN_MS = 300  # part of the caller's deadline kept for sending the response
NOT_ACCEPTED = "not accepted, and it will not run"
NOT_CANCELLED = "the job was not cancelled"
READY_PATH = "/greengagewood/ready"

_log = Log("frontend")


class Frontend:
    """Handle requests of callers and readiness checks of the platform."""

    def __init__(self, instance: EntryInstance, metrics: Metrics) -> None:
        self._instance = instance
        self._metrics = metrics
        self.draining = False
        self.connections = ConnectionGuard(metrics)

    async def handle_ready(self, req: web.BaseRequest) -> web.StreamResponse:
        """Handle a readiness check."""
        if req.path != READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self._instance.ready and not self.draining else 503)

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Handle a request of a caller; log it unless it is a GET that succeeds."""
        started_ms = monotonic_ms()
        transport = req.transport
        self.connections.request_started(transport)
        try:
            resp, reason = await self._respond(req)
        finally:
            self.connections.request_finished(transport)
        if self.draining:
            resp.force_close()
        self._metrics.count("requests", method=req.method, status=str(resp.status))
        self._metrics.observe("request", (monotonic_ms() - started_ms) / 1000, method=req.method)
        if req.method != "GET" or resp.status != 200:
            _log.info(
                "request",
                method=req.method,
                job=req.path.rpartition("/")[2],
                status=resp.status,
                reason=reason,
                took_ms=monotonic_ms() - started_ms,
                version=self._instance.config.version if self._instance.config else None,
            )
        return resp

    async def _respond(self, req: web.BaseRequest) -> tuple[web.Response, str]:
        if self._instance.config is None:
            return self._unavailable_response("no configuration was read yet"), "no_configuration"
        rule = self._instance.find_route(req.host, req.path)
        if rule is None:
            rule = self._instance.find_route(req.host.partition(":")[0], req.path)
        if rule is None:
            return _error_response(404, "no queue has this host and path"), "no_route"
        job_id = req.path[len(rule.path_prefix) :]
        if not job_id and req.method == "GET":
            return (
                _json_response(
                    200, {"pending": self._instance.ledger.queued_count(rule.queue.name)}
                ),
                "counted",
            )
        if not JOB_ID.fullmatch(job_id):
            return (
                _error_response(400, f"{job_id[:40]!r} is not an ID of 16 hexadecimal digits"),
                "bad_id",
            )
        match req.method:
            case "POST":
                return await self._submit(req, rule, job_id)
            case "GET":
                return await self._get_state(job_id)
            case "DELETE":
                return await self._cancel(req, job_id)
        return _error_response(405, "use POST, GET or DELETE"), "bad_method"

    async def _submit(
        self, req: web.BaseRequest, rule: RouteRule, job_id: str
    ) -> tuple[web.Response, str]:
        timeout_ms = _store_timeout_ms(req)
        try:
            body = await req.read()
            if len(body) > self._max_body_bytes:
                error = f"the body has {len(body)} bytes of at most {self._max_body_bytes}"
                return _error_response(413, f"{error}; send a smaller job"), "too_large"
            spec = parse_job(body)
        except InvalidJob as exc:
            return _error_response(400, str(exc)), "invalid_job"
        except web.HTTPRequestEntityTooLarge:
            return _error_response(413, "the body is too large; send a smaller job"), "too_large"
        refusal = await self._instance.find_refusal(job_id, rule.queue, spec)
        if refusal is not None:
            return self._unavailable_response(NOT_ACCEPTED, refusal.retry_after_s), "overloaded"
        outcome = await self._instance.submit(job_id, rule.queue, spec, timeout_ms)
        return self._response_to_outcome(outcome, NOT_ACCEPTED)

    @property
    def _max_body_bytes(self) -> int:
        config = self._instance.config
        return config.max_body_bytes if config else 0

    async def _get_state(self, job_id: str) -> tuple[web.Response, str]:
        try:
            state = await self._instance.state_of(job_id)
        except StoreUnavailable:
            return self._unavailable_response("the state cannot be read now"), "store_down"
        if state is None:
            return _error_response(410, "there is no such job"), "unknown_job"
        return _json_response(200, {"state": state}), state

    async def _cancel(self, req: web.BaseRequest, job_id: str) -> tuple[web.Response, str]:
        timeout_ms = _store_timeout_ms(req)
        try:
            result = await self._instance.cancel(job_id, timeout_ms)
        except StoreUnavailable:
            return self._unavailable_response(NOT_CANCELLED), "store_down"
        if result.outcome is Outcome.DONE and not result.known:
            return _error_response(410, "there is no such job, and it will not run"), "unknown_job"
        return self._response_to_outcome(result.outcome, NOT_CANCELLED)

    def _unavailable_response(self, error: str, retry_after_s: int | None = None) -> web.Response:
        resp = _error_response(503, f"{error}; try again later")
        resp.headers["Retry-After"] = str(retry_after_s or self._instance.retry_after_s)
        return resp

    def _response_to_outcome(self, outcome: Outcome, refused: str) -> tuple[web.Response, str]:
        match outcome:
            case Outcome.DONE:
                return _json_response(200, {}), "stored"
            case Outcome.REFUSED:
                return self._unavailable_response(refused), "store_down"
            case Outcome.UNKNOWN:
                # Unlike after a refusal, the record may be stored already or may be stored later.
                # Sending the same ID again is safe.
                error = "the store did not answer; send the same ID again"
                return _error_response(504, error), "unanswered"


def _store_timeout_ms(req: web.BaseRequest) -> int:
    """Return how long an append may be retried for this request."""
    deadline_text = req.headers.get("X-Deadline-Ms", "")
    timeout_ms = (
        int(deadline_text)
        if deadline_text.isascii() and deadline_text.isdigit() and len(deadline_text) < 9
        else DEFAULT_DEADLINE_MS
    )
    return max(0, min(timeout_ms, MAX_DEADLINE_MS) - RESPONSE_MARGIN_MS)


def _json_response(status: int, value: object) -> web.Response:
    return web.Response(status=status, body=encode(value), content_type="application/json")


def _error_response(status: int, error: str) -> web.Response:
    return _json_response(status, {"error": error})
