"""An entry instance: answers callers, replicates the cell's log, and may own the cell.

Four asyncio tasks run in every instance: they read the cell's log, follow the configuration, store
callers' records, and check the ownership of the cell. The instance that owns the cell runs a
`CellRunner` in addition.
"""

from __future__ import annotations

import asyncio
import gc
import random
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import asdict, dataclass
from typing import Protocol

import msgspec

from greengagewood.internal.cells.cell import CellLimits
from greengagewood.internal.cells.ledger import Ledger
from greengagewood.internal.cells.ownership import OwnershipView
from greengagewood.internal.cells.runner import RELEASE_TIMEOUT_S, CellRunner, Ports
from greengagewood.internal.clock import monotonic_ms, wall_ms
from greengagewood.internal.entry.intake import MAX_READ_AGE_MS, BatchWriter
from greengagewood.internal.entry.overload import (
    CapacityRefusal,
    Refusal,
    decide_capacity_refusal,
    decide_refusal,
)
from greengagewood.internal.entry.readpace import (
    EAGER_AFTER_MS,
    READ_INTERVAL_MS,
    READ_JITTER_MS,
    plan_read,
)
from greengagewood.internal.entry.routes import RouteTable
from greengagewood.internal.entry.settings import EntrySettings
from greengagewood.internal.evacuation import Evacuations
from greengagewood.internal.jobs.book import FINAL_STATES
from greengagewood.internal.jobs.model import JobSpec, Queue
from greengagewood.internal.jobs.records import (
    REGISTERED_WORKERS_KEY,
    Cancellation,
    Record,
    Submission,
    encode_record,
    key_of,
)
from greengagewood.internal.logs import Log
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.ports import (
    Configuration,
    LogEntry,
    LogPage,
    LogTruncated,
    Outcome,
    RouteRule,
    StoreUnavailable,
)
from greengagewood.internal.process import supervised_loop

__all__ = ["CancelResult", "ConfigSource", "EntryInstance"]

READ_LONG_POLL_MS = 400  # short, because each answered read confirms who owns the cell
# Before a caller is told a state that is older than this and may still change, the store is read.
STATE_REFRESH_AGE_MS = 30
RETRY_DELAY_S = 0.1
CONFIRMATION_TIMEOUT_MS = 5_000  # the owner continues through a store outage shorter than this
CLAIM_JITTER_MS = 300  # makes it unlikely that two instances claim the cell at the same time
LOOKUP_TIMEOUT_S = 1.0
# Even a slow store answers a read within this time; without an answer, the old state is used.
REFRESH_TIMEOUT_S = 0.3
OWNERSHIP_INTERVAL_S = 0.05
CLOCK_STEP_S = 0.002  # a read confirms only what was known in an earlier millisecond
CLAIM_CHECK_INTERVAL_S = 0.01
CLAIM_READ_TIMEOUT_S = 2.0  # as long as a claim that is not answered may still be stored
# Far more jobs than one instance gets in the minutes in which their callers may repeat them.
MAX_MAYBE_STORED = 10_000
LARGE_JOB_TASKS = 1_000
# Every instance keeps them, for some minutes each.
MAX_EARLY_CANCELLATIONS = 10_000

_log = Log("entry")


class ConfigSource(Protocol):
    """Source of the operators' configuration and evacuation orders."""

    async def next(self) -> Configuration | Evacuations | None:
        """Wait for a newer configuration or read of the orders; return None if there was none.

        The orders are returned after every read of them, also if they are the same.
        """


@dataclass(frozen=True, slots=True)
class CancelResult:
    """Whether a cancellation is in force, and whether the job's submission is known here."""

    outcome: Outcome
    known: bool


