"""Places that are kept for long-running tasks: what they must not do, and what they cost."""

from __future__ import annotations

import dataclasses
import time
from collections import Counter

import pytest
from msgspec.structs import replace

from greengagewood.internal.cells.orders import RequestAdvice, StartRun, StopRun
from greengagewood.internal.jobs.book import Task
from greengagewood.internal.jobs.model import Queue, StepSpec
from greengagewood.internal.ports import Permit, RunEnd, RunningTask
from tests.common.desk import QUEUE, CellHarness, make_worker_info, start_orders

LASTING = StepSpec(1, cpu_millis=1_000, long_running=True)
JOB = "0" * 16
OTHER_JOB = "f" * 16
LONGEST_WAIT_MS = 9_000
LONGEST_UPDATE_MS = 50
LONGEST_MOVE_MS = 600  # until a task is moved to room that has come free


def _answer(harness: CellHarness, *names: str) -> None:
    """Let workers list their runs."""
    for name in names or harness.worker_infos:
        runs = [run for run in harness.cell.boots[name].runs.values() if run.accepted_ms]
        harness.answer_lease(name, *(RunningTask(r.task.id, r.number, "", 100, 0) for r in runs))


def _drain(harness: CellHarness, name: str) -> None:
    infos = harness.worker_infos
    infos[name] = dataclasses.replace(infos[name], draining=True)
    harness.cell.set_workers(infos, harness.now_ms)


def _lose(harness: CellHarness, spec: StepSpec, job: str = JOB) -> Task:
    """Add a task that has just lost its run."""
    harness.submit(spec, job=job)
    task = harness.cell.book.jobs[job].occurrences[0][0].tasks[0]
    task.last_run_ended_ms = task.idle_since_ms = harness.now_ms
    return task


def _join(harness: CellHarness, *names: str, cpu_millis: int = 64_000) -> None:
    for name in names:
        info = dataclasses.replace(make_worker_info(name), cpu_millis=cpu_millis)
        harness.worker_infos[name] = info
    harness.cell.set_workers(harness.worker_infos, harness.now_ms)


def _start_on(harness: CellHarness, name: str, *specs: StepSpec) -> list[Task]:
    """Start long-running tasks on the only worker."""
    for number, spec in enumerate(specs):
        harness.submit(spec, job=f"{100 + number:016x}")
    harness.now_ms += 500
    _answer(harness, name)
    tasks = [order.run.task for order in harness.start()]
    assert len(tasks) == sum(spec.task_count for spec in specs)
    return sorted(tasks, key=lambda task: task.id)


