"""Ownership of a cell, decided by conditional appends to the cell's log.

A claim carries a fencing token one above the newest, and is appended only if the log still ends
where the claimant has read up to. So one of two concurrent claims wins, and the store itself
refuses later writes with a lower token. The owner writes at least every `HEARTBEAT_INTERVAL_MS`. A
follower claims the cell when its reads of the log have shown no write of the owner for
`OWNER_TIMEOUT_MS`. Instances don't ask each other: an owner that reaches the store is alive,
whatever else it can reach.

Instances may have different CPU capacities. One with far less CPU than the last owner claims later
than the others. One with far more CPU than the present owner takes over the cell.

An owner sends no orders once no read has confirmed its ownership for `confirmation_timeout_ms`. A
successor relies on this for workers that it cannot reach itself.
"""

from __future__ import annotations

from greengagewood.internal.chart import load_chart
from greengagewood.internal.jobs.records import Ownership, Progress, Record

__all__ = ["HEARTBEAT_INTERVAL_MS", "OwnershipView"]

CHART = load_chart("ownership")
HEARTBEAT_INTERVAL_MS = 500
OWNER_TIMEOUT_MS = 1_400  # more than two missed signs and a slow answer of the store
CLAIM_TIMEOUT_MS = 2_000
TAKEOVER_CPU_RATIO = 2  # times the processors, which makes a cell worth the pause of a takeover
SMALLER_INSTANCE_DELAY_MS = 500  # a read and a claim of a stronger instance come before
MIN_OWNER_AGE_MS = 1_000  # of an owner that is at work: time for others to claim or to end


class OwnershipView:
    """Follow the ownership of one cell as one instance sees it."""

    def __init__(
        self, owner_id: str, confirmation_timeout_ms: int, claim_delay_ms: int, cpu_millis: int = 0
    ) -> None:
        self.owner_id = owner_id
        self.cpu_millis = cpu_millis
        self.state = CHART.initial[0]
        self.token = 0
        self.current = Ownership(0, "")
        self.shutting_down = False
        self._confirmation_timeout_ms = confirmation_timeout_ms
        self._claim_delay_ms = claim_delay_ms
        self._heartbeat_ms: int | None = None
        self._owner_since_ms = 0  # when the present owner was seen first
        self._read_sent_ms: int | None = None
        self._claim_sent_ms = 0

    @property
    def owning(self) -> bool:
        """Tell whether this instance owns the cell, with or without a fresh confirmation."""
        return self.state in ("owning", "suspended")

    def note_record(self, record: Record, now_ms: int) -> None:
        """Take in a record of the log that an owner writes."""
        if isinstance(record, Progress):
            self._heartbeat_ms = now_ms
        if not isinstance(record, Ownership) or record.token < self.current.token:
            return
        self._heartbeat_ms = now_ms
        if record.token > self.current.token:
            self._owner_since_ms = now_ms
        self.current = record
        mine = record.owner == self.owner_id and not record.released
        if self.owning and record.token > self.token:
            self._step_down("replaced")
        elif self.owning and record.released:
            self._step_down("released")
        elif not self.owning and mine:
            if self.state == "following":  # the answer to the claim was lost, or came late
                self._transition("claim_sent")
            self._transition("claim_won")
            self.token = record.token
        elif self.state == "claiming":
            self._transition("claim_lost")

    def note_read(self, sent_ms: int, now_ms: int) -> None:
        """Note that a read, sent at a time, was answered and its records were taken in."""
        self._read_sent_ms = max(sent_ms, self._read_sent_ms or 0)
        if self._heartbeat_ms is None:
            self._heartbeat_ms = now_ms
        if (
            self.state == "suspended"
            and now_ms - self._read_sent_ms <= self._confirmation_timeout_ms
        ):
            self._transition("confirmed")

    def note_fenced(self) -> None:
        """Note that the store or a worker knows a newer owner."""
        if self.owning:
            self._step_down("replaced")
        elif self.state == "claiming":
            self._transition("claim_lost")

    def tick(self, now_ms: int) -> None:
        """Let time pass."""
        read = self._read_sent_ms
        if self.state == "owning" and (
            read is None or now_ms - read > self._confirmation_timeout_ms
        ):
            self._transition("unconfirmed")
        if self.state == "claiming" and now_ms - self._claim_sent_ms > CLAIM_TIMEOUT_MS:
            self._transition("claim_lost")

    def should_claim(self, now_ms: int) -> bool:
        """Tell whether the cell has no live owner, as far as a fresh read shows."""
        if self.state != "following" or self.shutting_down or self._read_sent_ms is None:
            return False
        if now_ms - self._read_sent_ms > OWNER_TIMEOUT_MS or self._heartbeat_ms is None:
            return False
        current = self.current
        if current.owner and not current.released and self._has_far_more_cpu(now_ms):
            return True
        vacant = not current.owner or current.released
        patience = self._claim_delay_ms + (0 if vacant else OWNER_TIMEOUT_MS)
        if 0 < self.cpu_millis * TAKEOVER_CPU_RATIO <= current.cpu_millis:
            patience += SMALLER_INSTANCE_DELAY_MS
        return self._read_sent_ms - self._heartbeat_ms >= patience

    def _has_far_more_cpu(self, now_ms: int) -> bool:
        """Tell whether the present owner has much less of processors than this instance."""
        settled = now_ms - self._owner_since_ms >= MIN_OWNER_AGE_MS + self._claim_delay_ms
        return settled and 0 < self.current.cpu_millis * TAKEOVER_CPU_RATIO <= self.cpu_millis

    def make_claim(self, now_ms: int) -> Ownership:
        """Return the claim to append at the end of what was read."""
        self._transition("claim_sent")
        self._claim_sent_ms = now_ms
        return Ownership(
            self.current.token + 1,
            self.owner_id,
            settled_offset=self.current.settled_offset,
            cpu_millis=self.cpu_millis,
        )

    def note_claim_failed(self) -> None:
        """Note that a claim was certainly not stored."""
        if self.state == "claiming":
            self._transition("claim_lost")

    def note_released(self) -> None:
        """Note that the ownership was given up."""
        if self.owning:
            self._step_down("released")

    def _transition(self, event: str) -> None:
        self.state = CHART.next(self.state, event)

    def _step_down(self, event: str) -> None:
        self._transition(event)
        self.token = 0
