"""Ownership of a cell, decided by conditional appends to the cell's log.

A claim carries a fencing token one above the newest, and is appended only if the log still ends
where the claimant has read up to. So one of two concurrent claims wins, and the store itself
refuses later writes with a lower token. The owner writes a heartbeat at least every
`HEARTBEAT_INTERVAL_MS`: any record that only an owner writes is one, but a deletion is not. A
follower claims the cell when its reads of the log have shown no heartbeat for `OWNER_TIMEOUT_MS`. A
cell that was released it claims by the read that shows the release.
Instances don't ask each other: an owner that reaches the store is alive, whatever else it can
reach.

Instances may have different CPU capacities. One with far less CPU than the last owner claims later
than the others. One with far more CPU than the present owner takes over the cell.

An owner sends orders only for `confirmation_timeout_ms` after it has sent the last read that
confirmed its ownership, and the last heartbeat that is known to be stored. A successor relies on
this for workers that it cannot reach itself: it has read every heartbeat before it claims, so it
counts that time from when it read the last one. The time of an outage of the store before the claim
is not waited for again.

An owner starts no run and extends no lease before it has stored its record of registered workers.
So an owner that stored none, as it stopped or was replaced at once, has changed nothing: its
heartbeats prolong no wait, and the record of the owner before it still binds.
"""

from __future__ import annotations

from greengagewood.internal.chart import load_chart
from greengagewood.internal.jobs.records import (
    Forecast,
    Ownership,
    Progress,
    Record,
    RegisteredWorkers,
)

__all__ = ["HEARTBEAT_INTERVAL_MS", "OwnershipView"]

OWNERSHIP_CHART = load_chart("ownership")
HEARTBEAT_INTERVAL_MS = 500
OWNER_TIMEOUT_MS = 1_400  # more than two missed heartbeats and a slow reply of the store
CLAIM_TIMEOUT_MS = 2_000
# Of a read that shows a cell without an owner: enough for one that waits for records at a store
# that takes 1.2 s a call, and then for the delay of the claim.
MAX_VACANT_READ_AGE_MS = 2_500
TAKEOVER_CPU_RATIO = 2  # with this many times the owner's CPU, a takeover is worth the pause
SMALLER_INSTANCE_DELAY_MS = 500  # enough for an instance with more CPU to read and claim first
MIN_OWNER_AGE_MS = 1_000  # a younger live owner is not replaced: others may still claim or stop


