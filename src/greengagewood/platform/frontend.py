"""Callers' HTTP on the platform: submit a job, ask for its state, cancel it, count a queue."""

from __future__ import annotations

import re

from aiohttp import web

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.entry import Node
from greengagewood.internal.jobs.model import InvalidJob
from greengagewood.internal.logs import Log
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.ports import Outcome, RouteRule, StoreUnavailable
from greengagewood.platform.jobs import parse_job
from greengagewood.platform.wire import encode

__all__ = ["Frontend"]

JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
DEFAULT_PATIENCE_MS = 3_000
ANSWER_MARGIN_MS = 300  # for the way back to the caller
READY_PATH = "/greengagewood/ready"

_log = Log("frontend")


class Frontend:
    """Answer callers and the platform's checks of readiness."""

    def __init__(self, node: Node, metrics: Metrics) -> None:
        self._node = node
        self._metrics = metrics
        self.leaving = False
        self.in_progress = 0

    async def handle_ready(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answer a check of readiness."""
        if req.path != READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self._node.ready and not self.leaving else 503)

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answer a caller."""
        began = monotonic_ms()
        self.in_progress += 1
        try:
            resp, reason = await self._answer(req)
        finally:
            self.in_progress -= 1
        if self.leaving:
            resp.force_close()
        self._metrics.count("requests", method=req.method, status=str(resp.status))
        self._metrics.observe("request", (monotonic_ms() - began) / 1000, method=req.method)
        if req.method != "GET" or resp.status != 200:
            _log.info(
                "request",
                method=req.method,
                job=req.path.rpartition("/")[2],
                status=resp.status,
                reason=reason,
                took_ms=monotonic_ms() - began,
                version=self._node.config.version if self._node.config else None,
            )
        return resp

    async def _answer(self, req: web.BaseRequest) -> tuple[web.Response, str]:
        if self._node.config is None:
            return _refusal(503, self._node.retry_after_s), "no_configuration"
        rule = self._node.route(req.host, req.path)
        if rule is None:
            rule = self._node.route(req.host.partition(":")[0], req.path)
        if rule is None:
            return _error(404, "no queue has this host and path"), "no_route"
        job = req.path[len(rule.path_prefix) :]
        if not job and req.method == "GET":
            return _json(200, {"pending": self._node.ledger.pending(rule.queue.name)}), "counted"
        if not JOB_ID.fullmatch(job):
            return _error(400, f"{job[:40]!r} is not an ID of 16 hexadecimal digits"), "bad_id"
        match req.method:
            case "POST":
                return await self._submit(req, rule, job)
            case "GET":
                return await self._state(job)
            case "DELETE":
                return await self._cancel(req, job)
        return _error(405, "use POST, GET or DELETE"), "bad_method"

    async def _submit(
        self, req: web.BaseRequest, rule: RouteRule, job: str
    ) -> tuple[web.Response, str]:
        patience = _patience_ms(req)
        try:
            body = await req.read()
            if len(body) > self._max_body_bytes:
                error = f"the body has {len(body)} bytes of at most {self._max_body_bytes}"
                return _error(413, f"{error}; send a smaller job"), "too_large"
            spec = parse_job(body)
        except InvalidJob as exc:
            return _error(400, str(exc)), "invalid_job"
        except web.HTTPRequestEntityTooLarge:
            return _error(413, "the body is too large; send a smaller job"), "too_large"
        outcome = await self._node.submit(job, rule.queue, spec, patience)
        return self._stored(outcome)

    @property
    def _max_body_bytes(self) -> int:
        config = self._node.config
        return config.max_body_bytes if config else 0

    async def _state(self, job: str) -> tuple[web.Response, str]:
        try:
            state = await self._node.state_of(job)
        except StoreUnavailable:
            return _refusal(503, self._node.retry_after_s), "store_down"
        if state is None:
            return _error(410, "there is no such job"), "unknown_job"
        return _json(200, {"state": state}), state

    async def _cancel(self, req: web.BaseRequest, job: str) -> tuple[web.Response, str]:
        patience = _patience_ms(req)
        try:
            state = await self._node.state_of(job)
        except StoreUnavailable:
            return _refusal(503, self._node.retry_after_s), "store_down"
        if state is None:
            return _error(410, "there is no such job"), "unknown_job"
        return self._stored(await self._node.cancel(job, patience))

    def _stored(self, outcome: Outcome) -> tuple[web.Response, str]:
        match outcome:
            case Outcome.DONE:
                return _json(200, {}), "stored"
            case Outcome.REFUSED:
                return _refusal(503, self._node.retry_after_s), "store_down"
            case Outcome.UNKNOWN:
                # Not a refusal: the record may still be stored; the same ID may be sent again.
                error = "the store did not answer; send the same ID again"
                return _error(504, error), "unanswered"


def _patience_ms(req: web.BaseRequest) -> int:
    """Return how long to try on behalf of the caller."""
    given = req.headers.get("X-Deadline-Ms", "")
    patience = int(given) if given.isdigit() and len(given) < 9 else DEFAULT_PATIENCE_MS
    return max(0, patience - ANSWER_MARGIN_MS)


def _json(status: int, value: object) -> web.Response:
    return web.Response(status=status, body=encode(value), content_type="application/json")


def _error(status: int, error: str) -> web.Response:
    return _json(status, {"error": error})


def _refusal(status: int, retry_after_s: int) -> web.Response:
    resp = _error(status, "not accepted, and it will not run; try again later")
    resp.headers["Retry-After"] = str(retry_after_s)
    return resp
