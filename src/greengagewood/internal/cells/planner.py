"""Plan which waiting tasks of a cell the owner starts, in which order and on which workers.

This module does no I/O and reads no clock. A new plan is made whenever something that it depends on
has changed. The planner serves three kinds of load: short tasks that must start at once,
long-running tasks that must not take all resources, and a backlog of best-effort tasks that must
delay neither.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator

from greengagewood.internal.cells.boots import Boot
from greengagewood.internal.cells.copies import CopyPolicy, Straggler
from greengagewood.internal.cells.orders import Order, StartRun
from greengagewood.internal.cells.passes import Pass
from greengagewood.internal.cells.permits import Permits
from greengagewood.internal.cells.placement import (
    LONGEST_TRIAL_WAIT_MS,
    choose_worker,
    idle_cpu_millis,
    is_mostly_uncommitted,
    is_other_tried,
    leaves_headroom,
    make_worker_chooser,
    may_be_tried_anywhere,
    meets_constraints,
    place_gang,
    workers_for_trial,
)
from greengagewood.internal.cells.places import Places
from greengagewood.internal.cells.runtimes import RunTimes
from greengagewood.internal.cells.tails import MIN_SPEED_PERCENT, TailLatencyModel
from greengagewood.internal.cells.value import JobValues
from greengagewood.internal.evacuation import Evacuations
from greengagewood.internal.jobs.book import Job, JobBook, Run, Step, Task
from greengagewood.internal.jobs.model import Queue, StepSpec
from greengagewood.internal.ports import AdviceUnavailable, Permit

__all__ = ["Planner"]

START_WINDOW_MS = 1_500  # the worker refuses a start that arrives later than this
MIN_START_WINDOW_MS = 200  # time for a start to reach its worker
# By the platform's documentation, a lower capacity counts 3 s or longer after the heartbeat that is
# due to show it, which may be a little late.
CAPACITY_VALIDITY_MS = 2_700
RUN_NUMBERS_PER_TERM = 1 << 20
MAX_TASK_CPU_MILLIS = 1_000_000_000  # divisor that scales sizes to below 1, to break ties only

# Time between placements of best-effort tasks, so that a backlog of them does not delay others.
BEST_EFFORT_INTERVAL_MS = 60

# Between two counts of the workers on which images disturb no service. Services move seldom, and
# the model learns from two readings a second.
COUNT_INTERVAL_MS = 1_000

# How long after its arrival a job may be started without a stored progress record.
UNSTORED_START_MS = 1_000

# How long long-running tasks wait, so that those that arrive together are placed together. It is a
# small part of the wait that they are allowed.
GROUPING_DELAY_MS = 400

# A best-effort job that arrived longer ago than this and has no runs gets one task placed, if most
# CPUs are uncommitted.
STARVING_AFTER_MS = 3_000
FEW_STARTS_PER_PLAN = 32  # with fewer, the owner is short of processor time, not of room
STEPS_PER_TIME_CHECK = 64  # ranked between two questions whether time is left


class Planner:
    """Place the waiting tasks of a cell during one term of ownership.

    `claim_offset` is the offset in the cell's log of the claim that began the term. For
    `settled_offset`, see `Ownership`.
    """

    def __init__(
        self,
        book: JobBook,
        boots: dict[str, Boot],
        token: int,
        settled_offset: int,
        claim_offset: int,
    ) -> None:
        self.tail_model = TailLatencyModel()
        self.run_times = RunTimes()
        self.copies = CopyPolicy(self.run_times)
        self.values = JobValues(book)
        self.places = Places(book, boots)
        self.queues: dict[str, Queue] = {}
        self.directory_read_ms: int | None = None  # when the last complete read of it was sent
        self.evacuations: Evacuations | None = None  # None until they are known
        self.confirmed_ms = 0  # when the last read that confirmed the ownership was sent
        self._book = book
        self._boots = boots
        self._token = token
        self._settled_offset = settled_offset
        self._claim_offset = claim_offset
        self._permits = Permits(token)
        self._planned_version = -1
        self._pass: Pass | None = None  # that has not ended yet
        self._best_effort_placed_ms: int | None = None
        self._counted_ms: int | None = None  # see COUNT_INTERVAL_MS

    def queue_of(self, job: Job) -> Queue:
        """Return the settings of a job's queue."""
        return self.queues[job.submission.queue.name]

    def value_density(self, step: Step, now_ms: int) -> float:
        """Return the value of a step's job per CPU millisecond of its remaining work."""
        queue = self.queue_of(step.job)
        return self.values.density(step.job, step.occurrence, step.number, queue, now_ms)

    def request_replan(self) -> None:
        """Make the next call of `plan` place tasks, even if no further task has begun to wait."""
        self._planned_version = -1

    @property
    def is_unfinished(self) -> bool:
        """Return whether the last plan had no time left for all steps, so that the next goes on."""
        return self._pass is not None

    def plan(
        self, now_ms: int, max_starts: int, has_time: Callable[[], bool] = lambda: True
    ) -> list[Order]:
        """Return the orders to send now; none if nothing has changed since the last plan.

        A gang is started as a whole, even if it has more tasks than `max_starts`. Once `has_time`
        returns False, the other steps are left to the next call.
        """
        if max_starts <= 0 or not self.evacuations_known:
            if self._pass is not None:  # its ranks would be out of date
                self._pass = None
                self.request_replan()
            return []
        if self._permits.is_due(now_ms):
            self.request_replan()
        if self._pass is None:
            if self._book.waiting_version == self._planned_version:
                return []
            self._planned_version = self._book.waiting_version
            self._permits.begin_plan()
        orders = self._place(now_ms, max_starts, has_time)
        if self._pass is None:
            orders.extend(self._permits.requests(now_ms))
        return orders

    @property
    def evacuations_known(self) -> bool:
        """Return whether the evacuation orders were read, and recently if the store was."""
        return self.evacuations is not None and not (
            self.directory_read_ms is not None
            and self.evacuations.lags_behind(self.directory_read_ms)
        )

    def is_evacuated(self, boot: Boot) -> bool:
        """Return whether nothing may be started on the worker by an evacuation order."""
        return self.evacuations is not None and boot.info.failure_domain in self.evacuations.domains

    def may_start_on(self, boot: Boot, now_ms: int, for_lost: bool = False) -> bool:
        """Return whether runs may be started on the worker now, see `Boot.is_usable`.

        A boot that was adopted after the last confirmed read may have replaced one that had
        accepted the token of a later owner.
        """
        return (
            self.evacuations_known
            and boot.is_usable(now_ms, for_lost)
            and (boot.adopted_ms or 0) < self.confirmed_ms
            and not self.is_evacuated(boot)
        )

    def boots_at_full_speed(self, spec: StepSpec, service: str, now_ms: int) -> Iterator[Boot]:
        """Yield the boots on which one more best-effort task could run at full speed."""
        for boot in self._boots.values():
            if (
                boot.info.service == service
                and self.may_start_on(boot, now_ms)
                and not boot.is_cold(now_ms)
                and boot.fits(spec)
                and idle_cpu_millis(boot) >= spec.cpu_millis
                and self.tail_model.admission_for(boot, spec).speed_percent == 100
            ):
                yield boot

    def plan_copies(self, max_starts: int, now_ms: int) -> list[tuple[Straggler, StartRun]]:
        """Return the starts of copies of stragglers, the longest first, within their budget."""
        budgets: dict[str, int] = {}  # CPU left for copies, by service
        stragglers: list[Straggler] = []
        for boot in self._boots.values():
            service = boot.info.service
            budgets[service] = budgets.get(service, 0) + boot.info.cpu_millis
            for run in boot.runs.values():
                if not run.task.step.spec.speculative or run.task.end_state:
                    continue
                queue = self.queue_of(run.task.step.job)
                found = self.copies.find_straggler(run, queue.max_attempts, now_ms)
                if found is not None and not queue.decision_ms:
                    stragglers.append(found)
        if not stragglers:
            return []
        budgets = {service: self.copies.budget_millis(cpu) for service, cpu in budgets.items()}
        for boot in self._boots.values():
            for run in boot.runs.values():
                if run.task.copy is run:
                    budgets[boot.info.service] -= run.task.step.spec.cpu_millis
        starts = []
        for straggler in sorted(stragglers, key=lambda s: -s.remaining_ms)[: max(0, max_starts)]:
            order = self._plan_copy(straggler, budgets, now_ms)
            if order is not None:
                starts.append((straggler, order))
        return starts

    def _plan_copy(
        self, straggler: Straggler, budgets: dict[str, int], now_ms: int
    ) -> StartRun | None:
        """Return the start of a copy on a sound worker; take its CPU from the budget."""
        run = straggler.run
        task = run.task
        queue = self.queue_of(task.step.job)
        spec = task.step.spec
        if (
            budgets.get(queue.service, 0) < spec.cpu_millis
            or task.not_before_ms > now_ms
            or self._start_window_ms(queue, now_ms) < MIN_START_WINDOW_MS
        ):
            return None
        candidates = [
            boot
            for boot in self._boots.values()
            if boot.info.service == queue.service
            and boot.name != run.worker_id
            and not boot.slow
            and self.may_start_on(boot, now_ms)
        ]
        boot = choose_worker(task, candidates, self.tail_model, False)
        if boot is None:
            return None
        budgets[queue.service] -= spec.cpu_millis
        return self._start(task, boot, now_ms, task.start_count + 1)

    def note_permits(self, step: Step, permits: dict[str, Permit], now_ms: int) -> None:
        """Record the permits that the advice service gave for a step, by worker."""
        self._permits.note_answer(step, permits, now_ms)
        self.request_replan()

    def note_advice_failed(self, step: Step, now_ms: int, failure: AdviceUnavailable) -> None:
        """Record that the advice service gave no answer; a later plan asks it again."""
        self._permits.note_failure(step, now_ms, failure)
        self.request_replan()

    def note_permit_refused(self, step: Step, boot: Boot) -> None:
        """Discard the permit that a worker has refused."""
        self._permits.note_refused(step, boot)

    def _place(self, now_ms: int, max_starts: int, has_time: Callable[[], bool]) -> list[Order]:
        by_service: dict[str, list[Boot]] = {}
        for_lost: dict[str, list[Boot]] = {}  # the same and those that others are kept from
        for boot in self._boots.values():
            boot.prepare_plan(now_ms)
            if self.may_start_on(boot, now_ms, for_lost=True):
                for_lost.setdefault(boot.info.service, []).append(boot)
                if not boot.backed_off:
                    by_service.setdefault(boot.info.service, []).append(boot)
        orders = self._place_lost(for_lost, max_starts, now_ms)
        current = self._pass or self._begin_pass(by_service, max_starts, now_ms)
        self._pass = None  # not kept after an error
        if not self._rank_steps(current, now_ms, has_time) or not self._place_ranked(
            current, by_service, orders, max_starts, now_ms, has_time
        ):
            self._pass = current
        return orders

    def _begin_pass(self, by_service: dict[str, list[Boot]], max_starts: int, now_ms: int) -> Pass:
        last_ms = self._best_effort_placed_ms
        place_best_effort = last_ms is None or now_ms - last_ms >= BEST_EFFORT_INTERVAL_MS
        if place_best_effort:
            self._best_effort_placed_ms = now_ms
            self._count_undisturbed(by_service, now_ms)
        steps: list[Step] = []
        first_arrivals_ms: dict[str, int] = {}
        for step in self._book.waiting_steps:
            spec = step.spec
            if spec.best_effort and not place_best_effort:
                continue
            if spec.long_running:
                if self._awaits_grouping(step, now_ms):
                    self.request_replan()
                    continue
                arrived_ms = step.job.arrived_ms
                first_arrivals_ms[spec.image] = min(
                    arrived_ms, first_arrivals_ms.get(spec.image, arrived_ms)
                )
            steps.append(step)
        starving_steps = self._starving_steps(steps, by_service, now_ms)
        # Each starving step gets a single task. If only few tasks may start, the others would leave
        # them none, so they come first within their priority.
        few_starts = max_starts < FEW_STARTS_PER_PLAN
        return Pass(steps, first_arrivals_ms, starving_steps, few_starts)

    def _rank_steps(self, current: Pass, now_ms: int, has_time: Callable[[], bool]) -> bool:
        """Rank steps while there is time; return whether all are ranked."""
        steps = current.steps
        while current.ranked_count < len(steps):
            first = current.ranked_count
            current.ranked_count = min(first + STEPS_PER_TIME_CHECK, len(steps))
            for number in range(first, current.ranked_count):
                step = steps[number]
                if step not in self._book.waiting_steps:
                    continue
                rank = self._rank(step, current.first_arrivals_ms, now_ms)
                not_first = current.few_starts and step not in current.starving_steps
                current.ranked.append(((rank[0], not_first, rank), number, step))
            if current.ranked_count == len(steps):
                heapq.heapify(current.ranked)
            if not has_time():
                return False
        return True

    def _place_ranked(
        self,
        current: Pass,
        by_service: dict[str, list[Boot]],
        orders: list[Order],
        max_starts: int,
        now_ms: int,
        has_time: Callable[[], bool],
    ) -> bool:
        """Place the steps of a pass by their rank while there is time; add to the orders.

        Return whether the pass has ended.
        """
        while current.ranked:
            if len(orders) >= max_starts:
                self.request_replan()
                break
            step = heapq.heappop(current.ranked)[2]
            if step not in self._book.waiting_steps:
                continue  # a step may end, or its job, while a pass takes several plans
            queue = self.queue_of(step.job)
            boots = by_service.get(queue.service, [])
            starving = step in current.starving_steps
            if starving or not current.unplaceable.rules_out(queue.service, step):
                step_orders, unplaced = self._place_step(
                    step, boots, starving, now_ms, max_starts - len(orders)
                )
                orders.extend(step_orders)
                if unplaced and not starving:
                    current.unplaceable.add(queue.service, step)
            if current.ranked and not has_time():
                return False
        return True

    def _place_lost(
        self, by_service: dict[str, list[Boot]], max_starts: int, now_ms: int
    ) -> list[Order]:
        """Start tasks that have lost their runs in their places; keep places for the others."""
        self.places.update(by_service, self._queue_of_step, now_ms)
        if self.places or self.places.has_delayed:
            self.request_replan()
        orders: list[Order] = []
        for task, boot in self.places.waiting():
            queue = self.queue_of(task.step.job)
            if (
                len(orders) < max_starts
                and boot in by_service.get(queue.service, ())
                and boot.has_room(task.step.spec)
                and boot.may_start(task)
                and (not task.crashes or may_be_tried_anywhere(task, now_ms))
                and meets_constraints(boot, task.step)
                and task.not_before_ms <= now_ms
                and self._start_window_ms(queue, now_ms) >= MIN_START_WINDOW_MS
                and self._may_start(task.step.job)
            ):
                self.places.give_up(task)
                orders.append(self._start(task, boot, now_ms, task.start_count + 1))
        return orders

    def may_move(self, run: Run, now_ms: int) -> bool:
        """Return whether a run may be stopped, as its task can be started in its place at once."""
        boot = self.places.boot_of(run.task)
        return (
            boot is not None
            and self.may_start_on(boot, now_ms)
            and self._start_window_ms(self.queue_of(run.task.step.job), now_ms)
            >= MIN_START_WINDOW_MS
            and self.places.is_free_for(run)
        )

    def runs_to_stop(self, now_ms: int) -> set[Run]:
        """Return the runs that hold places which must become free now."""
        return self.places.runs_to_stop(
            lambda boot: self.may_start_on(boot, now_ms, for_lost=True),
            self._queue_of_step,
            now_ms,
        )

    def _queue_of_step(self, step: Step) -> Queue:
        return self.queue_of(step.job)

    def _count_undisturbed(self, by_service: dict[str, list[Boot]], now_ms: int) -> None:
        if self._counted_ms is not None and now_ms - self._counted_ms < COUNT_INTERVAL_MS:
            return
        self._counted_ms = now_ms
        self.tail_model.count_undisturbed(w for boots in by_service.values() for w in boots)

    @staticmethod
    def _awaits_grouping(step: Step, now_ms: int) -> bool:
        """Return whether a long-running step still waits for others, to be placed with them.

        One that has run does not wait again when a later owner takes up its job.
        """
        return (
            step.spec.long_running
            and now_ms - step.job.arrived_ms < GROUPING_DELAY_MS
            and not any(task.last_run_ended_ms for task in step.waiting_tasks)
        )

    def _starving_steps(
        self, steps: list[Step], by_service: dict[str, list[Boot]], now_ms: int
    ) -> set[Step]:
        """Return the steps of starving jobs whose services have most CPUs uncommitted."""
        candidates: dict[str, list[Step]] = {}  # by service
        for step in steps:
            if self._is_starving(step, now_ms):
                candidates.setdefault(self.queue_of(step.job).service, []).append(step)
        return {
            step
            for service, starving in candidates.items()
            if is_mostly_uncommitted(by_service.get(service, []))
            for step in starving
        }

    @staticmethod
    def _is_starving(step: Step, now_ms: int) -> bool:
        job = step.job
        return (
            step.spec.best_effort
            and not job.active_run_count
            and now_ms - job.arrived_ms > STARVING_AFTER_MS
        )

    def _rank(
        self, step: Step, first_arrivals_ms: dict[str, int], now_ms: int
    ) -> tuple[int, int, int, int, str, float]:
        """Return the sort key of a step.

        Within a priority, jobs that can still meet their objectives come first, then late ones,
        then those too late to earn anything. Among equals the job with the least remaining work
        comes first, since that serves the most callers. Best-effort jobs are ordered by the value
        of their remaining work instead.

        Long-running steps come between jobs that are in time and late ones. They are grouped by
        image; `first_arrivals_ms` is the earliest arrival of a waiting job of each image. Within an
        image, steps with `max_per_instance` come first, then those with large tasks, so that
        workers are filled up and few of them serve several images.
        """
        job = step.job
        spec = step.spec
        queue = self.queue_of(job)
        if spec.long_running:
            rank = (0.0 if spec.max_per_instance else 1.0) - spec.cpu_millis / MAX_TASK_CPU_MILLIS
            return (queue.priority, 0, 1, first_arrivals_ms[spec.image], spec.image, rank)
        if spec.best_effort:
            return (queue.priority, 0, 0, 0, "", -self.value_density(step, now_ms))
        return (
            queue.priority,
            self.values.lateness(job, step.number, queue, now_ms),
            0,
            self._book.remaining_cpu_ms(job, step.occurrence),
            "",
            0.0,
        )

    def _place_step(
        self, step: Step, boots: list[Boot], starving: bool, now_ms: int, max_starts: int
    ) -> tuple[list[Order], bool]:
        """Return the orders for a step, and whether one of its tasks could not be placed."""
        queue = self.queue_of(step.job)
        if self._start_window_ms(queue, now_ms) < MIN_START_WINDOW_MS:
            return [], False
        if not queue.decision_ms:
            return self._place_tasks(step, boots, starving, now_ms, max_starts)
        permitted = self._permits.permitted(step, boots, now_ms)
        orders, unplaced = self._place_tasks(step, permitted, starving, now_ms, max_starts)
        if orders:
            if step.waiting_tasks:
                self.request_replan()  # the permits may be enough for no more of them
        elif any(task.not_before_ms <= now_ms for task in step.waiting_tasks):
            self._permits.note_need(step, boots, queue.decision_ms, now_ms)
        return orders, unplaced

    def _place_tasks(
        self, step: Step, boots: list[Boot], starving: bool, now_ms: int, max_starts: int
    ) -> tuple[list[Order], bool]:
        """Return the starts of a step's tasks, and whether one of them could not be placed."""
        orders: list[Order] = []
        if step.spec.gang:
            return [*self._place_gang(step, boots, now_ms)], False
        choose = make_worker_chooser(step, boots, self.tail_model, starving)
        for task in sorted(step.waiting_tasks, key=_longest_idle_first):
            if task.not_before_ms > now_ms:
                self.request_replan()
                continue
            if task.crashes:
                boot = self._choose_for_trial(task, boots, starving, now_ms)
                if boot is None:
                    continue  # the others need not be tried alone
            elif task.late_start is not None:
                bound_to = [w for w in boots if w.may_start(task)]
                boot = choose_worker(task, bound_to, self.tail_model, starving)
                if boot is None:
                    continue  # the others may be started elsewhere
            else:
                boot = choose(task)
            if boot is None or (step.spec.long_running and not leaves_headroom(task, boots)):
                return orders, True
            if not self._may_start(step.job):
                break
            orders.append(self._start(task, boot, now_ms, task.start_count + 1))
            if starving:  # one task is enough
                break
            if len(orders) >= max_starts:
                self.request_replan()
                break
        return orders, False

    def _choose_for_trial(
        self, task: Task, boots: list[Boot], starving: bool, now_ms: int
    ) -> Boot | None:
        """Return a worker for a suspected task.

        Of a job of which none was cleared yet, one task is tried at a time, as all may crash.
        """
        waited_ms = now_ms - task.last_run_ended_ms
        if waited_ms <= LONGEST_TRIAL_WAIT_MS:
            self.request_replan()
        if is_other_tried(task):
            return None
        candidates = workers_for_trial(task, boots, waited_ms)
        return choose_worker(task, candidates, self.tail_model, starving)

    def _place_gang(self, step: Step, boots: list[Boot], now_ms: int) -> list[Order]:
        unfinished = [task for task in step.tasks if not task.end_state]
        if any(
            task.run or task.maybe_running or task.loss_unconfirmed or task.not_before_ms > now_ms
            for task in unfinished
        ):
            self.request_replan()
            return []
        placed = place_gang(step, boots)
        if placed is None or not self._may_start(step.job):
            return []
        start_count = 1 + max(task.start_count for task in step.tasks)
        return [self._start(task, boot, now_ms, start_count) for task, boot in placed]

    def _may_start(self, job: Job) -> bool:
        """Return whether tasks of the job may be started now, and mark it to be stored as started.

        A job that has just arrived is started at once, and its progress record is stored soon
        afterwards. An older job must have a stored progress record first: a later owner
        assumes that a job below the settled offset without such a record was never started.
        """
        self._book.note_maybe_started(job)
        return job.maybe_started_stored or job.log_offset >= max(
            self._settled_offset, self._claim_offset
        )

    def advance_settled_offset(self, log_end: int, now_ms: int) -> int:
        """Advance the settled offset: no job below it was started without a stored record."""
        maybe_running_jobs = {task.id.job_id for task in self._book.maybe_running_tasks}
        unsettled_offsets = [
            job.log_offset
            for job in self._book.jobs.values()
            if not job.is_final
            and not job.maybe_started_stored
            and (
                job.maybe_started
                or now_ms - job.arrived_ms < UNSTORED_START_MS
                or job.id in maybe_running_jobs
            )
        ]
        self._settled_offset = max(self._settled_offset, min([log_end, *unsettled_offsets]))
        return self._settled_offset

    def _start_window_ms(self, queue: Queue, now_ms: int) -> int:
        """Return how long a start may take to reach its worker.

        A worker without admission check carries out any start, so none may arrive when the capacity
        last read may be out of date.
        """
        if queue.admission_check:
            return START_WINDOW_MS
        if self.directory_read_ms is None:
            return 0
        valid_until_ms = self.directory_read_ms + CAPACITY_VALIDITY_MS
        return min(START_WINDOW_MS, valid_until_ms - now_ms)

    def _start(self, task: Task, boot: Boot, now_ms: int, start_count: int) -> StartRun:
        task.start_count = start_count
        number = (self._token - 1) * RUN_NUMBERS_PER_TERM + start_count
        queue = self.queue_of(task.step.job)
        deadline = boot.deadline_in(self._start_window_ms(queue, now_ms), now_ms)
        assert deadline is not None  # the clock of a usable worker was read when it was adopted
        run = self._book.attach_run(
            task, number, boot.name, boot.info.rack, "starting", now_ms, deadline
        )
        run.ticket = self._permits.present(task.step, boot)
        run.resumed = bool(task.checkpoint)
        if task.step.spec.best_effort:
            run.initial_speed_percent = (
                self.tail_model.admission_for(boot, task.step.spec).speed_percent
                or MIN_SPEED_PERCENT
            )
        boot.add_run(run)
        if task.crashes or task.trial:
            self._book.note_trial(task, boot.placed_run(run))
        if task.crashes and not task.step.spec.gang:
            boot.trial = run
        boot.note_start(deadline, now_ms)
        payload = task.step.job.submission.spec.payload
        return StartRun(boot, run, payload, deadline, task.checkpoint)


def _longest_idle_first(task: Task) -> tuple[bool, int]:
    """Return the sort key of a waiting task: those that have run come first."""
    return not task.last_run_ended_ms, task.startable_since_ms
