"""The owner's decisions, one event at a time."""

from __future__ import annotations

from dataclasses import replace

from greengagewood.internal.cells.orders import StartRun, StopRun
from greengagewood.internal.jobs.model import StepSpec
from greengagewood.internal.ports import LeaseReply, RunningTask
from tests.common.desk import Desk, info_of, starts_of, submission_of


class TestDoubtfulStarts:
    """A start that was not answered."""

    def test_an_acknowledged_stop_rules_it_out_though_the_stop_is_repeated(self) -> None:
        # seed 1239 of the random days: each repeat put off the list that could rule it out
        desk = Desk("w0")
        desk.submit(StepSpec(1, cpu_millis=1_000))
        (start,) = starts_of(desk.plan())
        worker = start.worker
        desk.cell.start_unanswered(start.run, desk.now)
        for _ in range(4):  # lists take longer than the pause between two stops
            sent = desk.now
            for _ in range(2):
                for order in desk.plan(450):
                    if isinstance(order, StopRun):
                        desk.cell.stop_answered(order.run, desk.now)
            reply = LeaseReply(desk.now - 1_000_000, 1, (), ())  # before the start's deadline
            desk.cell.hold_answered(worker, reply, sent, desk.now)
        assert start.run.state == "finished"


class TestSettled:
    """What a later owner may count on of jobs whose progress is not stored."""

    def test_a_job_that_has_just_come_starts_before_it_is_stored_as_begun(self) -> None:
        desk = Desk("w0")
        desk.cell.add_job(submission_of("1" * 16), None, True, desk.now, offset=7)
        assert len(starts_of(desk.cell.plan(desk.now, desk.now))) == 1
        assert desk.cell.planner.advance_settled_offset(100, desk.now) == 7

    def test_a_job_below_the_mark_is_stored_first(self) -> None:
        desk = Desk("w0")
        desk.cell.add_job(submission_of("1" * 16), None, True, desk.now, offset=7)
        assert desk.cell.planner.advance_settled_offset(100, desk.now + 2_000) == 100
        assert starts_of(desk.cell.plan(desk.now + 1, desk.now)) == []
        desk.store()
        assert len(starts_of(desk.cell.plan(desk.now + 2, desk.now))) == 1

    def test_a_job_that_an_earlier_owner_may_have_started_holds_the_mark_back(self) -> None:
        desk = Desk("w0")
        desk.cell.set_workers({**desk.infos, "w9": info_of("w9")}, desk.now)  # not heard yet
        desk.cell.add_job(submission_of("1" * 16), None, False, desk.now, offset=7)
        assert desk.cell.planner.advance_settled_offset(100, desk.now + 2_000) == 7


class TestBegun:
    """What callers are told of a job whose tasks were chosen a worker, but did not start yet."""

    def test_a_job_waits_until_a_start_is_accepted(self) -> None:
        # orpup-sched hunt-5b56-7: jobs that found no worker in the end were not counted as waiting
        desk = Desk("w0")
        desk.submit(StepSpec(1, cpu_millis=1_000))
        (start,) = starts_of(desk.plan())
        job = desk.cell.book.jobs["0" * 16]
        assert job.maybe_started and desk.cell.book.progress_record(job, 0).state == "queued"
        desk.cell.start_answered(start.worker, start.run, "room", desk.now)
        assert desk.cell.book.progress_record(job, 0).state == "queued"
        (again,) = starts_of(desk.plan(1_000))
        desk.cell.start_answered(again.worker, again.run, "", desk.now)
        assert desk.cell.book.progress_record(job, 0).state == "running"

    def test_a_run_that_the_worker_lists_has_started(self) -> None:
        desk = Desk("w0")
        desk.submit(StepSpec(1, cpu_millis=1_000))
        (start,) = starts_of(desk.plan())
        desk.hear("w0", RunningTask(start.run.task.id, start.run.number, "", 10, 0))
        assert desk.cell.book.jobs["0" * 16].state == "running"


class TestReborn:
    """A worker that begins anew under the name that it had."""

    def test_a_start_to_a_life_that_was_not_known_is_not_taken_for_lost(self) -> None:
        # seed 1258 of the random days: the task ran twice
        desk = Desk("w0", "w1")
        desk.submit(StepSpec(1, cpu_millis=1_000))
        (start,) = starts_of(desk.plan())
        name = start.worker.name
        desk.cell.start_answered(start.worker, start.run, "", desk.now + 1)
        desk.infos[name] = replace(desk.infos[name], boot_time_ms=2)
        desk.cell.set_workers(desk.infos, desk.now + 2)
        desk.now += 5
        orders = desk.plan()
        assert starts_of(orders) == []
        (stop,) = [order for order in orders if isinstance(order, StopRun)]
        assert stop.number == start.run.number
        desk.cell.stop_answered(start.run, desk.now)
        desk.now += 5
        desk.hear(name)
        assert len(starts_of(desk.plan())) == 1

    def test_what_the_old_life_had_listed_is_lost(self) -> None:
        desk = Desk("w0", "w1")
        desk.submit(StepSpec(1, cpu_millis=1_000))
        (start,) = starts_of(desk.plan())
        name = start.worker.name
        desk.cell.start_answered(start.worker, start.run, "", desk.now + 1)
        desk.now += 10
        desk.hear(name, RunningTask(start.run.task.id, start.run.number, "", 10, 0))
        desk.infos[name] = replace(desk.infos[name], boot_time_ms=2)
        desk.cell.set_workers(desk.infos, desk.now + 2)
        desk.now += 5
        assert len(starts_of(desk.plan())) == 1

    def test_a_worker_that_was_not_heard_lately_gets_no_work(self) -> None:
        desk = Desk("w0")
        desk.now += 5_000  # the owner stood still
        desk.submit(StepSpec(1, cpu_millis=1_000))
        assert starts_of(desk.plan()) == []
        desk.hear("w0")
        assert len(starts_of(desk.plan())) == 1


class TestPending:
    """What counts as begun."""

    def test_a_lasting_job_that_must_leave_headroom_has_not_begun(self) -> None:
        desk = Desk("w0")
        desk.submit(StepSpec(1, cpu_millis=60_000, long_running=True))
        assert starts_of(desk.plan()) == []
        assert not desk.cell.book.jobs["0" * 16].maybe_started


class TestMoves:
    """Filling runs that were slowed down."""

    def _slow_run(self, *workers: str) -> tuple[Desk, StartRun]:
        desk = Desk(*workers)
        desk.submit(
            StepSpec(
                1, cpu_millis=6_000, memory_mb=1, checkpointing=True, image="f", best_effort=True
            )
        )
        (start,) = starts_of(desk.plan(100))
        desk.cell.start_answered(start.worker, start.run, "", desk.now)
        start.run.speed_percent = 10
        for _ in range(4):
            desk.now += 400
            for name in workers:
                rows = ()
                if name == start.worker.name:
                    rows = (RunningTask(start.run.task.id, start.run.number, "c", 5, 600),)
                desk.hear(name, *rows)
            desk.orders = desk.plan()
        return desk, start

    def test_a_slow_run_gives_way_to_a_better_place(self) -> None:
        desk, start = self._slow_run("w0", "w1")
        stops = [order for order in desk.orders if isinstance(order, StopRun)]
        assert [order.reason for order in stops] in (["moves"], ["again"], [])
        assert start.run.state == "stopping"
        assert start.run.task.checkpoint == "c"

    def test_without_a_better_place_it_stays(self) -> None:
        _, start = self._slow_run("w0")
        assert start.run.state == "running"
