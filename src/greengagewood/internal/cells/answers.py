"""What an owner concludes from answers of workers, of which it may not know the boot.

A call names the ID of a worker, not a boot. So a boot that the owner does not know yet may receive
it, and an answer may arrive after a reboot. Only a list of runs says which boot gave it. What may
be concluded from any other answer is decided here; docs/design/boots.md has the table.

The functions do no I/O, read no clock and change nothing.
"""

from __future__ import annotations

from greengagewood.internal.cells.boots import MAX_ORDER_DELAY_MS, Boot, longest_ms
from greengagewood.internal.jobs.book import Run
from greengagewood.internal.ports import AllEndsReply, LeaseReply, RunListPage, WorkerInfo

MAX_STOP_MS = 2_000  # a run ends well within this time after its worker has accepted a stop

__all__ = [
    "boot_of_answer",
    "compare_boots",
    "has_certainly_accepted",
    "late_start_expiry_ms",
    "later_boot_expiry_ms",
    "latest_order_expiry_ms",
    "outcome_if_unlisted",
]


def compare_boots(known: WorkerInfo, other: WorkerInfo) -> str:
    """Return whether an entry describes the `same`, a `later` or an `earlier` boot of a worker.

    Without a boot time, it counts as the same.
    """
    if not known.boot_time_ms or not other.boot_time_ms:
        return "same"
    if other.boot_time_ms == known.boot_time_ms:
        return "same"
    return "later" if other.boot_time_ms > known.boot_time_ms else "earlier"


def has_certainly_accepted(boot: Boot, run: Run) -> bool:
    """Return whether this boot, rather than a later one, has accepted the start of a run.

    It has if the answer had a reading of its clock, if it has listed the run, or if it has listed
    its runs in answer to a call that was sent after the acceptance.
    """
    return run.accepted_ms is not None and (
        run.accepted_by_clock
        or run.listed_ms >= run.accepted_ms
        or run.accepted_ms < boot.list_requested_ms
    )


def boot_of_answer(sent_to: Boot, run: Run) -> Boot:
    """Return the boot to which the answer to a start applies.

    Only one boot receives a start, and the answer ends it there. So it applies to the boot that
    holds the run, which is a later one if the worker has rebooted since.
    """
    return run.boot if run.boot is not None else sent_to


def latest_order_expiry_ms(sent_ms: int, lease_ms: int) -> int:
    """Return when a lease is over that an order without an answer may give to any boot."""
    return sent_ms + MAX_ORDER_DELAY_MS + longest_ms(lease_ms)


def late_start_expiry_ms(run: Run, lease_ms: int) -> int:
    """Return when a start that was not answered is over, even on a later boot of its worker.

    The deadline of the start says nothing to a later boot, whose clock has started anew. Return 0
    for a start that was answered.
    """
    if run.accepted_ms is not None:
        return 0
    return latest_order_expiry_ms(run.started_ms, lease_ms)


def later_boot_expiry_ms(boot: Boot, run: Run, lease_ms: int) -> int:
    """Return when a run is over even if a later boot than the known one has it; 0 if none has.

    A lease extension that was not answered may still reach that boot, and extend its lease.
    """
    if run.accepted_ms is None:
        return late_start_expiry_ms(run, lease_ms)
    if has_certainly_accepted(boot, run):
        return 0
    return latest_order_expiry_ms(boot.worker.lease_sent_ms, lease_ms)


def outcome_if_unlisted(run: Run, reply: RunListPage, sent_ms: int) -> str:
    """Return what a list without a run, requested at `sent_ms`, says of the run on that boot.

    It is `lost`, as it was there and is not any more; `ruled_out`, as it can't start any more; or
    empty if nothing follows.
    """
    if not isinstance(reply, AllEndsReply):
        return ""  # an end that was not read yet may say how the run has ended
    if isinstance(reply, LeaseReply):
        is_over = _is_over(run, reply, sent_ms)
    else:  # only a stop shows that the run is not one of those missing
        is_over = run.stop_answered_ms is not None and sent_ms - run.stop_answered_ms > MAX_STOP_MS
    if is_over and run.state == "unconfirmed":
        return "ruled_out"
    return "lost" if is_over and run.state in ("running", "stopping") else ""


def _is_over(run: Run, reply: LeaseReply, sent_ms: int) -> bool:
    """Return whether a run that is in neither of the lists of a boot is over there.

    A start without an answer may still be carried out before its deadline.
    """
    # The worker refuses a start after its deadline.
    start_expired = reply.clock_ms > run.start_deadline_ms > 0 and run.accepted_ms is None
    # A stop was accepted before the list was requested. It was by this boot, since otherwise the
    # list would be that of a later one.
    stop_done = run.stop_answered_ms is not None and run.stop_answered_ms < sent_ms
    # The same holds for an accepted start.
    vanished = run.accepted_ms is not None and run.accepted_ms < sent_ms
    return start_expired or stop_done or (vanished and run.state != "unconfirmed")
