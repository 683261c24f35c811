"""Every road on which a task of a cancelled job may start or go on, on the native path."""

from __future__ import annotations

import pytest

from greengagewood.internal.feed import ReplayedRecord
from greengagewood.internal.joblog import JobLog
from greengagewood.internal.owner import CellOwner
from greengagewood.internal.records import JobCancelled, JobSubmitted
from tests.common.system import System
from tests.common.world import CELL, World

JOB = JobSubmitted("j", "a", "mercato", "price-grid", CELL, 1, 1, 100, 0, 1_000, "", 0)


def _run_until(world, condition, max_ticks=100):
    for _ in range(max_ticks):
        if condition():
            return
        world.run(1)
    raise AssertionError("the condition did not become true")


def _running(world):
    """Return the names of the workers that run a task."""
    return [name for name, worker in world.workers.items() if worker.standin.running_tasks]


def _start_count(world):
    return sum(
        event.event == "start"
        for worker in world.workers.values()
        for event in worker.standin.audit
    )


def _owner(world):
    (name,) = world.owners()
    return world.schedulers[name].owner


def _world_with_task(schedulers=1, workers=2):
    """Return a world in which one long task runs."""
    world = World(seed=5, schedulers=schedulers, workers=workers)
    world.run(90)
    world.submit(1, 1, 600_000)
    _run_until(world, lambda: any(_owner(world).book.in_state("running")))
    return world


class TestStarts:
    """Starts of tasks whose job is cancelled meanwhile."""

    def test_a_start_that_its_worker_has_not_taken_is_withdrawn(self):
        """Guards against a start that is repeated after the cancellation of its job."""
        world = World(seed=5, schedulers=1, workers=1)
        world.run(90)
        name = world.schedulers["s1"].name
        world.submit(1, 1, 600_000)
        _run_until(world, lambda: any(_owner(world).book.in_state("starting")))
        world.set_link_cut(name, "w1")
        world.run(20)
        assert _start_count(world) == 0
        world.cancel(0)
        world.run(2)
        world.set_link_cut(name, "w1", cut=False)
        world.run(60)
        assert _start_count(world) == 0
        world.finish()
        assert {final for final, _ in world.final_outcomes.values()} == {"cancelled"}

    def test_a_task_that_waits_is_not_started(self):
        world = World(seed=5, schedulers=1, workers=1)
        world.run(90)
        _owner(world).hold_placement("evacuated")
        world.submit(1, 1, 600_000)
        world.run(10)
        world.cancel(0)
        world.run(10)
        _owner(world).hold_placement("")
        world.run(60)
        assert _start_count(world) == 0


class TestStops:
    """Runs that go on as their job is cancelled."""

    def test_a_run_is_stopped_within_a_second(self):
        world = _world_with_task()
        world.cancel(0)
        world.run(10)
        assert _running(world) == []

    def test_a_run_that_is_being_evicted_is_stopped(self):
        world = _world_with_task()
        world.evict(0)
        world.cancel(0)
        world.run(10)
        assert _running(world) == []
        world.run(60)
        assert _start_count(world) == 1

    def test_a_run_on_a_worker_that_was_cut_off_is_stopped_when_it_answers(self):
        """Guards against a worker that is asked too seldom after its calls have failed."""
        world = _world_with_task()
        (host,) = _running(world)
        world.set_link_cut("s1", host)
        world.run(30)
        world.cancel(0)
        world.run(5)
        assert _running(world) == [host]
        world.set_link_cut("s1", host, cut=False)
        world.run(34)  # the contact bound, and a stop
        assert _running(world) == []

    def test_a_stop_whose_answer_is_lost_is_repeated(self):
        world = _world_with_task()
        world.lose_replies = True
        world.cancel(0)
        world.run(30)
        world.lose_replies = False
        world.run(34)
        assert _running(world) == []

    def test_a_run_on_a_worker_that_has_left_the_instance_list_is_stopped(self):
        world = _world_with_task()
        _owner(world).set_workers([], {})
        world.cancel(0)
        world.run(10)
        assert _running(world) == []


class TestOwners:
    """Owners that change, or are away, while a job is cancelled."""

    def test_the_next_owner_stops_the_runs_of_one_that_was_cut_off(self):
        world = _world_with_task(schedulers=3)
        (name,) = world.owners()
        (host,) = _running(world)
        for other in [*world.schedulers, "log"]:
            if other != name:
                world.set_link_cut(name, other)
        world.cancel(0)
        _run_until(world, lambda: not _running(world), 34 + 30)
        assert set(world.owners()) != {name}
        assert host in world.workers

    def test_a_run_whose_owner_has_released_the_cell_is_stopped(self):
        world = _world_with_task(schedulers=2)
        (name,) = world.owners()
        world.release(name)
        world.cancel(0)
        _run_until(world, lambda: not _running(world), 64)

    @pytest.mark.parametrize("cancelled_first", [True, False])
    def test_a_job_whose_submission_has_expired_can_be_cancelled(self, cancelled_first):
        """Guards against a scheduler that was started after the job stream dropped the job."""
        world = _world_with_task()
        world.replace_scheduler("s1")
        world.schedulers["s1"].job_cursor = len(world.job_records)
        if cancelled_first:
            world.cancel(0)
        _run_until(world, lambda: world.owners() and _owner(world).state == "placing", 200)
        if not cancelled_first:
            assert _running(world)
            world.cancel(0)
        world.run(34)
        assert _running(world) == []

    def test_a_cancellation_read_before_a_repeated_submission_counts(self):
        """Guards against a job that runs as its first submission is no longer in the stream."""
        jobs = JobLog()
        assert not jobs.replay(JobCancelled(JOB.job, 0))
        assert jobs.replay(JOB)
        assert jobs.jobs[JOB.job].cancelled

    def test_a_scheduler_passes_a_cancellation_of_an_unknown_job_to_its_owners(self):
        """Guards against a cancellation that only the simulated scheduler passes on."""
        system = System()
        scheduler = system.daemons["i1"]["scheduler"]
        owner = scheduler._owners[CELL] = CellOwner(CELL, "i1", 1)
        record = JobCancelled(JOB.job, 5)
        scheduler._apply_record(ReplayedRecord(system.names.jobs, 1, record))
        assert owner._early_cancellations == {JOB.job: record}

    def test_cancellations_of_jobs_that_nobody_knows_are_dropped_in_time(self):
        """Guards against memory that grows with each cancellation."""
        jobs, owner = JobLog(), CellOwner(CELL, "i1", 1, lambda: 1_000)
        for record in (JobCancelled("old", 5), JobCancelled("new", 995)):
            jobs.replay(record)
            owner.note_cancelled(record)
        jobs.drop_before(990, set())
        owner.drop_expired(0, 10)
        assert list(jobs.early_cancellations) == list(owner._early_cancellations) == ["new"]
