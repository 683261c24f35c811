"""Room for long-running tasks in a full service."""

from __future__ import annotations

import heapq
from dataclasses import replace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagewood.internal.cells.orders import StartRun, StopRun
from greengagewood.internal.jobs.book import Run, Task
from greengagewood.internal.jobs.model import StepSpec
from greengagewood.internal.ports import RunEnd, RunningTask
from tests.common.desk import QUEUE, CellHarness, start_orders

TICK_MS = 50
LONGEST_WAIT_MS = 9_000  # what the platform allows from the end of a run to the next start
LASTING = StepSpec(1, cpu_millis=16_000, memory_mb=8_000, long_running=True, image="watch")


class _FullService:
    """Workers filled with narrow short tasks, of which more arrive all the time."""

    def __init__(
        self, workers: int, run_ms: int, *, cpu_millis: int = 4_000, waiting: int = 40
    ) -> None:
        self.harness = CellHarness(*(f"w{number}" for number in range(workers)))
        self.run_ms = run_ms
        self.narrow = StepSpec(1, cpu_millis=cpu_millis, memory_mb=4_000, estimate_ms=run_ms)
        self.waiting = waiting
        self.lasting_queue = QUEUE
        self.events: list[tuple[str, dict[str, object]]] = []
        self.stopped: list[StopRun] = []
        self.harness.cell.on_event = lambda name, fields: self.events.append((name, fields))
        self._job_count = 0
        self._ends: list[tuple[int, int, Run]] = []
        self._sequences: dict[str, int] = {}

    def submit(self, *steps: StepSpec) -> Task:
        self._job_count += 1
        job = f"{self._job_count:016x}"
        queue = self.lasting_queue if steps[0].long_running else QUEUE
        self.harness.submit(*steps, job=job, queue=queue)
        return self.harness.cell.book.jobs[job].occurrences[0][0].tasks[0]

    def _accept(self, order: StartRun) -> None:
        harness = self.harness
        harness.cell.handle_start_reply(order.boot, order.run, "", harness.now_ms)
        if not order.run.task.step.spec.long_running:
            # Ends are spread, so that room comes free in narrow pieces.
            end_ms = harness.now_ms + self.run_ms + (37 * len(self._ends)) % self.run_ms
            heapq.heappush(self._ends, (end_ms, id(order.run), order.run))

    def tick(self) -> None:
        """Let tasks arrive and end, answer the leases, plan, and carry the orders out."""
        harness = self.harness
        while len(harness.cell.book.waiting_steps) < self.waiting:
            self.submit(self.narrow)
        ends: dict[str, list[RunEnd]] = {}
        while self._ends and self._ends[0][0] <= harness.now_ms:
            _, _, run = heapq.heappop(self._ends)
            if run.state == "running":
                self._note_end(ends, run, "done")
        for order in self.stopped:
            if order.run is not None and order.run.state == "stopping":
                self._note_end(ends, order.run, "stopped")
        for name, boot in harness.cell.boots.items():
            over = {end.task_id for end in ends.get(name, ())}
            listed = [
                RunningTask(run.task.id, run.number, "", self._progress_percent(run), 0)
                for run in boot.runs.values()
                if run.accepted_ms is not None and run.task.id not in over
            ]
            harness.answer_lease(name, *listed, ends=tuple(ends.get(name, ())))
        self.stopped.clear()
        for order in harness.plan(TICK_MS):
            if isinstance(order, StartRun):
                self._accept(order)
            elif isinstance(order, StopRun):
                self.stopped.append(order)

    def _progress_percent(self, run: Run) -> int:
        if run.task.step.spec.long_running or run.accepted_ms is None:
            return 100
        return min(99, 100 * (self.harness.now_ms - run.accepted_ms) // (2 * self.run_ms))

    def _note_end(self, ends: dict[str, list[RunEnd]], run: Run, how: str) -> None:
        sequence = self._sequences[run.worker_id] = self._sequences.get(run.worker_id, 0) + 1
        ends.setdefault(run.worker_id, []).append(
            RunEnd(sequence, run.task.id, run.number, how, "")
        )

    def drain(self, name: str) -> None:
        """Let a worker say that it leaves; its long-running tasks end a moment later."""
        infos = self.harness.worker_infos
        infos[name] = replace(infos[name], draining=True)
        self.harness.cell.set_workers(infos, self.harness.now_ms)
        self.harness.read_orders()  # from the same store as the directory

    def end_on(self, name: str) -> None:
        """Let a worker end all its runs, and leave."""
        ends: dict[str, list[RunEnd]] = {}
        for run in list(self.harness.cell.boots[name].runs.values()):
            self._note_end(ends, run, "stopped")
        self.harness.answer_lease(name, ends=tuple(ends.get(name, ())))

    def wait_of(self, task: Task) -> int:
        """Return how long the task has no run, up to the longest wait that is allowed."""
        since_ms = self.harness.now_ms
        while task.run is None or task.run.accepted_ms is None:
            if self.harness.now_ms - since_ms > LONGEST_WAIT_MS:
                break
            self.tick()
        return self.harness.now_ms - since_ms


def _run_lasting_tasks(service: _FullService, *specs: StepSpec) -> list[Task]:
    """Start long-running tasks on the first workers, then fill all workers with narrow tasks."""
    tasks = [service.submit(spec) for spec in specs]
    service.waiting = 0
    for _ in range(12):
        service.tick()
    assert all(task.run is not None for task in tasks)
    service.waiting = 40
    for _ in range(60):
        service.tick()
    return tasks


class TestLostRuns:
    """Guard against a long-running task waiting as long as narrow tasks fill each gap."""

    @pytest.mark.parametrize("run_ms", [600, 3_000, 20_000])
    def test_a_task_whose_worker_left_runs_again_while_narrow_tasks_arrive(
        self, run_ms: int
    ) -> None:
        service = _FullService(5, run_ms)
        (task,) = _run_lasting_tasks(service, LASTING)
        assert task.run is not None
        left = task.run.worker_id
        service.drain(left)
        service.end_on(left)
        assert task.run is None
        assert service.wait_of(task) < LONGEST_WAIT_MS

    @pytest.mark.parametrize("run_ms", [600, 3_000, 20_000])
    def test_tasks_that_may_have_crashed_their_worker_run_again_while_narrow_tasks_arrive(
        self, run_ms: int
    ) -> None:
        """Guards against suspected tasks without places, for which no gap is ever wide enough."""
        service = _FullService(5, run_ms)
        (first,) = _run_lasting_tasks(service, msgspec.structs.replace(LASTING, task_count=3))
        tasks = first.step.tasks
        for task in tasks:
            assert task.run is not None and task.run.boot is not None
            suspected = task.run.boot.placed_run(task.run)
            service.harness.cell.book.note_crash(task, suspected)
        (left,) = {task.run.worker_id for task in tasks if task.run is not None}
        service.drain(left)
        service.end_on(left)
        waits = [service.wait_of(task) for task in tasks]
        assert sum(waits) < LONGEST_WAIT_MS
        for _ in range(20):
            service.tick()
        assert not first.step.job.suspects

    @pytest.mark.parametrize("run_ms", [600, 20_000])
    def test_a_task_that_lost_its_run_does_not_wait_for_tasks_of_a_higher_priority(
        self, run_ms: int
    ) -> None:
        """Guards against a rank behind work that never ends in a full service."""
        service = _FullService(5, run_ms)
        service.lasting_queue = msgspec.structs.replace(QUEUE, name="low", priority=5)
        tasks = _run_lasting_tasks(service, LASTING)
        left = {task.run.worker_id for task in tasks if task.run is not None}.pop()
        service.drain(left)
        service.end_on(left)
        assert len(service.harness.cell.book.waiting_steps) >= service.waiting
        assert service.wait_of(tasks[0]) < LONGEST_WAIT_MS

    def test_a_task_that_lost_its_run_does_not_wait_for_best_effort_tasks_that_are_paused(
        self,
    ) -> None:
        """Guards against runs that a speed limit keeps from ending, and that hold the memory."""
        service = _FullService(3, 60_000, waiting=0)
        task = service.submit(LASTING)
        for _ in range(12):
            service.tick()
        fill = StepSpec(
            4, cpu_millis=1_000, memory_mb=62_500, estimate_ms=600, image="f", best_effort=True
        )
        for _ in range(4):
            service.submit(fill)
        for _ in range(60):
            service.tick()
        runs = [run for boot in service.harness.cell.boots.values() for run in boot.runs.values()]
        paused = [run for run in runs if run.task.step.spec.best_effort]
        for run in paused:
            run.speed_percent = 0
        assert task.run is not None
        left = task.run.worker_id
        for name, boot in service.harness.cell.boots.items():
            assert name == left or boot.free_memory_mb < LASTING.memory_mb
        service.drain(left)
        service.end_on(left)
        assert service.wait_of(task) < 3_000

    def test_all_tasks_of_a_worker_that_left_run_again_while_narrow_tasks_arrive(self) -> None:
        service = _FullService(6, 2_000)
        tasks = _run_lasting_tasks(service, *[LASTING] * 4)
        left = {task.run.worker_id for task in tasks if task.run is not None}
        assert len(left) == 1
        for name in left:
            service.drain(name)
            service.end_on(name)
        waits = [service.wait_of(task) for task in tasks]
        assert sum(waits) < LONGEST_WAIT_MS

    def test_a_leaving_worker_loses_one_long_running_task_for_each_place_elsewhere(self) -> None:
        service = _FullService(3, 60_000, cpu_millis=LASTING.cpu_millis, waiting=0)
        tasks = [service.submit(LASTING) for _ in range(3)]
        for _ in range(12):
            service.tick()
        (left,) = {task.run.worker_id for task in tasks if task.run is not None}
        for _ in range(9):
            service.submit(service.narrow)
        for _ in range(4):
            service.tick()
        room = next(name for name in service.harness.worker_infos if name != left)
        service.harness.resize(room, 64_000 + LASTING.cpu_millis)
        service.drain(left)
        for _ in range(8):
            service.tick()
        workers = [task.run.worker_id for task in tasks if task.run is not None]
        assert sorted(workers) == sorted([left, left, room])


class TestRefusedStarts:
    """Guard against a refused start that counts as a run of its task."""

    def test_a_task_whose_start_is_refused_keeps_its_turn(self) -> None:
        harness = CellHarness("w0", "w1", "w2")
        for name in harness.worker_infos:
            harness.resize(name, 40_000)
        wide = StepSpec(1, cpu_millis=30_000, long_running=True)
        for job in ("a" * 16, "b" * 16):
            harness.submit(wide, job=job)
        first, second = harness.start(500)

        def lose(start: StartRun) -> None:
            """End a run, and take all capacity from its worker."""
            harness.resize(start.boot.name, 0)
            ended = RunEnd(1, start.run.task.id, start.run.number, "stopped", "")
            harness.answer_lease(start.boot.name, ends=(ended,))

        def next_starts(until_ms: int) -> list[StartRun]:
            """Return the next starts, which must be sent before a time."""
            while not (starts := start_orders(harness.plan(50))):
                assert harness.now_ms < until_ms
                harness.answer_leases()
            return starts

        harness.now_ms = lost_ms = 101_000
        harness.answer_leases()
        lose(first)
        (refused,) = next_starts(lost_ms + 200)
        harness.cell.handle_start_reply(refused.boot, refused.run, "unhealthy", harness.now_ms)
        harness.now_ms = lost_ms + 500
        lose(second)
        (refused,) = next_starts(lost_ms + 1_500)
        harness.now_ms = lost_ms + 1_600
        harness.cell.handle_start_reply(refused.boot, refused.run, "unhealthy", harness.now_ms)
        (start,) = next_starts(lost_ms + 4_000)
        assert [refused.run.task, start.run.task] == [first.run.task] * 2


def _has_place(service: _FullService, task: Task) -> bool:
    """Return whether a task fits a worker that takes starts, beside its long-running runs."""
    spec = task.step.spec
    for boot in service.harness.cell.boots.values():
        specs = [run.task.step.spec for run in boot.runs.values()]
        used_millis = sum(other.cpu_millis for other in specs if other.long_running)
        if not boot.info.draining and used_millis + spec.cpu_millis <= boot.info.cpu_millis:
            return True
    return False


def _may_need_place(task: Task) -> bool:
    """Return whether a task has lost its run, or may lose it with its worker."""
    boot = task.run.boot if task.run is not None else None
    return bool(task.last_run_ended_ms) if boot is None else boot.info.draining


class TestRandomServices:
    """Guard against a place that stays unused, or kept for nothing."""

    @settings(max_examples=25, deadline=None)
    @given(
        workers=st.integers(3, 6),
        run_ms=st.sampled_from((300, 2_000, 20_000)),
        narrow_millis=st.integers(1_000, 9_000),
        sizes=st.lists(st.integers(5_000, 16_000), min_size=1, max_size=8),
        drains=st.lists(st.integers(5, 120), min_size=1, max_size=2, unique=True),
        linger=st.integers(0, 60),
    )
    def test_no_task_waits_for_long_while_there_is_a_place_for_it(
        self,
        workers: int,
        run_ms: int,
        narrow_millis: int,
        sizes: list[int],
        drains: list[int],
        linger: int,
    ) -> None:
        service = _FullService(workers, run_ms, cpu_millis=narrow_millis)
        specs = [StepSpec(1, cpu_millis=n, memory_mb=8_000, long_running=True) for n in sizes]
        tasks = _run_lasting_tasks(service, *specs)
        owed_ms = dict.fromkeys(tasks, 0)
        names = [f"w{number}" for number in range(workers)]
        for tick in range(260):
            for number, at in enumerate(drains):
                if tick == at:
                    service.drain(names[number])
                if tick == at + linger:
                    service.end_on(names[number])
            service.tick()
            for task in tasks:
                waits = task.last_run_ended_ms and task.run is None and _has_place(service, task)
                owed_ms[task] = owed_ms[task] + TICK_MS if waits else 0
                assert owed_ms[task] <= 3_000
        kept_millis = sum(boot.kept.cpu_millis for boot in service.harness.cell.boots.values())
        assert kept_millis <= sum(t.step.spec.cpu_millis for t in tasks if _may_need_place(t))


class TestWaitReports:
    """Guard against a wait of a long-running task of which the log does not tell the reason."""

    def test_a_task_that_fits_no_worker_is_reported_each_two_seconds(self) -> None:
        service = _FullService(2, 60_000)
        (task,) = _run_lasting_tasks(service, LASTING)
        assert task.run is not None
        for name in list(service.harness.cell.boots):
            service.drain(name)
        service.end_on(task.run.worker_id)
        for _ in range(100):
            service.tick()
        reports = [fields for name, fields in service.events if name == "task_waits"]
        assert [fields["reason"] for fields in reports] == ["no_worker"] * len(reports)
        assert len(reports) == 2

    def test_what_a_service_owes_is_reported_beside_its_capacity(self) -> None:
        service = _FullService(2, 60_000)
        half = msgspec.structs.replace(LASTING, cpu_millis=40_000)
        tasks = _run_lasting_tasks(service, half, half)
        left, right = (task.run.worker_id for task in tasks if task.run is not None)
        service.drain(left)
        service.end_on(left)
        service.submit(half)
        for _ in range(100):
            service.tick()
        room = next(fields for name, fields in service.events if name == "service_room")
        assert room["usable_workers"] == 1
        assert room["unusable_workers"] == {"draining": 1}
        assert (room["lost_tasks"], room["lost_cpu"]) == (1, half.cpu_millis)
        assert (room["new_tasks"], room["new_cpu"]) == (1, half.cpu_millis)
        assert room["lasting_cpu"] == half.cpu_millis
        assert room["widest_gap"] == service.harness.worker_infos[right].cpu_millis - 40_000

    def test_a_job_that_has_nothing_running_is_reported_beside_the_room(self) -> None:
        service = _FullService(1, 60_000, waiting=0)
        for boot in service.harness.cell.boots.values():
            boot.back_off_after_failures(service.harness.now_ms, 60_000, 60_000)
        service.submit(service.narrow)
        for _ in range(140):
            service.tick()
        reports = [fields for name, fields in service.events if name == "service_room"]
        assert [room["idle_jobs"] for room in reports] == [1, 1]
        assert reports[0]["unusable_workers"] == {"backoff": 1}
