"""Permits of the advice service: every task that a worker may run is started there, soon."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

import pytest
from aiohttp import web
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagewood.internal.cells.orders import RequestAdvice, StartRun
from greengagewood.internal.cells.permits import (
    FIRST_RECHECK_PAUSE_MS,
    MAX_TIMEOUT_MS,
    MAX_WORKERS_PER_REQUEST,
    PERMIT_MARGIN_MS,
)
from greengagewood.internal.cells.planner import Planner
from greengagewood.internal.jobs.model import Queue, StepSpec
from greengagewood.internal.ports import AdviceUnavailable, Permit
from greengagewood.platform.advice import MAX_RETRY_AFTER_MS, HttpAdvice
from greengagewood.platform.wire import Session
from tests.common.desk import CellHarness

ADVISED = Queue("advised", "svc", 1, 3, 2.0, 1_000, decision_ms=40)
VALIDITY_MS = 4_000
MAX_WAITING = 32
PLAN_INTERVAL_MS = 20
LEASE_INTERVAL_MS = 400
STEP = StepSpec(1, cpu_millis=1_000)


@dataclass
class _Call:
    order: RequestAdvice
    sent_ms: int
    handling_ms: int
    lost: bool
    open: bool = True  # whether the caller waits for it


class _Service:
    """Answers one call at a time, in turn, and also handles the calls that were given up.

    A call takes `call_ms` for its number of workers; its answer is lost if `is_lost` says so at the
    time when it is sent.
    """

    def __init__(
        self, call_ms: Callable[[int], int], is_lost: Callable[[int], bool], validity_ms: int
    ) -> None:
        self._call_ms = call_ms
        self._is_lost = is_lost
        self._validity_ms = validity_ms
        self._waiting: deque[_Call] = deque()
        self._open: list[_Call] = []
        self._free_ms = 0  # when it has handled all calls before the first one that waits
        self.permitted: set[str] = set()
        self.calls: list[tuple[int, RequestAdvice]] = []
        self.answered: list[int] = []  # when
        self.failures: list[tuple[int, str]] = []

    def send(self, planner: Planner, order: RequestAdvice, now_ms: int) -> None:
        self.calls.append((now_ms, order))
        if len(self._waiting) > MAX_WAITING:
            self._fail(planner, order, now_ms, AdviceUnavailable("busy", busy=True))
            return
        if not self._waiting:
            self._free_ms = max(self._free_ms, now_ms)
        handling_ms = self._call_ms(len(order.worker_ids))
        call = _Call(order, now_ms, handling_ms, self._is_lost(now_ms))
        self._waiting.append(call)
        self._open.append(call)

    def run(self, planner: Planner, now_ms: int) -> None:
        """Give up the calls that have timed out, and answer those that are handled by now."""
        for call in self._open:
            if call.open and now_ms - call.sent_ms >= call.order.timeout_ms:
                call.open = False
                self._fail(planner, call.order, now_ms, AdviceUnavailable("late", timed_out=True))
        while self._waiting and self._free_ms + self._waiting[0].handling_ms <= now_ms:
            call = self._waiting.popleft()
            self._free_ms += call.handling_ms
            if call.open and not call.lost:
                call.open = False
                self.answered.append(now_ms)
                permit = Permit("t", call.sent_ms + self._validity_ms)
                allowed = {n: permit for n in call.order.worker_ids if n in self.permitted}
                planner.note_permits(call.order.step, allowed, now_ms)
        self._open = [call for call in self._open if call.open]

    def _fail(
        self, planner: Planner, order: RequestAdvice, now_ms: int, failure: AdviceUnavailable
    ) -> None:
        self.failures.append((now_ms, str(failure)))
        planner.note_advice_failed(order.step, now_ms, failure)


def _documented_ms(workers: int) -> int:
    return 40 + 2 * workers


class _Site:
    """A cell with workers and an advice service, in virtual time."""

    def __init__(
        self,
        workers: int,
        permitted: Iterable[int],
        call_ms: Callable[[int], int] = _documented_ms,
        is_lost: Callable[[int], bool] = lambda now_ms: False,
        validity_ms: int = VALIDITY_MS,
    ) -> None:
        self.harness = CellHarness(*(f"w{number:03}" for number in range(workers)))
        self.service = _Service(call_ms, is_lost, validity_ms)
        self.service.permitted = {f"w{number:03}" for number in permitted}
        self.starts: list[tuple[int, StartRun]] = []
        self._leases_ms = self.harness.now_ms

    def submit(self, *steps: StepSpec, number: int = 0) -> None:
        self.harness.submit(*steps, job=f"{number:016x}", queue=ADVISED)

    def run(self, duration_ms: int) -> None:
        end_ms = self.harness.now_ms + duration_ms
        while self.harness.now_ms < end_ms:
            self.step()

    def step(self) -> None:
        """Plan once, and let the service and the workers answer what is due."""
        harness = self.harness
        for order in harness.plan(PLAN_INTERVAL_MS - 1):
            if isinstance(order, RequestAdvice):
                self.service.send(harness.cell.planner, order, harness.now_ms)
            elif isinstance(order, StartRun):
                self.starts.append((harness.now_ms, order))
                harness.cell.handle_start_reply(order.boot, order.run, "", harness.now_ms, None)
        if harness.now_ms - self._leases_ms >= LEASE_INTERVAL_MS:
            self._leases_ms = harness.now_ms
            harness.answer_leases()
        self.service.run(harness.cell.planner, harness.now_ms)

    @property
    def calls(self) -> list[tuple[int, RequestAdvice]]:
        return self.service.calls

    @property
    def started_jobs(self) -> set[str]:
        return {order.run.task.step.job.id for _, order in self.starts}

    def asked_about(self) -> list[str]:
        return [name for _, order in self.calls for name in order.worker_ids]


class TestWorkersAskedAbout:
    """Guard against a job that waits for ever while a worker that may run it is idle."""

    @pytest.mark.parametrize("workers", [30, 31, 40, 130, 131, 270])
    def test_a_task_starts_if_only_the_last_worker_is_permitted(self, workers: int) -> None:
        site = _Site(workers, [workers - 1])
        site.submit(STEP)
        site.run(2_000)
        assert [start.boot.name for _, start in site.starts] == [f"w{workers - 1:03}"]
        assert max(len(order.worker_ids) for _, order in site.calls) <= MAX_WORKERS_PER_REQUEST
        assert len(site.asked_about()) == len(set(site.asked_about()))

    def test_a_full_permitted_worker_does_not_keep_others_from_being_asked_about(self) -> None:
        site = _Site(40, [0, 39])
        site.submit(StepSpec(2, cpu_millis=64_000))
        site.run(2_000)
        assert {start.boot.name for _, start in site.starts} == {"w000", "w039"}

    def test_a_gang_finds_its_workers_among_many(self) -> None:
        site = _Site(130, [0, 64, 129])
        site.submit(StepSpec(3, cpu_millis=64_000, gang=True))
        site.run(2_000)
        assert {start.boot.name for _, start in site.starts} == {"w000", "w064", "w129"}

    def test_a_step_without_permitted_workers_is_asked_about_with_pauses(self) -> None:
        site = _Site(40, [])
        site.submit(STEP)
        site.run(FIRST_RECHECK_PAUSE_MS)
        assert len(site.asked_about()) == 40
        site.run(60_000)
        assert len(site.asked_about()) <= 6 * 40

    def test_a_policy_that_permits_a_refused_worker_later_is_noticed(self) -> None:
        site = _Site(40, [])
        site.submit(STEP)
        site.run(1_000)
        site.service.permitted.add("w007")
        site.run(FIRST_RECHECK_PAUSE_MS + 1_000)
        assert len(site.starts) == 1

    def test_a_new_boot_of_a_refused_worker_is_asked_about_at_once(self) -> None:
        site = _Site(1, [])
        site.submit(STEP)
        site.run(1_000)
        site.service.permitted.add("w000")
        site.harness.reboot("w000", 2)
        site.run(2_500)
        assert len(site.starts) == 1

    def test_workers_with_a_permit_are_asked_about_first_when_it_expires(self) -> None:
        site = _Site(130, [129])
        site.submit(StepSpec(2, cpu_millis=64_000))
        site.run(VALIDITY_MS + PERMIT_MARGIN_MS)
        (start,) = [start for _, start in site.starts]
        site.harness.cell.term.end_run(start.boot, start.run, "lost", site.harness.now_ms)
        site.calls.clear()
        site.run(500)
        assert len(site.starts) == 2
        assert site.calls[0][1].worker_ids == ("w129",)

    def test_a_permit_that_is_never_valid_is_asked_for_with_pauses(self) -> None:
        site = _Site(4, [0, 1, 2, 3], validity_ms=PERMIT_MARGIN_MS)
        site.submit(STEP)
        site.run(10_000)
        assert not site.starts and len(site.calls) <= 10_000 // 300


class TestCallsUnderWay:
    """Guard against calls that are given up before their turn, so that none is answered in time."""

    def test_a_burst_of_jobs_is_advised_at_the_rate_of_the_service(self) -> None:
        site = _Site(24, range(24))
        begin_ms = site.harness.now_ms
        arrivals_ms = {number: begin_ms + number * 1_000 / 31 for number in range(124)}
        pending = dict(arrivals_ms)
        while site.harness.now_ms < begin_ms + 14_000:
            for number in [n for n, at_ms in pending.items() if at_ms <= site.harness.now_ms]:
                del pending[number]
                site.submit(STEP, number=number)
            site.step()
        assert not site.service.failures
        assert len(site.started_jobs) == len(arrivals_ms)
        assert site.service.answered[-1] - begin_ms <= 124 * _documented_ms(24) / 0.9

    def test_an_outage_leads_to_few_calls_and_the_service_is_used_soon_after_it(self) -> None:
        outage_ms = 8_000
        site = _Site(24, range(24), is_lost=lambda now_ms: now_ms < 100_000 + outage_ms)
        for number in range(60):
            site.submit(STEP, number=number)
        site.run(outage_ms)
        assert len(site.calls) <= 8
        site.run(MAX_TIMEOUT_MS // 2)
        assert site.started_jobs
        site.run(60 * _documented_ms(24) * 10 // 9)
        assert len(site.started_jobs) == 60

    def test_a_service_that_is_slower_than_the_first_timeout_is_waited_for(self) -> None:
        site = _Site(24, range(24), call_ms=lambda workers: 3_000, validity_ms=20_000)
        for number in range(5):
            site.submit(STEP, number=number)
        site.run(45_000)
        assert len(site.started_jobs) == 5

    def test_no_call_is_sent_for_jobs_that_have_ended(self) -> None:
        site = _Site(24, range(24))
        for number in range(60):
            site.submit(STEP, number=number)
        site.run(200)
        for number in range(60):
            site.harness.cell.cancel(f"{number:016x}", site.harness.now_ms)
        sent = len(site.calls)
        site.run(2_000)
        assert len(site.calls) == sent

    def test_a_step_that_ranks_last_is_asked_about_while_others_arrive(self) -> None:
        site = _Site(24, range(24))
        site.submit(StepSpec(8, cpu_millis=1_000, estimate_ms=60_000), number=10_000)
        for number in range(200):
            site.submit(STEP, number=number)
            site.run(40)
        assert f"{10_000:016x}" in site.started_jobs

    def test_retry_after_holds(self) -> None:
        site = _Site(24, range(24))
        planner = site.harness.cell.planner
        site.submit(STEP)
        (order,) = [o for o in site.harness.plan() if isinstance(o, RequestAdvice)]
        failure = AdviceUnavailable("busy", busy=True, retry_after_ms=5_000)
        planner.note_advice_failed(order.step, site.harness.now_ms, failure)
        site.submit(STEP, number=1)
        site.run(4_900)
        assert not site.calls
        site.run(2_000)
        assert len(site.started_jobs) == 2

    def test_a_call_that_always_fails_does_not_hold_up_the_others(self) -> None:
        site = _Site(24, range(24))
        for number in range(20):
            site.submit(STEP, number=number)
        send = site.service.send

        def send_unless_bad(planner: Planner, order: RequestAdvice, now_ms: int) -> None:
            if order.step.job.id == "0" * 16:
                planner.note_advice_failed(order.step, now_ms, AdviceUnavailable("status 500"))
            else:
                send(planner, order, now_ms)

        site.service.send = send_unless_bad  # type: ignore[method-assign]
        site.run(6_000)
        assert len(site.started_jobs) == 19


class TestAnyService:
    """Guard against a job that is not started while a worker that may run it is idle."""

    @settings(deadline=None)
    @given(
        workers=st.sampled_from([1, 5, 31, 140]),
        jobs=st.integers(1, 8),
        call_ms=st.integers(1, 1_500),
        slow_ms=st.lists(st.integers(0, 4_000), max_size=8),
        lost_ms=st.lists(st.tuples(st.integers(0, 5_000), st.integers(1, 2_000)), max_size=3),
        data=st.data(),
    )
    def test_each_job_with_a_permitted_worker_starts(
        self,
        workers: int,
        jobs: int,
        call_ms: int,
        slow_ms: list[int],
        lost_ms: list[tuple[int, int]],
        data: st.DataObject,
    ) -> None:
        permitted = data.draw(st.sets(st.integers(0, workers - 1), min_size=1, max_size=5))
        extra_ms = iter(slow_ms)
        site = _Site(
            workers,
            permitted,
            call_ms=lambda _: call_ms + next(extra_ms, 0),
            is_lost=lambda at: any(a <= at - 100_000 < a + length for a, length in lost_ms),
            validity_ms=4_000 + 4 * call_ms,
        )
        for number in range(jobs):
            site.submit(STEP, number=number)
        calls = jobs * (1 + -(-max(0, workers - 30) // 100))
        # Losses end after 7 s; a time-out and a pause follow, and calls that were given up.
        bound_ms = 7_000 + 16_000 + sum(slow_ms) + 2 * (calls + 12) * (call_ms + PLAN_INTERVAL_MS)
        while len(site.started_jobs) < jobs and site.harness.now_ms < 100_000 + bound_ms:
            site.step()
        assert len(site.started_jobs) == jobs


class TestHttpAdvice:
    """Guard against a call that is given up before its turn, and a pause that is not kept."""

    @pytest.mark.parametrize(
        ("status", "retry_after", "busy", "retry_after_ms"),
        [
            (429, "2", True, 2_000),
            (429, "", True, 0),
            (429, "soon", True, 0),
            (429, "9" * 40, True, MAX_RETRY_AFTER_MS),
            (503, "1", False, 1_000),
        ],
    )
    def test_a_rejection_tells_what_it_asks_for(
        self, status: int, retry_after: str, busy: bool, retry_after_ms: int
    ) -> None:
        async def handle(req: web.BaseRequest) -> web.StreamResponse:
            return web.Response(status=status, headers={"Retry-After": retry_after})

        failure = asyncio.run(_fail_to_ask(handle, 2.0))
        assert (failure.busy, failure.retry_after_ms) == (busy, retry_after_ms)
        assert not failure.timed_out

    def test_a_call_is_given_up_after_its_own_timeout(self) -> None:
        async def handle(req: web.BaseRequest) -> web.StreamResponse:
            await asyncio.sleep(0.5)
            return web.json_response({"allowed": [], "validity-ms": 1})

        failure = asyncio.run(_fail_to_ask(handle, 0.1))
        assert failure.timed_out and not failure.busy


async def _fail_to_ask(
    handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]], timeout_s: float
) -> AdviceUnavailable:
    """Return the error of a call to a server with this handler."""
    runner = web.ServerRunner(web.Server(handle, access_log=None))
    await runner.setup()
    try:
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        async with Session(1) as session:
            with pytest.raises(AdviceUnavailable) as raised:
                address = f"127.0.0.1:{runner.addresses[0][1]}"
                await HttpAdvice(session, address).request_permits("j", 0, 0, ["w0"], timeout_s)
        return raised.value
    finally:
        await runner.cleanup()
