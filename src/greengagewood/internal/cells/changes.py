"""What the owner of a cell has to store: progress of jobs, registered workers and the forecast.

Ends of runs are acknowledged to their workers only once what follows from them is stored. This
module does no I/O and reads no clock.
"""

from __future__ import annotations

from greengagewood.internal.cells.boots import Boot
from greengagewood.internal.cells.forecast import LoadObserver
from greengagewood.internal.cells.orders import Changes
from greengagewood.internal.cells.registration import has_limited_lease, registration_record
from greengagewood.internal.cells.term import Term
from greengagewood.internal.jobs.records import Forecast, Progress, Record, RegisteredWorkers

__all__ = ["ChangeLog"]


class ChangeLog:
    """The changes of one term that are not stored yet."""

    def __init__(self, term: Term, load: LoadObserver) -> None:
        self._term = term
        self._load = load
        self._saturated_services: set[str] = set()  # of the last forecast

    def collect(self, wall_ms: int, now_ms: int, releasing: bool) -> Changes | None:
        """Return the changes to store and clear them; return None if there are none.

        With `releasing`, no orders may be sent afterwards.
        """
        term = self._term
        book = term.book
        records: list[Record] = []
        urgent = False
        for job_id in book.changed_jobs:
            job = book.jobs.get(job_id)
            if job is not None:
                was_complete = not job.unstored_rows
                records.append(book.progress_record(job, wall_ms))
                if was_complete and job.unstored_rows:
                    term.emit("progress_cut", {"job": job_id, "tasks": job.unstored_rows})
                urgent = urgent or job.is_final or not job.maybe_started_stored
        book.changed_jobs.clear()
        registered: tuple[Boot, ...] = ()
        unlimited: tuple[Boot, ...] = ()
        if term.registration_due or releasing:
            term.registration_due = False
            record, registered = registration_record(
                term.boots.values(),
                book,
                term.token,
                now_ms,
                term.limits.lease_ms,
                releasing,
                term.idle_since_ms,
                term.unconfirmed_losses,
            )
            records.append(record)
            urgent = True
            if not releasing:
                unlimited = tuple(b for b in term.boots.values() if not has_limited_lease(b))
        forecast = None if releasing else self._load.due_record(now_ms)
        if forecast is not None:
            self._report_saturation(forecast)
            records.append(forecast)
        end_sequences = {
            boot: boot.last_end_sequence
            for boot in term.boots.values()
            if boot.last_end_sequence > boot.acknowledged_sequence
        }
        if not records and not end_sequences:
            return None
        return Changes(tuple(records), end_sequences, registered, unlimited, urgent)

    def _report_saturation(self, forecast: Forecast) -> None:
        """Report the services of which best-effort tasks begin or cease to wait for long."""
        saturated = {service.service for service in forecast.services}
        for service in forecast.services:
            if service.service not in self._saturated_services:
                backlog_cpu_ms = sum(queue.cpu_ms for queue in service.queues)
                fields = {"backlog_cpu_ms": backlog_cpu_ms, "cpu_millis": service.cpu_millis}
                self._term.emit("saturated", {"service": service.service, **fields})
        for name in sorted(self._saturated_services - saturated):
            self._term.emit("saturation_ended", {"service": name})
        self._saturated_services = saturated

    @property
    def has_urgent(self) -> bool:
        """Return whether a change must be stored without delay."""
        jobs = self._term.book.jobs
        return self._term.registration_due or any(
            jobs[job_id].is_final or not jobs[job_id].maybe_started_stored
            for job_id in self._term.book.changed_jobs
            if job_id in jobs
        )

    def note_stored(self, changes: Changes) -> None:
        """Record that changes are stored, so that run ends may be acknowledged to the workers."""
        term = self._term
        for record in changes.records:
            job = term.book.jobs.get(record.job_id) if isinstance(record, Progress) else None
            if job is not None:
                job.maybe_started_stored = True
            if isinstance(record, RegisteredWorkers):
                term.registration_stored = True
        for boot, sequence in changes.end_sequences.items():
            boot.acknowledged_sequence = max(boot.acknowledged_sequence, sequence)
        for boot in changes.registered_boots:
            if boot.name in term.boots:
                worker = term.boots[boot.name].worker
                worker.registered = True
                worker.lease_limited = False
        for boot in changes.unlimited_boots:
            boot.worker.lease_limited = False
        term.planner.request_replan()

    def note_unconfirmed(self, changes: Changes) -> None:
        """Record that changes may not be stored, so they must be stored again."""
        for record in changes.records:
            if isinstance(record, Progress):
                self._term.book.changed_jobs[record.job_id] = None
            elif isinstance(record, RegisteredWorkers):
                self._term.registration_due = True
            elif isinstance(record, Forecast):
                self._load.note_unconfirmed(record)
