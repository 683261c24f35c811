"""Who owns a cell, decided by conditional appends to its log.

A claim is appended only if the log ends where the claimant has read up to, with a fencing token one
above the newest: so of two claims one wins, and the store itself refuses every later write under a
lower token. The owner writes at least every `SIGN_INTERVAL_MS`; a follower that has read for
`ABSENT_MS` without seeing it claims the cell. Peers are not asked: an owner that reaches the store
is alive whoever else it reaches.

Instances may have unequal processors. One with far fewer than the last owner had claims later than
the others, and one with far more than the present owner has takes the cell over.

An owner gives no orders when no read has confirmed its ownership for `term_ms`; a successor counts
on that for workers that it cannot reach itself.
"""

from __future__ import annotations

from greengagewood.internal.chart import load_chart
from greengagewood.internal.jobs.records import Ownership, Progress, Record

__all__ = ["SIGN_INTERVAL_MS", "OwnershipView"]

CHART = load_chart("ownership")
SIGN_INTERVAL_MS = 500
ABSENT_MS = 1_400  # more than two missed signs and a slow answer of the store
CLAIM_TIMEOUT_MS = 2_000
FAR_MORE = 2  # times the processors, which makes a cell worth the pause of a takeover
WEAKER_DELAY_MS = 500  # a read and a claim of a stronger instance come before
TAKEOVER_AFTER_MS = 1_000  # of an owner that is at work: time for others to claim or to end


class OwnershipView:
    """Follow the ownership of one cell as one instance sees it."""

    def __init__(self, me: str, term_ms: int, claim_delay_ms: int, cpu_millis: int = 0) -> None:
        self.me = me
        self.cpu_millis = cpu_millis
        self.state = CHART.initial[0]
        self.token = 0
        self.current = Ownership(0, "")
        self.retiring = False
        self._term_ms = term_ms
        self._claim_delay_ms = claim_delay_ms
        self._sign_ms: int | None = None
        self._token_ms = 0  # when the present owner was seen first
        self._read_sent_ms: int | None = None
        self._claim_sent_ms = 0

    @property
    def owning(self) -> bool:
        """Tell whether this instance owns the cell, with or without a fresh confirmation."""
        return self.state in ("owning", "suspended")

    def saw(self, record: Record, now_ms: int) -> None:
        """Take in a record of the log that an owner writes."""
        if isinstance(record, Progress):
            self._sign_ms = now_ms
        if not isinstance(record, Ownership) or record.token < self.current.token:
            return
        self._sign_ms = now_ms
        if record.token > self.current.token:
            self._token_ms = now_ms
        self.current = record
        mine = record.owner == self.me and not record.released
        if self.owning and record.token > self.token:
            self._step_down("replaced")
        elif self.owning and record.released:
            self._step_down("released")
        elif not self.owning and mine:
            if self.state == "following":  # the answer to the claim was lost, or came late
                self._move("claim_sent")
            self._move("claim_won")
            self.token = record.token
        elif self.state == "claiming":
            self._move("claim_lost")

    def read_confirmed(self, sent_ms: int, now_ms: int) -> None:
        """Note that a read, sent at a time, was answered and its records were taken in."""
        self._read_sent_ms = max(sent_ms, self._read_sent_ms or 0)
        if self._sign_ms is None:
            self._sign_ms = now_ms
        if self.state == "suspended" and now_ms - self._read_sent_ms <= self._term_ms:
            self._move("confirmed")

    def fenced(self) -> None:
        """Note that the store or a worker knows a newer owner."""
        if self.owning:
            self._step_down("replaced")
        elif self.state == "claiming":
            self._move("claim_lost")

    def tick(self, now_ms: int) -> None:
        """Let time pass."""
        read = self._read_sent_ms
        if self.state == "owning" and (read is None or now_ms - read > self._term_ms):
            self._move("unconfirmed")
        if self.state == "claiming" and now_ms - self._claim_sent_ms > CLAIM_TIMEOUT_MS:
            self._move("claim_lost")

    def should_claim(self, now_ms: int) -> bool:
        """Tell whether the cell has no live owner, as far as a fresh read shows."""
        if self.state != "following" or self.retiring or self._read_sent_ms is None:
            return False
        if now_ms - self._read_sent_ms > ABSENT_MS or self._sign_ms is None:
            return False
        current = self.current
        if current.owner and not current.released and self._is_far_stronger(now_ms):
            return True
        vacant = not current.owner or current.released
        patience = self._claim_delay_ms + (0 if vacant else ABSENT_MS)
        if 0 < self.cpu_millis * FAR_MORE <= current.cpu_millis:
            patience += WEAKER_DELAY_MS
        return self._read_sent_ms - self._sign_ms >= patience

    def _is_far_stronger(self, now_ms: int) -> bool:
        """Tell whether the present owner has much less of processors than this instance."""
        settled = now_ms - self._token_ms >= TAKEOVER_AFTER_MS + self._claim_delay_ms
        return settled and 0 < self.current.cpu_millis * FAR_MORE <= self.cpu_millis

    def claim(self, now_ms: int) -> Ownership:
        """Return the claim to append at the end of what was read."""
        self._move("claim_sent")
        self._claim_sent_ms = now_ms
        return Ownership(
            self.current.token + 1,
            self.me,
            settled_offset=self.current.settled_offset,
            cpu_millis=self.cpu_millis,
        )

    def claim_failed(self) -> None:
        """Note that a claim was certainly not stored."""
        if self.state == "claiming":
            self._move("claim_lost")

    def released(self) -> None:
        """Note that the ownership was given up."""
        if self.owning:
            self._step_down("released")

    def _move(self, event: str) -> None:
        self.state = CHART.next(self.state, event)

    def _step_down(self, event: str) -> None:
        self._move(event)
        self.token = 0
