"""Which waiting tasks start where, and in which order: the plan of one cell's owner.

Pure: it is asked again whenever something has changed. It answers three loads: short tasks that
must start at once, lasting ones that may not take all the room, and a backlog of filling work that
must not delay either.
"""

from __future__ import annotations

from greengagewood.internal.cells.fleet import Worker
from greengagewood.internal.cells.orders import AskAdvice, Order, StartRun
from greengagewood.internal.cells.placement import (
    idle_millis,
    is_roomy,
    keeps_headroom,
    place_gang,
    worker_chooser,
)
from greengagewood.internal.cells.tails import LEAST_PERCENT, TailModel
from greengagewood.internal.jobs.book import Job, JobBook, Run, Step, Task
from greengagewood.internal.jobs.model import Queue, StepSpec
from greengagewood.internal.ports import Permit

__all__ = ["Planner"]

START_WINDOW_MS = 1_500  # a start that arrives later than this is refused by the worker
RUN_NUMBERS_A_TERM = 1 << 20
PERMIT_MARGIN_MS = 300  # for the way of a start to its worker
ADVICE_BATCH = 30  # workers named in one question, each of which costs time
LARGEST_CPU_MILLIS = 1_000_000_000  # of a task, to rank sizes below one step of another rank
MAX_STARTS_A_PLAN = 200
LATE_FACTOR = 3  # times its objective after which a job earns nothing, from the platform's rules
FILL_INTERVAL_MS = 60  # a backlog of filling work must not delay what is urgent
AT_ONCE_MS = 1_000  # a job that came within this time may be started before it is stored so
GATHER_MS = 400  # for lasting tasks that come together; a small part of what they may wait
AGED_MS = 3_000  # a job that has waited longer gets one task placed if most room is free


class _Refused:
    """Remember within one plan which steps found no worker, to pass over all that need as much."""

    def __init__(self) -> None:
        self._sizes: dict[tuple[str, str, str, bool], list[StepSpec]] = {}

    @staticmethod
    def _kind(service: str, step: Step) -> tuple[str, str, str, bool]:
        spec = step.spec
        # Tasks that come back are placed by another measure than those that never ran.
        back = spec.long_running and any(task.last_run_ended_ms for task in step.waiting_tasks)
        return service, spec.image if spec.best_effort else "", spec.required_label, back

    def covers(self, service: str, step: Step) -> bool:
        """Tell whether a step that needs no more than this one found no worker."""
        spec = step.spec
        return any(
            spec.cpu_millis >= other.cpu_millis
            and spec.memory_mb >= other.memory_mb
            and spec.accelerators >= other.accelerators
            and (spec.long_running or not other.long_running)
            and spec.best_effort == other.best_effort
            for other in self._sizes.get(self._kind(service, step), ())
        )

    def note(self, service: str, step: Step) -> None:
        """Note that a step found no worker, unless its own conditions may be the reason."""
        if not step.spec.max_per_instance and not step.job.submission.queue.decision_ms:
            self._sizes.setdefault(self._kind(service, step), []).append(step.spec)