class EntryInstance:
    """One running entry instance."""

    def __init__(
        self, cfg: EntrySettings, ports: Ports, source: ConfigSource, metrics: Metrics
    ) -> None:
        self._cfg = cfg
        self._ports = ports
        self._source = source
        self._metrics = metrics
        self.config: Configuration | None = None
        self.evacuations: Evacuations | None = None  # as last read, also while not the owner
        self._routes = RouteTable(())
        self.ledger = Ledger()
        self._writer = BatchWriter(ports.store, self.ledger, self.read_age_ms)
        owner_id = f"{cfg.instance}#{wall_ms()}"
        claim_delay_ms = random.randint(0, CLAIM_JITTER_MS)
        self._ownership = OwnershipView(
            owner_id, CONFIRMATION_TIMEOUT_MS, claim_delay_ms, cfg.cpu_millis
        )
        # The last jobs that were sent to the store and not refused by it.
        self._maybe_stored: dict[str, None] = {}
        self._runner: CellRunner | None = None
        self._last_term_token = 0  # of the last term that has begun here, or was released unused
        self._loaded = False
        # When the store was last read up to its end; before the first time, too long ago.
        self._last_read_ms = monotonic_ms() - MAX_READ_AGE_MS
        # When the last read was sent, by the loop that follows the log or for a caller.
        self._last_sent_ms = self._last_read_ms
        self._read_wakeup = asyncio.Event()  # ends the pause before the next read
        self._confirmation_requested = asyncio.Event()
        self._refresh: asyncio.Task[None] | None = None  # the last read for callers
        self._refresh_sent_ms = 0
        self._reads_failing = False
        self._suspended = False  # whether orders are held back, by the last report
        self._tasks: list[asyncio.Future[None]] = []

    def start(self) -> None:
        """Start the tasks of the instance."""
        steps: dict[str, Callable[[], Awaitable[None]]] = {
            "follow": self._follow_log,
            "configuration": self._follow_config,
            "intake": self._writer.write_batch,
            "ownership": self._update_ownership,
        }
        for name, step in steps.items():
            run_loop = supervised_loop(name, step, self._metrics, RETRY_DELAY_S)
            self._tasks.append(asyncio.ensure_future(run_loop()))

    async def release_cell(self) -> None:
        """Release the ownership of the cell, and never claim it again."""
        self._ownership.shutting_down = True
        runner = self._runner
        if runner is not None:
            await runner.release()
            await self._end_term("stopping")
            self._tasks.append(asyncio.ensure_future(runner.report_departures()))
        else:
            await self._release_unused_claim()

    async def stop(self) -> None:
        """End the term of ownership and cancel all tasks."""
        self._ownership.shutting_down = True
        await self._end_term("stopped")
        tasks = [*self._tasks, *([self._refresh] if self._refresh is not None else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def ready(self) -> bool:
        """Return whether callers can be served."""
        return self.config is not None and self._loaded and not self._writer.store_down

    @property
    def retry_after_s(self) -> int:
        """Return the seconds after which a refused caller should retry."""
        return self._writer.retry_after_s

    # Requests of callers.

    def find_route(self, host: str, path: str) -> RouteRule | None:
        """Return the route with this host and the longest matching path prefix."""
        return self._routes.find(host, path)

    async def submit(self, job_id: str, queue: Queue, spec: JobSpec, timeout_ms: int) -> Outcome:
        """Store a job; a job that was submitted before is accepted without storing it again."""
        if job_id in self.ledger.jobs and self.ledger.jobs[job_id].is_submitted:
            return Outcome.DONE
        record = Submission(job_id, queue, spec, wall_ms())
        self._maybe_stored[job_id] = None
        if len(self._maybe_stored) > MAX_MAYBE_STORED:
            del self._maybe_stored[next(iter(self._maybe_stored))]
        outcome = await self._writer.store_record(record, timeout_ms)
        if outcome is Outcome.REFUSED:
            self._maybe_stored.pop(job_id, None)
        return outcome

    async def find_refusal(
        self, job_id: str, queue: Queue, spec: JobSpec
    ) -> Refusal | CapacityRefusal | None:
        """Return why a job is refused in an overload, or None if it is to be stored.

        Only a job of which certainly nothing is stored is refused, so the store is read first. It
        is also read before a large job is accepted, as others may have accepted many.
        """
        is_large = sum(step.task_count for step in spec.steps) >= LARGE_JOB_TASKS
        if not is_large and self._decide_any_refusal(job_id, queue, spec) is None:
            return None
        try:
            await self._read_to_end(REFRESH_TIMEOUT_S)
        except StoreUnavailable as exc:
            _log.debug("not_refused", job=job_id, error=str(exc))
            return None
        refusal = self._decide_any_refusal(job_id, queue, spec)
        if refusal is not None:
            reason = "no_room" if isinstance(refusal, CapacityRefusal) else "overloaded"
            self._metrics.count("refused_jobs", queue=queue.name, reason=reason)
            _log.info("job_refused", job=job_id, queue=queue.name, reason=reason, **asdict(refusal))
        return refusal

    def _decide_any_refusal(
        self, job_id: str, queue: Queue, spec: JobSpec
    ) -> Refusal | CapacityRefusal | None:
        if self._writer.store_down or job_id in self.ledger.jobs or job_id in self._maybe_stored:
            return None
        limit = self._cfg.max_unfinished_tasks
        no_room = decide_capacity_refusal(spec, self.ledger.unfinished_tasks, limit)
        if no_room is not None or not self._cfg.refuse_hopeless_jobs:
            return no_room
        return self._decide_refusal(job_id, queue, spec)

    def _decide_refusal(self, job_id: str, queue: Queue, spec: JobSpec) -> Refusal | None:
        forecast, since_ms = self.ledger.forecast, self.ledger.forecast_since_ms
        if (
            forecast is None
            or since_ms is None
            or forecast.token != self.ledger.ownership.token
            or self.ledger.ownership.released
            or self.config is None
        ):
            return None
        age_ms = monotonic_ms() - since_ms
        return decide_refusal(job_id, queue, spec, self.config.queues.values(), forecast, age_ms)

    async def cancel(self, job_id: str, timeout_ms: int) -> CancelResult:
        """Store the cancellation of a job, unless it has ended.

        That of an unknown job is stored, too: its submission may be on its way to the store, from
        any instance, and no read shows that. Raise StoreUnavailable if the job is not known here
        and the store cannot be read.
        """
        state = await self.state_of(job_id)
        if state in FINAL_STATES:
            return CancelResult(Outcome.DONE, True)
        if state is None:
            early = self.ledger.early_cancellations
            if job_id in early:
                return CancelResult(Outcome.DONE, False)
            if len(early) >= MAX_EARLY_CANCELLATIONS:
                self._metrics.count("refused_cancellations")
                return CancelResult(Outcome.REFUSED, False)
        outcome = await self._writer.store_record(Cancellation(job_id), timeout_ms)
        stored_job = self.ledger.jobs.get(job_id)
        return CancelResult(outcome, stored_job is not None and stored_job.is_submitted)

    async def state_of(self, job_id: str) -> str | None:
        """Return the state of a job, or None if there is no such job.

        Raise StoreUnavailable if the job is not known here and the store cannot be read.
        """
        stored_job = self.ledger.jobs.get(job_id)
        if stored_job is None or not stored_job.is_submitted:
            # The job may just have been stored, so only a read sent from now on shows its absence.
            await self._read_to_end(LOOKUP_TIMEOUT_S)
            stored_job = self.ledger.jobs.get(job_id)
        elif stored_job.state not in FINAL_STATES and self._is_refresh_due:
            try:
                await self._share_refresh()
            except StoreUnavailable as exc:
                _log.debug(
                    "stale_state_returned", job=job_id, age_ms=self.read_age_ms(), error=str(exc)
                )
        if stored_job is None or not stored_job.is_submitted:
            return None
        return stored_job.state

    @property
    def _is_refresh_due(self) -> bool:
        """Return whether to read the store again before a caller is told a state."""
        return not self._reads_failing and self.read_age_ms() > STATE_REFRESH_AGE_MS

    def read_age_ms(self) -> int:
        """Return the time since the last read of the store up to its end."""
        return monotonic_ms() - self._last_read_ms

    async def _share_refresh(self) -> None:
        """Read to the end of the log, together with other callers that have just asked for it."""
        refresh = self._refresh
        if (
            refresh is None
            or refresh.done()
            or monotonic_ms() - self._refresh_sent_ms > STATE_REFRESH_AGE_MS
        ):
            refresh = self._start_refresh()
        try:
            async with asyncio.timeout(REFRESH_TIMEOUT_S):
                await asyncio.shield(refresh)
        except TimeoutError as exc:
            raise StoreUnavailable(repr(exc)) from exc

    def _start_refresh(self) -> asyncio.Task[None]:
        refresh = asyncio.create_task(self._read_to_end(LOOKUP_TIMEOUT_S))
        refresh.add_done_callback(_retrieve_exception)
        self._refresh, self._refresh_sent_ms = refresh, monotonic_ms()
        return refresh

    async def _read_to_end(self, timeout_s: float, wait_ms: int = 0) -> None:
        """Read the records that were appended to the store since the last read.

        The store holds the read for up to `wait_ms` if there are none.
        """
        if not self._loaded:
            raise StoreUnavailable("the store has not been read yet")
        sent_ms = monotonic_ms()
        self._last_sent_ms = sent_ms
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    page = await self._ports.store.read(self.ledger.next_offset, wait_ms)
                    self._apply_page(page, self._last_read_ms)
                    if page.reaches_end:
                        break
        except (TimeoutError, LogTruncated) as exc:
            raise StoreUnavailable(repr(exc)) from exc
        self._last_read_ms = max(sent_ms, self._last_read_ms)
        self._note_read_to_end(sent_ms, monotonic_ms())

    # The cell's log.

    async def _follow_log(self) -> None:
        sent_ms = monotonic_ms()
        try:
            if not self._loaded:
                page = await self._ports.store.load()
            else:
                wait_ms = await self._pause_reads()
                sent_ms = self._last_sent_ms = monotonic_ms()
                page = await self._ports.store.read(self.ledger.next_offset, wait_ms)
        except LogTruncated:
            _log.info("log_truncated", offset=self.ledger.next_offset)
            self._loaded = False
            return
        except StoreUnavailable as exc:
            self._note_read_result(False, str(exc))
            await asyncio.sleep(RETRY_DELAY_S)
            return
        self._note_read_result(True, "")
        now_ms = monotonic_ms()
        if not self._loaded:
            self.ledger.retain({entry.key for entry in page.entries}, page.next_offset)
            self._ownership.note_load(now_ms)
        self._apply_page(page, self._last_read_ms if self._loaded else None)
        self._loaded = True
        if not page.reaches_end:
            return  # a newer claim may stand in what has not been read
        self._last_read_ms = now_ms
        self._note_read_to_end(sent_ms, now_ms)

    def _note_read_to_end(self, sent_ms: int, now_ms: int) -> None:
        """Record that a read sent at `sent_ms` has shown all claims that were stored until then."""
        self._ownership.note_read(sent_ms, now_ms)
        runner = self._runner
        if runner is not None and self._is_current_term(runner):
            runner.note_confirmed(sent_ms)

    async def _pause_reads(self) -> int:
        """Wait until the next read is to be sent; return how long the store may hold it."""
        interval_ms = READ_INTERVAL_MS + random.randint(-READ_JITTER_MS, READ_JITTER_MS)
        while not self._ownership.owning:
            now_ms = monotonic_ms()
            plan = plan_read(
                now_ms,
                self._last_sent_ms,
                self._last_read_ms,
                self._ownership.expects_change(now_ms, EAGER_AFTER_MS),
                self._ownership.claim_due_ms,
                interval_ms,
            )
            if not plan.pause_ms:
                return plan.wait_ms
            self._read_wakeup.clear()
            try:
                async with asyncio.timeout(plan.pause_ms / 1000):
                    await self._read_wakeup.wait()
            except TimeoutError:
                pass
        return READ_LONG_POLL_MS

    def _note_read_result(self, succeeded: bool, error: str) -> None:
        if succeeded and self._reads_failing:
            _log.info("reads_recovered")
        elif not succeeded and not self._reads_failing:
            _log.warning("reads_failing", error=error)
        self._reads_failing = not succeeded

    def _apply_page(self, page: LogPage, since_ms: int | None) -> None:
        """Apply records that were stored at `since_ms` or later, if that is known.

        They were stored after the last read that reached the end of the log.
        """
        records = [self._apply_entry(entry, since_ms) for entry in page.entries]
        self.ledger.next_offset = max(self.ledger.next_offset, page.next_offset)
        # After the whole page, as the ledger then has all records of a job that are in it.
        for record in records:
            if record is not None:
                self._note_record(record)

    def _apply_entry(self, entry: LogEntry, since_ms: int | None) -> Record | None:
        unreadable_before = self.ledger.unreadable_count
        record = self.ledger.apply(entry, since_ms)
        if self.ledger.unreadable_count > unreadable_before:
            self._metrics.count("unreadable_records")
            _log.warning("record_unreadable", key=entry.key, offset=entry.offset)
            if entry.key == REGISTERED_WORKERS_KEY:
                self._ownership.note_unreadable_registration()
        return record

    def _note_record(self, record: Record) -> None:
        self._ownership.note_record(record, monotonic_ms())
        runner = self._runner
        if runner is not None and self._is_current_term(runner):
            runner.apply_record(record)

    # Ownership.

    async def _update_ownership(self) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(OWNERSHIP_INTERVAL_S):
                await self._confirmation_requested.wait()
        self._confirmation_requested.clear()
        now_ms = monotonic_ms()
        self._ownership.tick(now_ms)
        self._report_suspension(now_ms)
        runner = self._runner
        if runner is not None and not self._is_current_term(runner):
            await self._end_term("replaced")
            runner = None
            await asyncio.sleep(0)  # runs callbacks of the cancelled tasks that refer to the cell
            if not self._ownership.owning:
                gc.collect()  # the jobs and tasks of the cell refer to each other
        if runner is not None and not self._reads_failing and runner.awaits_confirmation:
            await asyncio.sleep(CLOCK_STEP_S)
            if self._refresh is None or self._refresh.done():
                self._start_refresh()  # sooner than the read that waits for records
        if self._ownership.owning and self._runner is None:
            if self._ownership.shutting_down:
                await self._release_unused_claim()
            else:
                self._start_term()
        if self._ownership.should_claim(now_ms) and self.config is not None:
            await self._claim(now_ms)

    def _report_suspension(self, now_ms: int) -> None:
        """Report when the owner begins or ceases to hold orders back, as nothing confirms it."""
        state = self._ownership.state
        if self._suspended == (state == "suspended"):
            return
        self._suspended = state == "suspended"
        if self._suspended or state == "owning":  # otherwise `term_ended` follows
            _log.info(
                "term_suspended" if self._suspended else "term_resumed",
                token=self._ownership.token,
                read_age_ms=now_ms - self._last_read_ms,
                heartbeat_age_ms=self._ownership.heartbeat_age_ms(now_ms),
            )

    async def _claim(self, now_ms: int) -> None:
        claim = self._ownership.make_claim(now_ms)
        expected_end = self.ledger.next_offset
        heartbeat_age_ms = self._ownership.heartbeat_age_ms(now_ms)
        entry = (key_of(claim), encode_record(claim))
        # It waits for records, so it shows the claim as soon as that is stored.
        read = asyncio.ensure_future(self._read_to_end(CLAIM_READ_TIMEOUT_S, READ_LONG_POLL_MS))
        read.add_done_callback(_retrieve_exception)
        try:
            result = await self._ports.store.claim(entry, expected_end, claim.token)
            _log.info(
                "claim",
                token=claim.token,
                at=expected_end,
                outcome=result.outcome.value,
                heartbeat_age_ms=heartbeat_age_ms,
            )
            match result.outcome:
                case Outcome.REFUSED:
                    self._ownership.note_claim_failed()
                case Outcome.DONE:  # several claims may get this answer; the log shows who won
                    await self._confirm_claim(claim.token)
        finally:
            read.cancel()
        self._read_wakeup.set()

    async def _confirm_claim(self, token: int) -> None:
        """Read the log until it shows who won a claim, or for `REFRESH_TIMEOUT_S`.

        The reads that wait for records may show it before one that is sent now.
        """
        read = asyncio.ensure_future(self._read_to_end(REFRESH_TIMEOUT_S))
        read.add_done_callback(_retrieve_exception)
        try:
            while not read.done() and self._ownership.state == "claiming":
                await asyncio.wait({read}, timeout=CLAIM_CHECK_INTERVAL_S)
            if read.done():
                read.result()
        except StoreUnavailable as exc:
            _log.info("claim_unconfirmed", token=token, error=str(exc))
        finally:
            read.cancel()

    async def _release_unused_claim(self) -> None:
        """Release a cell that was claimed but of which no term has begun here."""
        token = self._ownership.token
        if not self._ownership.owning or token <= self._last_term_token:
            return
        self._last_term_token = token
        released = msgspec.structs.replace(self.ledger.ownership, released=True)
        entry = (key_of(released), encode_record(released))
        stored = False
        # A call that times out as it is cancelled may return instead, see `CellRunner.release`.
        end_ms = monotonic_ms() + RELEASE_TIMEOUT_S * 1000
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                while not stored and self._ownership.token == token and monotonic_ms() < end_ms:
                    result = await self._ports.store.append_fenced([entry], token, 2)
                    stored = result.outcome is Outcome.DONE
                    if result.fenced:
                        self._ownership.note_fenced()
                    elif not stored:
                        await asyncio.sleep(RETRY_DELAY_S)
        except TimeoutError:
            pass
        _log.info("unused_claim_released", token=token, stored=stored)
        if self._ownership.token == token:
            self._ownership.note_released()

    def _start_term(self) -> None:
        self._last_term_token = self._ownership.token
        bounds = self._cfg.bounds
        limits = CellLimits(bounds.lease_ms, CONFIRMATION_TIMEOUT_MS)
        runner = CellRunner(
            self._ports,
            self.ledger,
            limits,
            self._ownership.token,
            int(bounds.status_s * 1000),
            self._metrics,
            self._ownership,
            self._may_send_orders,
            self._confirmation_requested.set,
        )
        _log.info(
            "term_started",
            token=self._ownership.token,
            jobs=len(self.ledger.jobs),
            registered_by=self.ledger.registered_workers.token,
        )
        if self.config is not None:
            runner.cell.set_queues(self.config.queues)
        runner.start()
        if self.evacuations is not None:
            runner.set_evacuations(self.evacuations)
        self._runner = runner

    async def _end_term(self, reason: str) -> None:
        runner, self._runner = self._runner, None
        if runner is not None:
            _log.info("term_ended", token=runner.token, reason=reason)
            await runner.stop()
            if self._is_current_term(runner):
                self._ownership.note_released()

    def _is_current_term(self, runner: CellRunner) -> bool:
        return self._ownership.owning and self._ownership.token == runner.token

    def _may_send_orders(self) -> bool:
        """Return whether this instance may send orders to workers now."""
        self._ownership.tick(monotonic_ms())
        runner = self._runner
        return (
            runner is not None
            and self._ownership.state == "owning"
            and self._is_current_term(runner)
        )

    # Configuration.

    async def _follow_config(self) -> None:
        update = await self._source.next()
        match update:
            case Evacuations():
                self.evacuations = update
                if self._runner is not None:
                    self._runner.set_evacuations(update)
            case Configuration():
                self._apply_config(update)

    def _apply_config(self, config: Configuration) -> None:
        if self.config is not None and config.version <= self.config.version:
            return
        self.config = config
        self._routes = RouteTable(config.routes)
        if self._runner is not None:
            self._runner.cell.set_queues(config.queues)
        _log.info("configuration", version=config.version, routes=len(config.routes))


def _retrieve_exception(task: asyncio.Task[None]) -> None:
    """Retrieve the exception of a read for which no caller waits any more, so it is not logged."""
    if not task.cancelled():
        task.exception()
