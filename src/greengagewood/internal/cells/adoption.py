"""What a new owner knows of the runs that earlier owners started.

A task that an earlier owner may have started is `maybe_running` until it is ruled out on every
registered worker, see `registration`. This module does no I/O and reads no clock.
"""

from __future__ import annotations

from greengagewood.internal.cells.boots import Boot, longest_ms
from greengagewood.internal.cells.registration import tasks_held_back
from greengagewood.internal.cells.term import Term
from greengagewood.internal.jobs.records import TaskId

__all__ = ["Adoption"]

REPORT_DELAY_MS = 1_500  # an adoption that takes longer is reported, and again after this
MAX_REPORTED_WORKERS = 10  # bounds the length of a log line


class Adoption:
    """The adoption of a cell's workers, and of the runs that they have, by a new owner."""

    def __init__(self, term: Term, now_ms: int) -> None:
        self._term = term
        self._begun_ms = now_ms
        self._report_ms = now_ms + REPORT_DELAY_MS
        # Tasks that workers may have run which did not list their runs; None for any.
        self._unlisted_tasks: set[TaskId] | None = set()

    def adopt(self, boot: Boot, run_count: int, now_ms: int) -> None:
        """Record that a boot has accepted this owner's token and listed its runs."""
        term = self._term
        boot.adopted_ms = term.last_adoption_ms = now_ms
        # No order of earlier owners arrives there any more, so the longest lease that they can have
        # given begins now. It also holds for the runs that this owner starts there.
        bounds_ms = [term.earlier_orders_expiry_ms, now_ms + longest_ms(term.limits.lease_ms)]
        if boot.inherited and boot.recorded_boot_time_ms == boot.info.boot_time_ms != 0:
            # A record says, or bounds, when the lease of this boot is over.
            bounds_ms.append(boot.earlier_orders_expiry_ms)
        boot.earlier_orders_expiry_ms = min(bounds_ms) if term.token > 1 else 0
        if boot.inherited:
            boot.late_inherited = tuple(
                runs for runs in boot.inherited if runs.may_start_later and runs.tasks is not None
            )
        boot.inherited = ()
        term.emit(
            "worker_adopted",
            {
                "worker": boot.name,
                "runs": run_count,
                "known_ms": now_ms - boot.added_ms,
                "boot_time_ms": boot.info.boot_time_ms,
            },
        )

    def finish(self, now_ms: int) -> None:
        """Mark the tasks as not running that no run of an earlier owner can go on with unlisted.

        A worker that accepts this owner's token may have rebooted since a later owner acknowledged
        the ends of its runs, so a read that was sent afterwards must show no later owner.
        """
        term = self._term
        if not term.adopting and not term.book.maybe_running_tasks:
            return
        confirmed_ms = term.confirmed_ms
        unresolved = [b for b in term.boots.values() if b.unlisted_runs(confirmed_ms)]
        if unresolved:
            self._report(unresolved, now_ms)
            self._note_unlisted(unresolved)
        held_back = tasks_held_back(unresolved, confirmed_ms)
        if held_back is None or term.last_adoption_ms >= confirmed_ms:
            return
        if term.adopting and not unresolved:
            term.adopting = False
            term.emit(
                "adopted",
                {
                    "unknown": len(term.book.maybe_running_tasks),
                    "confirmed_ago_ms": now_ms - confirmed_ms,
                },
            )
        for task in list(term.book.maybe_running_tasks):
            if task.id in held_back:
                term.book.note_held_back(task)
            else:
                # No worker that answers has listed it since the term began.
                known_ms = term.idle_since_ms.get(task.id)
                idle_since_ms = self._begun_ms if known_ms is None else known_ms
                may_have_run = self._unlisted_tasks is None or task.id in self._unlisted_tasks
                term.book.note_not_running(
                    task, now_ms, min(self._begun_ms, idle_since_ms), may_have_run
                )
                term.failures.resume_delay(task, known_ms, self._begun_ms)

    def _note_unlisted(self, unresolved: list[Boot]) -> None:
        """Note which tasks the unresolved workers that don't answer may have run."""
        silent = [boot for boot in unresolved if boot.unresponsive]
        tasks = tasks_held_back(silent, self._term.confirmed_ms)
        if tasks is None or self._unlisted_tasks is None:
            self._unlisted_tasks = None
        else:
            self._unlisted_tasks |= tasks

    def _report(self, unresolved: list[Boot], now_ms: int) -> None:
        """Report the workers that the adoption waits for, if it has taken long."""
        if now_ms < self._report_ms:
            return
        self._report_ms = now_ms + REPORT_DELAY_MS
        self._term.emit(
            "adoption_waits",
            {
                "workers": [boot.name for boot in unresolved[:MAX_REPORTED_WORKERS]],
                "worker_count": len(unresolved),
                "unlisted": sum(not boot.worker.in_directory for boot in unresolved),
                "any_task": sum(_may_run_any_task(boot, now_ms) for boot in unresolved),
                "unknown": len(self._term.book.maybe_running_tasks),
                "for_ms": max(b.earlier_orders_expiry_ms for b in unresolved) - now_ms,
            },
        )


def _may_run_any_task(boot: Boot, now_ms: int) -> bool:
    """Return whether nothing says which tasks of earlier owners may run on a worker."""
    return any(runs.tasks is None for runs in boot.unlisted_runs(now_ms))
