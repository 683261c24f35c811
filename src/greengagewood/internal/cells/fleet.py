"""Workers of one cell as the owner knows them: resources, clock, lease and runs.

Leases and start deadlines are times on the worker's clock, which may run slower than the owner's.
Since the owner last read that clock, at most as much time has passed on it as on the owner's own
clock, and at least 1 / (1 + drift) of that. Deadlines of orders are computed from the upper bound;
the lower bound shows which deadlines have certainly passed.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from greengagewood.internal.jobs.book import Run, Task
from greengagewood.internal.jobs.model import StepSpec
from greengagewood.internal.jobs.records import PlacedRun
from greengagewood.internal.ports import WorkerInfo

__all__ = ["MAX_CLOCK_DRIFT", "UNRESPONSIVE_AFTER_MS", "Admission", "Resources", "Worker"]

UNRESPONSIVE_AFTER_MS = 1_500  # no run is started on a worker that has not answered for longer
# By the platform's documentation: the fraction by which a worker's clock may run slower.
MAX_CLOCK_DRIFT = 0.02


@dataclass(slots=True)
class Resources:
    """Amounts of a worker's resources that are allocated to runs.

    Unlike `placement.Resources`, it counts CPUs in thousandths and is changed in place.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class Admission:
    """The speed at which one more best-effort task may start beside a worker's serving tasks.

    `speed_percent` is 0 if no task may start. `slack_cost` is by how much the task, at full speed,
    may lower the slack of the serving task that it disturbs most.
    """

    speed_percent: int
    slack_cost: float


@dataclass(slots=True, eq=False)
class Worker:
    """One boot of a worker; times are of the owner's monotonic clock unless stated otherwise."""

    info: WorkerInfo
    added_ms: int
    adopted: bool = False  # whether it has accepted this owner's token and listed its runs
    registered: bool = False  # whether the stored RegisteredWorkers record names it
    in_directory: bool = True
    clock_ms: int = 0  # the last reading of its clock
    clock_read_ms: int | None = None  # when its clock was last read
    latest_deadline_ms: int = 0  # the latest deadline that this owner gave it, on its own clock
    earlier_orders_expiry_ms: int = 0  # when orders of earlier owners have certainly expired
    last_answer_ms: int | None = None
    unresponsive: bool = False  # whether it does not answer
    runs: dict[tuple[Task, int], Run] = field(default_factory=dict)  # by task and run number
    allocated: Resources = field(default_factory=Resources)  # without the CPU of best-effort runs
    best_effort_cpu_millis: int = 0
    long_running_cpu_millis: int = 0
    # Forecast slack by serving image, less what best-effort runs take; discarded like `admissions`
    # when the runs or their speeds change.
    remaining_slack: dict[str, float] | None = None
    # By image and CPU of the best-effort task.
    admissions: dict[tuple[str, int], Admission] = field(default_factory=dict)
    last_end_sequence: int = 0  # of the run ends that it has listed
    acknowledged_sequence: int = 0  # run ends up to this one are stored
    backoff_until_ms: int = 0
    backoff_ms: int = 0  # length of the last backoff; 0 after a success
    # Whether each of the latest runs succeeded, the newest last.
    recent_outcomes: deque[bool] = field(default_factory=lambda: deque(maxlen=8))
    # Share of its CPU that each best-effort image used in the last reading.
    best_effort_shares: dict[str, float] = field(default_factory=dict)
    min_slack: float = 0.0  # the lowest slack of its serving tasks in the last reading
    last_learned_ms: int = 0  # when the tail model last learned from a reading
    last_on_target_ms: int = 0  # when every tail latency was last within its target
    failing_since_ms: int | None = None  # when the first call after its last answer failed
    trial: Run | None = None  # the run of a suspected task, see `crashes`; it must stay alone

    @property
    def name(self) -> str:
        """Return the worker's ID."""
        return self.info.worker_id

    def placed_run(self, run: Run) -> PlacedRun:
        """Return a run with this boot, as it is stored."""
        info = self.info
        accepted = run.accepted_ms is not None
        return PlacedRun(run.number, info.worker_id, info.address, info.boot_time_ms, accepted)

    def is_usable(self, now_ms: int) -> bool:
        """Return whether runs may be placed here now.

        A worker that has not answered lately is excluded: it may have rebooted.
        """
        return (
            self.adopted
            and self.registered
            and self.in_directory
            and not self.unresponsive
            and not self.info.draining
            and now_ms >= self.backoff_until_ms
            and self.last_answer_ms is not None
            and now_ms - self.last_answer_ms <= UNRESPONSIVE_AFTER_MS
        )

    # Resources.

    def add_run(self, run: Run) -> None:
        """Allocate resources to a run."""
        key = (run.task, run.number)
        if key in self.runs:
            return
        self.runs[key] = run
        self._change_allocation(run.task.step.spec, 1)

    def remove_run(self, run: Run) -> None:
        """Free the resources of a run that is over."""
        if self.runs.pop((run.task, run.number), None) is not None:
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
            self.long_running_cpu_millis += sign * spec.cpu_millis
        if spec.best_effort:
            self.best_effort_cpu_millis += sign * spec.cpu_millis
        else:
            self.allocated.cpu_millis += sign * spec.cpu_millis
        self.allocated.memory_mb += sign * spec.memory_mb
        self.allocated.accelerators += sign * spec.accelerators

    def fits(self, spec: StepSpec) -> bool:
        """Return whether one task of the step fits into the resources that are not allocated.

        The CPU of best-effort tasks is not limited here.
        """
        info = self.info
        return (
            (spec.best_effort or self.allocated.cpu_millis + spec.cpu_millis <= info.cpu_millis)
            and self.allocated.memory_mb + spec.memory_mb <= info.memory_mb
            and self.allocated.accelerators + spec.accelerators <= info.accelerators
        )

    # Clock and lease.

    def note_clock(self, clock_ms: int, now_ms: int) -> None:
        """Record a reading of the worker's clock, made before `now_ms`."""
        self.clock_ms = clock_ms
        self.clock_read_ms = now_ms

    def deadline_in(self, duration_ms: int, now_ms: int) -> int | None:
        """Return the time on the worker's clock after a duration, or None if it was never read."""
        if self.clock_read_ms is None:
            return None
        return self.clock_ms + (now_ms - self.clock_read_ms) + duration_ms

    def has_passed(self, deadline_ms: int, now_ms: int) -> bool:
        """Return whether a time on the worker's clock has certainly passed."""
        if self.clock_read_ms is None:
            return False
        elapsed = (now_ms - self.clock_read_ms) / (1 + MAX_CLOCK_DRIFT)
        return self.clock_ms + elapsed > deadline_ms

    def orders_expired(self, now_ms: int) -> bool:
        """Return whether the leases and starts that any owner sent have certainly expired."""
        if self.clock_read_ms is None:
            return now_ms > self.earlier_orders_expiry_ms
        return now_ms > self.earlier_orders_expiry_ms and self.has_passed(
            self.latest_deadline_ms, now_ms
        )

    # Failures.

    def note_outcome(self, succeeded: bool) -> None:
        """Record whether a run succeeded."""
        self.recent_outcomes.append(succeeded)
        if succeeded:
            self.backoff_ms = 0

    def back_off(self, now_ms: int, first_ms: int, longest_ms: int) -> None:
        """Place no run here for a time that doubles until a run succeeds."""
        self.backoff_ms = min(longest_ms, self.backoff_ms * 2 or first_ms)
        self.backoff_until_ms = now_ms + self.backoff_ms
        self.recent_outcomes.clear()
