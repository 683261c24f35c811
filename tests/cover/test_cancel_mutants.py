"""A mutant for each row of docs/design/cancellation.md that can be switched off.

Each makes the test of its row fail, so that the test looks at what the row says. Those of which a
real process shows the harm are in `tests/common/entrymutants.py`, too.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from greengagewood.internal.cells import stops
from greengagewood.internal.cells.cell import Cell
from greengagewood.internal.cells.lists import RunLists
from greengagewood.internal.cells.runner import CellRunner
from greengagewood.internal.cells.stops import StopPlanner
from greengagewood.internal.jobs.book import JobBook
from tests.common.drive import CellSimulation, long_running_job, run_simulation
from tests.common.entrymutants import MUTANTS, Mutant, never_stop, wrap
from tests.cover import test_cancel_roads, test_cancelled_jobs


def _forget_cancellation(apply: Any, runner: CellRunner, job_id: str, now_ms: int) -> None:
    """Take up a stored job without its cancellation, as a new owner."""
    stored = runner._ledger.jobs.get(job_id)
    if stored is None or job_id in runner.cell.book.jobs:
        apply(runner, job_id, now_ms)
        return
    kept = stored.cancelled, stored.progress
    stored.cancelled = False
    if stored.progress is not None and stored.progress.state == "cancelled":
        stored.progress = None
    try:
        apply(runner, job_id, now_ms)
    finally:
        stored.cancelled, stored.progress = kept


def _keep_waiting(unmark: Any, book: JobBook, task: Any) -> None:
    """Let the tasks of a job that has ended wait on."""
    if not task.step.job.is_final:
        unmark(book, task)


# By the test that fails with them, with its arguments.
ROWS: dict[str, tuple[Mutant, str, tuple[object, ...]]] = {
    "cancel_forgotten_by_successor": (
        wrap(CellRunner, "_apply_stored_job", _forget_cancellation),
        "test_the_next_owner_stops_the_runs_of_one_that_was_killed",
        (),
    ),
    "cancel_then_start_waiting": (
        wrap(JobBook, "unmark_waiting", _keep_waiting),
        "test_a_job_cancelled_while_the_owner_lagged_behind_is_not_started",
        (True,),
    ),
    "no_stop": (MUTANTS["no_stop"], "test_the_runs_end_within_a_second", (1,)),
    "no_stop_draining": (
        MUTANTS["no_stop_draining"],
        "test_a_run_on_a_draining_worker_is_stopped",
        (),
    ),
    "no_stop_evacuated": (
        MUTANTS["no_stop_evacuated"],
        "test_a_run_in_an_evacuated_domain_is_stopped",
        (),
    ),
    "no_stop_failed": (
        never_stop(lambda self, boot, run: run.task.step.job.state == "failed"),
        "test_a_run_of_a_failed_job_is_stopped",
        (),
    ),
    "no_stop_of_copy": (
        never_stop(lambda self, boot, run: run.task.copy is run),
        "test_both_runs_of_a_copied_task_are_stopped",
        (),
    ),
    "no_stop_paused": (
        never_stop(lambda self, boot, run: run.speed_percent == 0),
        "test_a_run_at_no_speed_is_stopped",
        (),
    ),
    "no_stop_silent": (
        MUTANTS["no_stop_silent"],
        "test_a_worker_that_answers_no_order_is_sent_stops",
        (),
    ),
    "no_stop_unanswered": (
        never_stop(lambda self, boot, run: run.accepted_ms is None),
        "test_a_start_carried_out_by_an_unlisted_boot_is_stopped",
        (3,),
    ),
    "no_stop_unexpected": (
        wrap(
            RunLists,
            "_track_unexpected",
            lambda f, lists, boot, run, ms: lists._term.book.placeholder_task(run.task_id),
        ),
        "test_a_run_on_a_boot_with_an_earlier_time_is_stopped",
        (),
    ),
    "no_stop_unknown": (
        wrap(StopPlanner, "stop_unknown_run", lambda f, *args: None),
        "test_a_listed_run_of_a_deleted_job_is_stopped",
        (),
    ),
    "no_stop_unlisted": (
        MUTANTS["no_stop_unlisted"],
        "test_a_run_on_a_worker_that_has_left_the_directory_is_stopped",
        (),
    ),
    "registered_ignored": (
        wrap(Cell, "set_registered_workers", lambda f, *args: None),
        "test_a_new_owner_that_reads_no_directory_stops_the_runs",
        (),
    ),
    "stop_once": (
        MUTANTS["stop_once"],
        "test_a_stop_is_repeated_until_the_run_is_gone",
        (True,),
    ),
    "stop_silent_once": (
        wrap(
            stops,
            "_due_on_silent",
            lambda f, *args: [run for run in f(*args) if run.stop_sent_ms is None],
        ),
        "test_a_silent_worker_is_sent_few_stops",
        (),
    ),
}


def _find_test(name: str) -> Any:
    """Return a test of the roads, bound to an instance of its class."""
    for module in (test_cancel_roads, test_cancelled_jobs):
        for found in vars(module).values():
            if isinstance(found, type) and hasattr(found, name):
                return getattr(found(), name)
    raise LookupError(name)


class TestRows:
    """Each row's test looks at what the row says."""

    @pytest.mark.parametrize("name", ROWS)
    def test_the_test_of_a_row_fails_without_it(
        self, name: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a test that passes whatever its row says."""
        mutant, test, args = ROWS[name]
        _find_test(test)(*args)
        monkeypatch.setattr(*mutant)
        with pytest.raises((AssertionError, ValueError)):
            _find_test(test)(*args)


TROUBLES = ("links", "kill", "refuse leases", "none")


async def _cancel_in_calm(sim: CellSimulation) -> None:
    """Cancel jobs in a short trouble, and in the calm after it, amid planned work.

    As in the step `cancel_in_calm` of the soak: workers drain and a failure domain is evacuated,
    and neither excuses a run that goes on.
    """
    rng, faults = sim.rng, sim.platform.faults
    workers = sorted(sim.platform.workers)
    jobs = [f"{number:016x}" for number in range(6)]
    for job in jobs:
        await sim.submit(job, "serve", long_running_job())
    await asyncio.sleep(2.5)
    links = {(instance, worker) for instance in sim.instances for worker in workers}
    trouble = rng.choice(TROUBLES)
    owner = sim.owner()
    if trouble == "kill" and owner is not None:
        await sim.kill_instance(owner)
    faults.cut_links |= links if trouble == "links" else set()
    faults.refused_lease_links |= links if trouble == "refuse leases" else set()
    await asyncio.gather(*(sim.cancel(job) for job in jobs[:2]))
    await asyncio.sleep(0.7)
    faults.cut_links.clear()
    faults.refused_lease_links.clear()
    for missing in sorted({"n0", "n1", "n2"} - set(sim.instances)):
        sim.start_instance(missing)
    for worker in rng.sample(workers, 2):
        sim.platform.drain(worker)
    evacuated = sim.platform.workers[rng.choice(workers)].info.failure_domain
    sim.platform.evacuate(evacuated)
    for pair, pause_s in ((jobs[2:4], 1.0), (jobs[4:], 2.5)):
        await asyncio.sleep(pause_s)
        await asyncio.gather(*(sim.cancel(job) for job in pair))
    await asyncio.sleep(8)


def _breaks_a_bound(seed: int) -> bool:
    sim = run_simulation(CellSimulation(seed), _cancel_in_calm)
    return bool(sim.platform.violations or sim.platform.running_tasks())


class TestRandomCalm:
    """Cancellations amid planned work, by seeds."""

    SEEDS = range(300, 320)

    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_run_of_a_cancelled_job_goes_on(self, seed: int) -> None:
        sim = run_simulation(CellSimulation(seed), _cancel_in_calm)
        assert sim.platform.violations == []
        assert sim.platform.running_tasks() == set()

    @pytest.mark.parametrize(
        "name",
        [
            "cancel_forgotten_by_successor",
            "no_stop",
            "no_stop_draining",
            "no_stop_evacuated",
            "no_stop_unexpected",
            "stop_once",
        ],
    )
    def test_a_mutant_is_found_within_20_seeds(
        self, name: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against scripts that no longer reach the states in which the rows matter."""
        monkeypatch.setattr(*ROWS[name][0])
        assert any(_breaks_a_bound(seed) for seed in self.SEEDS)
