"""Run requests with an idempotency key at most once, whichever gateways receive them.

The first gateway to claim the key in the log runs the request; the claim is appended before
anything is sent to a backend server. Another gateway that receives the same key reads the claim and
asks its holder for the answer. If the holder no longer runs, it is unknown whether the request ran,
and the verdict is `may_have_run`.

Assigning each key to one gateway by rendezvous hashing would save the append, but that gateway's
keys would be lost when its instance is replaced, which breaks "at most once".
See docs/design/keys.md.
"""

from __future__ import annotations

import asyncio
import hashlib
import uuid
from collections.abc import Awaitable, Callable

from greengagewood.internal.answers import AnswerStore, AttemptEntry
from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.document import Outage, OutagePolicy
from greengagewood.internal.feed import Feed
from greengagewood.internal.link import Link, LinkTimeout
from greengagewood.internal.linkpool import LinkPool
from greengagewood.internal.messages import (
    AnswerQuery,
    AnswerReply,
    AnyMessage,
    AppendRequest,
    ClaimKey,
    ClaimReply,
    Failure,
    StoredAnswer,
)
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.records import KeyReleased, encode_record
from greengagewood.internal.verdict import Reason, Refusal, Verdict, may_have_run, not_run

__all__ = ["KeyedRequests", "digest_parts"]

RELEASE_TIMEOUT_MS = 20_000
LOG_RETRY_AFTER_MS = 1000
IN_PROGRESS_RETRY_AFTER_MS = 500
LINK_MARGIN_S = 0.2  # beyond the time that the receiver was given to answer

RunRequest = Callable[[], Awaitable[StoredAnswer | Refusal]]


def digest_parts(*parts: str | bytes) -> str:
    """Return a digest of parts that depends on where one part ends and the next begins."""
    hasher = hashlib.blake2b(digest_size=16)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        hasher.update(len(data).to_bytes(8, "big"))
        hasher.update(data)
    return hasher.hexdigest()


