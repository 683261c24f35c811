"""What a cell's owner knows of one worker, and the exchange that it sends next."""

from __future__ import annotations

from dataclasses import dataclass, field

from greengagewood.internal.document import Leases
from greengagewood.internal.native.workers import Attempt, Ended, Exchange, ExchangeReply, Start
from greengagewood.internal.placement import Resources
from greengagewood.internal.tailguard import BatchAttempt

__all__ = ["AttemptId", "WorkerState", "command_expiry_ms"]

EXCHANGES_PER_WINDOW = 2  # so a command's echo is always young enough
IDLE_INTERVAL_MS = 5000
RETRY_BASE_MS = 250
RETRY_MAX_MS = 2000

AttemptId = tuple[str, int]


def command_expiry_ms(leases: Leases) -> int:
    """Return how long after a worker's last reply nothing that it was told can still run.

    A command takes effect within the command window of the reply that it echoes, and what it
    starts or renews runs for one lease. Both are measured by the worker's clock.
    """
    bound = leases.command_window_ms + leases.task_lease_ms
    return int(bound * (1 + leases.clock_drift)) + 1


def requested_resources(item: Attempt | Start) -> Resources:
    """Return the size of a start or an attempt."""
    return Resources(item.cpus, item.memory_mb, item.accelerators)


