"""An owner that the store does not answer, while a successor takes over its workers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

import pytest

from greengagewood.internal.cells.cell import Cell
from greengagewood.internal.cells.ownership import OwnershipView
from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.evacuation import Evacuations
from greengagewood.internal.jobs.book import Run
from greengagewood.internal.jobs.model import JobSpec, StepSpec
from greengagewood.internal.jobs.records import (
    PossibleRuns,
    Progress,
    RegisteredWorker,
    RegisteredWorkers,
    Submission,
    TaskId,
)
from greengagewood.internal.ports import LeaseReply, LogPage
from tests.common.desk import (
    LIMITS,
    QUEUE,
    CellHarness,
    make_worker_info,
    start_orders,
    store_changes,
)
from tests.common.drive import (
    CellSimulation,
    long_running_job,
    mixed_job,
    run_simulation,
    short_job,
)

JOB = "0" * 16


def _plan_unconfirmed(harness: CellHarness, elapsed_ms: int) -> list:
    """Plan after a time in which no read has confirmed the owner."""
    harness.now_ms += elapsed_ms
    harness.read_orders()
    for name, worker in harness.cell.boots.items():
        if not worker.unresponsive and not worker.runs:
            harness.answer_lease(name)
    return start_orders(harness.cell.plan(harness.now_ms, harness.now_ms))


def _plan_confirmed(harness: CellHarness) -> list:
    harness.cell.note_confirmed(harness.now_ms)
    return _plan_unconfirmed(harness, 1)


def _start_one(harness: CellHarness, spec: StepSpec | None = None) -> str:
    """Start a task, let its worker list it, and return the worker."""
    harness.submit(spec or StepSpec(1, cpu_millis=1_000))
    (start,) = harness.start()
    harness.now_ms += 10
    harness.answer_leases()
    return start.boot.name


class TestExpiredLeases:
    """Leases that have expired by what an owner sent, but not by what its successor sent."""

    def test_a_lease_extended_by_the_successor_is_not_taken_for_expired(self) -> None:
        """Guards against two runs of a task, one of them started by an owner that is cut off."""

        async def script(sim: CellSimulation) -> None:
            owner = sim.owner()
            assert owner is not None
            await sim.submit(JOB, "serve", long_running_job())
            await asyncio.sleep(2)
            lost = next(n for n, worker in sim.platform.workers.items() if worker.runs)
            sim.platform.faults.cut_links.add((owner, lost))
            await asyncio.sleep(4)
            sim.platform.faults.store_silent_to.add(owner)
            others = set(sim.platform.workers) - {lost}
            sim.platform.faults.cut_links.update(
                (name, worker) for name in sim.instances if name != owner for worker in others
            )
            await asyncio.sleep(12)
            assert sim.owner() is not None
            assert sim.platform.violations == []
            sim.platform.faults.cut_links.clear()
            sim.platform.faults.store_silent_to.clear()
            await asyncio.sleep(12)
            assert sim.platform.violations == []
            assert len(sim.platform.running_tasks()) == 3

        run_simulation(CellSimulation(1), script)

    def test_the_tasks_of_a_silent_worker_wait_for_a_read_sent_after_its_lease(self) -> None:
        harness = CellHarness("w0", "w1")
        lost = _start_one(harness)
        harness.cell.prepare_lease_extension(harness.cell.boots[lost], harness.now_ms)
        harness.cell.note_confirmed(harness.now_ms)
        harness.now_ms += 3_000
        harness.cell.note_lease_failure(harness.cell.boots[lost], harness.now_ms)
        assert _plan_unconfirmed(harness, 3_000) == []
        assert not harness.cell.awaits_confirmation(harness.now_ms)
        harness.cell.note_confirmed(harness.now_ms)
        assert _plan_unconfirmed(harness, 500) == []
        assert harness.cell.awaits_confirmation(harness.now_ms)
        assert len(_plan_confirmed(harness)) == 1
        assert not harness.cell.awaits_confirmation(harness.now_ms)

    def test_a_start_without_an_answer_waits_for_a_read_sent_after_it_has_expired(self) -> None:
        harness = CellHarness("w0", "w1")
        harness.submit(StepSpec(1, cpu_millis=1_000))
        (start,) = start_orders(harness.plan())
        harness.cell.note_start_unanswered(start.run, harness.now_ms)
        harness.now_ms += 3_000
        harness.cell.note_lease_failure(start.boot, harness.now_ms)
        harness.cell.note_confirmed(harness.now_ms)
        assert _plan_unconfirmed(harness, 20_000) == []
        assert len(_plan_confirmed(harness)) == 1

    def test_what_earlier_owners_started_is_not_ruled_out_by_time_alone(self) -> None:
        """Guards against a new owner, cut off at once, that waits until inherited runs are over."""
        now_ms = 100_000
        owner = Cell(LIMITS, 5, now_ms)
        owner.set_evacuations(Evacuations(frozenset(), 0, now_ms), now_ms)
        submission = Submission(JOB, QUEUE, JobSpec("p", (StepSpec(1, cpu_millis=1),)), 0)
        owner.add_job(submission, Progress(JOB, "running"), False, now_ms)
        workers = (RegisteredWorker("w0", "", "svc"), RegisteredWorker("silent", "", "svc"))
        owner.set_registered_workers(RegisteredWorkers(workers, 4), now_ms, now_ms)
        owner.set_workers({"w0": make_worker_info("w0")}, now_ms)
        store_changes(owner, now_ms)
        now_ms += 12_000
        reply = LeaseReply(5_000, 1, (), ())
        owner.handle_lease_reply(owner.boots["w0"], reply, now_ms, now_ms)
        assert start_orders(owner.plan(now_ms, 0)) == []
        now_ms += 1
        owner.note_confirmed(now_ms)
        assert len(start_orders(owner.plan(now_ms, 0))) == 1

    def test_a_term_counts_as_confirmed_when_the_read_that_showed_its_claim_was_sent(self) -> None:
        """Guards against a new owner whose read is answered late, after a successor has claimed."""

        async def script(sim: CellSimulation) -> None:
            name = sim.owner()
            assert name is not None
            instance = sim.instances[name]
            await instance._end_term("stopped")
            instance._ownership._transition("claim_sent")
            instance._ownership._transition("claim_won")
            sim.platform.faults.store_silent_to.add(name)
            await asyncio.sleep(0.1)
            sent_ms = instance._ownership.confirmed_ms
            instance._start_term()
            assert instance._runner is not None
            assert instance._runner.cell.term.confirmed_ms == sent_ms < monotonic_ms()

        run_simulation(CellSimulation(1), script)

    @pytest.mark.parametrize(("confirmed_ms", "starts"), [(99_000, 0), (100_000, 1)])
    def test_inherited_runs_that_expire_before_a_term_begins_need_a_later_read(
        self, confirmed_ms: int, starts: int
    ) -> None:
        """Guards against a term that begins long after the read that showed its claim was sent."""
        now_ms = 100_000
        owner = Cell(LIMITS, 5, now_ms, confirmed_ms=confirmed_ms)
        owner.set_evacuations(Evacuations(frozenset(), 0, now_ms), now_ms)
        submission = Submission(JOB, QUEUE, JobSpec("p", (StepSpec(1, cpu_millis=1),)), 0)
        owner.add_job(submission, Progress(JOB, "running"), False, now_ms)
        silent = PossibleRuns((TaskId(JOB, 0, 0, 0),), 500)
        workers = (RegisteredWorker("silent", "", "svc", (silent,)),)
        owner.set_registered_workers(RegisteredWorkers(workers, 4), now_ms - 1_000, now_ms)
        owner.set_workers({"w0": make_worker_info("w0")}, now_ms)
        changes = owner.collect_changes(now_ms, now_ms)
        assert changes is not None
        owner.note_changes_stored(changes)
        reply = LeaseReply(5_000, 1, (), ())
        adopted_ms = 98_999  # before either read
        owner.handle_lease_reply(owner.boots["w0"], reply, adopted_ms, adopted_ms)
        assert len(start_orders(owner.plan(now_ms, 0))) == starts


async def _stop_storing_heartbeats(sim: CellSimulation) -> None:
    """Replace an owner that can read, but not append, and then reaches one worker alone."""
    owner = sim.owner()
    assert owner is not None
    await sim.submit(JOB, "serve", long_running_job())
    await asyncio.sleep(2)
    lost = next(n for n, worker in sim.platform.workers.items() if worker.runs)
    others = set(sim.instances) - {owner}
    faults = sim.platform.faults
    faults.cut_links.update((name, lost) for name in others)
    await asyncio.sleep(0.6)  # the others have read the last heartbeat
    faults.store_silent_to.update(others)
    faults.appends_silent_to.add(owner)
    await asyncio.sleep(4)
    faults.store_silent_to.clear()
    faults.store_silent_to.add(owner)
    faults.cut_links.update((owner, worker) for worker in sim.platform.workers if worker != lost)
    await asyncio.sleep(20)
    assert sim.owner() is not None


async def _break_the_store_at_random(sim: CellSimulation) -> None:
    """Let the store fail for all, for the owner, or for its appends, while workers are cut off."""
    rng = random.Random(sim.seed)
    faults = sim.platform.faults
    names = sorted(sim.platform.workers)
    jobs = [asyncio.ensure_future(sim.submit(f"{n:016x}", *mixed_job(n))) for n in range(9)]
    await asyncio.sleep(2)
    for number in range(5):
        owner = sim.owner() or "n0"
        others = set(sim.instances) - {owner}
        for name in rng.sample(names, 2):  # that only the owner, or only another instance, reaches
            cut_off = others if rng.random() < 0.7 else {owner}
            faults.cut_links.update((instance, name) for instance in cut_off)
        faults.lost_answer_share = rng.choice((0.0, 0.0, 0.5))
        faults.appends_silent_to.update({owner} if rng.random() < 0.5 else set())
        await asyncio.sleep(rng.uniform(0, 1))
        faults.store_silent_to.update(rng.choice((others, {owner}, {*others, owner})))
        await asyncio.sleep(rng.uniform(1, 6))
        faults.store_silent_to.clear()
        if rng.random() < 0.7:
            faults.store_silent_to.add(owner)
            faults.cut_links.update((owner, name) for name in rng.sample(names, 4))
        if rng.random() < 0.3:
            await sim.kill_instance(owner)
            sim.start_instance(owner)
        await asyncio.sleep(rng.uniform(5, 15))
        faults.store_silent_to.clear()
        faults.appends_silent_to.clear()
        faults.cut_links.clear()
        faults.lost_answer_share = 0.0
        jobs.append(asyncio.ensure_future(sim.submit(f"{100 + number:016x}", "fast", short_job())))
        await asyncio.sleep(rng.uniform(0, 3))
    await asyncio.gather(*jobs)
    await asyncio.sleep(25)


def _violations_of_outages(seed: int) -> list[str]:
    sim = CellSimulation(seed, worker_count=6)
    run_simulation(sim, _break_the_store_at_random)
    return sim.platform.violations


def _confirm_by_reads_alone(patch: pytest.MonkeyPatch) -> None:
    """An owner sends orders for as long as its reads are answered."""
    note_read = OwnershipView.note_read

    def note_read_as_stored(view: OwnershipView, sent_ms: int, now_ms: int) -> None:
        view.note_stored(view.token, sent_ms, now_ms)
        note_read(view, sent_ms, now_ms)

    patch.setattr(OwnershipView, "note_read", note_read_as_stored)


class TestHeartbeats:
    """An owner whose heartbeats are not stored any more, while it still reads the log."""

    def test_its_orders_have_expired_when_its_successor_relies_on_that(self) -> None:
        sim = CellSimulation(1)
        run_simulation(sim, _stop_storing_heartbeats)
        assert sim.platform.violations == []

    def test_without_that_limit_a_task_runs_twice(self, monkeypatch: pytest.MonkeyPatch) -> None:
        _confirm_by_reads_alone(monkeypatch)
        sim = CellSimulation(1)
        run_simulation(sim, _stop_storing_heartbeats)
        assert sim.platform.violations != []

    @pytest.mark.parametrize("seed", range(8))
    def test_no_task_runs_twice_beside_outages_of_the_store(self, seed: int) -> None:
        assert _violations_of_outages(seed) == []


class TestLostBoots:
    """Workers that reboot after a successor may have acknowledged how their runs ended."""

    def _lose(self, harness: CellHarness, name: str, replaced: bool) -> None:
        harness.now_ms += 10
        if replaced:
            harness.cell.note_wrong_boot(harness.cell.boots[name], harness.now_ms)
            return
        infos = harness.worker_infos
        infos[name] = replace(infos[name], boot_time_ms=2)
        harness.cell.set_workers(infos, harness.now_ms)
        harness.answer_lease(name)

    @pytest.mark.parametrize("replaced", [False, True])
    def test_a_task_of_a_lost_boot_waits_for_a_read_sent_after_the_loss(
        self, replaced: bool
    ) -> None:
        """Guards against a start of a task whose end a later owner has acknowledged."""
        harness = CellHarness("w0", "w1")
        lost = _start_one(harness)
        harness.cell.note_confirmed(harness.now_ms)
        self._lose(harness, lost, replaced)
        assert _plan_unconfirmed(harness, 10) == []
        assert harness.cell.awaits_confirmation(harness.now_ms)
        harness.cell.note_confirmed(harness.now_ms - 10)  # sent just as the loss was found
        assert _plan_unconfirmed(harness, 10) == []
        assert len(_plan_confirmed(harness)) == 1

    @pytest.mark.parametrize("replaced", [False, True])
    def test_a_gang_of_a_lost_boot_waits_as_a_whole(self, replaced: bool) -> None:
        harness = CellHarness("w0", "w1")
        harness.submit(StepSpec(2, cpu_millis=40_000, gang=True))
        starts = harness.start()
        assert len(starts) == 2
        harness.now_ms += 10
        harness.answer_leases()
        lost, other = starts[0].boot.name, starts[1].run
        harness.cell.note_confirmed(harness.now_ms)
        self._lose(harness, lost, replaced)
        harness.cell.term.end_run(starts[1].boot, other, "ended", harness.now_ms)
        harness.cell.term.queue_again(other.task)
        assert _plan_unconfirmed(harness, 10) == []

    def test_a_start_that_the_new_boot_rules_out_waits_too(self) -> None:
        harness = CellHarness("w0", "w1")
        harness.submit(StepSpec(1, cpu_millis=1_000))
        (start,) = start_orders(harness.plan())
        name = start.boot.name
        harness.cell.note_confirmed(harness.now_ms)
        harness.cell.note_start_unanswered(start.run, harness.now_ms)
        self._lose(harness, name, False)
        harness.cell.plan(harness.now_ms, harness.now_ms)
        harness.accept_stop(start.run)
        harness.now_ms += 10
        harness.answer_lease(name)
        assert start.run.state == "finished"
        assert _plan_unconfirmed(harness, 10) == []
        assert len(_plan_confirmed(harness)) == 1

    def test_a_waiting_task_with_another_run_on_the_lost_boot_waits_too(self) -> None:
        """Guards against a start beside a reopened late start, which is no run of the task."""
        harness = CellHarness("w0", "w1")
        harness.submit(StepSpec(1, cpu_millis=1_000))
        (task,) = harness.cell.book.jobs[JOB].opened_tasks()
        late = Run(task, 7, "w0", "r0", "starting", harness.now_ms)
        late.transition("unanswered")
        harness.cell.boots["w0"].add_run(late)
        harness.cell.note_confirmed(harness.now_ms)
        self._lose(harness, "w0", True)
        assert _plan_unconfirmed(harness, 10) == []
        assert len(_plan_confirmed(harness)) == 1

    def test_a_run_that_its_worker_lists_as_ended_needs_no_read(self) -> None:
        harness = CellHarness("w0", "w1")
        lost = _start_one(harness)
        harness.now_ms += 10
        harness.answer_lease(lost)
        assert len(_plan_unconfirmed(harness, 10)) == 1


class TestAdoptedBoots:
    """Workers that reboot before an owner adopts them, after a successor has adopted them."""

    def _cell(self, now_ms: int) -> Cell:
        owner = Cell(LIMITS, 5, now_ms)
        owner.set_evacuations(Evacuations(frozenset(), 0, now_ms), now_ms)
        submission = Submission(JOB, QUEUE, JobSpec("p", (StepSpec(1, cpu_millis=1),)), 0)
        owner.add_job(submission, Progress(JOB, "running"), False, now_ms)
        workers = (RegisteredWorker("w0", "", "svc"), RegisteredWorker("w1", "", "svc"))
        owner.set_registered_workers(RegisteredWorkers(workers, 4), now_ms, now_ms)
        owner.set_workers({name: make_worker_info(name) for name in ("w0", "w1")}, now_ms)
        store_changes(owner, now_ms)
        return owner

    @pytest.mark.parametrize("boot_time_ms", [1, 2])
    def test_an_inherited_task_waits_for_a_read_sent_after_the_last_adoption(
        self, boot_time_ms: int
    ) -> None:
        """Guards against a start of a task whose end a later owner has acknowledged."""
        now_ms = 100_000
        owner = self._cell(now_ms)
        owner.note_confirmed(now_ms)
        for _ in range(2):  # the first answer of another boot only makes it known
            now_ms += 10
            for name, boot in (("w0", 1), ("w1", boot_time_ms)):
                reply = LeaseReply(5_000, boot, (), ())
                owner.handle_lease_reply(owner.boots[name], reply, now_ms - 1, now_ms)
        now_ms += 10
        assert start_orders(owner.plan(now_ms, 0)) == []
        assert owner.awaits_confirmation(now_ms)
        owner.note_confirmed(now_ms)
        assert len(start_orders(owner.plan(now_ms, 0))) == 1
        assert not owner.awaits_confirmation(now_ms)

    def test_nothing_is_started_on_a_boot_before_a_read_sent_after_its_adoption(self) -> None:
        """Guards against a start on a boot that doesn't know the token of a later owner."""
        harness = CellHarness("w0")
        harness.cell.note_confirmed(harness.now_ms + 1)
        harness.now_ms += 10
        harness.worker_infos["w0"] = replace(harness.worker_infos["w0"], boot_time_ms=2)
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        harness.answer_lease("w0")
        harness.submit(StepSpec(1, cpu_millis=1_000))
        assert _plan_unconfirmed(harness, 10) == []
        assert harness.cell.awaits_confirmation(harness.now_ms)
        assert len(_plan_confirmed(harness)) == 1

    def test_an_end_that_the_successor_acknowledged_is_not_lost_with_its_boot(self) -> None:
        """Guards against a second run of a task that was done for the successor."""

        async def script(sim: CellSimulation) -> None:
            first = sim.owner()
            assert first is not None
            step = StepSpec(1, cpu_millis=1_000, memory_mb=1_000, estimate_ms=3_500)
            await sim.submit(JOB, "fast", JobSpec("one", (step,)))
            await asyncio.sleep(1)
            (runner,) = (n for n, worker in sim.platform.workers.items() if worker.runs)
            faults = sim.platform.faults
            others = [name for name in sim.instances if name != first]
            faults.cut_links.update((name, runner) for name in others)
            await sim.kill_instance(first)
            while sim.owner() is None:
                await asyncio.sleep(0.01)
            owner = sim.owner()
            (successor,) = (name for name in others if name != owner)
            await asyncio.sleep(0.6)
            faults.store_silent_to.add(owner)
            faults.cut_links.discard((successor, runner))
            faults.cut_links.update((successor, n) for n in sim.platform.workers if n != runner)
            while not sim.instances[successor]._ownership.owning:
                await asyncio.sleep(0.01)
            while sim.instances[successor].ledger.jobs[JOB].state != "completed":
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.2)
            sim.platform.crash_and_restart(sim.platform.workers[runner], 0.1)
            faults.cut_links.discard((owner, runner))
            faults.cut_links.add((successor, runner))
            await asyncio.sleep(4)
            assert sim.platform.violations == []

        run_simulation(CellSimulation(1), script)


