"""Decide which runs of a cell to stop, and which tasks thereby move to other workers.

The load: tasks that hang while their worker still answers, best-effort tasks that stay slowed down
for the sake of a service beside them, and long-running tasks on workers that drain. Their runs hold
resources with little or no progress, or will end with their worker. Such a run is stopped, and its
task is started again once the run is over.

So is a run that may have ended unseen, as its worker's lists can't be read in full and lack it.

Runs that nothing waits for are stopped too: those of jobs that have ended, of starts that were not
answered, of tasks that have another run, and of tasks that are not known.

A stop may be lost, so it is repeated until the run is over. Until then the resources of the run
stay allocated, see `Cell`.

A task of a step that limits how many of its tasks may be unavailable is not moved while as many
others are not at work.

Each call needs processor time of the owner, and one that times out as much as any other. So the
stops under way are limited by how fast they are answered, see `window`: if many runs lose their
jobs at once, those that were never sent a stop go first, those of the oldest cancellation before
others and by turns to all workers. The others wait for room. Each call that ends makes room for the
next one without a scan, as a scan of many runs costs as much as many stops.

A worker that does not answer lease extensions may still carry out a stop. So the runs that nothing
waits for are stopped there too, a few at a time: calls without an answer hold connections that the
lease extensions need, which show that the worker answers again.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections import deque
from itertools import islice

from greengagewood.internal.cells.boots import Boot
from greengagewood.internal.cells.failures import FailureTracker
from greengagewood.internal.cells.orders import StopRun
from greengagewood.internal.cells.placement import meets_constraints
from greengagewood.internal.cells.places import needs_place
from greengagewood.internal.cells.planner import Planner
from greengagewood.internal.cells.window import STOP_WINDOW, CallWindow
from greengagewood.internal.jobs.book import Run, Task
from greengagewood.internal.jobs.records import TaskId
from greengagewood.internal.ports import RunningTask

__all__ = ["StopPlanner"]

_DueStop = tuple[Boot, Run, str]  # the run, the boot that holds it, and the reason
_Rank = tuple[int, int, int]  # when last sent a stop, when it lost its job, and its turn

REPEAT_INTERVAL_MS = 400
SILENT_REPEAT_INTERVAL_MS = 1_000  # by then a call without an answer has ended
MAX_OPEN_STOPS_TO_SILENT = 128  # at a time to all workers that don't; most of them time out
MAX_STOPS_TO_SILENT = 8  # at a time to one worker; an owner opens 12 connections to each
CALL_TIMEOUT_MS = 1_000  # a call has ended by then
SCAN_INTERVAL_MS = 100  # between two scans for runs to stop, unless an event requests one
SLOW_SPEED_PERCENT = 60  # a run limited to this or less may be moved to run at full speed
MOVE_DELAY_MS = 450  # how long a run must have been slow before it is moved: about one reading
SETTLING_MS = 1_000  # from the start of a run until its task counts as available
MOVE_INTERVAL_MS = 150  # between two moves, each of which costs a stop and a start
# While stops wait for room: the runs that have to be stopped are known, and a scan takes long.
HELD_BACK_SCAN_INTERVAL_MS = 400
REMAINING_REPORT_MS = 2_000  # a run that goes on for this long after its job's end is reported
MAX_REPORTS_PER_SCAN = 20  # a line takes as long as a third of a stop
MISSING_AFTER_MS = 5_000  # time without being listed after which a run is stopped
# Many runs may have one of these reasons at once.
BULK_REASONS = frozenset({"again", "job_over"})
STUCK_AFTER_MS = 2_500  # minimum time without any progress after which a run is stopped as stuck


class StopPlanner:
    """The stops of one term of ownership."""

    def __init__(self, boots: dict[str, Boot], planner: Planner, failures: FailureTracker) -> None:
        self._boots = boots
        self._planner = planner
        self._failures = failures
        self._last_scan_ms: int | None = None  # None requests a scan by the next plan
        self._next_move_ms = 0  # no run is moved before this time
        self._window = CallWindow(STOP_WINDOW)  # of the calls to workers that answer
        self._held_back: deque[_DueStop] = deque()  # stops that wait for room, the first one first
        self._held_back_from_silent = False  # whether stops to silent workers wait for others
        # By service, image and size of a best-effort task, during one scan.
        self._full_speed: dict[tuple[str, str, int, int, int], tuple[Boot, ...]] = {}
        self._destinations: set[Boot] = set()  # that runs without places move to, during one scan
        # When a run of an unknown task was last sent a stop, by worker, task and run number.
        self._unknown_run_stop_sent_ms: dict[tuple[str, TaskId, int], int] = {}

    def request_scan(self) -> None:
        """Make a scan due at once, as an event may have given reason to stop a run."""
        self._last_scan_ms = None

    def is_scan_due(self, now_ms: int) -> bool:
        """Return whether to scan for runs to stop."""
        interval_ms = HELD_BACK_SCAN_INTERVAL_MS if self._held_back else SCAN_INTERVAL_MS
        return self._last_scan_ms is None or now_ms - self._last_scan_ms >= interval_ms

    def note_stop_ended(
        self, run: Run, sent_ms: int | None = None, now_ms: int = 0, answered: bool = True
    ) -> None:
        """Record that a call to stop a run, sent at `sent_ms` if known, has ended."""
        run.open_stops = max(0, run.open_stops - 1)
        if self._held_back_from_silent:
            self.request_scan()
        boot = self._boots.get(run.worker_id)
        if sent_ms is not None and boot is not None and not boot.unresponsive:
            self._window.note_done(sent_ms, now_ms, answered)

    def plan(self, now_ms: int) -> list[StopRun]:
        """Scan for runs to stop; return the stops to send now."""
        self._last_scan_ms = now_ms
        self._full_speed.clear()
        self._destinations.clear()
        orders: list[StopRun] = []
        due: list[tuple[_Rank, _DueStop]] = []
        due_on_silent: list[tuple[_Rank, _DueStop]] = []
        open_stops = open_to_silent = 0
        making_room = self._planner.runs_to_stop(now_ms)
        for boot in self._boots.values():
            if boot.unresponsive:
                open_to_silent += sum(_open_stops(run, now_ms) for run in boot.runs.values())
                for turn, run in enumerate(_due_on_silent(boot, now_ms)):
                    due_on_silent.append((_rank(run, turn, now_ms), (boot, run, "job_over")))
                continue
            turn = 0
            for run in boot.runs.values():
                if run.open_stops:
                    open_stops += _open_stops(run, now_ms)
                reason = self._stop_reason(boot, run, now_ms)
                if not reason and run in making_room:
                    reason = "makes_room"
                if not reason or not _may_send_stop(run, now_ms):
                    continue
                if reason in BULK_REASONS:
                    due.append((_rank(run, turn, now_ms), (boot, run, reason)))
                    turn += 1
                else:
                    open_stops += 1
                    orders.append(_stop(boot, run, reason, now_ms))
        if not due and not open_stops:
            self._window = CallWindow(STOP_WINDOW)  # what the last burst met may have changed
        self._window.in_flight = open_stops  # the ends of some calls are not noted
        if len(due) > self._window.room:
            due.sort(key=lambda stop: stop[0])
        self._held_back = deque(stop for _, stop in due)
        orders.extend(self.send_held_back(now_ms))
        places = max(0, MAX_OPEN_STOPS_TO_SILENT - open_to_silent)
        self._held_back_from_silent = len(due_on_silent) > places
        due_on_silent.sort(key=lambda stop: stop[0])
        orders.extend(_stop(*stop, now_ms) for _, stop in due_on_silent[:places])
        return orders

    @property
    def holds_back(self) -> bool:
        """Return whether stops wait for room."""
        return bool(self._held_back)

    def send_held_back(self, now_ms: int) -> list[StopRun]:
        """Return the stops that have waited for room and may be sent now."""
        orders = []
        while self._held_back and self._window.room:
            boot, run, reason = self._held_back.popleft()
            if (
                self._boots.get(boot.name) is boot
                and not boot.unresponsive
                and boot.runs.get((run.task, run.number)) is run
                and _may_send_stop(run, now_ms)
            ):
                self._window.note_sent()
                orders.append(_stop(boot, run, reason, now_ms))
        return orders

    def overdue_runs(self, now_ms: int) -> list[tuple[Boot, Run]]:
        """Return the runs to report now, as they go on long after the end of their jobs."""
        overdue: list[tuple[Boot, Run]] = []
        for boot in self._boots.values():
            for run in boot.runs.values():
                if not run.task.step.job.is_final:
                    continue
                if run.unwanted_since_ms is None:
                    run.unwanted_since_ms = run.reported_ms = now_ms
                elif (
                    now_ms - run.reported_ms >= REMAINING_REPORT_MS
                    and len(overdue) < MAX_REPORTS_PER_SCAN
                ):
                    run.reported_ms = now_ms
                    overdue.append((boot, run))
        return overdue

    def stop_unknown_run(self, boot: Boot, listed_run: RunningTask, now_ms: int) -> StopRun | None:
        """Return a stop of a listed run of an unknown task, unless one was sent recently."""
        key = (boot.name, listed_run.task_id, listed_run.run_number)
        if (
            now_ms - self._unknown_run_stop_sent_ms.get(key, -REPEAT_INTERVAL_MS)
            < REPEAT_INTERVAL_MS
        ):
            return None
        self._unknown_run_stop_sent_ms[key] = now_ms
        return StopRun(boot, listed_run.task_id, listed_run.run_number, None, "not_ours")

    def _stop_reason(self, boot: Boot, run: Run, now_ms: int) -> str:
        """Return the reason to stop a run, or an empty string."""
        if run.state == "stopping":
            return "again"
        if _is_unwanted(run):
            return "job_over"
        if run.state == "unconfirmed":
            return "unanswered"
        if run.task.run is not run and run.task.copy is not run:
            return "superseded"
        if run.state != "running":
            return ""
        if _is_missing(boot, run):
            return "not_listed"
        if self._is_stuck(run):
            self._failures.note_stuck_run(boot, run, now_ms)
            return "stands_still"
        if self._should_move(boot, run, now_ms):
            return "moves"
        if boot.info.draining and run.task.step.spec.long_running:
            may_leave = _may_become_unavailable(boot, run, now_ms) and self._may_leave(run, now_ms)
            return "worker_leaves" if may_leave else ""
        return ""

    def _may_leave(self, run: Run, now_ms: int) -> bool:
        """Return whether the task of a run on a worker that drains can be started elsewhere.

        Where no places are kept, one scan counts on each worker once.
        """
        step = run.task.step
        queue = self._planner.queue_of(step.job)
        if needs_place(step, queue):
            return self._planner.may_move(run, now_ms)
        for boot in self._boots.values():
            if (
                boot.info.service == queue.service
                and boot not in self._destinations
                and self._planner.may_start_on(boot, now_ms)
                and boot.fits(step.spec)
                and meets_constraints(boot, step)
            ):
                self._destinations.add(boot)
                return True
        return False

    def _is_stuck(self, run: Run) -> bool:
        """Return whether the worker has listed a run for long without any progress.

        Time in which the worker, or this owner, was silent says nothing about the run. Neither does
        the time that a long task, of an image that takes longer than estimated, needs for 1 %.
        """
        spec = run.task.step.spec
        listed_without_progress_ms = run.listed_ms - run.progress_changed_ms
        if (
            run.speed_percent < 100
            or (spec.long_running and run.progress_percent == 100)
            or spec.gang
            or listed_without_progress_ms <= STUCK_AFTER_MS
        ):
            return False
        queue = run.task.step.job.submission.queue.name
        expected_ms = self._planner.run_times.expected_ms(queue, spec.image, spec.estimate_ms)
        if spec.best_effort:
            return listed_without_progress_ms > max(2 * STUCK_AFTER_MS, expected_ms // 10)
        estimate_ms = max(spec.estimate_ms, expected_ms)
        return listed_without_progress_ms > max(STUCK_AFTER_MS, estimate_ms // 4)

    def _should_move(self, boot: Boot, run: Run, now_ms: int) -> bool:
        """Return whether to move a best-effort run that has been slow for long.

        The move frees memory that the slow run hardly uses. The task continues on another worker
        from its checkpoint, so it must support checkpointing.
        """
        spec = run.task.step.spec
        if not spec.best_effort or not spec.checkpointing or run.speed_percent > SLOW_SPEED_PERCENT:
            run.slow_since_ms = None
            return False
        if run.slow_since_ms is None:
            run.slow_since_ms = now_ms
        if now_ms - run.slow_since_ms < MOVE_DELAY_MS or now_ms < self._next_move_ms:
            return False
        if not _may_become_unavailable(boot, run, now_ms):
            return False
        if all(other is boot for other in self._boots_at_full_speed(run, now_ms)):
            return False
        self._next_move_ms = now_ms + MOVE_INTERVAL_MS
        return True

    def _boots_at_full_speed(self, run: Run, now_ms: int) -> tuple[Boot, ...]:
        """Return up to two boots on which the task of a run could run at full speed.

        One scan asks for the same size and image again and again while there is no room.
        """
        spec = run.task.step.spec
        service = self._planner.queue_of(run.task.step.job).service
        key = (service, spec.image, spec.cpu_millis, spec.memory_mb, spec.accelerators)
        if key not in self._full_speed:
            found = self._planner.boots_at_full_speed(spec, service, now_ms)
            self._full_speed[key] = tuple(islice(found, 2))
        return self._full_speed[key]


def _may_become_unavailable(boot: Boot, run: Run, now_ms: int) -> bool:
    """Return whether the limit of its step allows to stop a run that could go on.

    A worker that drains takes its runs with it. Of one that is known by a record alone, only its
    entry is missing, and it may be sound.
    """
    step = run.task.step
    limit = step.spec.max_unavailable
    is_leaving = boot.info.draining and not boot.is_known_by_record
    if not limit or not step.spec.long_running or is_leaving or not _is_at_work(run.task):
        return True
    others = (task for task in step.tasks if task is not run.task and not task.end_state)
    return sum(not _has_settled(task, now_ms) for task in others) < limit


def _is_at_work(task: Task) -> bool:
    run = task.run
    return run is not None and run.state == "running" and run.progress_percent == 100


def _has_settled(task: Task, now_ms: int) -> bool:
    """Return whether a task is at work, and its run was not started just now.

    One that goes on from a checkpoint may be listed at 100 % before that is restored.
    """
    run = task.run
    return (
        _is_at_work(task)
        and run is not None
        and run.accepted_ms is not None
        and now_ms - run.accepted_ms >= SETTLING_MS
    )


def _open_stops(run: Run, now_ms: int) -> int:
    """Return how many calls to stop a run have not ended."""
    sent_ms = run.stop_sent_ms
    return run.open_stops if sent_ms is not None and now_ms - sent_ms <= CALL_TIMEOUT_MS else 0


def _rank(run: Run, turn: int, now_ms: int) -> _Rank:
    since_ms = now_ms if run.unwanted_since_ms is None else run.unwanted_since_ms
    return (run.stop_sent_ms or 0, since_ms, turn)


def _is_unwanted(run: Run) -> bool:
    return run.task.step.job.is_final or bool(run.task.end_state)


def _is_missing(boot: Boot, run: Run) -> bool:
    """Return whether lists that can't be read in full have long lacked a run, and its end."""
    last_shown_ms = max(run.listed_ms, run.accepted_ms or 0, boot.page_requested_ms)
    return boot.list_requested_ms - last_shown_ms > MISSING_AFTER_MS


def _due_on_silent(boot: Boot, now_ms: int) -> list[Run]:
    """Return the runs on a silent worker to stop now, those that have waited longest first."""
    unwanted = [run for run in boot.runs.values() if _is_unwanted(run) and run.state != "starting"]
    waiting = [
        run
        for run in unwanted
        if run.stop_sent_ms is None or now_ms - run.stop_sent_ms >= SILENT_REPEAT_INTERVAL_MS
    ]
    waiting.sort(key=lambda run: run.stop_sent_ms or 0)
    pending_count = len(unwanted) - len(waiting)
    return waiting[: max(0, MAX_STOPS_TO_SILENT - pending_count)]


def _stop(boot: Boot, run: Run, reason: str, now_ms: int) -> StopRun:
    if run.state != "unconfirmed":
        run.transition("stop")
    run.open_stops = _open_stops(run, now_ms) + 1
    run.stop_sent_ms = now_ms
    return StopRun(boot, run.task.id, run.number, run, reason)


def _may_send_stop(run: Run, now_ms: int) -> bool:
    if run.state == "starting":
        return False  # wait for the reply to the start
    return run.stop_sent_ms is None or now_ms - run.stop_sent_ms >= REPEAT_INTERVAL_MS
