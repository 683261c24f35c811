"""Pace the reads of the cell's log by an instance that does not own the cell.

This module does no I/O and reads no clock. It answers the load of many followers on the store: each
read of a busy log is answered at once, so a follower that reads without a pause calls the store
several times a second. While heartbeats of the owner arrive, a follower sends a read only every
`READ_INTERVAL_MS`; a caller's question, which reads the log too, counts as one. Once a heartbeat is
overdue, it reads sooner, and exactly when the owner is to be replaced.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["EAGER_AFTER_MS", "READ_INTERVAL_MS", "READ_JITTER_MS", "ReadPlan", "plan_read"]

LONG_POLL_MS = 400
# Together with a slow answer of the store (300 ms), well below the age of a read at which an
# instance refuses new records (intake.MAX_READ_AGE_MS).
READ_INTERVAL_MS = 500
READ_JITTER_MS = 50  # keeps the reads of the followers apart
MAX_READ_AGE_MS = 650
EAGER_INTERVAL_MS = 100
EAGER_AFTER_MS = 700  # an idle owner stores a heartbeat after 500 ms and a commit interval


@dataclass(frozen=True, slots=True)
class ReadPlan:
    """When to send the next read, and how long the store may hold it if there is no new record."""

    pause_ms: int
    wait_ms: int


def plan_read(
    now_ms: int,
    last_sent_ms: int,
    last_read_ms: int,
    eager: bool,
    claim_due_ms: int | None,
    interval_ms: int,
) -> ReadPlan:
    """Return the plan of the next read.

    The last read was sent at `last_sent_ms` and showed the end of the log at `last_read_ms`. A read
    that is sent at `claim_due_ms` or later, and shows no heartbeat, lets this instance claim.
    """
    # After a read that failed or did not reach the end, the next one is not delayed.
    paced_from_ms = min(last_sent_ms, last_read_ms)
    send_ms = max(now_ms, paced_from_ms + (EAGER_INTERVAL_MS if eager else interval_ms))
    wait_ms = min(LONG_POLL_MS, max(0, MAX_READ_AGE_MS - (send_ms - last_read_ms)))
    if claim_due_ms is not None and last_sent_ms < claim_due_ms:
        send_ms = max(now_ms, min(send_ms, claim_due_ms))
        wait_ms = min(wait_ms, max(0, claim_due_ms - send_ms))
    return ReadPlan(send_ms - now_ms, wait_ms)
