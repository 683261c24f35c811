"""The HTTP API for jobs: submit, query, wait for, cancel, and fetch the results."""

from __future__ import annotations

import hashlib
import uuid
from dataclasses import dataclass
from typing import Any

import msgspec
from aiohttp import web

from greengagewood.internal.access import AuthenticatedCaller
from greengagewood.internal.body import BodyRefused, read_body
from greengagewood.internal.clock import monotonic_ms, wall_ms
from greengagewood.internal.document import Document
from greengagewood.internal.feed import Feed
from greengagewood.internal.jobindex import (
    JobIndex,
    JobRequest,
    check_job_request,
    choose_cell,
    job_name,
    newest_cell_loads,
)
from greengagewood.internal.link import Link, LinkTimeout
from greengagewood.internal.linkpool import LinkPool
from greengagewood.internal.messages import AppendReply, AppendRequest, JobQuery, JobView, Member
from greengagewood.internal.records import AnyRecord, JobCancelled, JobSubmitted, encode_record
from greengagewood.internal.verdict import Reason, Refusal, may_have_run, not_run

__all__ = ["JobAnswer", "JobApi"]

MAX_JOB_BODY_BYTES = 64 * 1024
MAX_WAIT_MS = 30_000
QUERY_TIMEOUT_S = 2.0  # beyond the time that the query may wait for the job
LOG_RETRY_AFTER_MS = 1000

_decoder = msgspec.json.Decoder(JobRequest)


@dataclass(frozen=True)
class JobAnswer:
    """Hold the status and the JSON body of an answer to a caller."""

    status: int
    body: dict[str, Any]