class Planner:
    """Place the waiting tasks of a cell during one term of ownership."""

    def __init__(
        self,
        book: JobBook,
        workers: dict[str, Worker],
        token: int,
        settled: int,
        claimed_at: int,
    ) -> None:
        self.model = TailModel()
        self.queues: dict[str, Queue] = {}
        self._book = book
        self._workers = workers
        self._token = token
        self._settled = settled
        self._claimed_at = claimed_at
        self._permits: dict[Step, dict[str, Permit]] = {}
        self._asked: set[Step] = set()
        self._planned_version = -1
        self._filled_ms: int | None = None

    def queue_of(self, job: Job) -> Queue:
        """Return the settings of a job's queue."""
        return self.queues[job.submission.queue.name]

    def replan(self) -> None:
        """Note that something has changed on which placement depends."""
        self._planned_version = -1

    def plan(self, now_ms: int) -> list[Order]:
        """Return what to start now, if anything has changed since the last plan."""
        if self._book.waiting_version == self._planned_version:
            return []
        self._planned_version = self._book.waiting_version
        return self._place(now_ms)

    def has_better_place(self, run: Run, current: Worker, now_ms: int) -> bool:
        """Tell whether a filling run could work at full speed on another worker."""
        spec = run.task.step.spec
        service = self.queue_of(run.task.step.job).service
        return any(
            worker is not current
            and worker.info.service == service
            and worker.usable(now_ms)
            and worker.fits(spec)
            and idle_millis(worker) >= spec.cpu_millis
            and self.model.admits(worker, spec).percent == 100
            for worker in self._workers.values()
        )

    def advice_answered(self, step: Step, permits: dict[str, Permit]) -> None:
        """Take in which workers may run a step."""
        self._permits.setdefault(step, {}).update(permits)
        self._asked.discard(step)
        self.replan()

    def advice_failed(self, step: Step) -> None:
        """Note that the advice service did not answer; it is asked again."""
        self._asked.discard(step)

    def ticket_refused(self, step: Step) -> None:
        """Note that a worker did not take a permit."""
        self._permits.pop(step, None)

    def _place(self, now_ms: int) -> list[Order]:
        orders: list[Order] = []
        by_service: dict[str, list[Worker]] = {}
        for worker in self._workers.values():
            if worker.usable(now_ms):
                by_service.setdefault(worker.info.service, []).append(worker)
        filled = self._filled_ms
        fill_now = filled is None or now_ms - filled >= FILL_INTERVAL_MS
        if fill_now:
            self._filled_ms = now_ms
        steps = [step for step in self._book.waiting_steps if fill_now or not step.spec.best_effort]
        gathering = {step for step in steps if self._gathers(step, now_ms)}
        if gathering:
            self.replan()
            steps = [step for step in steps if step not in gathering]
        full = _Refused()
        since: dict[str, int] = {}
        for step in steps:
            if step.spec.long_running:
                arrived = step.job.arrived_ms
                since[step.spec.image] = min(arrived, since.get(step.spec.image, arrived))
        for step in sorted(steps, key=lambda step: self._order(step, since, now_ms)):
            queue = self.queue_of(step.job)
            workers = by_service.get(queue.service, [])
            aged = self._is_aged(step, now_ms) and is_roomy(workers)
            if not aged and full.covers(queue.service, step):
                continue
            found, refused = self._place_step(step, workers, aged, now_ms)
            orders.extend(found)
            if refused and not aged:
                full.note(queue.service, step)
            if len(orders) > MAX_STARTS_A_PLAN:
                self.replan()
                break
        return orders

    @staticmethod
    def _gathers(step: Step, now_ms: int) -> bool:
        """Tell whether a lasting step waits a moment for others, to be placed together."""
        return step.spec.long_running and now_ms - step.job.arrived_ms < GATHER_MS

    @staticmethod
    def _is_aged(step: Step, now_ms: int) -> bool:
        job = step.job
        return (
            step.spec.best_effort and not job.active_run_count and now_ms - job.arrived_ms > AGED_MS
        )

    def _order(
        self, step: Step, since: dict[str, int], now_ms: int
    ) -> tuple[int, int, int, int, str, float]:
        """Return the rank of a step; `since` is when the first job of a serving image came.

        Answers the load in which not all can be in time: within a priority, jobs that still can
        come before those that are late, and those before the ones too late to earn anything; among
        equals the least work left comes first, since most callers are then served.

        Lasting tasks of one image are placed together, those that must be spread first, then the
        large ones: so they fill their workers up, and few workers serve several images.
        """
        job = step.job
        spec = step.spec
        queue = self.queue_of(job)
        if spec.long_running:
            rank = (0.0 if spec.max_per_instance else 1.0) - spec.cpu_millis / LARGEST_CPU_MILLIS
            return (queue.priority, 0, 1, since[spec.image], spec.image, rank)
        objective = queue.slack_factor * max(job.critical_paths_ms, default=0) + queue.target_ms
        age = now_ms - job.arrived_ms
        if age + job.critical_paths_ms[step.number] <= objective:
            lateness = 0
        else:
            lateness = 1 if age < LATE_FACTOR * objective else 2
        return (
            queue.priority,
            lateness,
            0,
            self._book.remaining_cpu_ms(job, step.occurrence),
            "",
            0.0,
        )

    def _place_step(
        self, step: Step, workers: list[Worker], aged: bool, now_ms: int
    ) -> tuple[list[Order], bool]:
        """Return the starts of a step's tasks, and whether one of them found no worker."""
        queue = self.queue_of(step.job)
        orders: list[Order] = []
        if queue.decision_ms:
            orders.extend(self._ask_advice(step, workers, now_ms))
            permits = self._permits.get(step, {})
            workers = [
                w
                for w in workers
                if w.name in permits and permits[w.name].expires_ms - PERMIT_MARGIN_MS > now_ms
            ]
        if step.spec.gang:
            return [*orders, *self._place_gang(step, workers, now_ms)], False
        choose = worker_chooser(step, workers, self.model, aged)
        for task in sorted(step.waiting_tasks, key=lambda task: -task.last_run_ended_ms):
            if task.not_before_ms > now_ms:
                self.replan()
                continue
            worker = choose(task)
            if worker is None or (step.spec.long_running and not keeps_headroom(task, workers)):
                return orders, True
            if not self._may_begin(step.job):
                break
            orders.append(self._start(task, worker, now_ms, task.start_count + 1))
            if aged:  # one is enough
                break
        return orders, False

    def _place_gang(self, step: Step, workers: list[Worker], now_ms: int) -> list[Order]:
        alive = [task for task in step.tasks if not task.end_state]
        if any(task.run or task.maybe_running or task.not_before_ms > now_ms for task in alive):
            self.replan()
            return []
        placed = place_gang(step, workers)
        if placed is None or not self._may_begin(step.job):
            return []
        starts = 1 + max(task.start_count for task in step.tasks)
        return [self._start(task, worker, now_ms, starts) for task, worker in placed]

    def _may_begin(self, job: Job) -> bool:
        """Tell whether tasks of the job may be started; have it stored first if need be.

        A job that has just come is started at once, and stored as begun soon after. Of the others,
        those below `settled`, a later owner counts on what is stored.
        """
        self._book.note_maybe_started(job)
        return job.maybe_started_stored or job.log_offset >= max(self._settled, self._claimed_at)

    def settle(self, end: int, now_ms: int) -> int:
        """Return the offset below which only jobs that are stored as begun were ever started."""
        doubtful = {task.id.job_id for task in self._book.maybe_running_tasks}
        open_offsets = [
            job.log_offset
            for job in self._book.jobs.values()
            if not job.is_final
            and not job.maybe_started_stored
            and (job.maybe_started or now_ms - job.arrived_ms < AT_ONCE_MS or job.id in doubtful)
        ]
        self._settled = max(self._settled, min([end, *open_offsets]))
        return self._settled

    def _ask_advice(self, step: Step, workers: list[Worker], now_ms: int) -> list[Order]:
        if step in self._asked:
            return []
        fresh = {
            name
            for name, permit in self._permits.get(step, {}).items()
            if permit.expires_ms - 2 * PERMIT_MARGIN_MS > now_ms
        }
        if fresh:
            return []
        names = [w.name for w in workers if w.fits(step.spec)][:ADVICE_BATCH]
        if not names:
            return []
        self._asked.add(step)
        return [AskAdvice(step, tuple(names))]

    def _start(self, task: Task, worker: Worker, now_ms: int, starts: int) -> StartRun:
        task.start_count = starts
        number = (self._token - 1) * RUN_NUMBERS_A_TERM + starts
        deadline = worker.deadline_in(START_WINDOW_MS, now_ms)
        assert deadline is not None  # only adopted workers are usable, and their clock was read
        run = self._book.attach_run(
            task, number, worker.name, worker.info.rack, "starting", now_ms, deadline
        )
        permit = self._permits.get(task.step, {}).get(worker.name)
        run.ticket = permit.ticket if permit else ""
        if task.step.spec.best_effort:
            run.initial_speed_percent = (
                self.model.admits(worker, task.step.spec).percent or LEAST_PERCENT
            )
        worker.add(run)
        worker.horizon_ms = max(worker.horizon_ms, deadline)
        payload = task.step.job.submission.spec.payload
        return StartRun(worker, run, payload, deadline, task.checkpoint)
