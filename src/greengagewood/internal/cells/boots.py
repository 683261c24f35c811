"""Boots of workers as the owner of a cell knows them: resources, clock, lease and runs.

A worker is known by its ID, under which it may boot again. Then it knows nothing of what it ran
before, and its clock and the numbers of its run ends begin anew. So what only one boot can have
told, such as its runs, is kept with that boot, and what holds for whichever boot is up with the
worker. There is one `Boot` for the present boot of each worker; `answers` says what follows from an
answer whose boot is not known.

Leases and start deadlines are times on the worker's clock, which may run slower than the owner's.
Since the owner last read that clock, at most as much time has passed on it as on the owner's own
clock, and at least `MIN_CLOCK_RATE` of that. Deadlines of orders are computed from the upper bound;
the lower bound shows which deadlines have certainly passed.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field, replace

from greengagewood.internal.attribution import FailureHistory
from greengagewood.internal.chart import load_chart
from greengagewood.internal.jobs.book import Run, Task
from greengagewood.internal.jobs.model import StepSpec
from greengagewood.internal.jobs.records import PlacedRun, TaskId
from greengagewood.internal.ports import WorkerInfo

__all__ = [
    "MAX_ORDER_DELAY_MS",
    "MIN_CLOCK_RATE",
    "UNRESPONSIVE_AFTER_MS",
    "Admission",
    "Backoff",
    "Boot",
    "InheritedRuns",
    "Resources",
    "Worker",
    "longest_ms",
    "outlasts_places",
]

UNRESPONSIVE_AFTER_MS = 1_500  # no run is started on a worker that has not answered for longer
MIN_CLOCK_RATE = 0.98  # by the platform's documentation, a worker's clock may run 2% slow
MAX_ORDER_DELAY_MS = 12_000  # a worker carries out an order at most this long after it was sent
# Enough for a planned change of the owner.
LEASE_PAST_DRAIN_MS = 2_000
# The platform allows a long-running task 3 s without a run while a worker has capacity for it.
LONGEST_BACKOFF_FOR_LOST_MS = 2_000
BOOT_CHART = load_chart("boot")
UNRESPONSIVE_STATES = frozenset({"silent", "lapsed", "departed", "replaced", "gone"})
# Share of its CPU that a worker gives to tasks when it was just started; it rises until it is warm.
INITIAL_WARM_SHARE = 0.5


@dataclass(slots=True)
class Resources:
    """Amounts of a worker's resources that are allocated to runs.

    Unlike `placement.Resources`, it counts CPUs in thousandths and is changed in place.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def add(self, spec: StepSpec, count: int = 1) -> None:
        """Add what tasks of a step need; the CPU of best-effort tasks does not count."""
        if not spec.best_effort:
            self.cpu_millis += count * spec.cpu_millis
        self.memory_mb += count * spec.memory_mb
        self.accelerators += count * spec.accelerators

    def reaches(self, other: Resources) -> bool:
        """Return whether no amount is below the other's."""
        return (
            self.cpu_millis >= other.cpu_millis
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )


NOTHING = Resources()


@dataclass(frozen=True, slots=True)
class Admission:
    """The speed at which one more best-effort task may start beside a worker's serving tasks.

    `speed_percent` is 0 if no task may start. `slack_cost` is by how much the task, at full speed,
    may lower the slack of the serving task that it disturbs most.
    """

    speed_percent: int
    slack_cost: float


@dataclass(frozen=True, slots=True)
class InheritedRuns:
    """Tasks that earlier owners may have started on a worker; None if it may be any.

    Their runs are over after `expiry_ms`, on the owner's monotonic clock. Those that
    `may_start_later` are starts without an answer, which a later boot of the worker may carry out.
    """

    tasks: frozenset[TaskId] | None
    expiry_ms: int
    may_start_later: bool = False
    listed_ms: int | None = None  # when the worker last listed its runs to an earlier owner


def outlasts_places(spec: StepSpec) -> bool:
    """Return whether a run is not stopped for the sake of another task, see `places`."""
    return spec.long_running or spec.gang


