"""Permits of the advice service: every task that a worker may run is started there, soon."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable

import pytest

from greengagewood.internal.cells.orders import RequestAdvice, StartRun
from greengagewood.internal.cells.permits import (
    FIRST_RECHECK_PAUSE_MS,
    MAX_WORKERS_PER_REQUEST,
    PERMIT_MARGIN_MS,
)
from greengagewood.internal.jobs.model import Queue, StepSpec
from greengagewood.internal.ports import Permit
from tests.common.desk import CellHarness

ADVISED = Queue("advised", "svc", 1, 3, 2.0, 1_000, decision_ms=40)
VALIDITY_MS = 4_000
PLAN_INTERVAL_MS = 50
LEASE_INTERVAL_MS = 400
STEP = StepSpec(1, cpu_millis=1_000)


def _documented_ms(order: RequestAdvice) -> int:
    return 40 + 2 * len(order.worker_ids)


class _Site:
    """A cell with workers, and a service that answers one call at a time, in virtual time."""

    def __init__(
        self,
        workers: int,
        permitted: Iterable[int],
        call_ms: Callable[[RequestAdvice], int] = _documented_ms,
        validity_ms: int = VALIDITY_MS,
    ) -> None:
        self.harness = CellHarness(*(f"w{number:03}" for number in range(workers)))
        self.permitted = {f"w{number:03}" for number in permitted}
        self.calls: list[tuple[int, RequestAdvice]] = []
        self.starts: list[tuple[int, StartRun]] = []
        self._call_ms = call_ms
        self._validity_ms = validity_ms
        self._waiting: deque[tuple[int, int, RequestAdvice]] = deque()  # sent, answered
        self._leases_ms = self.harness.now_ms

    @property
    def planner(self):
        return self.harness.cell.planner

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
                self.calls.append((harness.now_ms, order))
                idle_ms = max([harness.now_ms, *(call[1] for call in self._waiting)])
                call = harness.now_ms, idle_ms + self._call_ms(order), order
                self._waiting.append(call)
            elif isinstance(order, StartRun):
                self.starts.append((harness.now_ms, order))
                harness.cell.handle_start_reply(order.boot, order.run, "", harness.now_ms, None)
        if harness.now_ms - self._leases_ms >= LEASE_INTERVAL_MS:
            self._leases_ms = harness.now_ms
            harness.answer_leases()
        while self._waiting and self._waiting[0][1] <= harness.now_ms:
            sent_ms, _, order = self._waiting.popleft()
            permit = Permit("t", sent_ms + self._validity_ms)
            allowed = {name: permit for name in order.worker_ids if name in self.permitted}
            self.planner.note_permits(order.step, allowed, harness.now_ms)

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
        site.permitted.add("w007")
        site.run(FIRST_RECHECK_PAUSE_MS + 1_000)
        assert len(site.starts) == 1

    def test_a_new_boot_of_a_refused_worker_is_asked_about_at_once(self) -> None:
        site = _Site(1, [])
        site.submit(STEP)
        site.run(1_000)
        site.permitted.add("w000")
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
