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
