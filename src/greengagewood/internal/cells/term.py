"""What the parts of a cell's decisions share during one term of ownership."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from greengagewood.internal.cells.boots import Boot
from greengagewood.internal.cells.crashes import CrashTracker
from greengagewood.internal.cells.failures import FailureTracker
from greengagewood.internal.cells.latestarts import LateStarts
from greengagewood.internal.cells.planner import Planner
from greengagewood.internal.cells.stops import StopPlanner
from greengagewood.internal.jobs.book import JobBook, Run, Task
from greengagewood.internal.jobs.records import TaskId

__all__ = ["FENCING_TOKENS_PER_TERM", "CellLimits", "EventSink", "Term"]

FENCING_TOKENS_PER_TERM = 1 << 20

EventSink = Callable[[str, dict[str, object]], None]


@dataclass(frozen=True)
class CellLimits:
    """Time limits in milliseconds.

    `lease_ms` is the length of a worker's lease. `confirmation_timeout_ms` is how long an owner may
    send orders after the last read that confirmed its ownership and the last stored heartbeat, and
    so how long an earlier owner may have sent orders after its last heartbeat.
    """

    lease_ms: int
    confirmation_timeout_ms: int


@dataclass(eq=False)
class Term:
    """One term of ownership of a cell: its jobs, the present boots, and what waits for what."""

    limits: CellLimits
    token: int
    book: JobBook
    boots: dict[str, Boot]  # by the ID of their workers
    planner: Planner
    stops: StopPlanner
    crashes: CrashTracker
    failures: FailureTracker
    late_starts: LateStarts
    # When every lease and order of earlier owners has certainly expired.
    earlier_orders_expiry_ms: int
    last_ordering_token: int  # of the last earlier owner with orders, see `Ownership`
    on_event: EventSink = lambda event, fields: None
    adopting: bool = True  # until every worker is known to have no other runs of the cell
    last_adoption_ms: int = 0  # when a boot was last adopted
    registration_due: bool = False  # whether to store the registered workers anew
    registration_stored: bool = False  # whether this owner has stored a record of them
    reboot_count: int = 0  # later boots of workers that this owner has seen
    # Since when tasks that an earlier owner may have started had no run, as far as that is known.
    idle_since_ms: dict[TaskId, int] = field(default_factory=dict)
    # Tasks whose runs were lost with a boot, and when; they wait for a confirmed read.
    unconfirmed_losses: dict[Task, int] = field(default_factory=dict)

    @property
    def confirmed_ms(self) -> int:
        """Return when the last read was sent that has confirmed the ownership."""
        return self.planner.confirmed_ms

    @property
    def fencing_token(self) -> int:
        """Return the fencing token of calls to a boot that is found now.

        It is higher than those of calls to earlier boots of the same worker, unless that was
        forgotten meanwhile, and of earlier owners. A worker does nothing for a lower token than it
        has seen.
        """
        return self.token * FENCING_TOKENS_PER_TERM + self.reboot_count

    def emit(self, event: str, fields: dict[str, object]) -> None:
        """Report an event."""
        self.on_event(event, fields)

    def end_run(self, boot: Boot, run: Run, event: str, now_ms: int) -> None:
        """End a run and free its resources."""
        run.transition(event)
        boot.remove_run(run)
        self.crashes.forget_undecided(run)
        self.book.detach_run(run, now_ms)

    def queue_again(self, task: Task) -> None:
        """Queue the task for another start, unless it or its job has ended."""
        if task.end_state or task.step.job.is_final:
            return
        self.book.mark_waiting(task)