class TestJobsAheadOfTheLog:
    """Jobs that an instance has stored itself, but not yet read from the log."""

    def test_a_term_takes_up_a_job_only_once_the_log_was_read_up_to_it(self) -> None:
        """Guards against a start by an owner that is replaced before the job was stored.

        Its successor starts such a job at once, as it was submitted after the successor's claim.
        """

        async def script(sim: CellSimulation) -> None:
            name = sim.owner()
            assert name is not None
            instance = sim.instances[name]
            await instance._end_term("stopped")
            instance._ownership._transition("claim_sent")
            instance._ownership._transition("claim_won")
            sim.platform.faults.store_silent_to.add(name)
            await asyncio.sleep(1)
            spec = JobSpec("p", (StepSpec(1, cpu_millis=1_000),))
            offset = instance.ledger.next_offset + 1  # behind a claim that was not read
            instance.ledger.apply_stored(Submission(JOB, QUEUE, spec, 0), offset)
            instance._start_term()
            assert instance._runner is not None
            assert JOB not in instance._runner.cell.book.jobs

        run_simulation(CellSimulation(1), script)

    def test_a_job_that_was_stored_before_the_term_began_runs(self) -> None:
        async def script(sim: CellSimulation) -> None:
            first = sim.owner()
            assert first is not None
            await sim.kill_instance(first)
            await sim.submit(JOB, "fast", short_job())
            await asyncio.sleep(20)
            assert await sim.state(JOB) == "completed"

        run_simulation(CellSimulation(1), script)


