"""Cancellations of jobs whose submissions are not stored yet."""

from __future__ import annotations

import asyncio
import json

import aiohttp
import pytest
from aiohttp import web

from greengagewood.internal.cells.ledger import Ledger
from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.entry import CancelResult, EntryInstance
from greengagewood.internal.entry import node as node_module
from greengagewood.internal.entry.intake import BatchWriter
from greengagewood.internal.jobs.records import (
    Cancellation,
    Progress,
    Record,
    encode_record,
    key_of,
)
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.ports import AppendResult, LogEntry, Outcome, StoreUnavailable
from greengagewood.platform.frontend import Frontend
from tests.common import plant
from tests.common.desk import make_submission
from tests.common.drive import (
    CONFIG,
    QUEUES,
    CellSimulation,
    long_running_job,
    run_simulation,
    short_job,
)

JOB, OTHER = "c" * 16, "d" * 16
CANCEL_MS = 3_000  # by the platform's rules, from the answer to the last start
RETENTION_S = 120 + 60  # of the status of a job, and a margin


def _apply(ledger: Ledger, offset: int, record: Record | str) -> None:
    """Apply a record, or the deletion of a key, as read from the log."""
    key = record if isinstance(record, str) else key_of(record)
    value = b"" if isinstance(record, str) else encode_record(record)
    ledger.apply(LogEntry(offset, key, value))


def _followers(sim: CellSimulation) -> list[str]:
    owner = sim.owner()
    assert owner is not None
    return [name for name in sim.instances if name != owner]


async def _cancel(instance: EntryInstance) -> CancelResult:
    """Cancel the job as callers do, who repeat what is refused."""
    while (result := await instance.cancel(JOB, 2_700)).outcome is not Outcome.DONE:
        await asyncio.sleep(0.2)
    return result