def _let_pass(harness: CellHarness, elapsed_ms: int, accept: bool = False) -> list[StopRun]:
    """Let time pass in which workers list their runs; return the stops of runs."""
    stops = []
    for _ in range(elapsed_ms // 60):
        harness.read_orders()
        _answer(harness)
        orders = harness.plan(60)
        stops += [order for order in orders if isinstance(order, StopRun)]
        for start in start_orders(orders) if accept else ():
            harness.cell.handle_start_reply(start.boot, start.run, "", harness.now_ms, None)
    return stops


def _fill(harness: CellHarness, count: int, cpu_millis: int, memory_mb: int = 0) -> None:
    for number in range(count):
        spec = StepSpec(1, cpu_millis=cpu_millis, memory_mb=memory_mb, estimate_ms=90_000)
        harness.submit(spec, job=f"{number + 1:016x}")
    _answer(harness)
    assert len(harness.start()) >= count


def _wait_of(harness: CellHarness, task: Task, unanswered: int = 0) -> int:
    """Return how long a task has no run; its first `unanswered` starts get no answer."""
    since_ms = harness.now_ms
    sequences: Counter[str] = Counter()
    stops: list[StopRun] = []
    lost: list[tuple[StartRun, int]] = []
    progress = 1
    while harness.now_ms - since_ms <= LONGEST_WAIT_MS:
        progress = progress % 98 + 1
        for name, boot in harness.cell.boots.items():
            ends = []
            for order in stops:
                if order.boot is boot and order.run is not None and order.run.state == "stopping":
                    sequences[name] += 1
                    end = (sequences[name], order.task_id, order.run_number, "stopped", "")
                    ends.append(RunEnd(*end))
            over = {end.task_id for end in ends}
            runs = [r for r in boot.runs.values() if r.accepted_ms and r.task.id not in over]
            listed = [RunningTask(r.task.id, r.number, "", progress, 0) for r in runs]
            harness.answer_lease(name, *listed, ends=tuple(ends))
        for start, sent_ms in list(lost):
            if harness.now_ms - sent_ms >= 1_000:
                harness.cell.note_start_unanswered(start.run, harness.now_ms)
                lost.remove((start, sent_ms))
        harness.read_orders()
        stops = []
        for order in harness.plan(60):
            if isinstance(order, StopRun):
                stops.append(order)
                if order.run is not None and order.run.state == "unconfirmed":
                    harness.accept_stop(order.run)
            elif isinstance(order, StartRun) and order.run.task is task and unanswered:
                unanswered -= 1
                lost.append((order, harness.now_ms))
            elif isinstance(order, StartRun):
                harness.cell.handle_start_reply(order.boot, order.run, "", harness.now_ms)
        if task.run is not None and task.run.accepted_ms is not None:
            break
    return harness.now_ms - since_ms


class TestStarts:
    """Guard against starts that no other road to a start allows."""

    def test_a_place_does_not_bypass_a_late_start(self) -> None:
        harness = CellHarness("w0", "w1", "w2")
        harness.submit(LASTING)
        start = harness.start_unanswered()
        name = start.boot.name
        others = [other for other in harness.worker_infos if other != name]
        _drain(harness, name)
        for _ in range(3):
            _answer(harness, *others)
            harness.plan(10)
        harness.now_ms += 2_000
        _answer(harness, *others)
        harness.plan(60)
        harness.answer_lease(name)
        assert start.run.task.late_start is start.run
        assert start_orders(harness.plan(5)) == []

    def test_no_more_runs_are_started_than_the_window_allows(self) -> None:
        harness = CellHarness("w0", "w1")
        _lose(harness, replace(LASTING, task_count=2))
        for task in harness.cell.book.jobs[JOB].occurrences[0][0].tasks:
            task.last_run_ended_ms = task.idle_since_ms = harness.now_ms
        harness.submit(StepSpec(4, cpu_millis=1_000), job=OTHER_JOB)
        harness.now_ms += 600
        _answer(harness)
        harness.cell.note_confirmed(harness.now_ms)
        assert len(start_orders(harness.cell.planner.plan(harness.now_ms, 2))) <= 2


class TestStops:
    """Guard against runs that are stopped though nothing can be started instead."""

    def test_no_run_is_stopped_while_starts_are_suspended(self) -> None:
        harness = CellHarness("w0", "w1")
        harness.submit(LASTING)
        harness.now_ms += 500
        _answer(harness)
        (start,) = harness.start()
        name = start.boot.name
        (other,) = set(harness.worker_infos) - {name}
        harness.submit(StepSpec(1, cpu_millis=64_000, estimate_ms=60_000), job=OTHER_JOB)
        _answer(harness)
        (filler,) = harness.start()
        _drain(harness, name)
        harness.now_ms += 60
        _answer(harness)
        harness.plan(60)
        harness.now_ms += 9_100
        harness.cell.set_workers(harness.worker_infos, harness.now_ms, harness.now_ms)
        assert not harness.cell.planner.evacuations_known
        _answer(harness, name)
        end = RunEnd(1, filler.run.task.id, filler.run.number, "done", "")
        harness.answer_lease(other, ends=(end,))
        harness.now_ms += 110
        assert [order for order in harness.plan(10) if isinstance(order, StopRun)] == []


class TestWaits:
    """Guard against a task that waits though other runs could be stopped for it."""

    def test_a_place_is_not_kept_where_only_a_gang_could_make_room(self) -> None:
        harness = CellHarness("w0", "w1")
        gang = StepSpec(1, cpu_millis=61_000, estimate_ms=90_000, gang=True)
        harness.submit(gang, job=OTHER_JOB)
        _answer(harness)
        harness.start()
        _fill(harness, 16, 4_000)
        task = _lose(harness, replace(LASTING, cpu_millis=8_000))
        assert _wait_of(harness, task) < LONGEST_WAIT_MS

    def test_a_task_that_is_bound_by_a_late_start_gets_a_place_there(self) -> None:
        harness = CellHarness("w0", "w1")
        _fill(harness, 32, 4_000)
        task = _lose(harness, replace(LASTING, cpu_millis=8_000))
        assert _wait_of(harness, task, unanswered=1) < LONGEST_WAIT_MS

    @pytest.mark.parametrize(
        ("spec", "queue"),
        [
            (LASTING, replace(QUEUE, name="advised", decision_ms=30)),
            (replace(LASTING, best_effort=True, checkpointing=True), QUEUE),
            (StepSpec(1, memory_mb=1_000, long_running=True), QUEUE),
        ],
        ids=["advice", "best-effort", "no-cpu"],
    )
    def test_a_task_leaves_a_worker_that_drains(self, spec: StepSpec, queue: Queue) -> None:
        harness = CellHarness("w0", "w1")
        harness.submit(spec, queue=queue)
        harness.now_ms += 500
        _answer(harness)
        orders = harness.plan()
        for order in orders:
            if isinstance(order, RequestAdvice):
                permit = Permit("t", harness.now_ms + 60_000)
                permits = dict.fromkeys(order.worker_ids, permit)
                harness.cell.planner.note_permits(order.step, permits, harness.now_ms)
                orders = harness.plan()
        (start,) = start_orders(orders)
        harness.cell.handle_start_reply(start.boot, start.run, "", harness.now_ms, None)
        harness.now_ms += 10
        _answer(harness)
        _drain(harness, start.boot.name)
        assert _let_pass(harness, 600)

    def test_a_task_leaves_a_worker_though_many_larger_ones_find_no_free_place(self) -> None:
        # One update seeks free places for a few of the tasks.
        harness = CellHarness("d")
        large = replace(LASTING, task_count=18, cpu_millis=2_500)
        small = _start_on(harness, "d", large, replace(LASTING, cpu_millis=2_000))[-1]
        _join(harness, *(f"w{number:02}" for number in range(20)))
        _fill(harness, 20, 62_500)
        _drain(harness, "d")
        _let_pass(harness, 300)
        assert len(harness.cell.planner.places) == 19
        _join(harness, "x", cpu_millis=2_200)
        assert small in {order.run.task for order in _let_pass(harness, LONGEST_MOVE_MS)}

    def test_a_task_leaves_a_worker_though_many_others_have_no_memory_left(self) -> None:
        # One update compares a few of the workers with as much CPU as the task needs.
        harness = CellHarness("d")
        (task,) = _start_on(harness, "d", replace(LASTING, cpu_millis=10_000, memory_mb=1_000))
        _join(harness, *(f"w{number:02}" for number in range(30)))
        _fill(harness, 30, 50_000, 256_000)
        _drain(harness, "d")
        _let_pass(harness, 300)
        assert len(harness.cell.planner.places) == 1
        _join(harness, "x")
        assert task in {order.run.task for order in _let_pass(harness, LONGEST_MOVE_MS)}

    def test_a_small_task_does_not_wait_for_as_long_as_larger_ones_lose_their_runs(self) -> None:
        # Each worker that joins has room for two of the larger tasks, and for nothing beside them.
        harness = CellHarness("w0")
        harness.submit(StepSpec(1, cpu_millis=64_000, estimate_ms=90_000, gang=True), job=OTHER_JOB)
        assert len(harness.start()) == 1  # no place is kept beside a gang
        small = _lose(harness, LASTING)
        large = replace(LASTING, cpu_millis=8_000)
        for number in range(6):
            _lose(harness, large, f"{100 + number:016x}")
        for number in range(LONGEST_WAIT_MS // 720):
            _join(harness, f"x{number}", cpu_millis=16_000)
            for task in (0, 1):
                _lose(harness, large, f"{200 + 2 * number + task:016x}")
            _let_pass(harness, 720, accept=True)
            if small.run is not None:
                break
        assert small.run is not None


class TestNewOwners:
    """Guard against a task that waits anew because its owner has changed."""

    def test_the_time_that_an_adoption_took_counts(self) -> None:
        harness = CellHarness("w0")
        begun_ms = harness.now_ms
        harness.submit(LASTING)
        book = harness.cell.book
        (task,) = book.jobs[JOB].opened_tasks()
        book.note_maybe_started(task.step.job)
        book.note_maybe_running(task)
        harness.now_ms += 5_000
        harness.read_orders()
        _answer(harness)
        harness.cell.note_confirmed(harness.now_ms + 1)
        harness.cell.plan(harness.now_ms, harness.now_ms)
        assert not task.maybe_running
        assert task.idle_since_ms == begun_ms


class TestCost:
    """Guard against an owner that seeks places for so long that its heartbeats are late."""

    @pytest.mark.parametrize(("workers", "lost"), [(350, 350), (2_500, 2_000)])
    def test_an_update_of_places_is_bounded(self, workers: int, lost: int) -> None:
        harness = CellHarness(*(f"w{number}" for number in range(workers)))
        for number in range(lost):
            spec = replace(LASTING, cpu_millis=12_000 + number % 40 * 50)
            _lose(harness, spec, f"{number:016x}")
        planner = harness.cell.planner
        by_service = {"svc": list(harness.cell.boots.values())}
        for boot in harness.cell.boots.values():  # nothing is free
            boot.allocated.cpu_millis = boot.info.cpu_millis
        times_ms = []
        for _ in range(5):
            harness.now_ms += 60
            begun = time.process_time()
            planner.places.update(by_service, lambda s: planner.queue_of(s.job), harness.now_ms)
            times_ms.append(1_000 * (time.process_time() - begun))
        assert planner.places
        assert min(times_ms) < LONGEST_UPDATE_MS