class TestConfirmingReads:
    """Reads that are sent only to confirm an owner for whose tasks it matters."""

    def test_no_further_reads_are_sent_while_the_store_refuses_them(self) -> None:
        """Guards against twice the calls to a store that turns the owner away."""

        async def script(sim: CellSimulation) -> None:
            owner = sim.owner()
            assert owner is not None
            await sim.submit(JOB, "serve", long_running_job())
            await asyncio.sleep(2)
            sim.platform.faults.store_refuses_to.add(owner)
            await asyncio.sleep(1)
            instance = sim.instances[owner]
            assert instance._runner is not None
            cell, log = instance._runner.cell, instance._ports.store
            lost = next(worker for worker in cell.boots.values() if worker.runs)
            cell.note_wrong_boot(lost, monotonic_ms())
            assert cell.awaits_confirmation(monotonic_ms())
            sent: list[int] = []
            read = log.read

            async def count_and_read(start: int, wait_ms: int) -> LogPage:
                sent.append(monotonic_ms())
                return await read(start, wait_ms)

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(log, "read", count_and_read)
                await asyncio.sleep(2)
            assert len(sent) <= 20  # one each RETRY_DELAY_S

        run_simulation(CellSimulation(1), script)


class _CutDomains:
    """Cuts between failure domains; each has an instance, and the store is in none of them."""

    def __init__(self, sim: CellSimulation) -> None:
        self._sim = sim
        self.domains = {name: f"z{number}" for number, name in enumerate(("n0", "n1", "n2"))}

    def cut(self, instance: str) -> None:
        """Cut the failure domain of an instance off from the store and the other domains."""
        faults, domain = self._sim.platform.faults, self.domains[instance]
        faults.store_silent_to.add(instance)
        for name, worker in self._sim.platform.workers.items():
            is_inside = worker.info.failure_domain == domain
            faults.cut_links.update(
                (other, name) for other in self.domains if (other == instance) != is_inside
            )

    def heal(self) -> None:
        self._sim.platform.faults.store_silent_to.clear()
        self._sim.platform.faults.cut_links.clear()


