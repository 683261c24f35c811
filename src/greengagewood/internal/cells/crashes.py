"""Tell tasks that crash the workers that start them from tasks that only ran beside them.

This module does no I/O and reads no clock. A task that crashes its worker does so as it starts, so
only runs whose start the worker has not yet outlived are suspected. A suspected task is next tried
alone: on a worker without other such runs, where nothing else is started until the outcome is
known. So the next crash has a single suspect. A run that its worker outlives clears its task.

Only another boot at the worker's address proves a crash. A worker that is silent, or whose lease
has expired, may be cut off; its suspects are kept until it answers or another boot does.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from greengagewood.internal.cells.answers import has_certainly_accepted
from greengagewood.internal.cells.boots import Boot
from greengagewood.internal.cells.planner import START_WINDOW_MS
from greengagewood.internal.jobs.book import Job, JobBook, Run, Task
from greengagewood.internal.jobs.records import PlacedRun, TaskId

__all__ = ["CrashTracker", "find_suspects", "find_undecided", "is_culprit", "outlives"]

OUTLIVED_AFTER_MS = 500  # a worker that lists a run this long after its start has outlived it
# By the platform's rules, a task may be given up once two workers have crashed under it.
MIN_CRASHES = 2
MIN_CRASHES_WITH_OTHERS = 3
# The most, counting runs that may never have reached the worker, as the platform allows two more
# starts after three crashes. One start is left for a crash that an owner did not live to store.
MAX_CRASHES = 5
MAX_CRASHES_IF_INHERITED = 4

Suspect = tuple[TaskId, PlacedRun]


def outlives(run: Run, boot: Boot, now_ms: int) -> bool:
    """Return whether a boot that has just listed a run has outlived its start.

    The list may be processed late, so it must also be late enough by the boot's own clock, or, if
    the deadline of the start is on the clock of an earlier boot, have been requested late enough.
    """
    if run.accepted_ms is None or now_ms - run.accepted_ms < OUTLIVED_AFTER_MS:
        return False
    if run.was_handed_over:
        return boot.list_requested_ms - run.accepted_ms >= OUTLIVED_AFTER_MS
    earliest_start_ms = run.start_deadline_ms - START_WINDOW_MS
    return boot.clock_ms - earliest_start_ms >= OUTLIVED_AFTER_MS


def find_suspects(boot: Boot) -> list[Suspect]:
    """Return the runs that may have crashed a worker, if it has crashed.

    A start that was sent after the first call that failed, and not answered either, did not cause
    that failure. An accepted start may have been accepted by a later boot, see `find_undecided`.
    """
    if boot.info.draining:
        return []  # it has left as announced
    failing_since_ms = boot.failing_since_ms
    return [
        (run.task.id, boot.placed_run(run))
        for run in boot.runs.values()
        if not run.outlived
        and not run.task.end_state
        and (
            run.accepted_ms is not None
            or failing_since_ms is None
            or run.started_ms <= failing_since_ms
        )
    ]


def find_undecided(boot: Boot) -> list[Run]:
    """Return the runs of a boot that has rebooted which its new boot may have accepted instead."""
    return [
        run
        for run in boot.runs.values()
        if run.accepted_ms is not None and not has_certainly_accepted(boot, run)
    ]


def is_culprit(task: Task, alone: bool) -> bool:
    """Return whether to give up a task under which a worker has just crashed.

    A start that was not answered may never have reached the worker. Unless the task was the only
    suspect, the crash may be due to another one. If all accepted runs crashed at one address, that
    may be due to the machine, and a start without an answer elsewhere does not show otherwise.
    """
    inherited = task.step.job.maybe_inherited
    if len(task.crashes) >= (MAX_CRASHES_IF_INHERITED if inherited else MAX_CRASHES):
        return True
    accepted = [run for run in task.crashes if run.accepted]
    if len({run.address for run in accepted}) < MIN_CRASHES:
        return len(accepted) >= MIN_CRASHES_WITH_OTHERS
    return alone or len(task.crashes) >= MIN_CRASHES_WITH_OTHERS


class CrashTracker:
    """The runs that may have crashed workers of a cell, during one term of ownership."""

    def __init__(self, book: JobBook, on_event: Callable[[str, dict[str, object]], None]) -> None:
        self._book = book
        self._on_event = on_event
        # Of workers that have been silent since and have no runs any more, by their address.
        self._unresolved: dict[str, list[Suspect]] = {}
        # Suspects that may run on the new boot of a crashed worker, and whether they were alone.
        self._undecided: dict[Run, tuple[Suspect, bool]] = {}

    def restore(self, job: Job, now_ms: int) -> None:
        """Add the stored suspects of an earlier owner, which may not have stored a last crash."""
        for task in job.opened_tasks():
            if task.trial is not None:
                self._unresolved.setdefault(task.trial.address, []).append((task.id, task.trial))
            if task.crashes and is_culprit(task, False):
                self._give_up(task, task.crashes[-1], False, now_ms)

    def note_failed_call(self, boot: Boot, now_ms: int) -> None:
        """Record a failed call to a worker; store the suspects of a crash for a later owner."""
        if boot.failing_since_ms is not None:
            return
        boot.failing_since_ms = now_ms
        for task_id, run in find_suspects(boot):
            task = self._book.find_task(task_id)
            if task is not None:
                self._book.note_trial(task, run)

    def keep_suspects(self, boot: Boot) -> None:
        """Keep the suspects of a silent worker whose runs have lapsed."""
        if suspects := find_suspects(boot):
            self._unresolved.setdefault(boot.info.address, []).extend(suspects)

    def handle_crash(self, boot: Boot, now_ms: int, undecided: Collection[Run] = ()) -> None:
        """Process the crash of a worker, whose runs have not ended yet in the book.

        The `undecided` runs are suspects only if the new boot turns out not to have them.
        """
        address = boot.info.address
        kept = self._unresolved.pop(address, [])
        if others := [suspect for suspect in kept if suspect[1].worker_id != boot.name]:
            self._unresolved[address] = others
        own = [suspect for suspect in kept if suspect[1].worker_id == boot.name]
        suspects = find_suspects(boot)
        alone = len(suspects) == 1 and suspects[0][1].accepted
        for run in undecided:
            suspect = (run.task.id, boot.placed_run(run))
            if suspect in suspects:
                suspects.remove(suspect)
                self._undecided[run] = suspect, alone
        self._note_suspects(suspects, alone, now_ms)
        self._note_suspects(own, False, now_ms)

    def forget_undecided(self, run: Run) -> None:
        """Clear a run that the new boot of a crashed worker has, or of which nothing is known."""
        self._undecided.pop(run, None)

    def handle_unlisted(self, run: Run, now_ms: int) -> None:
        """Suspect an undecided run that the new boot does not have, so the crashed one had it."""
        if run in self._undecided:
            suspect, alone = self._undecided.pop(run)
            self._note_suspects([suspect], alone, now_ms)

    def handle_answer(self, boot: Boot, boot_time_ms: int, now_ms: int) -> None:
        """Process the answer of a boot: earlier boots at its address have crashed."""
        suspects = self._unresolved.pop(boot.info.address, [])
        crashed = [s for s in suspects if s[1].boot_time_ms < boot_time_ms]
        self._note_suspects(crashed, False, now_ms)

    def handle_outlived(self, boot: Boot, run: Run) -> None:
        """Clear the task of a run whose worker has outlived its start."""
        run.outlived = True
        if boot.trial is run:
            boot.trial = None
        task = run.task
        if task.crashes:
            self._on_event("crash_cleared", {"task": task.id, "crashes": len(task.crashes)})
        if task.crashes or task.trial:
            self._book.note_cleared(task)

    def _note_suspects(self, suspects: list[Suspect], alone: bool, now_ms: int) -> None:
        """Record the runs that may have crashed a worker; give up tasks that certainly do.

        Those that were kept were never alone: the worker may have crashed long after their start.
        """
        for task_id, run in suspects:
            task = self._book.find_task(task_id)
            if task is None or task.end_state or task.step.job.is_final:
                continue
            if any(later is not None and later.outlived for later in (task.run, task.copy)):
                continue  # it has started since without a crash
            self._book.note_crash(task, run)
            self._on_event("crash_suspected", _crash_fields(task, run, alone))
            if is_culprit(task, alone):
                self._give_up(task, run, alone, now_ms)

    def _give_up(self, task: Task, run: PlacedRun, alone: bool, now_ms: int) -> None:
        if task.end_state or task.step.job.is_final:
            return
        self._book.give_up(task, now_ms)
        fields = _crash_fields(task, run, alone)
        self._on_event("job_failed", {"job": task.id.job_id, **fields})


def _crash_fields(task: Task, run: PlacedRun, alone: bool) -> dict[str, object]:
    """Return what an event says of the crashes of a task, the last of them under `run`."""
    return {
        "task": task.id,
        "run": run.number,
        "worker": run.worker_id,
        "alone": alone,
        "crashes": [(crash.number, crash.address, crash.accepted) for crash in task.crashes],
    }