class KeyedRequests:
    """Run requests with an idempotency key at most once."""

    def __init__(
        self,
        instance: str,
        stream: str,
        keeper: Link,
        pool: LinkPool,
        feed: Feed,
        metrics: Metrics,
    ) -> None:
        self._instance = instance
        self._stream = stream
        self._keeper = keeper
        self._pool = pool
        self._feed = feed
        self._metrics = metrics
        self._answers = AnswerStore()
        self._release_tasks: set[asyncio.Task[None]] = set()

    async def stop(self) -> None:
        """Wait briefly for releases in progress, then cancel them."""
        if self._release_tasks:
            await asyncio.wait(self._release_tasks, timeout=1.0)
        for task in self._release_tasks:
            task.cancel()

    async def run(
        self,
        key: str,
        attempt: str,
        body_digest: str,
        outage: Outage,
        deadline_ms: int,
        run_request: RunRequest,
    ) -> StoredAnswer | Refusal:
        """Run a request if this attempt gets the key, else return the outcome of its holder."""
        writable = self._feed.cluster_status.value.log_writable
        if not writable and outage.keyed_requests is OutagePolicy.REFUSE:
            return not_run(Reason.LOG_UNAVAILABLE, "the log is away", 503, LOG_RETRY_AFTER_MS)
        entry = self._answers.begin(key, attempt) if self._has_no_entry(key) else None
        claim = await self._claim(key, attempt, body_digest, outage, deadline_ms)
        if isinstance(claim, Refusal):
            self._finish_entry(key, entry, claim)
            return claim
        if claim.attempt == attempt:
            entry = entry or self._answers.begin(key, attempt)
            return await self._run_claimed(key, entry, run_request)
        self._discard_entry(key, entry)
        if claim.body_digest != body_digest:
            detail = "the key was used with another request"
            return not_run(Reason.KEY_BODY_DIFFERS, detail, 422, None)
        return await self._ask_holder(key, claim, deadline_ms)

    def _has_no_entry(self, key: str) -> bool:
        return not self._answers.contains(key)

    def _finish_entry(
        self, key: str, entry: AttemptEntry | None, outcome: StoredAnswer | Refusal
    ) -> None:
        if entry is not None:
            self._answers.finish(key, entry, outcome)

    def _discard_entry(self, key: str, entry: AttemptEntry | None) -> None:
        if entry is not None:
            self._answers.discard(key, entry)

    async def _claim(
        self, key: str, attempt: str, body_digest: str, outage: Outage, deadline_ms: int
    ) -> ClaimReply | Refusal:
        timeout_ms = min(outage.keyed_hold_ms, deadline_ms - monotonic_ms())
        req = ClaimKey(key, attempt, body_digest, max(1, timeout_ms))
        try:
            reply = await self._keeper.request(req, timeout_ms / 1000 + LINK_MARGIN_S)
        except LinkTimeout:
            self._release(key, attempt)
            return not_run(Reason.LOG_UNAVAILABLE, "the claim was not confirmed in time")
        if not isinstance(reply, ClaimReply):
            self._release(key, attempt)
            return not_run(Reason.LOG_UNAVAILABLE, "the claim failed")
        if not reply.holder:
            if reply.may_be_in_log:
                self._release(key, attempt)
            return not_run(Reason.LOG_UNAVAILABLE, "the log did not confirm the claim in time")
        return reply

    async def _run_claimed(
        self, key: str, entry: AttemptEntry, run_request: RunRequest
    ) -> StoredAnswer | Refusal:
        outcome: StoredAnswer | Refusal = Refusal(
            Verdict.MAY_HAVE_RUN,
            Reason.INTERNAL,
            "the gateway failed",
            500,
        )
        try:
            outcome = await run_request()
        finally:
            self._answers.finish(key, entry, outcome)
            if isinstance(outcome, Refusal) and outcome.verdict is Verdict.NOT_RUN:
                self._release(key, entry.attempt)
        return outcome

    def _release(self, key: str, attempt: str) -> None:
        """Release, in the background, a key whose request certainly did not run."""
        task = asyncio.create_task(self._append_release(key, attempt))
        self._release_tasks.add(task)
        task.add_done_callback(self._release_tasks.discard)

    async def _append_release(self, key: str, attempt: str) -> None:
        body = encode_record(KeyReleased(key, attempt))
        req = AppendRequest(self._stream, uuid.uuid4().hex, body, RELEASE_TIMEOUT_MS)
        try:
            await self._keeper.request(req, RELEASE_TIMEOUT_MS / 1000 + LINK_MARGIN_S)
        except LinkTimeout:
            self._metrics.count("key_releases_lost")

    # Outcomes of attempts that hold a key.

    async def _ask_holder(
        self, key: str, claim: ClaimReply, deadline_ms: int
    ) -> StoredAnswer | Refusal:
        wait_ms = max(0, deadline_ms - monotonic_ms())
        query = AnswerQuery(key, claim.attempt, wait_ms)
        if claim.holder == self._instance:
            return _outcome_from(await self.answer(query))
        member = self._feed.cluster_status.value.members.get(claim.holder)
        if member is None or member[0].boot != claim.boot or not member[0].gateway_address:
            return may_have_run(Reason.KEY_HOLDER_GONE, "the gateway that ran it is gone", 409)
        try:
            link = self._pool.link(member[0].gateway_address)
            reply = await link.request(query, wait_ms / 1000 + LINK_MARGIN_S)
        except LinkTimeout:
            return may_have_run(Reason.KEY_HOLDER_GONE, "the gateway that ran it is silent", 409)
        if not isinstance(reply, AnswerReply):
            return may_have_run(Reason.KEY_HOLDER_GONE, "the gateway that ran it failed", 409)
        return _outcome_from(reply)

    async def handle(self, sender: str, message: AnyMessage) -> AnyMessage | None:
        """Answer a query of another gateway."""
        if not isinstance(message, AnswerQuery):
            self._metrics.count("link_dropped", reason="unexpected_kind")
            return Failure("unexpected kind of message")
        return await self.answer(message)

    async def answer(self, query: AnswerQuery) -> AnswerReply:
        """Return the outcome of an attempt that this gateway ran, once there is one."""
        entry = self._answers.find(query.key, query.attempt)
        if entry is None:
            return AnswerReply(None, None, False)
        if not await entry.wait(query.wait_ms / 1000):
            return AnswerReply(None, None, True)
        outcome = entry.outcome
        if isinstance(outcome, StoredAnswer):
            return AnswerReply(outcome, None, True)
        if isinstance(outcome, Refusal):
            return AnswerReply(None, outcome, True)
        return AnswerReply(None, None, False)


def _outcome_from(reply: AnswerReply) -> StoredAnswer | Refusal:
    if reply.answer is not None:
        return reply.answer
    if reply.refusal is not None:
        return reply.refusal
    if reply.known:
        detail = "the first request with this key is in progress"
        return Refusal(
            Verdict.MAY_HAVE_RUN, Reason.KEY_IN_USE, detail, 409, IN_PROGRESS_RETRY_AFTER_MS
        )
    return may_have_run(Reason.KEY_HOLDER_GONE, "the answer is no longer kept", 409)