class TestLateSubmissions:
    """Guard against a job that runs after a caller was told that there is no such job."""

    @pytest.mark.parametrize("at", ["another", "the same", "the owner", "before the answer"])
    def test_a_job_that_was_cancelled_before_it_was_stored_never_runs(
        self, at: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(plant, "LATE_APPEND_DELAY_RANGE_S", (1.0, 6.0))
        early = 0

        async def script(sim: CellSimulation) -> None:
            nonlocal early
            sender, other = _followers(sim)
            owner = sim.owner()
            assert owner is not None
            target = sim.instances[{"the same": sender, "the owner": owner}.get(at, other)]
            sim.platform.faults.late_appends_of.add(sender)
            spec = long_running_job()
            sim.platform.specs[JOB] = spec.steps
            submission = sim.instances[sender].submit(JOB, QUEUES["serve"], spec, 500)
            post = asyncio.ensure_future(submission)
            if at == "before the answer":
                await asyncio.sleep(0.01)
            else:
                assert await post is Outcome.UNKNOWN
            sim.platform.faults.late_appends_of.clear()
            result = await _cancel(target)
            sim.platform.cancelled_ms[JOB] = monotonic_ms()
            assert (await target.state_of(JOB) is None) != result.known
            await post
            await asyncio.sleep(10)
            assert sim.platform.violations == []
            assert await sim.instances[other].state_of(JOB) == "cancelled"
            if not result.known:
                early += 1
                assert not sim.platform.start_counts[JOB]

        for seed in range(8):
            run_simulation(CellSimulation(seed), script)
        assert early

    def test_a_job_that_waits_in_an_instance_with_a_slow_store_never_runs(self) -> None:
        """Guards against the same without a lost answer."""

        async def script(sim: CellSimulation) -> None:
            sender, other = _followers(sim)
            sim.platform.faults.store_delays_s[sender] = 0.9
            sim.platform.specs[JOB] = short_job().steps
            post = asyncio.ensure_future(
                sim.instances[sender].submit(JOB, QUEUES["fast"], short_job(), 2_700)
            )
            await asyncio.sleep(0.1)
            result = await sim.instances[other].cancel(JOB, 2_700)
            assert result == CancelResult(Outcome.DONE, False)
            assert await post is Outcome.DONE
            await asyncio.sleep(CANCEL_MS / 1000)
            assert not sim.platform.start_counts[JOB]

        run_simulation(CellSimulation(4), script)

    def test_a_new_owner_knows_it(self) -> None:
        async def script(sim: CellSimulation) -> None:
            result = await sim.instances["n0"].cancel(JOB, 2_700)
            assert result == CancelResult(Outcome.DONE, False)
            sim.platform.specs[JOB] = short_job().steps
            for name in list(sim.instances):
                await sim.kill_instance(name)
                sim.start_instance(name)
            await asyncio.sleep(6)
            outcome = await sim.instances["n1"].submit(JOB, QUEUES["fast"], short_job(), 2_700)
            assert outcome is Outcome.DONE
            await asyncio.sleep(5)
            assert not sim.platform.start_counts[JOB]
            assert await sim.instances["n2"].state_of(JOB) == "cancelled"

        run_simulation(CellSimulation(5), script)

    def test_a_pause_longer_than_its_life_sends_no_old_submission(self) -> None:
        """Guards against an instance that wakes long after its callers have left."""

        async def main() -> None:
            sent: list[str] = []

            class _Store:
                async def append(self, entries: list[tuple[str, bytes]]) -> AppendResult:
                    sent.extend(key for key, _ in entries)
                    return AppendResult(Outcome.DONE, 0)

            writer = BatchWriter(_Store(), Ledger(), lambda: 0)  # type: ignore[arg-type]
            waiting = asyncio.ensure_future(writer.store_record(make_submission(JOB), -60_000))
            await asyncio.sleep(0)
            await writer.write_batch()
            assert await waiting is Outcome.REFUSED
            assert sent == []

        asyncio.run(main())


class TestLedgers:
    """Guard against an early cancellation that is shown as a job, forgotten, or kept for good."""

    def test_it_is_no_job_until_its_submission_is_read(self) -> None:
        ledger = Ledger()
        _apply(ledger, 0, Cancellation(JOB))
        assert list(ledger.early_cancellations) == [JOB]
        assert not ledger.jobs[JOB].is_submitted and ledger.queued_count("q") == 0
        _apply(ledger, 1, make_submission(JOB))
        assert ledger.jobs[JOB].state == "cancelled"
        assert ledger.queued_count("q") == 0 and not ledger.early_cancellations

    def test_a_cancellation_after_the_submission_is_no_early_one(self) -> None:
        ledger = Ledger()
        _apply(ledger, 0, make_submission(JOB))
        _apply(ledger, 1, Cancellation(JOB))
        assert not ledger.early_cancellations

    def test_its_deletion_leaves_nothing(self) -> None:
        ledger = Ledger()
        _apply(ledger, 0, Cancellation(JOB))
        _apply(ledger, 1, f"c{JOB}")
        assert not ledger.jobs and not ledger.early_cancellations

    def test_a_deletion_that_the_log_no_longer_has_leaves_nothing(self) -> None:
        ledger = Ledger()
        _apply(ledger, 0, Cancellation(JOB))
        ledger.retain(set(), 5)
        assert not ledger.jobs and not ledger.early_cancellations

    def test_its_deletion_does_not_make_a_job_run_that_has_come_meanwhile(self) -> None:
        ledger = Ledger()
        _apply(ledger, 0, Cancellation(JOB))
        _apply(ledger, 1, make_submission(JOB))
        _apply(ledger, 2, Progress(JOB, "cancelled"))
        _apply(ledger, 3, f"c{JOB}")
        assert ledger.jobs[JOB].state == "cancelled"

    def test_the_time_counts_from_the_first_read(self) -> None:
        ledger = Ledger()
        _apply(ledger, 0, Cancellation(JOB))
        first_ms = ledger.early_cancellations[JOB]
        _apply(ledger, 1, Cancellation(JOB))
        assert ledger.early_cancellations[JOB] == first_ms
        assert ledger.early_cancellations_before(first_ms) == []
        assert ledger.early_cancellations_before(first_ms + 1) == [JOB]


class TestLifetimes:
    """Guard against a life shorter than an append may be late, and against one without an end."""

    def test_the_owner_deletes_it_after_the_retention_of_a_status(self) -> None:
        async def script(sim: CellSimulation) -> None:
            begun_ms = monotonic_ms()
            await sim.instances["n0"].cancel(JOB, 2_700)
            while monotonic_ms() - begun_ms < (RETENTION_S - 15) * 1000:
                await asyncio.sleep(5)
            assert all(JOB in instance.ledger.jobs for instance in sim.instances.values())
            await asyncio.sleep(45)
            assert all(JOB not in instance.ledger.jobs for instance in sim.instances.values())

        run_simulation(CellSimulation(6), script)


class TestFloods:
    """Guard against callers whose cancellations of unknown jobs take the store from others."""

    def test_a_repeat_and_an_ended_job_are_answered_without_a_write(self) -> None:
        async def script(sim: CellSimulation) -> None:
            await sim.submit(OTHER, "fast", short_job())
            await sim.wait_until_ended({OTHER}, 20)
            instance = sim.instances["n0"]
            await instance.cancel(JOB, 2_700)
            for job, known in ((JOB, False), (OTHER, True)):
                assert await instance.cancel(job, 2_700) == CancelResult(Outcome.DONE, known)
            keys = [key for key, _ in sim.platform.store.records]
            assert keys.count(f"c{JOB}") == 1 and f"c{OTHER}" not in keys

        run_simulation(CellSimulation(7), script)

    def test_beyond_their_limit_only_they_are_refused(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(node_module, "MAX_EARLY_CANCELLATIONS", 3)

        async def script(sim: CellSimulation) -> None:
            await sim.submit(OTHER, "serve", long_running_job())
            instance = sim.instances["n0"]
            results = [await instance.cancel(f"{number:016x}", 2_700) for number in range(5)]
            assert [r.outcome for r in results] == [Outcome.DONE] * 3 + [Outcome.REFUSED] * 2
            assert await instance.cancel(OTHER, 2_700) == CancelResult(Outcome.DONE, True)

        run_simulation(CellSimulation(8), script)


class _Cancelling:
    """The part of an entry instance that handles a DELETE."""

    config = CONFIG
    retry_after_s = 2

    def __init__(self, result: CancelResult | None) -> None:
        self.result = result

    def find_route(self, host: str, path: str) -> object:
        return next((rule for rule in CONFIG.routes if path.startswith(rule.path_prefix)), None)

    async def cancel(self, job_id: str, timeout_ms: int) -> CancelResult:
        if self.result is None:
            raise StoreUnavailable("away")
        return self.result


class TestAnswers:
    """Guard against an answer to a DELETE that is not true."""

    @pytest.mark.parametrize(
        ("result", "status"),
        [
            (CancelResult(Outcome.DONE, True), 200),
            (CancelResult(Outcome.DONE, False), 410),
            (CancelResult(Outcome.UNKNOWN, False), 504),
            (CancelResult(Outcome.REFUSED, False), 503),
            (None, 503),
        ],
    )
    async def test_only_what_is_stored_is_acknowledged(
        self, result: CancelResult | None, status: int
    ) -> None:
        frontend = Frontend(_Cancelling(result), Metrics())  # type: ignore[arg-type]
        runner = web.ServerRunner(web.Server(frontend.handle))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]
        url = f"http://{host}:{port}/wide/{'a' * 16}"
        try:
            async with aiohttp.ClientSession() as session, session.delete(url) as resp:
                assert resp.status == status
                error = json.loads(await resp.read()).get("error", "")
        finally:
            await runner.cleanup()
        assert ("will not run" in error) == (status == 410)
        assert ("Retry-After" in resp.headers) == (status == 503)