def longest_ms(duration_ms: int) -> int:
    """Return how long a duration on the slowest clock of a worker takes on the owner's."""
    return math.ceil(duration_ms / MIN_CLOCK_RATE)


@dataclass(slots=True)
class Backoff:
    """A time without starts, which is longer each time; `length_ms` is 0 to begin anew."""

    length_ms: int = 0
    until_ms: int = 0
    lost_until_ms: int = 0  # the same for tasks that have lost their runs

    def begin(self, now_ms: int, first_ms: int, longest_ms: int) -> None:
        """Begin a time that is twice as long as the last one."""
        self.length_ms = min(longest_ms, self.length_ms * 2 or first_ms)
        self.until_ms = now_ms + self.length_ms
        self.lost_until_ms = now_ms + min(LONGEST_BACKOFF_FOR_LOST_MS, self.length_ms)


@dataclass(slots=True, eq=False)
class Worker:
    """What holds for a worker whichever of its boots is up; times are of the owner's clock."""

    in_directory: bool = True  # whether the directory lists its present boot
    registered: bool = False  # whether the stored RegisteredWorkers record names it
    lease_limited: bool = False  # whether a stored record may say when its lease expires
    closed_to_starts: bool = False  # whether the last record says which tasks it can run
    stored_empty: bool = False  # whether the last record says, or implies, that it runs none
    # When this owner last sent a start or a lease extension, which any later boot may receive.
    lease_sent_ms: int = 0
    lease_unanswered_ms: int = 0  # the same, of the last lease extension without an answer

    def may_be_forgotten(self, now_ms: int) -> bool:
        """Return whether no lease extension can reach a boot that has not started yet."""
        sent_ms = self.lease_unanswered_ms
        return not sent_ms or now_ms > sent_ms + MAX_ORDER_DELAY_MS