async def _cut_owners_at_random(sim: CellSimulation) -> None:
    """Cut off owners while single workers are out of reach, reboot or answer late."""
    rng = random.Random(sim.seed)
    faults, cuts = sim.platform.faults, _CutDomains(sim)
    jobs = [asyncio.ensure_future(sim.submit(f"{n:016x}", *mixed_job(n))) for n in range(9)]
    await asyncio.sleep(2)
    for number in range(6):
        owner = sim.owner()
        names = sorted(sim.platform.workers)
        if owner is not None:
            for name in rng.sample(names, 2):
                faults.cut_links.add((owner, name))
            await asyncio.sleep(rng.uniform(1, 6))
            cuts.cut(owner)
        await asyncio.sleep(rng.uniform(0.5, 4))
        if rng.random() < 0.5:
            name = rng.choice(names)
            sim.platform.crash_and_restart(sim.platform.workers[name], rng.uniform(0.1, 2))
        await asyncio.sleep(rng.uniform(1, 6))
        cuts.heal()
        jobs.append(asyncio.ensure_future(sim.submit(f"{100 + number:016x}", "fast", short_job())))
        await asyncio.sleep(rng.uniform(0, 3))
    await asyncio.gather(*jobs)
    await asyncio.sleep(25)


def _violations(seed: int) -> list[str]:
    sim = CellSimulation(seed, worker_count=6)
    run_simulation(sim, _cut_owners_at_random)
    return sim.platform.violations


def _trust_the_time(patch: pytest.MonkeyPatch) -> None:
    """What follows from the time that has passed counts at once."""
    plan = Cell.plan

    def plan_as_if_confirmed(cell: Cell, now_ms: int, *rest: int) -> object:
        cell.note_confirmed(now_ms)
        return plan(cell, now_ms, *rest)

    patch.setattr(Cell, "plan", plan_as_if_confirmed)


class TestRandomCuts:
    """Owners that are cut off at random, beside workers that are silent or reboot."""

    @pytest.mark.parametrize("seed", range(8))
    def test_no_task_runs_twice(self, seed: int) -> None:
        assert _violations(seed) == []

    @pytest.mark.parametrize("mutate", [_trust_the_time])
    def test_a_missing_rule_lets_a_task_run_twice(
        self, mutate: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
    ) -> None:
        mutate(monkeypatch)
        assert any(_violations(seed) for seed in range(20))
