"""Decide about which workers the advice service is asked, and remember its answers.

On a queue with advice, a step may run only on some workers, and only the service knows which. An
answer is about the workers that were asked about, so each worker that has room is permitted,
refused or unknown. While a step waits, the workers without a valid permit are asked about in turn,
until one can take a task or all are known. What was answered holds for one boot of a worker.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from greengagewood.internal.cells.boots import Boot
from greengagewood.internal.cells.orders import RequestAdvice
from greengagewood.internal.cells.placement import meets_constraints
from greengagewood.internal.jobs.book import Step
from greengagewood.internal.ports import Permit

__all__ = ["MAX_WORKERS_PER_REQUEST", "Permits"]

MAX_WORKERS_PER_REQUEST = 100  # by the platform's documentation
# The answer takes time for each worker in a request. Most steps are permitted on many workers, so
# the first request for a step is small.
WORKERS_PER_FIRST_REQUEST = 30
PERMIT_MARGIN_MS = 300  # time for a start to reach its worker before the permit expires
RETRY_DELAY_MS = 300
# By the platform's documentation the permitted workers of a step do not change. Should the service
# be changed, a step that has no permitted worker is asked about again after a growing pause.
FIRST_RECHECK_PAUSE_MS, MAX_RECHECK_PAUSE_MS = 4_000, 60_000
DISCARD_INTERVAL_MS = 5_000


@dataclass(slots=True, eq=False)
class _Advice:
    """What is known of one step."""

    permits: dict[Boot, Permit] = field(default_factory=dict)  # also those that have expired
    refused: set[Boot] = field(default_factory=set)
    requested: tuple[Boot, ...] = ()  # the workers in the request that is under way
    requests_since_start: int = 0  # answered since a task was last started
    retry_ms: int = 0  # when the service may be asked again
    recheck_ms: int | None = None  # when the refused workers may be asked about again
    recheck_pause_ms: int = FIRST_RECHECK_PAUSE_MS


class Permits:
    """The permits of all steps, and the requests for them, during one term of ownership."""

    def __init__(self) -> None:
        self._advice: dict[Step, _Advice] = {}
        self._discarded_ms = 0
        self._due_ms: int | None = None

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
        return advice.permits[boot].ticket

    def request(self, step: Step, boots: Iterable[Boot], now_ms: int) -> list[RequestAdvice]:
        """Return the request for a step that can start no task with its present permits."""
        advice = self._advice.setdefault(step, _Advice())
        if advice.requested:
            return []
        if now_ms < advice.retry_ms:
            self._note_due(advice.retry_ms)
            return []
        candidates = self._candidates(step, advice, boots, now_ms)
        if not candidates:
            return []
        limit = (
            MAX_WORKERS_PER_REQUEST if advice.requests_since_start else WORKERS_PER_FIRST_REQUEST
        )
        advice.requested = tuple(candidates[:limit])
        return [RequestAdvice(step, tuple(boot.name for boot in advice.requested))]

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
        advice = self._advice.get(step)
        if advice is None:
            return
        for boot in advice.requested:
            permit = permits.get(boot.name)
            if permit is None:
                advice.permits.pop(boot, None)
                advice.refused.add(boot)
            else:
                advice.permits[boot] = permit
                if not _is_valid(permit, now_ms):  # it was valid for less than the call took
                    advice.retry_ms = now_ms + RETRY_DELAY_MS
        advice.requested = ()
        advice.requests_since_start += 1
        if now_ms - self._discarded_ms >= DISCARD_INTERVAL_MS:
            self._discarded_ms = now_ms
            self._discard()

    def note_failure(self, step: Step, now_ms: int) -> None:
        """Record that the service gave no answer; it is asked again later."""
        advice = self._advice.get(step)
        if advice is not None:
            advice.requested = ()
            advice.retry_ms = now_ms + RETRY_DELAY_MS

    def note_refused(self, step: Step, boot: Boot) -> None:
        """Discard the permit that a worker has refused."""
        advice = self._advice.get(step)
        if advice is not None:
            advice.permits.pop(boot, None)

    def _discard(self) -> None:
        """Discard what is known of steps that will start nothing any more."""
        over = [step for step in self._advice if step.job.is_final or not step.unfinished_count]
        for step in over:
            del self._advice[step]

    def is_due(self, now_ms: int) -> bool:
        """Return whether a request has become possible only by the passing of time."""
        return self._due_ms is not None and now_ms >= self._due_ms

    def begin_plan(self) -> None:
        """Forget when requests become possible; the steps of the plan say so again."""
        self._due_ms = None

    def _note_due(self, at_ms: int) -> None:
        self._due_ms = at_ms if self._due_ms is None else min(self._due_ms, at_ms)


def _is_valid(permit: Permit, now_ms: int) -> bool:
    return permit.expires_ms - PERMIT_MARGIN_MS > now_ms