@dataclass(slots=True, eq=False)
class Boot:
    """One boot of a worker; times are of the owner's monotonic clock unless stated otherwise."""

    info: WorkerInfo
    added_ms: int
    worker: Worker = field(default_factory=Worker)
    state: str = "unknown"  # see charts/boot.yaml
    boot_known_ms: int = 0  # when its boot time was read, 0 if it was when it was added
    # When it accepted this owner's token and listed its runs; None before, and after a lapse.
    adopted_ms: int | None = None
    clock_ms: int = 0  # the last reading of its clock
    clock_read_ms: int | None = None  # when its clock was last read
    clock_asked_ms: int = 0  # when the call was sent whose answer had that reading
    latest_deadline_ms: int = 0  # the latest deadline that this owner gave it, on its own clock
    # The same without the lease extension whose answer is pending.
    deadline_if_not_sent_ms: int | None = None
    earlier_orders_expiry_ms: int = 0  # when orders of earlier owners have certainly expired
    # When orders of this owner have certainly expired that were meant for earlier boots.
    late_orders_expiry_ms: int = 0
    late_deadline_ms: int = 0  # the latest deadline of those orders, whichever clock it is on
    fencing_token: int = 0  # of the calls that are meant for this boot
    has_seen_token: bool = False  # whether it has answered one, so it does nothing for a lower one
    inherited: tuple[InheritedRuns, ...] = ()  # empty once it has been adopted
    # Starts of earlier owners that its next boot may carry out, as they were when it was adopted.
    late_inherited: tuple[InheritedRuns, ...] = ()
    # `inherited` and the time before it, while another worker answers at the recorded address.
    inherited_aside: tuple[tuple[InheritedRuns, ...], int] | None = None
    last_answer_ms: int | None = None
    list_requested_ms: int = 0  # when the last list that it answered was requested
    page_requested_ms: int = 0  # when the last one was requested that may lack run ends
    lease_pending_ms: int = 0  # when a lease extension was sent whose answer is pending, or 0
    lease_call_failed: bool = False  # whether the last lease extension was not answered
    runs: dict[tuple[Task, int], Run] = field(default_factory=dict)  # by task and run number
    unexpected_run_count: int = 0  # of `runs`, those of placeholder tasks
    allocated: Resources = field(default_factory=Resources)  # without the CPU of best-effort runs
    # Allocations that the worker has refused for lack of resources. Until `refused_until_ms`, no
    # run is placed that would reach one of them; afterwards that is tried again.
    refused_allocations: list[Resources] = field(default_factory=list)
    refused_until_ms: int = 0
    refusal_backoff_ms: int = 0
    refusals_apply: bool = False  # whether `refused_until_ms` was ahead at the last plan
    best_effort_cpu_millis: int = 0
    long_running: Resources = field(default_factory=Resources)  # what long-running runs hold of it
    kept: Resources = field(default_factory=Resources)  # for tasks that have a place, see `places`
    lasting: Resources = field(default_factory=Resources)  # of runs not stopped for places
    # Forecast slack by serving image, less what best-effort runs take; discarded like `admissions`
    # when the runs or their speeds change.
    remaining_slack: dict[str, float] | None = None
    # By image and CPU of the best-effort task, and whether it avoids services that it disturbs.
    admissions: dict[tuple[str, int, bool], Admission] = field(default_factory=dict)
    last_end_sequence: int = 0  # of the run ends that it has listed
    acknowledged_sequence: int = 0  # run ends up to this one are stored
    not_before_ms: int = 0  # of a start, after one that did not fit, or was not sent
    refusing: Backoff = field(default_factory=Backoff)  # starts, whatever its room
    failing: Backoff = field(default_factory=Backoff)  # runs
    backed_off: bool = False  # whether either was going on at the last plan
    # Of the latest runs, the newest last: the failures of a step, or None if the run succeeded.
    recent_outcomes: deque[FailureHistory[Boot] | None] = field(
        default_factory=lambda: deque(maxlen=8)
    )
    closed_by: tuple[FailureHistory[Boot], ...] = ()  # the failures for which it last backed off
    # Share of its CPU that each best-effort image used in the last reading.
    best_effort_shares: dict[str, float] = field(default_factory=dict)
    min_slack: float = 0.0  # the lowest slack of its serving tasks in the last reading
    last_learned_ms: int = 0  # when the tail model last learned from a reading
    last_on_target_ms: int = 0  # when every tail latency was last within its target
    failing_since_ms: int | None = None  # when the first call after its last answer failed
    slow: bool = False  # whether it is clearly slower than other workers, see `runtimes`
    trial: Run | None = None  # the run of a suspected task, see `crashes`; it must stay alone
    # Unanswered starts that only a later boot may still carry out, see `latestarts`.
    ruled_out: dict[Run, None] = field(default_factory=dict)
    cold_since_ms: int = 0  # when it was first seen to be cold
    cold_until_ms: int = 0  # when it is no longer slow from its start
    cold: bool = False  # whether `cold_until_ms` was ahead at the last plan
    warm_share: float = 1.0  # share of its CPU that best-effort tasks may use beside others
    leaves_ms: int = 0  # before this, it does not leave, if it drains
    departed_ms: int = 0  # when it was known that it had left
    recorded_boot_time_ms: int = 0  # of the boot that the record of an earlier owner names
    # Whether only such a record names it, so that it counts as draining until its entry is read.
    is_known_by_record: bool = False

    def __post_init__(self) -> None:
        self._note_cold(self.info, self.added_ms)
        self.leaves_ms = self.added_ms + (self.info.leaving_in_ms or 0)

    @property
    def name(self) -> str:
        """Return the worker's ID."""
        return self.info.worker_id

    @property
    def last_boot_time_ms(self) -> int:
        """Return its boot time, as far as the directory, a list or a record has told it; else 0."""
        return self.info.boot_time_ms or self.recorded_boot_time_ms

    def transition(self, event: str) -> None:
        """Apply an event of the boot chart; raise IllegalTransition."""
        self.state = BOOT_CHART.next(self.state, event)

    @property
    def adopted(self) -> bool:
        """Return whether it has accepted this owner's token and listed its runs."""
        return self.adopted_ms is not None

    @property
    def unresponsive(self) -> bool:
        """Return whether it does not answer."""
        return self.state in UNRESPONSIVE_STATES

    @property
    def is_leaving(self) -> bool:
        """Return whether it drains and did not answer, but the directory still lists it."""
        return self.info.draining and self.worker.in_directory and self.lease_call_failed

    def placed_run(self, run: Run) -> PlacedRun:
        """Return a run with this boot, as it is stored."""
        info = self.info
        accepted = run.accepted_ms is not None
        return PlacedRun(run.number, info.worker_id, info.address, info.boot_time_ms, accepted)

    def may_start(self, task: Task) -> bool:
        """Return whether no unanswered start of the task forbids a run on this boot."""
        late = task.late_start
        return late is None or (
            late in self.ruled_out and all(other is not task for other, _ in self.runs)
        )

    def is_usable(self, now_ms: int, for_lost: bool = False) -> bool:
        """Return whether runs may be placed here now.

        A worker that has not answered lately is excluded: it may have rebooted. After failures it
        is excluded for less time for long-running tasks that have lost their runs (`for_lost`).
        """
        return (
            self.adopted
            and self.state == "listed"
            and self.worker.registered
            and self.worker.in_directory
            and not self.info.draining
            and now_ms >= self.not_before_ms
            and not self.backs_off(now_ms, for_lost)
            and self.last_answer_ms is not None
            and now_ms - self.last_answer_ms <= UNRESPONSIVE_AFTER_MS
        )

    def is_cold(self, now_ms: int) -> bool:
        """Return whether the worker is still slow from its start."""
        return now_ms < self.cold_until_ms

    def lease_ms(self, longest_ms: int, now_ms: int) -> int:
        """Return how long a lease to give now; it ends soon after a worker that drains may leave.

        What ran on a worker that left is over for the next owner only when that has passed.
        """
        if not self.info.draining:
            return longest_ms
        return min(longest_ms, max(0, self.leaves_ms - now_ms) + LEASE_PAST_DRAIN_MS)

    def _note_cold(self, info: WorkerInfo, now_ms: int) -> None:
        """Record for how long an entry that was just read says that the worker stays slow."""
        if info.cold_ms > 0 and not self.is_cold(now_ms):
            self.cold_since_ms = now_ms
        self.cold_until_ms = now_ms + info.cold_ms

    # Resources.

    def update_info(self, info: WorkerInfo, now_ms: int) -> None:
        """Replace what the directory says of the worker."""
        old = self.info
        self.info = info
        self.is_known_by_record = False
        if info.leaving_in_ms != old.leaving_in_ms:
            self.leaves_ms = now_ms + (info.leaving_in_ms or 0)
        if info.cold_ms != old.cold_ms:  # an entry that is read again says nothing new
            self._note_cold(info, now_ms)
        if (info.cpu_millis, info.memory_mb, info.accelerators) != (
            old.cpu_millis,
            old.memory_mb,
            old.accelerators,
        ):
            self._note_resized()

    def _note_resized(self) -> None:
        self._forget_refusals()
        self.invalidate_slack()
        # CPU shares from before and after the change are of different totals, so the tail model
        # must not compare them.
        self.last_learned_ms = 0

    def add_run(self, run: Run) -> None:
        """Allocate resources to a run."""
        key = (run.task, run.number)
        if key in self.runs:
            return
        self.runs[key] = run
        self.unexpected_run_count += run.task.end_state == "unexpected"
        run.boot = self
        self._change_allocation(run.task.step.spec, 1)

    def remove_run(self, run: Run) -> None:
        """Free the resources of a run that is over."""
        if self.runs.pop((run.task, run.number), None) is not None:
            self.unexpected_run_count -= run.task.end_state == "unexpected"
            self._change_allocation(run.task.step.spec, -1)
        if self.trial is run:
            self.trial = None

    def invalidate_slack(self) -> None:
        """Discard what was computed from runs and readings that have changed."""
        self.remaining_slack = None
        self.admissions.clear()

    def _change_allocation(self, spec: StepSpec, sign: int) -> None:
        self.invalidate_slack()
        if spec.long_running:
            self.long_running.add(spec, sign)
        if outlasts_places(spec):
            self.lasting.add(spec, sign)
        if spec.best_effort:
            self.best_effort_cpu_millis += sign * spec.cpu_millis
        self.allocated.add(spec, sign)

    def fits(self, spec: StepSpec) -> bool:
        """Return whether one task of the step fits into the resources that nothing else needs.

        The CPU of best-effort tasks is not limited here, but nothing fits a worker that is over its
        capacity or has no CPU.
        """
        return self._fits_beside(spec, self.kept)

    def has_room(self, spec: StepSpec) -> bool:
        """Return whether one task of the step fits beside the runs, in a place that may be kept."""
        return self._fits_beside(spec, NOTHING)

    def _fits_beside(self, spec: StepSpec, kept: Resources) -> bool:
        info = self.info
        if spec.cpu_millis and info.cpu_millis <= 0:
            return False
        cpu_millis = 0 if spec.best_effort else spec.cpu_millis
        return (
            self.allocated.cpu_millis + kept.cpu_millis + cpu_millis <= info.cpu_millis
            and self.allocated.memory_mb + kept.memory_mb + spec.memory_mb <= info.memory_mb
            and self.allocated.accelerators + kept.accelerators + spec.accelerators
            <= info.accelerators
            and not self.would_refuse(spec, 1)
        )

    def has_capacity_for(self, *amounts: Resources) -> bool:
        """Return whether the worker has as much as some amounts together, whatever runs there."""
        info = self.info
        return (
            sum(amount.cpu_millis for amount in amounts) <= info.cpu_millis
            and sum(amount.memory_mb for amount in amounts) <= info.memory_mb
            and sum(amount.accelerators for amount in amounts) <= info.accelerators
        )

    @property
    def free_cpu_millis(self) -> int:
        """Return the CPU that is neither allocated nor kept; negative if a place is not free."""
        return self.info.cpu_millis - self.allocated.cpu_millis - self.kept.cpu_millis

    @property
    def free_memory_mb(self) -> int:
        """Return the memory that is neither allocated nor kept."""
        return self.info.memory_mb - self.allocated.memory_mb - self.kept.memory_mb

    @property
    def free_accelerators(self) -> int:
        """Return the accelerators that are neither allocated nor kept."""
        return self.info.accelerators - self.allocated.accelerators - self.kept.accelerators

    def would_refuse(self, spec: StepSpec, count: int) -> bool:
        """Return whether the worker has lately refused as much as with more tasks of the step."""
        if not self.refusals_apply:
            return False
        allocation = replace(self.allocated)
        allocation.add(spec, count)
        return any(allocation.reaches(refused) for refused in self.refused_allocations)

    def note_room_refused(
        self, spec: StepSpec, now_ms: int, first_ms: int, longest_ms: int
    ) -> None:
        """Record that a task of the step did not fit beside the present runs.

        The same is tried again after a time that doubles with each further attempt.
        """
        refused = replace(self.allocated)
        refused.add(spec)
        self.refused_allocations = [
            other for other in self.refused_allocations if not other.reaches(refused)
        ]
        self.refused_allocations.append(refused)
        if now_ms >= self.refused_until_ms:  # not another start of the same attempt
            self.refusal_backoff_ms = min(longest_ms, self.refusal_backoff_ms * 2 or first_ms)
            self.refused_until_ms = now_ms + self.refusal_backoff_ms
        self.refusals_apply = True

    def note_start_accepted(self) -> None:
        """Forget the refusals that a start which was just accepted shows to be out of date.

        Those for lack of resources are, if the accepted runs reach what the worker had refused.
        """
        self.refusing.length_ms = 0
        if not self.refused_allocations:
            return
        accepted = Resources()
        for run in self.runs.values():
            if run.accepted_ms is not None:
                accepted.add(run.task.step.spec)
        if any(accepted.reaches(refused) for refused in self.refused_allocations):
            self._forget_refusals()

    def prepare_plan(self, now_ms: int) -> None:
        """Decide whether refusals and failures still exclude runs, and how warm the worker is."""
        self.backed_off = self.backs_off(now_ms)
        self.refusals_apply = now_ms < self.refused_until_ms
        self.cold = self.is_cold(now_ms)
        self.warm_share = 1.0
        if self.cold:
            left = (self.cold_until_ms - now_ms) / (self.cold_until_ms - self.cold_since_ms)
            self.warm_share = 1.0 - (1.0 - INITIAL_WARM_SHARE) * min(1.0, left)

    def _forget_refusals(self) -> None:
        self.refused_allocations.clear()
        self.refused_until_ms = self.refusal_backoff_ms = 0
        self.refusals_apply = False

    # Clock and lease.

    def note_clock(self, clock_ms: int, sent_ms: int, now_ms: int) -> None:
        """Record a reading of the worker's clock, made after `sent_ms` and before `now_ms`."""
        self.clock_ms = clock_ms
        self.clock_asked_ms = sent_ms
        self.clock_read_ms = now_ms
        if clock_ms > self.late_deadline_ms:  # it refuses them, and its lease is longer
            self.late_orders_expiry_ms = 0

    def note_token_seen(self, now_ms: int, lease_ms: int) -> None:
        """Record that it has answered a call with its fencing token.

        It carries out no order that was meant for an earlier boot any more, so the longest lease
        that one may have given began before now.
        """
        if not self.has_seen_token:
            self.has_seen_token = True
            self.late_orders_expiry_ms = min(
                self.late_orders_expiry_ms, now_ms + longest_ms(lease_ms)
            )

    def shows_clock(self, clock_ms: int | None, sent_ms: int, now_ms: int) -> bool:
        """Return whether a reading, made after `sent_ms` and before `now_ms`, is of this boot.

        The clock of another boot, which begins at a value of its own, is not expected to agree
        within the time that a call takes. A reading that does not agree proves nothing.
        """
        if clock_ms is None or self.clock_read_ms is None:
            return False
        earliest_ms = sent_ms - self.clock_read_ms
        earliest_ms = int(earliest_ms * MIN_CLOCK_RATE) if earliest_ms > 0 else earliest_ms
        latest_ms = now_ms - self.clock_asked_ms
        return earliest_ms - 1 <= clock_ms - self.clock_ms <= latest_ms + 1

    def deadline_in(self, duration_ms: int, now_ms: int) -> int | None:
        """Return the time on the worker's clock after a duration, or None if it was never read."""
        if self.clock_read_ms is None:
            return None
        return self.clock_ms + (now_ms - self.clock_read_ms) + duration_ms

    def note_extension(self, deadline_ms: int, now_ms: int) -> None:
        """Record that a lease extension with a deadline on its clock is about to be sent."""
        self.deadline_if_not_sent_ms = self.latest_deadline_ms
        self.latest_deadline_ms = max(self.latest_deadline_ms, deadline_ms)
        self.worker.lease_sent_ms = self.lease_pending_ms = now_ms

    def note_start(self, deadline_ms: int, now_ms: int) -> None:
        """Record that a start with a deadline on its clock is about to be sent."""
        self.latest_deadline_ms = max(self.latest_deadline_ms, deadline_ms)
        if self.deadline_if_not_sent_ms is not None:
            self.deadline_if_not_sent_ms = max(self.deadline_if_not_sent_ms, deadline_ms)
        self.worker.lease_sent_ms = now_ms

    def note_extension_not_sent(self) -> None:
        """Take back the deadline of the pending lease extension, as it was certainly not sent."""
        if self.deadline_if_not_sent_ms is not None:
            self.latest_deadline_ms = self.deadline_if_not_sent_ms
            self.deadline_if_not_sent_ms = None

    def has_passed(self, deadline_ms: int, now_ms: int) -> bool:
        """Return whether a time on the worker's clock has certainly passed."""
        if self.clock_read_ms is None or now_ms < self.clock_read_ms:
            return False
        elapsed_ms = (now_ms - self.clock_read_ms) * MIN_CLOCK_RATE
        return self.clock_ms + elapsed_ms > deadline_ms

    def orders_expired(self, now_ms: int) -> bool:
        """Return whether the leases and starts that any owner sent have certainly expired."""
        if now_ms <= max(self.earlier_orders_expiry_ms, self.late_orders_expiry_ms):
            return False
        return self.clock_read_ms is None or self.has_passed(self.latest_deadline_ms, now_ms)

    def remaining_order_ms(self, now_ms: int) -> int:
        """Return an upper bound of the time until the orders that any owner sent have expired."""
        expiry_ms = max(self.earlier_orders_expiry_ms, self.late_orders_expiry_ms)
        remaining_ms = max(0, expiry_ms - now_ms)
        if self.clock_read_ms is not None:
            own_ms = longest_ms(self.latest_deadline_ms - self.clock_ms) + 1
            remaining_ms = max(remaining_ms, own_ms - (now_ms - self.clock_read_ms))
        return remaining_ms

    def unlisted_runs(self, now_ms: int) -> tuple[InheritedRuns, ...]:
        """Return the runs of earlier owners that may go on, or start, without being listed."""
        return tuple(runs for runs in self.inherited if now_ms <= runs.expiry_ms)

    def set_aside(self) -> None:
        """Wait for no runs of earlier owners any more, unless the worker has only moved."""
        self.inherited_aside = (self.inherited, self.earlier_orders_expiry_ms)
        self.inherited = ()
        self.earlier_orders_expiry_ms = 0

    def restore_aside(self) -> None:
        """Wait again for the runs of earlier owners, as the worker has moved."""
        if self.inherited_aside is not None:
            self.inherited, self.earlier_orders_expiry_ms = self.inherited_aside
            self.inherited_aside = None

    # Failures.

    def note_success(self) -> None:
        """Record that a run has succeeded."""
        self.recent_outcomes.append(None)
        self.failing.length_ms = 0

    def note_failure(self, failures: FailureHistory[Boot]) -> None:
        """Record that a run has failed, with the failures of its step."""
        self.recent_outcomes.append(failures)

    def failures_since_success(self) -> tuple[FailureHistory[Boot], ...]:
        """Return the latest failures; none if there is a success among the latest outcomes."""
        failures = tuple(outcome for outcome in self.recent_outcomes if outcome is not None)
        return failures if len(failures) == len(self.recent_outcomes) else ()

    def back_off_after_failures(self, now_ms: int, first_ms: int, longest_ms: int) -> None:
        """Place no run here for a time that doubles until a run succeeds."""
        self.failing.begin(now_ms, first_ms, longest_ms)
        self.closed_by = self.failures_since_success()
        self.recent_outcomes.clear()

    def withdraw_failures(self, failures: FailureHistory[Boot], needed: int) -> bool:
        """Forget the failures of a step that fails on every worker.

        Return whether this ends a backoff, as less than `needed` other failures have led to it.
        """
        kept: list[FailureHistory[Boot] | None]
        kept = [outcome for outcome in self.recent_outcomes if outcome is not failures]
        others = [other for other in self.closed_by if other is not failures]
        ends = len(others) < min(needed, len(self.closed_by))
        self.closed_by = () if ends else tuple(others)
        if ends:
            self.failing = Backoff()
            kept = [*others, *kept]
        self.recent_outcomes = deque(kept, self.recent_outcomes.maxlen)
        return ends

    def back_off_after_refusal(self, now_ms: int, first_ms: int, longest_ms: int) -> None:
        """Place no run here for a time that doubles until a start is accepted."""
        if now_ms >= self.refusing.until_ms:  # not another start of the same attempt
            self.refusing.begin(now_ms, first_ms, longest_ms)

    def backs_off(self, now_ms: int, for_lost: bool = False) -> bool:
        """Return whether no run is placed here as runs have failed, or starts were refused."""
        if for_lost:
            return now_ms < max(self.refusing.lost_until_ms, self.failing.lost_until_ms)
        return now_ms < max(self.refusing.until_ms, self.failing.until_ms)
