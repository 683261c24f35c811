"""The limit of the tasks that a cell holds."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagewood.internal.cells.ledger import Ledger
from greengagewood.internal.entry.overload import CapacityRefusal, decide_capacity_refusal
from greengagewood.internal.jobs.model import JobSpec, StepSpec
from greengagewood.internal.jobs.records import (
    Cancellation,
    Progress,
    Record,
    Submission,
    encode_record,
    key_of,
)
from greengagewood.internal.ports import LogEntry, Outcome
from tests.common.desk import QUEUE
from tests.common.drive import QUEUES, CellSimulation, run_simulation, short_job

LIMIT = 200_000


def _wide(count: int, label: str = "none-such") -> JobSpec:
    return JobSpec("p", (StepSpec(count, cpu_millis=1_000, required_label=label),))


class TestDecisions:
    """Guard against an owner that needs more memory than it has, or callers that are shut out."""

    def test_large_jobs_are_refused_before_small_ones(self) -> None:
        held = 0
        while decide_capacity_refusal(_wide(20_000), held, LIMIT) is None:
            held += 20_000
        assert 100_000 <= held <= 160_000
        assert decide_capacity_refusal(_wide(6), held, LIMIT) is None

    @given(st.lists(st.integers(1, 20_000), max_size=60))
    def test_the_limit_is_never_passed(self, counts: list[int]) -> None:
        held = 0
        for count in counts:
            refusal = decide_capacity_refusal(_wide(count), held, LIMIT)
            assert refusal is None or refusal.retry_after_s > 0
            held += 0 if refusal else count
        assert held <= LIMIT


class TestCounts:
    """Guard against tasks that count for good, or not at all."""

    @pytest.mark.parametrize(
        "end",
        [Cancellation("a"), Progress("a", "completed"), Progress("a", "failed"), "ja"],
        ids=["cancelled", "completed", "failed", "deleted"],
    )
    @pytest.mark.parametrize("first", [False, True])
    def test_a_job_counts_until_it_has_ended(self, end: Record | str, first: bool) -> None:
        ledger = Ledger()
        submission = Submission("a", QUEUE, _wide(500), 0)
        records: list[Record | str] = [submission, submission, Progress("a", "running")]
        if not first:
            for offset, record in enumerate(records):
                self._apply(ledger, offset, record)
            assert ledger.unfinished_tasks == 500
        self._apply(ledger, 10, end)
        if first and not isinstance(end, str):
            for offset, record in enumerate(records[:2], 11):
                self._apply(ledger, offset, record)
        assert ledger.unfinished_tasks == 0
        self._apply(ledger, 20, "ja")
        assert ledger.unfinished_tasks == 0

    @staticmethod
    def _apply(ledger: Ledger, offset: int, record: Record | str) -> None:
        key = record if isinstance(record, str) else key_of(record)
        ledger.apply(
            LogEntry(offset, key, b"" if isinstance(record, str) else encode_record(record))
        )


class TestInstances:
    """Guard against jobs that are accepted beyond the limit, and refusals that are not true."""

    def test_jobs_beyond_the_limit_are_refused_until_there_is_room(self) -> None:
        async def script(sim: CellSimulation) -> None:
            for instance in sim.instances.values():
                instance._cfg = msgspec.structs.replace(instance._cfg, max_unfinished_tasks=8_000)
            refused = []
            for number, instance in enumerate([*sim.instances.values()] * 3):
                job = f"{number:016x}"
                refusal = await instance.find_refusal(job, QUEUES["fast"], _wide(1_500))
                if refusal is None:
                    outcome = await instance.submit(job, QUEUES["fast"], _wide(1_500), 2_700)
                    assert outcome is Outcome.DONE
                else:
                    assert isinstance(refusal, CapacityRefusal)
                    refused.append(job)
            assert len(refused) == 7
            small = "c" * 16
            instance = sim.instances["n0"]
            assert await instance.find_refusal(small, QUEUES["fast"], short_job()) is None
            await sim.submit(small, "fast", short_job())
            assert await sim.wait_until_ended({small}, 20) == set()
            # An ID of which something may be stored is not refused.
            assert await instance.find_refusal(f"{0:016x}", QUEUES["fast"], _wide(1_500)) is None
            await instance.cancel(f"{0:016x}", 2_700)
            await asyncio.sleep(1)
            refusal = await instance.find_refusal(refused[0], QUEUES["fast"], _wide(1_500))
            assert refusal is None

        run_simulation(CellSimulation(2), script)
