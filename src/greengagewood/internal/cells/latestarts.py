"""Starts without an answer that one boot of a worker has ruled out, but a later boot may carry out.

A boot refuses a start after it has accepted a stop of the run, or once its clock has passed the
deadline. A later boot remembers no stop, and its clock has started anew. An order is carried out at
most `MAX_ORDER_DELAY_MS` after it was sent. Until then the task is started again only on the boot
that has ruled the start out: if a later boot carries the start out, that boot is gone, and with it
the other run. So no task has to wait while its worker takes starts.

After a reboot, the new boot is sent a stop of every such run, see `Cell`. If the worker drains, or
does not answer, the task waits until the start has certainly expired.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from greengagewood.internal.cells.answers import late_start_expiry_ms
from greengagewood.internal.cells.boots import MAX_ORDER_DELAY_MS, Boot
from greengagewood.internal.jobs.book import Run, Task

__all__ = ["LateStarts"]


class LateStarts:
    """The ruled-out starts of one term of ownership, which `Boot.ruled_out` lists by boot."""

    def __init__(self, lease_ms: int) -> None:
        self._lease_ms = lease_ms
        self._runs: dict[Run, Boot] = {}

    def add(self, boot: Boot, run: Run, now_ms: int) -> None:
        """Record that a boot has ruled out a start, unless it was carried out or has expired."""
        if not run.was_carried_out and now_ms <= late_start_expiry_ms(run, self._lease_ms):
            self._runs[run] = boot
            boot.ruled_out[run] = None
            latest = run.task.late_start
            if latest is None or latest.started_ms < run.started_ms:
                run.task.late_start = run

    def note_list(self, boot: Boot, sent_ms: int) -> bool:
        """Forget the starts that can no longer arrive, as the same boot has listed its runs.

        The list was requested at `sent_ms`. Return whether a task may be started elsewhere again.
        """
        return self._forget(
            [
                run
                for run in boot.ruled_out
                if sent_ms > run.started_ms + MAX_ORDER_DELAY_MS
                and not _has_superseded_run(boot, run.task)
            ]
        )

    def forget_expired(self, now_ms: int) -> bool:
        """Forget the starts that are over on any boot; return whether there were any."""
        return self._forget(
            [
                run
                for run, boot in self._runs.items()
                if now_ms > late_start_expiry_ms(run, self._lease_ms)
                and not _has_superseded_run(boot, run.task)
            ]
        )

    def forget_boot(self, boot: Boot) -> list[Run]:
        """Forget and return the starts that a boot has ruled out, as that boot is gone."""
        runs = list(boot.ruled_out)
        self._forget(runs)
        return runs

    def _forget(self, runs: list[Run]) -> bool:
        for run in runs:
            boot = self._runs.pop(run)
            del boot.ruled_out[run]
            if run.task.late_start is run:
                run.task.late_start = None
        return bool(runs)


def _has_superseded_run(boot: Boot, task: Task) -> bool:
    """Return whether an earlier run of the task, which is being stopped, still goes on there.

    Until it has ended, the task stays bound to the boot, where `Boot.may_start` holds it back.
    """
    return any(other is task and run is not task.run for (other, _), run in boot.runs.items())
