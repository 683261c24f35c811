"""Control costs of a calm day: changes of the owner, polls of workers and calls of the store."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import pytest

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.jobs.records import Ownership, decode_record
from greengagewood.internal.ports import LeaseReply, OrderReply, WorkerInfo
from tests.common import plant
from tests.common.drive import CellSimulation, run_simulation, short_job
from tests.common.plant import SimWorker, SimWorkerLink

MEASURED_S = 30


def _claim_count(sim: CellSimulation) -> int:
    """Return the number of terms of ownership in the cell's log."""
    records = [decode_record(value) for _, value in sim.platform.store.records if value]
    return len({record.token for record in records if isinstance(record, Ownership)})


class TestCalmStart:
    """Owners of a cell that has no jobs yet."""

    @pytest.mark.parametrize("interval_s", [0.1, 0.3, 0.45, 0.6])
    def test_an_owner_that_only_registers_workers_is_not_replaced(self, interval_s: float) -> None:
        async def script(sim: CellSimulation) -> None:
            for number in range(40):
                sim.platform.add_worker(f"new{number}")
                await asyncio.sleep(interval_s)
            assert _claim_count(sim) == 1

        run_simulation(CellSimulation(1, worker_count=1), script)


@dataclass
class _Polls:
    """What the polls of workers cost, and how late they show run ends and readings."""

    count: int = 0
    end_delays_ms: list[int] = field(default_factory=list)  # from each run end to its first reply
    reading_gaps_ms: list[int] = field(default_factory=list)  # between the replies of a worker
    end_count: int = 0

    def watch(self, patch: pytest.MonkeyPatch) -> None:
        """Count the polls from now on."""
        extend_lease, end = SimWorkerLink.extend_lease, SimWorker.end
        ended_ms: dict[tuple[str, int], int] = {}
        replied_ms: dict[str, int] = {}

        async def counted(
            link: SimWorkerLink, info: WorkerInfo, *args: Any
        ) -> LeaseReply | OrderReply:
            self.count += 1
            reply = await extend_lease(link, info, *args)
            name, now_ms = info.worker_id, monotonic_ms()
            if name in replied_ms:
                self.reading_gaps_ms.append(now_ms - replied_ms[name])
            replied_ms[name] = now_ms
            for run_end in reply.ended if isinstance(reply, LeaseReply) else ():
                if (name, run_end.sequence) in ended_ms:
                    seen_after_ms = now_ms - ended_ms.pop((name, run_end.sequence))
                    self.end_delays_ms.append(seen_after_ms)
            return reply

        def timed(worker: SimWorker, *args: Any) -> None:
            count_before = worker.end_count
            end(worker, *args)
            if worker.end_count > count_before:
                self.end_count += 1
                ended_ms[worker.info.worker_id, worker.end_count] = monotonic_ms()

        patch.setattr(SimWorkerLink, "extend_lease", counted)
        patch.setattr(SimWorker, "end", timed)


async def _submit_steadily(sim: CellSimulation, jobs_per_s: float, duration_s: float) -> None:
    """Submit short jobs of seven tasks at random times."""
    submissions = []
    for number in range(int(duration_s * jobs_per_s)):
        submissions.append(asyncio.ensure_future(sim.submit(f"{number:016x}", "fast", short_job())))
        await asyncio.sleep(sim.rng.expovariate(jobs_per_s))
    await asyncio.gather(*submissions)


class TestWorkerPolls:
    """Polls of workers on which 3.4 runs end a second.

    With this load and store, a worker is polled 7.7 times a second if each run end that waits for
    its acknowledgement is polled for without a pause. Deployment B showed 7.8.
    """

    WORKERS = 12
    JOBS_PER_S = 6.0
    STORE_LATENCY_S = 0.04
    MAX_POLLS_PER_S = 3.9
    MAX_END_DELAY_MS = 170
    MEAN_END_DELAY_MS = 60

    @pytest.fixture(scope="class")
    @classmethod
    def polls(cls) -> Iterator[_Polls]:
        polls = _Polls()

        async def script(sim: CellSimulation) -> None:
            polls.watch(patch)
            await _submit_steadily(sim, cls.JOBS_PER_S, MEASURED_S)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(plant, "STORE_LATENCY_S", cls.STORE_LATENCY_S)
            run_simulation(CellSimulation(1, worker_count=cls.WORKERS), script)
        yield polls

    def test_a_worker_is_polled_half_as_often(self, polls: _Polls) -> None:
        assert polls.end_count > 3 * MEASURED_S * self.WORKERS
        assert polls.count <= self.MAX_POLLS_PER_S * MEASURED_S * self.WORKERS

    def test_a_run_end_is_seen_soon(self, polls: _Polls) -> None:
        delays_ms = polls.end_delays_ms
        assert max(delays_ms) <= self.MAX_END_DELAY_MS
        assert sum(delays_ms) <= self.MEAN_END_DELAY_MS * len(delays_ms)

    def test_readings_are_read_twice_a_second(self, polls: _Polls) -> None:
        assert max(polls.reading_gaps_ms) <= 500

    def test_a_run_end_is_seen_soon_while_nothing_can_be_stored(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        polls = _Polls()

        async def script(sim: CellSimulation) -> None:
            await _submit_steadily(sim, 20, 0.5)
            polls.watch(monkeypatch)
            sim.platform.faults.store_silent_to.update(sim.instances)
            await asyncio.sleep(3)
            sim.platform.faults.store_silent_to.clear()
            await asyncio.sleep(1)

        run_simulation(CellSimulation(1, worker_count=self.WORKERS), script)
        assert polls.end_count > 20
        assert max(polls.end_delays_ms) <= self.MAX_END_DELAY_MS
