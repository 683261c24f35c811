"""The state of one worker as the owner of its cell knows it, and the next exchange with it."""

from __future__ import annotations

from dataclasses import dataclass, field

from greengagewood.internal.document import Leases
from greengagewood.internal.native.workers import (
    Attempt,
    EndedAttempt,
    Exchange,
    ExchangeReply,
    StartCommand,
)
from greengagewood.internal.placement import Resources
from greengagewood.internal.tailguard import BatchAttempt

__all__ = ["AttemptId", "WorkerState", "command_expiry_ms"]

EXCHANGES_PER_COMMAND_WINDOW = 2  # keeps the echoed clock of an exchange within the window
IDLE_EXCHANGE_INTERVAL_MS = 5000
RETRY_BASE_DELAY_MS = 250
RETRY_MAX_DELAY_MS = 2000

AttemptId = tuple[str, int]


def command_expiry_ms(leases: Leases) -> int:
    """Return the time without a reply after which every command has certainly expired.

    A command takes effect within the command window of the reply that it echoes, and what it
    starts or renews runs for one lease. Both are measured by the worker's clock, which may drift.
    """
    worker_clock_ms = leases.command_window_ms + leases.task_lease_ms
    return int(worker_clock_ms * (1 + leases.clock_drift)) + 1


def requested_resources(item: Attempt | StartCommand) -> Resources:
    """Return the resources that a start or an attempt requests."""
    return Resources(item.cpus, item.memory_mb, item.accelerators)


