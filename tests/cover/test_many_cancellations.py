"""Stops of many runs at once, by an owner with little processor time or on a silent worker."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec

from greengagewood.internal.cells.orders import StopRun
from greengagewood.internal.cells.runner import Ports
from greengagewood.internal.cells.stops import HELD_BACK_SCAN_INTERVAL_MS, MAX_REPORTS_PER_SCAN
from greengagewood.internal.cells.window import STOP_WINDOW
from greengagewood.internal.entry import EntryInstance
from greengagewood.internal.jobs.model import JobSpec, StepSpec
from greengagewood.internal.jobs.records import TaskId
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.ports import LeaseReply, OrderReply, WorkerCallFailed, WorkerInfo
from tests.common.desk import CellHarness
from tests.common.drive import CellSimulation, run_simulation, settings
from tests.common.plant import CANCEL_BOUND_MS, STOP_TIMEOUT_MS, SimConfigSource, SimWorkerLink

T = TypeVar("T")

JOB = "0" * 16
LASTING = StepSpec(1, cpu_millis=1_000, long_running=True)

# Processor time of an owner for the parts of a call to a worker, in seconds. `CellRunner` with
# `HttpWorkers` and uvloop needs 0.5 ms for a stop on a whole core; these are for 0.12 cores, as the
# machines have on the shrunk days of aridha-sched-grown and orpup-sched-grown.
BEGIN_S = 0.001
CONNECT_S = 0.0015  # if no idle connection is left
SEND_S = 0.001
RECEIVE_S = 0.001
GIVE_UP_S = 0.001
ORDER_TIMEOUT_S = 1.0  # as in platform/workers.py
LEASE_TIMEOUT_MARGIN_S = 1.0


@dataclass
class _BusyLink(SimWorkerLink):
    """Calls that need processor time of one owner, which does one thing after the other.

    As `HttpWorkers` does, a call ends after a time-out that includes the time before it is sent,
    and closes the idle connections to the worker then.
    """

    processor: asyncio.Lock = field(default_factory=asyncio.Lock)
    idle: Counter[str] = field(default_factory=Counter)  # connections by worker
    first_stop_ms: dict[TaskId, float] = field(default_factory=dict)  # when one was sent

    async def _work(self, seconds: float) -> None:
        async with self.processor:
            await asyncio.sleep(seconds)

    async def _call(self, timeout_s: float, worker: str, call: Callable[[], Awaitable[T]]) -> T:
        try:
            async with asyncio.timeout(timeout_s):
                await self._work(BEGIN_S)
                if self.idle[worker]:
                    self.idle[worker] -= 1
                else:
                    await self._work(CONNECT_S)
                await self._work(SEND_S)
                reply = await call()
                await self._work(RECEIVE_S)
        except TimeoutError:
            self.idle[worker] = 0
            await self._work(GIVE_UP_S)
            raise WorkerCallFailed("no answer") from None
        self.idle[worker] += 1
        return reply

    async def start(self, worker_info: WorkerInfo, *args: object) -> OrderReply:  # type: ignore[override]
        def send() -> Awaitable[OrderReply]:
            return SimWorkerLink.start(self, worker_info, *args)  # type: ignore[arg-type]

        return await self._call(ORDER_TIMEOUT_S, worker_info.worker_id, send)

    async def stop(self, worker_info: WorkerInfo, task: TaskId, run: int, token: int) -> OrderReply:
        def send() -> Awaitable[OrderReply]:
            now_ms = asyncio.get_running_loop().time() * 1000
            self.first_stop_ms.setdefault(task, now_ms)
            return SimWorkerLink.stop(self, worker_info, task, run, token)

        return await self._call(ORDER_TIMEOUT_S, worker_info.worker_id, send)

    async def extend_lease(
        self,
        worker_info: WorkerInfo,
        deadline_ms: int | None,
        token: int,
        acknowledged: int,
        wait_ms: int,
    ) -> LeaseReply | OrderReply:
        def send() -> Awaitable[LeaseReply | OrderReply]:
            return SimWorkerLink.extend_lease(
                self, worker_info, deadline_ms, token, acknowledged, wait_ms
            )

        timeout_s = wait_ms / 1000 + LEASE_TIMEOUT_MARGIN_S
        return await self._call(timeout_s, worker_info.worker_id, send)


@dataclass
class _BusySimulation(CellSimulation):
    """Instances that have little processor time."""

    links: dict[str, _BusyLink] = field(default_factory=dict)

    def start_instance(self, name: str) -> None:
        self.links[name] = _BusyLink(self.platform, name)
        ports = Ports(
            self.platform.store.client(name), self.make_directory(name), self.links[name], None
        )
        config = SimConfigSource(self.platform, name)
        self.instances[name] = EntryInstance(settings(name), ports, config, Metrics())
        self.instances[name].start()


class TestManyCancellations:
    """Many runs whose jobs are cancelled at once, beside nothing else."""

    def test_their_stops_are_sent_in_time_by_an_owner_with_little_processor_time(self) -> None:
        """Guards against stops that time out before they are sent, and are repeated meanwhile.

        Each such stop costs as much as one that is carried out, so the owner has less and less time
        for those, and lease extensions time out, too.
        """

        async def script(sim: CellSimulation) -> None:
            assert isinstance(sim, _BusySimulation)
            loop = asyncio.get_running_loop()
            jobs = [f"{number:016x}" for number in range(12)]
            spec = JobSpec("watch", (StepSpec(32, cpu_millis=6_000, long_running=True),))
            for job in jobs:
                await sim.submit(job, "serve", spec)
            await asyncio.sleep(15)
            assert len(sim.platform.running_tasks()) == 384
            cancelled_s = loop.time()
            await asyncio.gather(*(sim.cancel(job) for job in jobs))
            while sim.platform.running_tasks() and loop.time() < cancelled_s + 20:
                await asyncio.sleep(0.02)
            (link,) = sim.links.values()
            last_stop_ms = max(link.first_stop_ms.values()) - 1000 * cancelled_s
            gone_ms = 1000 * (loop.time() - cancelled_s)
            assert gone_ms < CANCEL_BOUND_MS + STOP_TIMEOUT_MS, f"last stop after {last_stop_ms}"

        run_simulation(_BusySimulation(1, worker_count=60, instance_count=1), script)

    def test_all_runs_on_one_silent_worker_are_sent_a_stop_in_time(self) -> None:
        """Guards against runs for which no stop is left, as four at a time are sent each second."""
        harness = CellHarness("w0")
        harness.submit(msgspec.structs.replace(LASTING, task_count=24))
        assert len(harness.start(500)) == 24
        harness.answer_leases()
        worker = harness.cell.boots["w0"]
        harness.cell.prepare_lease_extension(worker, harness.now_ms)
        harness.now_ms += 2_000
        harness.cell.note_lease_failure(worker, harness.now_ms)
        harness.cell.cancel(JOB, harness.now_ms)
        cancelled_ms = harness.now_ms
        stopped: set[int] = set()
        while harness.now_ms - cancelled_ms < 4_000:  # the platform's `cancel_ms`
            stops = [order for order in harness.plan(50) if isinstance(order, StopRun)]
            stopped |= {stop.task_id.number for stop in stops}
        assert len(stopped) == 24

    def test_the_stops_of_thousands_of_runs_go_out_without_a_scan_for_each_batch(self) -> None:
        """Guards against an owner that scans all runs again for each few stops that are answered.

        A scan of 8,000 runs takes the processor time of 60 stops.
        """
        harness = CellHarness("w0", "w1")
        harness.submit(StepSpec(2_000, cpu_millis=50, memory_mb=20, estimate_ms=200_000))
        for _ in range(8):
            harness.start(100)
            harness.answer_leases()
        cell = harness.cell
        assert sum(len(boot.runs) for boot in cell.boots.values()) == 2_000
        cell.cancel(JOB, harness.now_ms)
        now_ms = harness.now_ms
        open_stops = [order for order in cell.plan_stops(now_ms) if isinstance(order, StopRun)]
        assert {order.boot.name for order in open_stops} == {"w0", "w1"}  # by turns
        stopped: Counter[TaskId] = Counter()
        most = 0
        while open_stops:
            most = max(most, len(open_stops))
            stopped.update(order.task_id for order in open_stops)
            following: list[StopRun] = []
            for order in open_stops:
                cell.note_stop_ended(order.run, now_ms, now_ms + 20)
                following.extend(
                    order
                    for order in cell.send_held_back_stops(now_ms + 20)
                    if isinstance(order, StopRun)
                )
            now_ms += 20
            open_stops = following
        assert now_ms - harness.now_ms < HELD_BACK_SCAN_INTERVAL_MS
        assert len(stopped) == 2_000 and set(stopped.values()) == {1}
        assert most > 2 * STOP_WINDOW.initial_limit

    def test_stops_of_an_older_cancellation_go_first(self) -> None:
        """Guards against a late cancellation whose stops go out before those of an earlier one."""
        harness = CellHarness("w0", "w1")
        jobs = ["1" * 16, "0" * 16]
        spec = msgspec.structs.replace(LASTING, cpu_millis=50, task_count=300)
        for job in jobs:
            harness.submit(spec, job=job)
        for _ in range(5):
            harness.start(500)
        harness.answer_leases()
        cell = harness.cell
        cell.cancel(jobs[1], harness.now_ms)
        first = cell.plan_stops(harness.now_ms)
        cell.cancel(jobs[0], harness.now_ms + 50)
        assert cell.plan_stops(harness.now_ms + 50) == []  # there is no room
        sent = [order for order in first if isinstance(order, StopRun)]
        ended = 0
        while ended < 300:
            cell.note_stop_ended(sent[ended].run, harness.now_ms, harness.now_ms + 60)
            more = cell.send_held_back_stops(harness.now_ms + 60)
            sent.extend(order for order in more if isinstance(order, StopRun))
            ended += 1
        assert {order.task_id.job_id for order in sent[:300]} == {jobs[1]}
        assert {order.task_id.job_id for order in sent[300:]} == {jobs[0]}

    def test_few_lines_are_logged_at_once_of_runs_that_outlive_their_job(self) -> None:
        """Guards against thousands of log lines in one scan, which delay the stops."""
        harness = CellHarness("w0")
        harness.submit(msgspec.structs.replace(LASTING, cpu_millis=50, task_count=500))
        for _ in range(4):
            harness.start(500)
        harness.answer_leases()
        events: list[str] = []
        harness.cell.on_event = lambda event, fields: events.append(event)
        harness.cell.cancel(JOB, harness.now_ms)
        harness.cell.plan_stops(harness.now_ms)
        harness.cell.plan_stops(harness.now_ms + 2_100)
        assert events.count("run_outlives_job") == MAX_REPORTS_PER_SCAN
