"""Steps that limit how many of their tasks may be unavailable at a time."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

import msgspec
import pytest

from greengagewood.internal.cells.orders import StartRun, StopRun
from greengagewood.internal.jobs.book import Run
from greengagewood.internal.jobs.model import StepSpec
from greengagewood.internal.jobs.records import RegisteredWorker, RegisteredWorkers
from greengagewood.internal.ports import RunEnd, RunningTask
from tests.common.desk import CellHarness

TICK_MS = 50
STARTUP_MS = 300
FILLING = StepSpec(
    4,
    cpu_millis=6_000,
    memory_mb=1,
    checkpointing=True,
    image="f",
    best_effort=True,
    long_running=True,
    max_unavailable=1,
)
SERVING = StepSpec(
    2, cpu_millis=500, memory_mb=256, estimate_ms=400, long_running=True, max_unavailable=1
)


class _Service:
    """Workers that start and stop runs; a long-running task is at work after its startup."""

    def __init__(self, *workers: str) -> None:
        self.harness = CellHarness(*workers)
        self.most_away = 0  # tasks at a time that were stopped and are not at work again
        self.startup_ms = STARTUP_MS
        self.stops: list[StopRun] = []
        self.stop_times: list[tuple[int, StopRun]] = []
        self._sequences = dict.fromkeys(workers, 0)
        self._away: set[object] = set()
        self._stopping: list[Run] = []

    def _percent(self, run: Run) -> int:
        started_ms = run.accepted_ms if run.accepted_ms is not None else self.harness.now_ms
        return 100 if self.harness.now_ms - started_ms >= self.startup_ms else 40

    def run_for(self, duration_ms: int, slow: bool = False) -> None:
        """Let time pass; with `slow`, the first run of each task is slowed down."""
        harness = self.harness
        end_ms = harness.now_ms + duration_ms
        while harness.now_ms < end_ms:
            stopped, self._stopping = self._stopping, []
            for name, boot in harness.cell.boots.items():
                ends = []
                for run in stopped:
                    if run.boot is boot and run.state == "stopping":
                        self._sequences[name] += 1
                        number = self._sequences[name]
                        ends.append(RunEnd(number, run.task.id, run.number, "stopped", "c"))
                listed = []
                for run in boot.runs.values():
                    if run not in stopped and run.accepted_ms is not None:
                        percent = self._percent(run)
                        listed.append(RunningTask(run.task.id, run.number, "c", percent, 600))
                        if percent == 100:
                            self._away.discard(run.task)
                        is_first = run.number == run.task.start_count == 1
                        run.speed_percent = 10 if slow and is_first else 100
                harness.answer_lease(name, *listed, ends=tuple(ends))
            for order in harness.plan(TICK_MS):
                if isinstance(order, StartRun):
                    harness.cell.handle_start_reply(order.boot, order.run, "", harness.now_ms)
                elif isinstance(order, StopRun) and order.run is not None:
                    self._stopping.append(order.run)
                    self.stops.append(order)
                    self.stop_times.append((harness.now_ms, order))
                    if self._percent(order.run) == 100:
                        self._away.add(order.run.task)
                        self.most_away = max(self.most_away, len(self._away))


class TestMoves:
    """Guard against moves of more tasks of a step at a time than it allows."""

    @pytest.mark.parametrize("limit", [1, 2])
    def test_slow_tasks_are_moved_one_after_the_other(self, limit: int) -> None:
        service = _Service("w0", "w1", "w2", "w3")
        service.harness.submit(msgspec.structs.replace(FILLING, max_unavailable=limit))
        service.run_for(2_000)
        service.run_for(6_000, slow=True)
        assert {stop.reason for stop in service.stops} <= {"moves", "again"}
        assert service.most_away == limit

    def test_a_task_that_was_listed_at_work_at_once_is_given_time_to_settle(self) -> None:
        """Guards against a checkpoint that counts as progress before it is restored."""
        service = _Service("w0", "w1", "w2", "w3")
        service.startup_ms = 0
        service.harness.submit(FILLING)
        service.run_for(2_000)
        service.run_for(6_000, slow=True)
        moves = [(at, stop.task_id) for at, stop in service.stop_times if stop.reason == "moves"]
        gaps_ms = [later[0] - first[0] for first, later in pairwise(moves) if first[1] != later[1]]
        assert len(gaps_ms) >= 2 and min(gaps_ms) >= 1_000

    def test_without_a_limit_they_are_moved_together(self) -> None:
        service = _Service("w0", "w1", "w2", "w3")
        service.harness.submit(msgspec.structs.replace(FILLING, max_unavailable=0))
        service.run_for(2_000)
        service.run_for(6_000, slow=True)
        assert service.most_away > 2

    def test_a_task_that_is_not_at_work_holds_back_the_moves_of_others(self) -> None:
        service = _Service("w0", "w1", "w2", "w3")
        service.harness.submit(FILLING)
        service.run_for(2_000)
        (step,) = service.harness.cell.book.jobs["0" * 16].occurrences[0]
        lost = step.tasks[0]
        service.harness.cell.book.delay_restart(lost, service.harness.now_ms + 60_000)
        assert lost.run is not None
        service._stopping.append(lost.run)
        lost.run.transition("stop")
        service.run_for(6_000, slow=True)
        assert [stop for stop in service.stops if stop.reason == "moves"] == []


class TestWorkersWithoutEntries:
    """Guard against tasks moved together off a worker of which only the entry is missing."""

    def test_their_tasks_are_moved_one_after_the_other(self) -> None:
        service = _Service("w0", "w1")
        harness = service.harness
        harness.submit(SERVING)
        service.run_for(2_000)
        (boot,) = (b for b in harness.cell.boots.values() if b.runs)
        # As a new owner knows it that reads no entry of the worker.
        boot.info = replace(boot.info, draining=True)
        boot.worker.in_directory, boot.is_known_by_record = False, True
        service.run_for(4_000)
        assert len(service.stops) >= 2
        assert service.most_away == 1

    def test_a_worker_that_drains_is_left_by_all_at_once(self) -> None:
        service = _Service("w0", "w1")
        harness = service.harness
        harness.submit(SERVING)
        service.run_for(2_000)
        (name,) = (name for name, boot in harness.cell.boots.items() if boot.runs)
        harness.worker_infos[name] = replace(harness.worker_infos[name], draining=True)
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        service.run_for(4_000)
        assert service.most_away == 2

    def test_a_record_says_nothing_of_a_worker_once_its_entry_is_read(self) -> None:
        harness = CellHarness("w0")
        record = RegisteredWorkers((RegisteredWorker("w1", "10.0.0.1:80", "svc"),), 0)
        harness.cell.set_registered_workers(record, harness.now_ms, harness.now_ms)
        assert harness.cell.boots["w1"].is_known_by_record
        harness.worker_infos["w1"] = replace(harness.worker_infos["w0"], worker_id="w1")
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        assert not harness.cell.boots["w1"].is_known_by_record
