"""Decide when and about which workers the advice service is asked, and remember its answers.

On a queue with advice, a step may run only on some workers, and only the service knows which. An
answer is about the workers that were asked about, so each worker that has room is permitted,
refused or unknown. While a step waits, the workers without a valid permit are asked about in turn,
until one can take a task or all are known. What was answered holds for one boot of a worker.

The service handles one call at a time, in turn, and also those that were given up. So only few
calls are under way at once (`window`), and each plan chooses anew which of the steps that wait then
are asked about next. After calls without an answer there is a pause, which grows.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from greengagewood.internal.cells.boots import Boot
from greengagewood.internal.cells.orders import RequestAdvice
from greengagewood.internal.cells.placement import meets_constraints
from greengagewood.internal.cells.window import ADVICE_WINDOW, CallWindow
from greengagewood.internal.jobs.book import Step
from greengagewood.internal.ports import AdviceUnavailable, Permit

__all__ = ["MAX_WORKERS_PER_REQUEST", "Permits"]

MAX_WORKERS_PER_REQUEST = 100  # by the platform's documentation
# The answer takes time for each worker in a request. Most steps are permitted on many workers, so
# the first request for a step is small.
WORKERS_PER_FIRST_REQUEST = 30
PERMIT_MARGIN_MS = 300  # time for a start to reach its worker before the permit expires
# Pauses after calls without an answer; each is drawn from half to one and a half of its length.
FIRST_PAUSE_MS, MAX_PAUSE_MS = 300, 2_000
# How long a call may take beyond the handling of the calls before it. After time-outs it grows, as
# the service may have become slow; it is not long from the start, as an answer may be lost.
TIMEOUT_MS, MAX_TIMEOUT_MS, TIMEOUT_GROWTH = 2_000, 16_000, 1.5
MAX_WAITING_CALLS = 32  # at the service, by the platform's documentation
FIRST_HANDLING_MS = 250.0  # assumed time of the service for one call before the first answer
# By the platform's documentation the permitted workers of a step do not change. Should the service
# be changed, a step that has no permitted worker is asked about again after a growing pause.
FIRST_RECHECK_PAUSE_MS, MAX_RECHECK_PAUSE_MS = 4_000, 60_000
DISCARD_INTERVAL_MS = 5_000


@dataclass(frozen=True, slots=True)
class _Request:
    boots: tuple[Boot, ...]
    sent_ms: int


@dataclass(slots=True, eq=False)
class _Advice:
    """What is known of one step."""

    permits: dict[Boot, Permit] = field(default_factory=dict)  # also those that have expired
    refused: set[Boot] = field(default_factory=set)
    request: _Request | None = None  # the one that is under way
    requests_since_start: int = 0  # answered since a task was last started
    needed_since_ms: int | None = None  # since when a request is needed to start a task
    failures: int = 0  # calls without an answer since the last answer
    retry_ms: int = 0  # when the service may be asked again
    recheck_ms: int | None = None  # when the refused workers may be asked about again
    recheck_pause_ms: int = FIRST_RECHECK_PAUSE_MS


class Permits:
    """The permits of all steps, and the requests for them, during one term of ownership."""

    def __init__(self, seed: int) -> None:
        self._advice: dict[Step, _Advice] = {}
        self._discarded_ms = 0
        # The requests that the present plan needs, in the order of its steps.
        self._needed: dict[Step, tuple[Boot, ...]] = {}
        self._due_ms: int | None = None  # when time alone makes another request possible
        self._window = CallWindow(ADVICE_WINDOW)
        self._handling_ms = FIRST_HANDLING_MS  # estimated time of the service for one call
        self._given_up_ms: list[int] = []  # when calls were sent that may still be waiting there
        self._failures = 0  # rounds of calls without an answer since the last answer
        self._timeouts = 0  # those of them that took too long
        self._last_failure_ms = 0
        self._last_answer_ms = 0
        self._paused_until_ms = 0
        self._oldest_next = False
        self._random = random.Random(seed)

    def permitted(self, step: Step, boots: Iterable[Boot], now_ms: int) -> list[Boot]:
        """Return the workers for which the step has a permit that a start can still present."""
        advice = self._advice.get(step)
        if advice is None:
            return []
        permits = advice.permits
        return [boot for boot in boots if boot in permits and _is_valid(permits[boot], now_ms)]

    def present(self, step: Step, boot: Boot) -> str:
        """Return the ticket for the start of a task, or an empty string."""
        advice = self._advice.get(step)
        if advice is None or boot not in advice.permits:
            return ""
        advice.requests_since_start = 0
        advice.needed_since_ms = None
        return advice.permits[boot].ticket

    def note_need(self, step: Step, boots: Iterable[Boot], decision_ms: int, now_ms: int) -> None:
        """Record that a step can start no task with its present permits."""
        advice = self._advice.setdefault(step, _Advice())
        if advice.request is not None:
            return
        if now_ms < advice.retry_ms:
            self._note_due(advice.retry_ms)
            return
        candidates = self._candidates(step, advice, boots, now_ms)
        if not candidates:
            advice.needed_since_ms = None
            return
        if advice.needed_since_ms is None:
            advice.needed_since_ms = now_ms
        limit = (
            MAX_WORKERS_PER_REQUEST if advice.requests_since_start else WORKERS_PER_FIRST_REQUEST
        )
        self._needed[step] = tuple(candidates[:limit])
        self._handling_ms = max(self._handling_ms, decision_ms)

    def requests(self, now_ms: int) -> list[RequestAdvice]:
        """Return the requests to send now, of those that the steps of this plan need.

        Every second one is the one needed for longest, and the others are in the order of the plan,
        so that no step waits for as long as others come before it.
        """
        needed, self._needed = self._needed, {}
        if needed and now_ms < self._paused_until_ms:
            self._note_due(self._paused_until_ms)
            return []
        requests: list[RequestAdvice] = []
        while needed and self._window.room:
            self._oldest_next = not self._oldest_next
            step = min(needed, key=self._needed_since) if self._oldest_next else next(iter(needed))
            requests.append(self._request(step, needed.pop(step), now_ms))
        return requests

    def _needed_since(self, step: Step) -> int:
        return self._advice[step].needed_since_ms or 0

    def _request(self, step: Step, boots: tuple[Boot, ...], now_ms: int) -> RequestAdvice:
        calls_before = self._window.in_flight + len(self._given_up_ms)
        patience_ms = min(MAX_TIMEOUT_MS, TIMEOUT_MS * TIMEOUT_GROWTH**self._timeouts)
        timeout_ms = round(patience_ms + self._handling_ms * (calls_before + 1))
        self._window.note_sent()
        self._advice[step].request = _Request(boots, now_ms)
        return RequestAdvice(step, tuple(boot.name for boot in boots), timeout_ms)

    def _candidates(
        self, step: Step, advice: _Advice, boots: Iterable[Boot], now_ms: int
    ) -> list[Boot]:
        """Return the workers to ask about: those that had a permit, then the unknown ones.

        Every second request for a step without starts has the unknown ones first, so that a large
        number of permits that expire early does not keep them out.
        """
        fitting = [b for b in boots if b.fits(step.spec) and meets_constraints(b, step)]
        fitting.sort(key=lambda boot: boot.cold)
        known, unknown = [], []
        for boot in fitting:
            if boot in advice.permits:
                if _is_valid(advice.permits[boot], now_ms):
                    self._note_due(advice.permits[boot].expires_ms - PERMIT_MARGIN_MS)
                else:
                    known.append(boot)
            elif boot not in advice.refused:
                unknown.append(boot)
        if known or unknown:
            advice.recheck_ms = None
            return unknown + known if advice.requests_since_start % 2 else known + unknown
        if len(self.permitted(step, fitting, now_ms)) == len(fitting):
            return []  # also if there are none
        if advice.recheck_ms is None:
            advice.recheck_ms = now_ms + advice.recheck_pause_ms
            advice.recheck_pause_ms = min(MAX_RECHECK_PAUSE_MS, 2 * advice.recheck_pause_ms)
        if now_ms < advice.recheck_ms:
            self._note_due(advice.recheck_ms)
            return []
        advice.recheck_ms = None
        advice.refused.clear()
        return fitting

    def note_answer(self, step: Step, permits: dict[str, Permit], now_ms: int) -> None:
        """Record the permits that the service gave for a step, by worker."""
        advice = self._advice[step]
        request = advice.request
        assert request is not None
        self._note_answered(request, now_ms)
        for boot in request.boots:
            permit = permits.get(boot.name)
            if permit is None:
                advice.permits.pop(boot, None)
                advice.refused.add(boot)
            else:
                advice.permits[boot] = permit
                if not _is_valid(permit, now_ms):  # it was valid for less than the call took
                    advice.retry_ms = now_ms + FIRST_PAUSE_MS
        advice.request = None
        advice.failures = 0
        advice.requests_since_start += 1
        if now_ms - self._discarded_ms >= DISCARD_INTERVAL_MS:
            self._discarded_ms = now_ms
            self._discard()

    def _note_answered(self, request: _Request, now_ms: int) -> None:
        self._window.note_done(request.sent_ms, now_ms, True)
        # Calls are handled in turn, so those sent before this one are over.
        self._given_up_ms = [sent_ms for sent_ms in self._given_up_ms if sent_ms > request.sent_ms]
        # The service has begun with it after the last answer. Handling calls that were given up
        # before it counts, too, so this is an upper bound.
        latest_ms = now_ms - max(request.sent_ms, self._last_answer_ms)
        self._handling_ms = max(latest_ms, 0.8 * self._handling_ms + 0.2 * latest_ms)
        self._last_answer_ms = now_ms
        self._failures = self._timeouts = 0

    def note_failure(self, step: Step, now_ms: int, failure: AdviceUnavailable) -> None:
        """Record that the service gave no answer; it is asked again later."""
        advice = self._advice[step]
        request = advice.request
        assert request is not None
        advice.request = None
        advice.needed_since_ms = None  # a step that always fails comes after the others
        advice.failures += 1
        advice.retry_ms = now_ms + self._pause_ms(advice.failures)
        if failure.busy:
            self._window.note_rejected(request.sent_ms, now_ms)
        else:
            self._window.note_done(request.sent_ms, now_ms, False)
        if failure.timed_out:
            self._given_up_ms = [*self._given_up_ms, request.sent_ms][-MAX_WAITING_CALLS:]
        if request.sent_ms >= self._last_failure_ms:  # calls that fail together are one round
            self._last_failure_ms = now_ms
            self._failures += 1
            self._timeouts += failure.timed_out
        # If others were answered meanwhile, the fault is with this call alone.
        if failure.busy or self._last_answer_ms <= request.sent_ms:
            self._pause(now_ms + self._pause_ms(self._failures))
        self._pause(now_ms + failure.retry_after_ms)

    def _pause(self, until_ms: int) -> None:
        self._paused_until_ms = max(self._paused_until_ms, until_ms)

    def _pause_ms(self, failures: int) -> int:
        longest_ms = min(MAX_PAUSE_MS, FIRST_PAUSE_MS << min(max(0, failures - 1), 8))
        return round(longest_ms * self._random.uniform(0.5, 1.5))

    def note_refused(self, step: Step, boot: Boot) -> None:
        """Discard the permit that a worker has refused."""
        advice = self._advice.get(step)
        if advice is not None:
            advice.permits.pop(boot, None)

    def _discard(self) -> None:
        """Discard what is known of steps that will start nothing any more."""
        over = [
            step
            for step, advice in self._advice.items()
            if advice.request is None and (step.job.is_final or not step.unfinished_count)
        ]
        for step in over:
            del self._advice[step]

    def is_due(self, now_ms: int) -> bool:
        """Return whether a request has become possible only by the passing of time."""
        return self._due_ms is not None and now_ms >= self._due_ms

    def begin_plan(self) -> None:
        """Forget what requests the last plan needed, and when; the steps of this one say so."""
        self._needed = {}
        self._due_ms = None

    def _note_due(self, at_ms: int) -> None:
        self._due_ms = at_ms if self._due_ms is None else min(self._due_ms, at_ms)


def _is_valid(permit: Permit, now_ms: int) -> bool:
    return permit.expires_ms - PERMIT_MARGIN_MS > now_ms
