"""Overload of an owner that ends with its cause: a burst of starts, then calm, in virtual time."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

import pytest

from greengagewood.internal.cells.ledger import Ledger
from greengagewood.internal.cells.orders import ThrottleRun
from greengagewood.internal.cells.ownership import OwnershipView
from greengagewood.internal.cells.runner import CellRunner, Ports
from greengagewood.internal.cells.window import START_WINDOW, CallWindow
from greengagewood.internal.jobs.model import StepSpec
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.ports import OrderReply, WorkerCallFailed
from tests.common.desk import LIMITS, CellHarness

TICK_MS = 5
ORDER_TIMEOUT_MS = 1_000
BURST_MS, CALM_MS = 8_000, 12_000
RECOVERY_MS = 3_000  # after the burst, starts must be answered in time again


@dataclass
class _Order:
    is_start: bool
    sent_ms: int
    given_up: bool = False


@dataclass
class _Owner:
    """An owner whose processor carries out one order after another, each at the same price.

    A start that is not answered in time is given up; a stop of it and another start follow.
    """

    orders_per_s: float
    window: CallWindow | None
    waiting: float = 0.0
    queue: deque[_Order] = field(default_factory=deque)
    unanswered: deque[_Order] = field(default_factory=deque)  # starts, the oldest first
    answers_ms: list[tuple[int, int]] = field(default_factory=list)  # when, and after how long

    def run(self, burst_per_s: float, calm_per_s: float) -> _Owner:
        budget = 0.0
        for now_ms in range(0, BURST_MS + CALM_MS, TICK_MS):
            self.waiting += (burst_per_s if now_ms < BURST_MS else calm_per_s) * TICK_MS / 1000
            self._send(now_ms)
            self._give_up(now_ms)
            budget += self.orders_per_s * TICK_MS / 1000
            if not self.queue:
                budget = min(1.0, budget)
            while budget >= 1.0 and self.queue:
                budget -= 1.0
                self._carry_out(self.queue.popleft(), now_ms)
        return self

    def _send(self, now_ms: int) -> None:
        while self.waiting >= 1 and (self.window is None or self.window.room):
            self.waiting -= 1
            order = _Order(True, now_ms)
            self.queue.append(order)
            self.unanswered.append(order)
            if self.window is not None:
                self.window.note_sent()

    def _give_up(self, now_ms: int) -> None:
        while self.unanswered and now_ms - self.unanswered[0].sent_ms > ORDER_TIMEOUT_MS:
            order = self.unanswered.popleft()
            order.given_up = True  # it has been sent, so it still costs its price
            self.waiting += 1
            self.queue.append(_Order(False, now_ms))
            if self.window is not None:
                self.window.note_done(order.sent_ms, now_ms, False)

    def _carry_out(self, order: _Order, now_ms: int) -> None:
        if order.is_start and not order.given_up:
            self.unanswered.popleft()
            self.answers_ms.append((now_ms, now_ms - order.sent_ms))
            if self.window is not None:
                self.window.note_done(order.sent_ms, now_ms, True)

    def answered_per_s(self, from_ms: int) -> float:
        """Return the starts answered per second from a time on."""
        count = sum(when >= from_ms for when, _ in self.answers_ms)
        return count / (BURST_MS + CALM_MS - from_ms) * 1000


class TestStartWindow:
    @pytest.mark.parametrize("orders_per_s", [40, 80, 400, 800])
    def test_throughput_returns_after_a_burst_at_any_size(self, orders_per_s: int) -> None:
        calm_per_s = 0.6 * orders_per_s
        owner = _Owner(orders_per_s, CallWindow(START_WINDOW)).run(3 * orders_per_s, calm_per_s)
        recovered = [took for when, took in owner.answers_ms if when > BURST_MS + RECOVERY_MS]
        assert recovered and max(recovered) <= ORDER_TIMEOUT_MS
        assert owner.answered_per_s(BURST_MS + RECOVERY_MS) >= calm_per_s

    @pytest.mark.parametrize("orders_per_s", [40, 80, 400, 800])
    def test_the_overload_would_outlast_the_burst_without_a_window(self, orders_per_s: int) -> None:
        calm_per_s = 0.6 * orders_per_s
        owner = _Owner(orders_per_s, None).run(3 * orders_per_s, calm_per_s)
        assert owner.answered_per_s(BURST_MS + RECOVERY_MS) < 0.5 * calm_per_s

    def test_one_silent_worker_does_not_lower_the_limit(self) -> None:
        window = CallWindow(START_WINDOW)
        limit = window.limit
        for now_ms in range(0, 3_000, 20):
            window.note_sent()
            window.note_done(now_ms, now_ms + 15, True)
            window.note_sent()
            window.note_done(now_ms - ORDER_TIMEOUT_MS, now_ms + 15, False)
        assert window.limit > limit and window.in_flight == 0

    def test_late_answers_lower_the_limit_once_a_round_and_not_below_its_minimum(self) -> None:
        window = CallWindow(START_WINDOW)
        limit = window.limit
        for _ in range(10):
            window.note_sent()
            window.note_done(0, START_WINDOW.late_answer_ms + 1, True)
        assert 0.5 * limit < window.limit < limit
        for sent_ms in range(1_000, 100_000, 1_000):
            window.note_done(sent_ms, sent_ms + START_WINDOW.late_answer_ms + 1, True)
        assert window.limit == START_WINDOW.min_limit


class _SlowWorkers:
    """Workers that answer speed limits after some time, or not at all."""

    def __init__(self, answers: bool) -> None:
        self.answers = answers
        self.in_flight = self.most_in_flight = 0

    async def throttle(self, *args: object) -> OrderReply:
        self.in_flight += 1
        self.most_in_flight = max(self.in_flight, self.most_in_flight)
        await asyncio.sleep(0.01)
        self.in_flight -= 1
        if not self.answers:
            raise WorkerCallFailed("no answer")
        return OrderReply("", None)


class TestSpeedLimits:
    """Guard against an owner whose processor is used up by calls that limit the speed of runs."""

    @pytest.mark.parametrize("answers", [True, False])
    async def test_no_more_calls_are_in_flight_than_are_answered_in_time(
        self, answers: bool
    ) -> None:
        harness = CellHarness(*(f"w{number}" for number in range(20)))
        harness.submit(StepSpec(600, cpu_millis=1_000, best_effort=True, checkpointing=True))
        runs = [order.run for _ in range(20) for order in harness.start(60)]
        assert len(runs) == 600
        workers = _SlowWorkers(answers)
        ports = Ports(None, None, workers, None)  # type: ignore[arg-type]
        ownership = OwnershipView("n0", 5_000, 0)
        runner = CellRunner(
            ports, Ledger(), LIMITS, 1, 0, Metrics(), ownership, may_send_orders=lambda: True
        )
        for _ in range(3):
            workers.most_in_flight = 0
            limits = [
                ThrottleRun(harness.cell.boots[run.worker_id], run, 50)
                for run in runs
                if run.speed_percent != 50
            ]
            runner._carry_out_all(limits)
            await asyncio.sleep(0.2)
        limited = sum(run.speed_percent == 50 for run in runs)
        if answers:
            assert START_WINDOW.initial_limit <= workers.most_in_flight <= START_WINDOW.max_limit
            assert limited >= 3 * START_WINDOW.initial_limit
        else:
            assert workers.most_in_flight <= START_WINDOW.initial_limit / 2
            assert not limited