@dataclass
class WorkerState:
    """Hold one worker; times are of the owner's monotonic clock."""

    name: str
    url: str
    rack: str = ""
    in_instance_list: bool = True
    leaving: bool = False
    enlisted: bool = False
    fenced: bool = False
    capacity: Resources = field(default_factory=Resources)
    reserve: Resources = field(default_factory=Resources)
    boot: int = 0
    echo: int = 0
    last_reply_ms: int = 0
    round: int = 0
    in_flight: bool = False
    sent_ms: int = -IDLE_INTERVAL_MS
    failures: int = 0
    stale: bool = True
    version: int = -1
    assigned: dict[AttemptId, Start] = field(default_factory=dict)
    running: dict[AttemptId, Attempt] = field(default_factory=dict)
    outbox: dict[AttemptId, Ended] = field(default_factory=dict)
    to_start: dict[AttemptId, Start] = field(default_factory=dict)
    to_stop: set[AttemptId] = field(default_factory=set)
    to_checkpoint: set[AttemptId] = field(default_factory=set)
    to_ack: set[AttemptId] = field(default_factory=set)
    to_throttle: dict[AttemptId, float] = field(default_factory=dict)
    dirty: bool = True
    _committed: Resources | None = None
    _batch_attempts: list[BatchAttempt] | None = None

    def mark_changed(self) -> None:
        """Note that what runs here, or whether more may, has changed."""
        self.dirty = True
        self._committed = None
        self._batch_attempts = None

    def batch_attempts(self) -> list[BatchAttempt]:
        """Describe the attempts that may run on the worker."""
        if self._batch_attempts is None:
            self._batch_attempts = [
                BatchAttempt(s.task, s.attempt, s.batch_class, s.cpus)
                for s in self.assigned.values()
            ]
        return self._batch_attempts

    def committed(self) -> Resources:
        """Return what every attempt takes that may run on the worker."""
        if self._committed is None:
            self._committed = self._sum_committed()
        return self._committed

    def _sum_committed(self) -> Resources:
        total = Resources()
        for start in self.assigned.values():
            total += requested_resources(start)
        for key, attempt in self.running.items():
            if key not in self.assigned:
                total += requested_resources(attempt)
        return total

    def free(self) -> Resources:
        """Return what is left for new tasks."""
        return self.capacity - self.reserve - self.committed()

    def is_schedulable(self) -> bool:
        """Tell whether new tasks may be placed on the worker."""
        return self.fenced and self.enlisted and not self.leaving and self.failures == 0

    def assign(self, start: Start) -> None:
        """Take a task on, to be started with the next exchange."""
        self.mark_changed()
        key = (start.task, start.attempt)
        self.assigned[key] = start
        self.to_start[key] = start

    def forget_attempt(self, key: AttemptId) -> None:
        """Forget an attempt that no longer runs here."""
        self.mark_changed()
        for store in (self.assigned, self.running, self.to_start):
            store.pop(key, None)
        self.to_stop.discard(key)
        self.to_checkpoint.discard(key)
        self.to_throttle.pop(key, None)

    def is_exchange_due(self, now_ms: int, leases: Leases) -> bool:
        """Tell whether an exchange is to be sent now."""
        if self.in_flight:
            return False
        since = now_ms - self.sent_ms
        if self.failures:
            return since >= min(RETRY_BASE_MS << min(self.failures, 5), RETRY_MAX_MS)
        if self.stale or self.to_start or self.to_stop or self.to_checkpoint or self.to_throttle:
            return True
        if self.to_ack:
            return True
        busy_ms = leases.command_window_ms // EXCHANGES_PER_WINDOW
        return since >= (busy_ms if self.assigned or self.running else IDLE_INTERVAL_MS)

    def next_exchange(self, epoch: int, owner: str, leases: Leases, now_ms: int) -> Exchange:
        """Build the exchange of the next round."""
        self.round += 1
        self.in_flight = True
        self.sent_ms = now_ms
        return Exchange(
            epoch=epoch,
            owner=owner,
            round=self.round,
            boot=self.boot,
            echo=self.echo,
            window_ms=leases.command_window_ms,
            lease_ms=leases.task_lease_ms,
            known_version=self.version,
            starts=tuple(self.to_start.values()),
            stops=tuple(sorted(self.to_stop)),
            checkpoints=tuple(sorted(self.to_checkpoint)),
            throttles=tuple((t, a, speed) for (t, a), speed in self.to_throttle.items()),
            acks=tuple(sorted(self.to_ack)),
        )

    def apply_reply(self, sent: Exchange, reply: ExchangeReply, now_ms: int) -> None:
        """Take an accepted reply in."""
        self.in_flight = False
        if self.failures or not self.fenced:
            self.mark_changed()
        self.failures = 0
        self.fenced = True
        self.stale = not reply.fresh  # nothing was renewed; leases may be about to end
        self.boot = reply.boot
        self.echo = reply.clock
        self.last_reply_ms = now_ms
        capacity = Resources(reply.cpus, reply.memory_mb, reply.accelerators)
        if capacity != self.capacity:
            self.capacity = capacity
            self.mark_changed()
        self.to_ack.difference_update(sent.acks)
        for key in sent.acks:
            self.outbox.pop(key, None)
        if reply.running is not None:
            self.running = {(a.task, a.attempt): a for a in reply.running}
            self.version = reply.version
            self.mark_changed()
        for ended in reply.ended:
            self.outbox[(ended.task, ended.attempt)] = ended
        if reply.fresh:
            self._settle_commands(sent)

    def _settle_commands(self, sent: Exchange) -> None:
        for start in sent.starts:
            self.to_start.pop((start.task, start.attempt), None)
        self.to_stop.difference_update(sent.stops)
        self.to_checkpoint.difference_update(sent.checkpoints)
        for task, attempt, speed in sent.throttles:
            if self.to_throttle.get((task, attempt)) == speed:
                del self.to_throttle[(task, attempt)]

    def record_failed_exchange(self) -> None:
        """Note that an exchange was not answered."""
        self.in_flight = False
        self.failures += 1
        self.dirty = True

    def missing_attempts(self) -> list[AttemptId]:
        """List assigned attempts that the worker has answered for and neither runs nor reports."""
        return [
            key
            for key in self.assigned
            if key not in self.running and key not in self.outbox and key not in self.to_start
        ]

    def batch_capacity(self) -> Resources:
        """Return what the worker has for batch tasks, whether free or not."""
        return self.capacity - self.reserve
