"""The workers of one cell as its owner knows them: room, clock, lease and runs.

A worker's lease time is on its own clock, which may be slow. From one reading of that clock the
owner knows a range: at most as much time has passed there as here, and at least 1 / (1 + drift) of
it. Orders use the upper end; what must certainly have lapsed is judged by the lower.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from greengagewood.internal.jobs.book import Run, Task
from greengagewood.internal.jobs.model import StepSpec
from greengagewood.internal.ports import WorkerInfo

__all__ = ["ANSWER_MS", "CLOCK_DRIFT", "Admission", "Room", "Worker"]

ANSWER_MS = 1_500  # a worker that was silent for longer gets no new work
CLOCK_DRIFT = 0.02  # how slow a worker's clock may be, from the platform's description


@dataclass(slots=True)
class Room:
    """Hold an amount of what a worker has."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class Admission:
    """Tell at which pace a filling task may begin, 0 for not at all.

    `cost` is the most of a serving task's slack that it may take at full pace.
    """

    percent: int
    cost: float


@dataclass(slots=True, eq=False)
class Worker:
    """Hold one life of a worker."""

    info: WorkerInfo
    added_ms: int
    adopted: bool = False
    enlisted: bool = False
    listed: bool = True
    clock_ms: int = 0
    clock_read_ms: int | None = None
    horizon_ms: int = 0  # the latest deadline that it was ever told, on its clock
    unclocked_until_ms: int = 0  # while its clock was never read: when all has lapsed, here
    answered_ms: int | None = None
    silent: bool = False
    runs: dict[tuple[Task, int], Run] = field(default_factory=dict)
    used: Room = field(default_factory=Room)
    filling_millis: int = 0
    lasting_millis: int = 0
    rooms: dict[str, float] | None = None  # slack by serving image, until the runs change
    admissions: dict[tuple[str, int], Admission] = field(default_factory=dict)  # until then, too
    seen_end: int = 0
    acknowledged: int = 0
    shunned_until_ms: int = 0
    shun_ms: int = 0
    recent: deque[bool] = field(default_factory=lambda: deque(maxlen=8))
    uses: dict[str, float] = field(default_factory=dict)  # by filling image, of the last reading
    least_slack: float = 0.0  # the worst target over its tail, of the last reading
    learned_ms: int = 0  # when tails were learned from last
    cool_ms: int = 0  # when no tail was over its target last

    @property
    def name(self) -> str:
        """Return the worker's ID."""
        return self.info.worker_id

    def usable(self, now_ms: int) -> bool:
        """Tell whether runs may be placed here now; one that was heard long ago may be reborn."""
        return (
            self.adopted
            and self.enlisted
            and self.listed
            and not self.silent
            and not self.info.draining
            and now_ms >= self.shunned_until_ms
            and self.answered_ms is not None
            and now_ms - self.answered_ms <= ANSWER_MS
        )

    # Room.

    def add(self, run: Run) -> None:
        """Commit room to a run."""
        key = (run.task, run.number)
        if key in self.runs:
            return
        self.runs[key] = run
        self._commit(run.task.step.spec, 1)

    def drop(self, run: Run) -> None:
        """Free the room of a run that is over."""
        if self.runs.pop((run.task, run.number), None) is not None:
            self._commit(run.task.step.spec, -1)

    def reconsider_tails(self) -> None:
        """Note that what is known of the tails here does not hold any more."""
        self.rooms = None
        self.admissions.clear()

    def _commit(self, spec: StepSpec, sign: int) -> None:
        self.reconsider_tails()
        if spec.long_running:
            self.lasting_millis += sign * spec.cpu_millis
        if spec.best_effort:
            self.filling_millis += sign * spec.cpu_millis
        else:
            self.used.cpu_millis += sign * spec.cpu_millis
        self.used.memory_mb += sign * spec.memory_mb
        self.used.accelerators += sign * spec.accelerators

    def fits(self, spec: StepSpec) -> bool:
        """Tell whether one task of the step fits into what is not committed."""
        info = self.info
        return (
            (spec.best_effort or self.used.cpu_millis + spec.cpu_millis <= info.cpu_millis)
            and self.used.memory_mb + spec.memory_mb <= info.memory_mb
            and self.used.accelerators + spec.accelerators <= info.accelerators
        )

    # Clock and lease.

    def read_clock(self, clock_ms: int, now_ms: int) -> None:
        """Take a reading of the worker's clock, made before `now_ms`."""
        self.clock_ms = clock_ms
        self.clock_read_ms = now_ms

    def deadline_in(self, span_ms: int, now_ms: int) -> int | None:
        """Return the time on the worker's clock a span ahead, if the clock was ever read."""
        if self.clock_read_ms is None:
            return None
        return self.clock_ms + (now_ms - self.clock_read_ms) + span_ms

    def passed(self, deadline_ms: int, now_ms: int) -> bool:
        """Tell whether a time on the worker's clock has certainly passed."""
        if self.clock_read_ms is None:
            return False
        elapsed = (now_ms - self.clock_read_ms) / (1 + CLOCK_DRIFT)
        return self.clock_ms + elapsed > deadline_ms

    def lapsed(self, now_ms: int) -> bool:
        """Tell whether everything that the worker was ever told to run has certainly lapsed."""
        if self.clock_read_ms is None:
            return now_ms > self.unclocked_until_ms
        return now_ms > self.unclocked_until_ms and self.passed(self.horizon_ms, now_ms)

    # Trust.

    def note_work(self, well: bool) -> None:
        """Remember how a run ended."""
        self.recent.append(well)
        if well:
            self.shun_ms = 0

    def shun(self, now_ms: int, first_ms: int, longest_ms: int) -> None:
        """Place nothing here for a while, twice as long each time in a row."""
        self.shun_ms = min(longest_ms, self.shun_ms * 2 or first_ms)
        self.shunned_until_ms = now_ms + self.shun_ms
        self.recent.clear()