class JobApi:
    """Serve /v1/jobs."""

    def __init__(
        self,
        failure_domain: str,
        jobs_stream: str,
        keeper: Link,
        pool: LinkPool,
        feed: Feed,
        index: JobIndex,
    ) -> None:
        self._failure_domain = failure_domain
        self._jobs_stream = jobs_stream
        self._keeper = keeper
        self._pool = pool
        self._feed = feed
        self._job_index = index

    async def handle(
        self,
        req: web.Request,
        caller: AuthenticatedCaller,
        document: Document,
        members: list[Member],
    ) -> JobAnswer | Refusal:
        """Answer one request to /v1/jobs."""
        parts = req.path.strip("/").split("/")[2:]
        match (req.method, parts):
            case ("POST", []):
                return await self._submit(req, caller, document, members)
            case ("GET", [job]):
                return await self._query(job, caller, members, 0, False)
            case ("GET", [job, "wait"]):
                return await self._query(job, caller, members, _wait_ms(req), False)
            case ("GET", [job, "result"]):
                return await self._result(job, caller, members)
            case ("POST", [job, "cancel"]):
                return await self._cancel(job, caller, document)
        return not_run(Reason.NO_ROUTE, "no such job operation", 404, None)

    async def _submit(
        self,
        req: web.Request,
        caller: AuthenticatedCaller,
        document: Document,
        members: list[Member],
    ) -> JobAnswer | Refusal:
        try:
            body = await read_body(req, MAX_JOB_BODY_BYTES)
            spec = _decoder.decode(body)
        except BodyRefused as exc:
            return exc.refusal
        except (msgspec.DecodeError, RecursionError) as exc:
            return not_run(Reason.BAD_REQUEST, str(exc), 400, None)
        loads = [load for load, _ in newest_cell_loads(members).values()]
        refusal = check_job_request(spec, caller.team, document, loads)
        if refusal is not None:
            return refusal
        evacuated_domains = self._feed.evacuations.value.domains
        cell = choose_cell(spec, document, loads, self._failure_domain, evacuated_domains)
        job = job_name(caller.name, req.headers.get("Idempotency-Key", ""))
        record = _job_record(spec, job, caller, cell, hashlib.sha256(body).hexdigest())
        return await self._append_job(record, document.outage.batch_hold_ms)

    async def _append_job(self, record: JobSubmitted, hold_ms: int) -> JobAnswer | Refusal:
        deadline_ms = monotonic_ms() + hold_ms
        refusal = await self._append(record, hold_ms)
        if refusal is not None:
            return refusal
        first_record = await self._job_index.await_job(record.job, deadline_ms)
        if first_record is not None and first_record.body_digest != record.body_digest:
            detail = "the key was used with another job"
            return not_run(Reason.KEY_BODY_DIFFERS, detail, 422, None)
        return JobAnswer(202, {"job": record.job, "state": "accepted"})

    async def _append(self, record: AnyRecord, hold_ms: int) -> Refusal | None:
        req = AppendRequest(self._jobs_stream, uuid.uuid4().hex, encode_record(record), hold_ms)
        try:
            reply = await self._keeper.request(req, hold_ms / 1000 + 1)
        except LinkTimeout:
            return may_have_run(Reason.LOG_ANSWER_LOST, "the keeper did not answer", 504)
        if not isinstance(reply, AppendReply):
            return may_have_run(Reason.INTERNAL, "the keeper failed", 500)
        if reply.offset:
            return None
        if reply.may_be_in_log:
            detail = "the log may have taken it; repeat it with the same key"
            return may_have_run(Reason.LOG_ANSWER_LOST, detail)
        return not_run(Reason.LOG_UNAVAILABLE, "the log is away", 503, LOG_RETRY_AFTER_MS)

    def _find_job(self, job: str, caller: AuthenticatedCaller) -> JobSubmitted | Refusal:
        record = self._job_index.find(job)
        if record is None or record.caller != caller.name:
            return not_run(Reason.NOT_FOUND, "no such job of this caller", 404, None)
        return record

    async def _query(
        self,
        job: str,
        caller: AuthenticatedCaller,
        members: list[Member],
        wait_ms: int,
        with_results: bool,
    ) -> JobAnswer | Refusal:
        view = await self._fetch_view(job, caller, members, wait_ms, with_results)
        if isinstance(view, Refusal):
            return view
        body = {"job": job, "state": view.state, "tasks": view.task_counts, "reason": view.reason}
        return JobAnswer(200, body)

    async def _fetch_view(
        self,
        job: str,
        caller: AuthenticatedCaller,
        members: list[Member],
        wait_ms: int,
        with_results: bool,
    ) -> JobView | Refusal:
        record = self._find_job(job, caller)
        if isinstance(record, Refusal):
            return record
        owner = newest_cell_loads(members).get(record.cell)
        owner_unknown = not_run(Reason.OWNER_UNKNOWN, "the job's cell has no owner now")
        if owner is None or not owner[1].scheduler_address:
            return owner_unknown
        query = JobQuery(job, wait_ms, with_results)
        try:
            link = self._pool.link(owner[1].scheduler_address)
            view = await link.request(query, wait_ms / 1000 + QUERY_TIMEOUT_S)
        except LinkTimeout:
            return owner_unknown
        return view if isinstance(view, JobView) and view.known else owner_unknown

    async def _result(
        self, job: str, caller: AuthenticatedCaller, members: list[Member]
    ) -> JobAnswer | Refusal:
        view = await self._fetch_view(job, caller, members, 0, True)
        if isinstance(view, Refusal):
            return view
        if view.state != "finished":
            return not_run(Reason.NOT_FINISHED, "the job has not finished", 409)
        return JobAnswer(200, {"job": job, "tasks": view.task_counts, "results": view.results})

    async def _cancel(
        self, job: str, caller: AuthenticatedCaller, document: Document
    ) -> JobAnswer | Refusal:
        record = self._find_job(job, caller)
        if isinstance(record, Refusal):
            return record
        cancelled = JobCancelled(job, wall_ms())
        refusal = await self._append(cancelled, document.outage.batch_hold_ms)
        return refusal or JobAnswer(202, {"job": job, "state": "cancelling"})


def _job_record(
    spec: JobRequest, job: str, caller: AuthenticatedCaller, cell: str, digest: str
) -> JobSubmitted:
    return JobSubmitted(
        job=job,
        caller=caller.name,
        team=caller.team,
        batch_class=spec.batch_class,
        cell=cell,
        tasks=spec.tasks,
        cpus=spec.cpus,
        memory_mb=spec.memory_mb,
        accelerators=spec.accelerators,
        run_ms=spec.run_ms,
        body_digest=digest,
        at_ms=wall_ms(),
    )


def _wait_ms(req: web.Request) -> int:
    text = req.query.get("timeout_ms", "")
    return min(int(text), MAX_WAIT_MS) if text.isascii() and text.isdigit() else MAX_WAIT_MS