@dataclass
class WorkerState:
    """The state of one worker; times are of the owner's monotonic clock unless stated otherwise."""

    name: str
    url: str
    rack: str = ""
    in_instance_list: bool = True
    leaving: bool = False
    registered: bool = False  # whether the cell's log names it; only then may it get commands
    fenced: bool = False  # whether it has accepted this owner's epoch
    capacity: Resources = field(default_factory=Resources)
    reserve: Resources = field(default_factory=Resources)  # kept free for services
    boot: int = 0  # changes when the worker restarts
    echo: int = 0  # the worker's clock in its last reply
    # Before the first reply: until when an earlier owner may have sent commands.
    last_reply_ms: int = 0
    round: int = 0  # number of the last exchange sent
    in_flight: bool = False
    last_sent_ms: int = -IDLE_EXCHANGE_INTERVAL_MS
    failed_exchanges: int = 0  # consecutive
    needs_renewal: bool = True  # whether the last exchange renewed no leases
    running_version: int = -1  # of the worker's list of running attempts
    assigned: dict[AttemptId, StartCommand] = field(default_factory=dict)  # by this owner
    running: dict[AttemptId, Attempt] = field(default_factory=dict)  # as the worker reported
    outbox: dict[AttemptId, EndedAttempt] = field(default_factory=dict)  # not yet acknowledged
    # What the next exchange carries: commands, and acknowledgements of reported ends.
    to_start: dict[AttemptId, StartCommand] = field(default_factory=dict)
    to_stop: set[AttemptId] = field(default_factory=set)
    to_checkpoint: set[AttemptId] = field(default_factory=set)
    to_ack: set[AttemptId] = field(default_factory=set)
    to_throttle: dict[AttemptId, float] = field(default_factory=dict)
    dirty: bool = True  # whether the placer must update its index
    _committed: Resources | None = None
    _batch_attempts: list[BatchAttempt] | None = None

    def mark_changed(self) -> None:
        """Discard cached values after a change of the attempts or of the worker's availability."""
        self.dirty = True
        self._committed = None
        self._batch_attempts = None

    def batch_attempts(self) -> list[BatchAttempt]:
        """Return the assigned attempts in the form that the tail latency controller takes."""
        if self._batch_attempts is None:
            self._batch_attempts = [
                BatchAttempt(s.task, s.attempt, s.batch_class, s.cpus)
                for s in self.assigned.values()
            ]
        return self._batch_attempts

    def committed(self) -> Resources:
        """Return the resources of all attempts that may be running on the worker."""
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
        """Return the resources that are free for new tasks."""
        return self.capacity - self.reserve - self.committed()

    def is_schedulable(self) -> bool:
        """Return whether new tasks may be placed on the worker."""
        return self.fenced and self.registered and not self.leaving and self.failed_exchanges == 0

    def assign(self, start: StartCommand) -> None:
        """Assign an attempt, to be started by the next exchange."""
        self.mark_changed()
        key = (start.task, start.attempt)
        self.assigned[key] = start
        self.to_start[key] = start

    def withdraw_starts(self) -> None:
        """Send no start again; the next reply tells which attempts run, and the others are over."""
        self.to_start.clear()

    def stop_attempt(self, key: AttemptId) -> None:
        """Stop an attempt; if its start was not confirmed, it is not sent again."""
        self.to_start.pop(key, None)
        self.to_stop.add(key)

    def forget_attempt(self, key: AttemptId) -> None:
        """Forget an attempt that no longer runs on the worker."""
        self.mark_changed()
        for attempts in (self.assigned, self.running, self.to_start):
            attempts.pop(key, None)
        self.to_stop.discard(key)
        self.to_checkpoint.discard(key)
        self.to_throttle.pop(key, None)

    def is_exchange_due(self, now_ms: int, leases: Leases) -> bool:
        """Return whether to send an exchange now."""
        if self.in_flight:
            return False
        elapsed_ms = now_ms - self.last_sent_ms
        if self.failed_exchanges:
            return elapsed_ms >= min(
                RETRY_BASE_DELAY_MS << min(self.failed_exchanges, 5), RETRY_MAX_DELAY_MS
            )
        if (
            self.needs_renewal
            or self.to_start
            or self.to_stop
            or self.to_checkpoint
            or self.to_throttle
        ):
            return True
        if self.to_ack:
            return True
        busy_interval_ms = leases.command_window_ms // EXCHANGES_PER_COMMAND_WINDOW
        return elapsed_ms >= (
            busy_interval_ms if self.assigned or self.running else IDLE_EXCHANGE_INTERVAL_MS
        )

    def next_exchange(self, epoch: int, owner: str, leases: Leases, now_ms: int) -> Exchange:
        """Return the exchange of the next round, and count it as in flight."""
        self.round += 1
        self.in_flight = True
        self.last_sent_ms = now_ms
        return Exchange(
            epoch=epoch,
            owner=owner,
            round=self.round,
            boot=self.boot,
            echo=self.echo,
            window_ms=leases.command_window_ms,
            lease_ms=leases.task_lease_ms,
            known_version=self.running_version,
            starts=tuple(self.to_start.values()),
            stops=tuple(sorted(self.to_stop)),
            checkpoints=tuple(sorted(self.to_checkpoint)),
            throttles=tuple((t, a, speed) for (t, a), speed in self.to_throttle.items()),
            acks=tuple(sorted(self.to_ack)),
        )

    def apply_reply(self, sent: Exchange, reply: ExchangeReply, now_ms: int) -> None:
        """Update the state from an accepted reply."""
        self.in_flight = False
        if self.failed_exchanges or not self.fenced:
            self.mark_changed()
        self.failed_exchanges = 0
        self.fenced = True
        self.needs_renewal = not reply.fresh  # leases that were not renewed may soon expire
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
            self.running_version = reply.version
            self.mark_changed()
        for ended in reply.ended:
            self.outbox[(ended.task, ended.attempt)] = ended
        if reply.fresh:
            self._clear_executed_commands(sent)

    def _clear_executed_commands(self, sent: Exchange) -> None:
        """Remove the commands of an exchange that the worker has carried out."""
        for start in sent.starts:
            self.to_start.pop((start.task, start.attempt), None)
        self.to_stop.difference_update(sent.stops)
        self.to_checkpoint.difference_update(sent.checkpoints)
        for task, attempt, speed in sent.throttles:
            if self.to_throttle.get((task, attempt)) == speed:
                del self.to_throttle[(task, attempt)]

    def record_failed_exchange(self) -> None:
        """Record that an exchange was refused or not answered."""
        self.in_flight = False
        self.failed_exchanges += 1
        self.dirty = True

    def missing_attempts(self) -> list[AttemptId]:
        """Return the assigned attempts whose start was confirmed but that neither run nor ended."""
        return [
            key
            for key in self.assigned
            if key not in self.running and key not in self.outbox and key not in self.to_start
        ]

    def batch_capacity(self) -> Resources:
        """Return the resources that batch tasks may use, whether they are free or in use."""
        return self.capacity - self.reserve