class OwnershipView:
    """The ownership of one cell as one instance sees it in the log."""

    def __init__(
        self, owner_id: str, confirmation_timeout_ms: int, claim_delay_ms: int, cpu_millis: int = 0
    ) -> None:
        self.owner_id = owner_id
        self.cpu_millis = cpu_millis
        self.state = OWNERSHIP_CHART.initial[0]
        self.token = 0  # of this instance's term; 0 if it does not own the cell
        self._ended_token = 0  # of this instance's last term that has ended
        self.current = Ownership(0, "")  # the newest ownership record
        self.shutting_down = False
        self._confirmation_timeout_ms = confirmation_timeout_ms
        self._claim_delay_ms = claim_delay_ms
        self._heartbeat_ms: int | None = None  # when a heartbeat was last seen
        # The same of the last owner that may have started runs or extended leases; None if that
        # owner's heartbeats don't limit its orders.
        self._ordering_heartbeat_ms: int | None = None
        self._has_read_ordering = False  # whether any record of such an owner's term was read
        # Of the owner that stored the newest RegisteredWorkers record; None if it is unreadable.
        self._registered_token: int | None = 0
        self._owner_since_ms = 0  # when the newest token was first seen
        self._read_sent_ms: int | None = None  # when the last answered read was sent
        # When the last heartbeat of this term that is known to be stored was first sent.
        self._stored_sent_ms: int | None = None
        # When the last heartbeat of earlier owners with orders was read, as of the last claim won.
        self.earlier_heartbeat_ms = 0
        self._claim_sent_ms = 0
        self._claimed_token = 0  # of the last claim that was sent
        self._first_claim_sent_ms = 0  # when a claim with that token was first sent

    @property
    def owning(self) -> bool:
        """Return whether this instance owns the cell, even if no recent read has confirmed it."""
        return self.state in ("owning", "suspended")

    @property
    def confirmed_ms(self) -> int:
        """Return when the last answered read was sent; 0 before the first."""
        return self._read_sent_ms or 0

    def note_record(self, record: Record, now_ms: int) -> None:
        """Process a record read from the log."""
        previous_heartbeat_ms = self._ordering_heartbeat_ms
        if isinstance(record, RegisteredWorkers):
            self._registered_token = record.token
        # Only an owner writes these.
        if isinstance(record, Progress | RegisteredWorkers | Forecast):
            self._note_heartbeat(now_ms)
        if not isinstance(record, Ownership) or record.token < self.current.token:
            return
        if record.token > self.current.token:
            self._owner_since_ms = now_ms
        self.current = record
        self._note_heartbeat(now_ms)
        own_claim = (
            record.owner == self.owner_id
            and not record.released
            and record.token > self._ended_token
        )
        if self.owning and record.token > self.token:
            self._step_down("replaced")
        elif self.owning and record.released:
            self._step_down("released")
        elif not self.owning and own_claim:
            if self.state == "following":  # the reply to the claim was lost or late
                self._transition("claim_sent")
            self._transition("claim_won")
            self.token = record.token
            self._note_claim_won(previous_heartbeat_ms, now_ms)
        elif self.state == "claiming":
            self._transition("claim_lost")

    def _note_heartbeat(self, now_ms: int) -> None:
        self._heartbeat_ms = now_ms
        if not self.current.token:
            return
        if self._may_have_ordered:
            self._has_read_ordering = True
            limited = self.current.heartbeats_limit_orders
            self._ordering_heartbeat_ms = now_ms if limited else None
        elif not self._has_read_ordering and self._ordering_heartbeat_ms is None:
            # The reads that confirmed earlier owners were sent before this claim was stored.
            self._ordering_heartbeat_ms = now_ms

    @property
    def _may_have_ordered(self) -> bool:
        """Return whether the present owner may have started runs or extended leases."""
        registered_token = self._registered_token
        return (
            not self.current.last_ordering_token
            or registered_token is None
            or self.current.token <= registered_token
        )

    @property
    def last_ordering_token(self) -> int:
        """Return the token of the last owner that may have started runs or extended leases."""
        return self.current.token if self._may_have_ordered else self.current.last_ordering_token

    def _note_claim_won(self, previous_heartbeat_ms: int | None, now_ms: int) -> None:
        # An earlier claim with the same token may be the one that was stored.
        is_last_claim = self.token == self._claimed_token
        self._stored_sent_ms = self._first_claim_sent_ms if is_last_claim else None
        self.earlier_heartbeat_ms = now_ms
        # The claim was appended where the log ended, so no heartbeat before it was missed.
        if previous_heartbeat_ms is not None:
            self.earlier_heartbeat_ms = previous_heartbeat_ms

    def note_load(self, now_ms: int) -> None:
        """Record that the newest records are about to be processed, after others were missed."""
        if self._ordering_heartbeat_ms is not None:
            self._ordering_heartbeat_ms = now_ms

    def note_unreadable_registration(self) -> None:
        """Record that the newest RegisteredWorkers record can't be decoded, whoever stored it.

        Until its next heartbeat, the last one that was read does not limit that owner's orders.
        """
        self._registered_token = None
        self._ordering_heartbeat_ms = None

    def note_stored(self, token: int, sent_ms: int, now_ms: int) -> None:
        """Record that a heartbeat of the term with this token, first sent at `sent_ms`, is stored.

        Followers must read what was stored as a heartbeat.
        """
        if self.owning and token == self.token:
            self._stored_sent_ms = max(sent_ms, self._stored_sent_ms or 0)
            self._resume(now_ms)

    def note_read(self, sent_ms: int, now_ms: int) -> None:
        """Record that a read sent at `sent_ms` was answered and its records were processed."""
        self._read_sent_ms = max(sent_ms, self._read_sent_ms or 0)
        if self._heartbeat_ms is None:
            self._heartbeat_ms = now_ms
        self._resume(now_ms)

    def _resume(self, now_ms: int) -> None:
        if self.state == "suspended" and self._is_confirmed(now_ms):
            self._transition("confirmed")

    def _is_confirmed(self, now_ms: int) -> bool:
        """Return whether a recent read and a recent heartbeat allow the owner to send orders."""
        return all(
            sent_ms is not None and now_ms - sent_ms <= self._confirmation_timeout_ms
            for sent_ms in (self._read_sent_ms, self._stored_sent_ms)
        )

    def is_read_recent(self, now_ms: int) -> bool:
        """Return whether a recent read has shown that nobody else owns the cell.

        An owner without one sends no orders, so it must store no heartbeats either: they would keep
        others from claiming the cell for as long as only the reads of this instance fail.
        """
        return now_ms - self.confirmed_ms <= self._confirmation_timeout_ms

    def note_fenced(self) -> None:
        """Record that the store or a worker has refused the fencing token."""
        if self.owning:
            self._step_down("replaced")
        elif self.state == "claiming":
            self._transition("claim_lost")

    def tick(self, now_ms: int) -> None:
        """Apply the timeouts of confirmations and claims."""
        if self.state == "owning" and not self._is_confirmed(now_ms):
            self._transition("unconfirmed")
        if self.state == "claiming" and now_ms - self._claim_sent_ms > CLAIM_TIMEOUT_MS:
            self._transition("claim_lost")

    def should_claim(self, now_ms: int) -> bool:
        """Return whether a recent read shows no live owner, or one with far less CPU."""
        if self.state != "following" or self.shutting_down or self._read_sent_ms is None:
            return False
        claim_due_ms = self.claim_due_ms
        if claim_due_ms is None:
            return False
        read_age_ms = now_ms - self._read_sent_ms
        if self.vacant:
            # The store refuses a claim if anything was stored since the read, so no other read is
            # due before it, only before another claim.
            read_lately = read_age_ms <= MAX_VACANT_READ_AGE_MS
            return read_lately and now_ms >= claim_due_ms and not self._read_before_claim
        if read_age_ms > OWNER_TIMEOUT_MS:
            return False
        if self._should_replace_live_owner(now_ms):
            return True
        return self._read_sent_ms >= claim_due_ms

    @property
    def _read_before_claim(self) -> bool:
        """Return whether the last answered read was sent before the last claim."""
        return self._read_sent_ms is None or self._read_sent_ms < self._claim_sent_ms

    @property
    def vacant(self) -> bool:
        """Return whether the cell never had an owner, or its last owner has released it."""
        return not self.current.owner or self.current.released

    @property
    def claim_due_ms(self) -> int | None:
        """Return when a read must be sent, and show no heartbeat, for a claim of the cell."""
        if self._heartbeat_ms is None:
            return None
        claim_after_ms = self._claim_delay_ms + (0 if self.vacant else OWNER_TIMEOUT_MS)
        if 0 < self.cpu_millis * TAKEOVER_CPU_RATIO <= self.current.cpu_millis:
            claim_after_ms += SMALLER_INSTANCE_DELAY_MS
        return self._heartbeat_ms + claim_after_ms

    def heartbeat_age_ms(self, now_ms: int) -> int | None:
        """Return the time since a heartbeat was last read, or None before the first read."""
        return None if self._heartbeat_ms is None else now_ms - self._heartbeat_ms

    def expects_change(self, now_ms: int, overdue_after_ms: int) -> bool:
        """Return whether the owner may change soon: a claim is sent, or heartbeats are overdue."""
        overdue = self._heartbeat_ms is None or now_ms - self._heartbeat_ms >= overdue_after_ms
        return self.state != "following" or self.vacant or overdue

    def _should_replace_live_owner(self, now_ms: int) -> bool:
        """Return whether this instance has far more CPU than an owner that is not new."""
        old_enough = now_ms - self._owner_since_ms >= MIN_OWNER_AGE_MS + self._claim_delay_ms
        return old_enough and 0 < self.current.cpu_millis * TAKEOVER_CPU_RATIO <= self.cpu_millis

    def make_claim(self, now_ms: int) -> Ownership:
        """Return the claim to append at the end of what was read of the log."""
        self._transition("claim_sent")
        self._claim_sent_ms = now_ms
        token = self.current.token + 1
        if token != self._claimed_token:
            self._claimed_token, self._first_claim_sent_ms = token, now_ms
        return Ownership(
            token,
            self.owner_id,
            settled_offset=self.current.settled_offset,
            cpu_millis=self.cpu_millis,
            heartbeats_limit_orders=True,
            last_ordering_token=self.last_ordering_token,
        )

    def note_claim_failed(self) -> None:
        """Record that the claim was certainly not stored."""
        if self.state == "claiming":
            self._transition("claim_lost")

    def note_released(self) -> None:
        """Record that this instance has given up its ownership."""
        if self.owning:
            self._step_down("released")

    def _transition(self, event: str) -> None:
        self.state = OWNERSHIP_CHART.next(self.state, event)

    def _step_down(self, event: str) -> None:
        self._transition(event)
        self._ended_token = max(self._ended_token, self.token)
        self.token = 0
