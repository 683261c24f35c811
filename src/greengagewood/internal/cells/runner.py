"""Run a cell for its owner: poll workers, carry out orders and store changes.

The decisions are those of `Cell`, which does no I/O.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import suppress
from dataclasses import asdict
from typing import Any

import msgspec

from greengagewood.internal.cells.boots import Boot
from greengagewood.internal.cells.cell import Cell, CellLimits
from greengagewood.internal.cells.handover import await_ends, cancel_all
from greengagewood.internal.cells.ledger import Ledger
from greengagewood.internal.cells.orders import (
    Changes,
    Order,
    RequestAdvice,
    StartRun,
    StopRun,
    ThrottleRun,
    start_fields,
)
from greengagewood.internal.cells.ownership import HEARTBEAT_INTERVAL_MS, OwnershipView
from greengagewood.internal.cells.window import START_WINDOW, CallWindow
from greengagewood.internal.clock import monotonic_ms, wall_ms
from greengagewood.internal.evacuation import Evacuations
from greengagewood.internal.holds import LoopHolds
from greengagewood.internal.jobs.records import (
    Cancellation,
    Departures,
    Forecast,
    Ownership,
    Record,
    Submission,
    encode_record,
    key_of,
)
from greengagewood.internal.logs import Log
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.ports import (
    AdviceUnavailable,
    OrderReply,
    Outcome,
    Ports,
    StoreUnavailable,
    WorkerCallFailed,
    WorkerInfo,
    WorkerUnreachable,
    WrongBoot,
)
from greengagewood.internal.process import raise_location, supervised_loop

__all__ = ["RELEASE_TIMEOUT_S", "CellRunner", "Ports"]

# From one reply of a worker to the next; less than the half second after which workers list new
# tail latencies.
LEASE_WAIT_MS = 450
FAILED_LEASE_PAUSE_S = 0.25
# After an early reply without new run ends, or while no orders may be sent.
REPEATED_LEASE_PAUSE_S = 0.05
# A worker answers at once while it has run ends that are not acknowledged. So it is polled again
# only once they are stored, or after this time: the next steps of jobs wait for ends that follow.
# The usual wait is shorter, as changes are stored every COMMIT_INTERVAL_S.
MAX_STORE_WAIT_S = 0.16
# Between two lists of a worker while stops wait for room: a list of 1,000 runs takes as much
# processor time as 30 stops, and its worker answers it at once, as runs end all the time.
HELD_BACK_LIST_PAUSE_S = 0.4
DIRECTORY_INTERVAL_S = 0.5
# While long-running tasks wait for room, which new workers bring, or a worker may have left.
SHORT_DIRECTORY_INTERVAL_S = 0.15
NEW_WORKER_INTERVAL_S = 0.025  # between reads in search of new workers alone, while tasks wait
NEW_WORKER_SEARCH_MS = 5_000  # since tasks began to wait, or there was the last new worker
MAX_PLAN_INTERVAL_S = 0.05
PLAN_SLICE_MS = 10  # heartbeats, leases and stops go on between the slices of a long plan
MIN_PLAN_INTERVAL_S = 0.01  # so that run ends that arrive together lead to one plan
COMMIT_INTERVAL_S = 0.15
STORE_RETRY_PAUSE_S = 0.1
DELETION_INTERVAL_S = 10.0
DELETION_MARGIN_MS = 60_000  # wall clocks differ, and callers may ask late
# Enough for the append that is under way and that of the release beside a store that takes 1.2 s a
# call. Others claim the cell meanwhile if they miss its heartbeats.
RELEASE_TIMEOUT_S = 2.5

# Of one call, whose records the platform's store takes up to 2 MiB of.
MAX_APPEND_BYTES = 1_500_000

_log = Log("cell")


def _split_entries(entries: list[tuple[str, bytes]]) -> Iterator[list[tuple[str, bytes]]]:
    """Yield entries in batches of limited size."""
    batch: list[tuple[str, bytes]] = []
    size_bytes = 0
    for entry in entries:
        if batch and size_bytes + len(entry[1]) > MAX_APPEND_BYTES:
            yield batch
            batch, size_bytes = [], 0
        batch.append(entry)
        size_bytes += len(entry[0]) + len(entry[1])
    if batch:
        yield batch


class CellRunner:
    """Run a cell during one term of ownership."""

    def __init__(
        self,
        ports: Ports,
        ledger: Ledger,
        limits: CellLimits,
        token: int,
        status_retention_ms: int,
        metrics: Metrics,
        ownership: OwnershipView,
        may_send_orders: Callable[[], bool],
        request_confirmation: Callable[[], None] = lambda: None,
    ) -> None:
        self._ports = ports
        self._ledger = ledger
        self._claim = ledger.ownership
        self.token = token
        self._status_retention_ms = status_retention_ms
        self._metrics = metrics
        self._holds = LoopHolds(metrics)
        self._ownership = ownership
        self._may_send_orders = may_send_orders
        self._request_confirmation = request_confirmation  # by a read of the cell's log
        self._sequence = 1  # number of the last append; the claim was the first of the term
        self._last_heartbeat_ms = monotonic_ms()  # of the last append that followers count as one
        self._append_lock = asyncio.Lock()
        self._plan_wakeup = asyncio.Event()
        self._urgent_changes = asyncio.Event()
        self._directory_wakeup = asyncio.Event()  # ends the pause before the next read of it
        self._new_worker_search_end_ms: int | None = None  # None while no task waits for room
        self._changes_stored = asyncio.Event()  # replaced each time that it is set
        self._tasks: set[asyncio.Task[None]] = set()
        self._calls: dict[asyncio.Task[None], Order] = {}  # the orders that are being carried out
        self._lease_tasks: dict[Boot, asyncio.Task[None]] = {}
        self._stopping = False
        self._releasing = False  # whether nothing may be started any more
        self._release_queued = False  # whether the next append is that of the release
        self._released = False  # whether nothing may be sent or stored any more but the release
        self._retries_end_ms = math.inf
        self._start_window = CallWindow(START_WINDOW)
        self._throttle_window = CallWindow(START_WINDOW)
        self._unlogged_stops = 0  # accepted since the last `stop` line, while others waited
        self.cell = Cell(
            limits,
            token,
            monotonic_ms(),
            ledger.ownership.settled_offset,
            ledger.claim_offset,
            ownership.confirmed_ms,
            ownership.earlier_heartbeat_ms,
            ledger.ownership.last_ordering_token,
        )
        self.cell.on_event = self._record_event

    def start(self) -> None:
        """Add the stored jobs to the cell and start the loops that run it."""
        now_ms = monotonic_ms()
        with self._holds.measure("take_up"):
            for job_id in self._ledger.jobs:
                self._take_up_job(job_id, now_ms)
        self.cell.set_registered_workers(
            self._ledger.registered_workers, self._ledger.registered_workers_read_ms, now_ms
        )
        self.cell.note_departed(self._ledger.departed, now_ms)
        for name, step in {
            "directory": self._refresh_directory,
            "plan": self._plan_once,
            "commit": self._commit_once,
            "forget": self._delete_expired_jobs,
        }.items():
            self._spawn(self._loop(name, step))

    def _take_up_job(self, job_id: str, now_ms: int) -> None:
        """Add a stored job to the cell, unless it is there, and cancel it if that is stored.

        Its records may have been read in any order. An error keeps the owner from no other job.
        """
        try:
            self._apply_stored_job(job_id, now_ms)
        except Exception as exc:
            self._report_failure("job", exc, job=job_id)

    def _apply_stored_job(self, job_id: str, now_ms: int) -> None:
        stored = self._ledger.jobs.get(job_id)
        if stored is None:
            return  # it was deleted later
        offset = stored.submission_offset
        if offset >= max(self._ledger.next_offset, self._ledger.claim_offset + 1):
            return  # a later owner may have claimed before the job, so the log is read first
        submission = stored.decode_submission() if job_id not in self.cell.book.jobs else None
        if submission is not None:
            # No earlier owner has started a task of the job if it was submitted after the claim, or
            # if it is below the settled offset and has no progress record. That owner may have read
            # only the latest of several submissions.
            settled = stored.last_submission_offset < self._ledger.ownership.settled_offset
            has_progress = stored.progress is not None or stored.has_unreadable_progress
            unrecorded = settled and not has_progress
            never_started = unrecorded or offset > self._ledger.claim_offset
            self.cell.add_job(submission, stored.progress, never_started, now_ms, offset)
        if stored.cancelled:
            self.cell.cancel(job_id, now_ms)

    async def _loop(self, name: str, step: Callable[[], Awaitable[None]]) -> None:
        """Repeat a step for the whole term; a bad record or answer does not end it."""
        await supervised_loop(name, step, self._metrics, STORE_RETRY_PAUSE_S)()

    async def stop(self) -> None:
        """Cancel all loops and the orders that are being carried out."""
        self._stopping = True
        self._metrics.gauge("evacuated_workers", 0)  # only an owner counts them
        tasks = [*self._tasks, *self._lease_tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def apply_record(self, record: Record) -> None:
        """Apply a record that an instance has stored for a caller."""
        if isinstance(record, Submission | Cancellation):
            self._take_up_job(record.job_id, monotonic_ms())
            self._plan_wakeup.set()
        elif isinstance(record, Departures):
            self.cell.note_departed(dict(record.workers), monotonic_ms())
            self._plan_wakeup.set()

    def set_evacuations(self, evacuations: Evacuations) -> None:
        """Pass orders that were read to the cell, and plan soon."""
        self.cell.set_evacuations(evacuations, monotonic_ms())
        self._metrics.gauge("evacuated_workers", self.cell.evacuated_worker_count)
        self._plan_wakeup.set()

    def note_confirmed(self, sent_ms: int) -> None:
        """Pass on that a read of the cell's log sent at `sent_ms` has shown no later owner."""
        if self.cell.note_confirmed(sent_ms):
            self._plan_wakeup.set()

    @property
    def awaits_confirmation(self) -> bool:
        """Return whether tasks wait only for a read of the log that confirms the ownership."""
        return self.cell.awaits_confirmation(monotonic_ms())

    def _record_event(self, event: str, fields: dict[str, object]) -> None:
        self._metrics.count("cell_events", event=event)
        if event == "run_ended" and fields["how"] == "stopped" and self.cell.holds_back_stops:
            return  # as for the stops
        _log.info(event, token=self.token, **fields)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._calls.pop(task, None)
        if not task.cancelled() and (exc := task.exception()) is not None:
            self._report_failure("order", exc)

    def _report_failure(self, task: str, exc: BaseException, **fields: str) -> None:
        self._metrics.count("task_failures", task=task, kind=type(exc).__name__)
        where = raise_location(exc)
        _log.warning("task_failed", task=task, error=repr(exc), where=where, **fields)

    # Decisions.

    async def _plan_once(self) -> None:
        await asyncio.sleep(MIN_PLAN_INTERVAL_S)
        if self._may_send_orders() and not self._releasing:
            with self._holds.measure("stops"):
                stops = self.cell.plan_stops(monotonic_ms())
                self._carry_out_all(stops)
            if stops:  # a plan may take long, so they are sent before it
                await asyncio.sleep(0)
        if self._may_send_orders() and not self._releasing:
            now_ms = monotonic_ms()
            with self._holds.measure("plan"):
                orders = self.cell.plan(
                    now_ms,
                    wall_ms(),
                    self._start_window.room,
                    lambda: monotonic_ms() < now_ms + PLAN_SLICE_MS,
                )
                self._carry_out_all(orders)
        if self.cell.has_urgent_changes:
            self._urgent_changes.set()
        if self.cell.is_plan_unfinished:
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(MAX_PLAN_INTERVAL_S):
                await self._plan_wakeup.wait()
        self._plan_wakeup.clear()

    def _carry_out_all(self, orders: list[Order]) -> None:
        for order in orders if not self._released else ():
            if isinstance(order, StartRun):
                self._start_window.note_sent()
            elif isinstance(order, ThrottleRun):
                if not self._throttle_window.room:
                    continue  # the next reading leads to a new order
                self._throttle_window.note_sent()
            self._calls[self._spawn(self._carry_out(order))] = order

    async def _carry_out(self, order: Order) -> None:
        match order:
            case StartRun():
                await self._start_run(order)
            case StopRun():
                await self._stop_run(order)
                return  # no plan follows: the resources are free once the end is listed
            case ThrottleRun():
                await self._throttle_run(order)
            case RequestAdvice():
                await self._ask_advice(order)
        self._plan_wakeup.set()

    async def _start_run(self, order: StartRun) -> None:
        run = order.run
        boot = order.boot
        info = boot.info
        outcome = "unanswered"
        try:
            reply = await self._ports.workers.start(
                info,
                run.task.id,
                run.number,
                order.payload,
                order.deadline_ms,
                boot.fencing_token,
                order.checkpoint,
                run.ticket,
            )
        except WorkerUnreachable:
            outcome = "unreachable"
            self.cell.handle_start_reply(boot, run, outcome, monotonic_ms())
        except WorkerCallFailed:
            pass  # the outcome stays as it is
        except WrongBoot:
            outcome = "wrong_boot"
            self.cell.handle_start_reply(boot, run, outcome, monotonic_ms())
            self.cell.note_wrong_boot(boot, monotonic_ms(), info.address)
        else:
            outcome = reply.reason or "accepted"
            self._check_fencing(boot, reply)
            self._carry_out_all(
                self.cell.handle_start_reply(
                    boot, run, reply.reason, monotonic_ms(), reply.clock_ms
                )
            )
        finally:  # after an unexpected error, too, the start may have been carried out
            answered = outcome not in ("unanswered", "unreachable")
            self._start_window.note_done(run.started_ms, monotonic_ms(), answered)
            if outcome == "unanswered":
                self.cell.note_start_unanswered(run, monotonic_ms())
        self._metrics.count("starts", outcome=outcome)
        _log.info(
            "start",
            token=self.token,
            **start_fields(order, monotonic_ms()),
            window=int(self._start_window.limit),
            outcome=outcome,
        )

    def _check_fencing(self, boot: Boot, reply: OrderReply) -> None:
        """Give up the ownership if a worker has seen the token of a later owner.

        A call that was meant for an earlier boot is refused for the sake of the present one.
        """
        if reply.reason == "fence" and self.cell.boots.get(boot.name) is boot:
            _log.warning("fenced_by_worker", token=self.token)
            self._ownership.note_fenced()

    async def _stop_run(self, order: StopRun) -> None:
        sent_ms = monotonic_ms()
        info = order.boot.info
        outcome = "unanswered"
        try:
            reply = await self._ports.workers.stop(
                info, order.task_id, order.run_number, order.boot.fencing_token
            )
            self._check_fencing(order.boot, reply)
            outcome = reply.reason or "accepted"
            if not reply.reason:
                self.cell.note_stop_accepted(order.boot, order.run, monotonic_ms())
        except WorkerCallFailed:
            pass  # the cell orders the stop again
        except WrongBoot:
            self.cell.note_wrong_boot(order.boot, monotonic_ms(), info.address)
        finally:
            answered = outcome != "unanswered"
            self.cell.note_stop_ended(order.run, sent_ms, monotonic_ms(), answered)
        self._metrics.count("stops", reason=order.reason, outcome=outcome)
        if self._may_send_orders() and not self._releasing:
            self._carry_out_all(self.cell.send_held_back_stops(monotonic_ms()))
        if outcome == "accepted" and self.cell.holds_back_stops:
            self._unlogged_stops += 1  # a line takes an eighth of the processor time of a stop
            return
        _log.info(
            "stop",
            token=self.token,
            task=order.task_id,
            run=order.run_number,
            worker=order.boot.name,
            reason=order.reason,
            answered_ms=monotonic_ms() - sent_ms,
            outcome=outcome,
            unlogged=self._unlogged_stops,
        )
        self._unlogged_stops = 0

    async def _throttle_run(self, order: ThrottleRun) -> None:
        sent_ms = monotonic_ms()
        answered = False
        previous_percent = order.run.speed_percent
        order.run.speed_percent = order.speed_percent
        order.boot.invalidate_slack()
        try:
            reply = await self._ports.workers.throttle(
                order.boot.info,
                order.run.task.id,
                order.run.number,
                order.speed_percent,
                order.boot.fencing_token,
            )
            answered = True
            self._check_fencing(order.boot, reply)
        except (WorkerCallFailed, WrongBoot) as exc:
            answered = isinstance(exc, WrongBoot)
            order.run.speed_percent = previous_percent  # the next reading leads to a new order
            order.boot.invalidate_slack()
        finally:
            self._throttle_window.note_done(sent_ms, monotonic_ms(), answered)
        self._metrics.count("paces")
        _log.debug(
            "pace",
            task=order.run.task.id,
            run=order.run.number,
            worker=order.boot.name,
            least_slack=round(order.boot.min_slack, 2),
            percent=order.speed_percent,
        )

    async def _ask_advice(self, order: RequestAdvice) -> None:
        step = order.step
        planner = self.cell.planner
        failure: AdviceUnavailable | None = AdviceUnavailable("unexpected error")
        try:
            if self._ports.advice is None:
                _log.warning("no_advice_service", job=step.job.id, step=step.number)
                return
            permits = await self._ports.advice.request_permits(
                step.job.id,
                step.occurrence,
                step.number,
                order.worker_ids,
                order.timeout_ms / 1000,
            )
        except AdviceUnavailable as exc:
            _log.info("advice_unavailable", job=step.job.id, step=step.number, error=str(exc))
            failure = exc
        else:
            failure = None
            planner.note_permits(step, permits, monotonic_ms())
        finally:  # after an unexpected error, too, the call is no longer under way
            if failure is not None:
                planner.note_advice_failed(step, monotonic_ms(), failure)

    # Workers.

    async def _refresh_directory(self) -> None:
        sent_ms = monotonic_ms()
        listed: dict[str, WorkerInfo] | None = None
        try:
            listed = await self._ports.directory.refresh()
        except StoreUnavailable:
            self._metrics.count("directory_failures")
            self.cell.note_directory_unavailable()
        else:
            self._update_new_worker_search(listed)
            self._apply_directory(listed, sent_ms)
        self._update_lease_tasks()  # without the directory, too: for the recorded workers
        self._directory_wakeup.clear()
        if listed is not None and monotonic_ms() < (self._new_worker_search_end_ms or 0):
            await self._search_for_new_workers()
            return
        await asyncio.sleep(SHORT_DIRECTORY_INTERVAL_S)
        if not self.cell.planner.places.is_short and not self.cell.awaits_departures:
            with suppress(TimeoutError):
                async with asyncio.timeout(DIRECTORY_INTERVAL_S - SHORT_DIRECTORY_INTERVAL_S):
                    await self._directory_wakeup.wait()

    def _apply_directory(self, listed: dict[str, WorkerInfo], sent_ms: int) -> None:
        with self._holds.measure("directory"):
            self.cell.set_workers(listed, monotonic_ms(), sent_ms)
            if not self._released:  # else they are left to `report_departures`
                departed = self._ports.directory.take_departed()
                self.cell.note_departed(departed, monotonic_ms())
        self._metrics.gauge("evacuated_workers", self.cell.evacuated_worker_count)
        self._plan_wakeup.set()

    def _update_new_worker_search(self, listed: dict[str, WorkerInfo]) -> None:
        """Decide until when to search for new workers; they rarely come alone."""
        if not self.cell.planner.places.is_short:
            self._new_worker_search_end_ms = None
        elif self._new_worker_search_end_ms is None or self.cell.lists_new_room(listed):
            self._new_worker_search_end_ms = monotonic_ms() + NEW_WORKER_SEARCH_MS

    async def _search_for_new_workers(self) -> None:
        """Read the directory until it lists new room, or all of it is to be applied again.

        A new worker stands empty until it is known, and what it lists is cheap to compare.
        """
        end_ms = monotonic_ms() + SHORT_DIRECTORY_INTERVAL_S * 1000
        while monotonic_ms() < end_ms:
            await asyncio.sleep(NEW_WORKER_INTERVAL_S)
            sent_ms = monotonic_ms()
            try:
                listed = await self._ports.directory.refresh()
            except StoreUnavailable:
                await asyncio.sleep(SHORT_DIRECTORY_INTERVAL_S)
                return
            if self.cell.lists_new_room(listed):
                self._update_new_worker_search(listed)
                self._apply_directory(listed, sent_ms)
                self._update_lease_tasks()
                return

    def _update_lease_tasks(self) -> None:
        """Run one loop for each current worker, to extend its lease."""
        current = dict.fromkeys(self.cell.boots.values())
        for boot in [w for w in current if w not in self._lease_tasks]:
            self._lease_tasks[boot] = asyncio.create_task(
                self._loop("hold", lambda boot=boot: self._extend_lease(boot))  # type: ignore[misc]
            )
        for boot in [w for w in self._lease_tasks if w not in current]:
            self._lease_tasks.pop(boot).cancel()

    async def _extend_lease(self, boot: Boot) -> None:
        if boot.adopted and not self.cell.term.registration_stored:
            # A call that the worker may hold would delay the first lease extension.
            await self._wait_for_changes_stored(LEASE_WAIT_MS / 1000)
        if self._released or not self._may_send_orders():
            await asyncio.sleep(REPEATED_LEASE_PAUSE_S)
            return
        sent_ms = monotonic_ms()
        deadline_ms, acknowledged = self.cell.prepare_lease_extension(
            boot, sent_ms, not (self._releasing and boot.info.draining)
        )
        previous_end = boot.last_end_sequence
        was_adopted = boot.adopted
        info = boot.info
        wait_ms = 0
        if boot.last_answer_ms is not None and boot.adopted and self.cell.term.registration_stored:
            wait_ms = max(0, LEASE_WAIT_MS - (sent_ms - boot.last_answer_ms))
        try:
            reply = await self._ports.workers.extend_lease(
                info, deadline_ms, boot.fencing_token, acknowledged, wait_ms
            )
        except WorkerCallFailed as exc:
            self._metrics.count("hold_failures")
            was_sent = not isinstance(exc, WorkerUnreachable)
            self.cell.note_lease_failure(boot, monotonic_ms(), was_sent)
            if boot.is_leaving:
                self._directory_wakeup.set()
            await asyncio.sleep(FAILED_LEASE_PAUSE_S)
            return
        except WrongBoot:
            self.cell.note_wrong_boot(boot, monotonic_ms(), info.address)
            await asyncio.sleep(FAILED_LEASE_PAUSE_S)
            return
        if isinstance(reply, OrderReply):
            self._check_fencing(boot, reply)
            self.cell.note_lease_refused(boot, monotonic_ms())
            await asyncio.sleep(FAILED_LEASE_PAUSE_S)
            return
        with self._holds.measure("list"):
            orders = self.cell.handle_lease_reply(boot, reply, sent_ms, monotonic_ms())
            self._carry_out_all(orders)
        if boot.adopted and not was_adopted and not self.cell.term.adopting:
            self._request_confirmation()
        if boot not in self.cell.boots.values():
            self._update_lease_tasks()
        if boot.last_end_sequence > previous_end:
            self._plan_wakeup.set()
        await self._wait_for_stops()
        if boot.last_end_sequence > boot.acknowledged_sequence:
            await self._wait_until_stored(boot, boot.last_end_sequence)
        elif not boot.adopted:  # its list can't be read in full
            await asyncio.sleep(FAILED_LEASE_PAUSE_S)
        elif monotonic_ms() - sent_ms < wait_ms // 2:
            await asyncio.sleep(REPEATED_LEASE_PAUSE_S)

    async def _wait_for_stops(self) -> None:
        """Wait until no stops wait for room any more, or the next poll is due."""
        deadline_ms = monotonic_ms() + HELD_BACK_LIST_PAUSE_S * 1000
        while self.cell.holds_back_stops and monotonic_ms() < deadline_ms:
            await asyncio.sleep(REPEATED_LEASE_PAUSE_S)

    async def _wait_for_changes_stored(self, limit_s: float) -> None:
        """Wait until changes are stored, or for `limit_s`."""
        with suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._changes_stored.wait()

    async def _wait_until_stored(self, boot: Boot, sequence: int) -> None:
        """Wait until run ends of a worker may be acknowledged, or the next poll is due."""
        with suppress(TimeoutError):
            limit_s = REPEATED_LEASE_PAUSE_S if self._releasing else MAX_STORE_WAIT_S
            async with asyncio.timeout(limit_s):
                while boot.acknowledged_sequence < sequence:
                    await self._changes_stored.wait()

    # The store.

    async def _commit_once(self) -> None:
        if not self.cell.has_urgent_changes:
            await self._wait_for_urgent_changes()
        if (
            self._released
            or self._release_queued
            or not self._ownership.is_read_recent(monotonic_ms())
        ):
            await asyncio.sleep(COMMIT_INTERVAL_S)
            return
        with self._holds.measure("changes"):
            changes = self.cell.collect_changes(wall_ms(), monotonic_ms())
        if changes is not None and changes.records:
            await self._store(changes)
        elif changes is not None:
            self._note_changes_stored(changes)
        if monotonic_ms() - self._last_heartbeat_ms > HEARTBEAT_INTERVAL_MS:
            await self._append([self._ownership_record(False)])

    async def _wait_for_urgent_changes(self) -> None:
        """Wait for the commit interval, or until a change must be stored without delay."""
        self._urgent_changes.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(COMMIT_INTERVAL_S):
                await self._urgent_changes.wait()

    def _ownership_record(self, released: bool) -> Ownership:
        settled_offset = self.cell.planner.advance_settled_offset(
            self._ledger.next_offset, monotonic_ms()
        )
        return msgspec.structs.replace(
            self._claim, released=released, settled_offset=settled_offset
        )

    async def _store(self, changes: Changes) -> None:
        records = list(changes.records)
        if all(isinstance(record, Forecast) for record in records):
            # Instances of older versions can't read a forecast, so it is no heartbeat to them.
            records.append(self._ownership_record(False))
        stored = False
        try:
            stored = await self._append(records)
        finally:  # after an unexpected error, too, the changes may not be stored
            if not stored:
                self.cell.note_changes_unconfirmed(changes)
        if stored:
            self._note_changes_stored(changes)
            self._plan_wakeup.set()

    def _note_changes_stored(self, changes: Changes) -> None:
        self.cell.note_changes_stored(changes)
        self._changes_stored.set()
        self._changes_stored = asyncio.Event()

    async def _append(self, records: list[Record]) -> bool:
        """Append records as the owner, with retries; return whether they were stored.

        Followers read the append as a heartbeat.
        """
        entries = self._encode(records)
        sent_ms = monotonic_ms()  # any of the tries may be the one that is stored
        stored = await self._append_entries(entries)
        if stored:
            self._last_heartbeat_ms = monotonic_ms()
            self._ownership.note_stored(self.token, sent_ms, self._last_heartbeat_ms)
        return stored

    def _encode(self, records: list[Record]) -> list[tuple[str, bytes]]:
        with self._holds.measure("encode"):
            return [(key_of(record), encode_record(record)) for record in records]

    async def _append_entries(self, entries: list[tuple[str, bytes]]) -> bool:
        async with self._append_lock:  # the store takes sequence numbers only in order
            if self._released:
                return False  # a record after the release record would supersede that
            return await self._append_with_retries(entries)

    async def _append_with_retries(self, entries: list[tuple[str, bytes]]) -> bool:
        """Append entries in their order, in as many calls as their size asks for."""
        for batch in _split_entries(entries):
            if not await self._append_batch(batch):
                return False
        return True

    async def _append_batch(self, entries: list[tuple[str, bytes]]) -> bool:
        """Append entries under the next sequence number, until the outcome is certain."""
        self._sequence += 1
        sequence = self._sequence
        while not self._stopping and monotonic_ms() < self._retries_end_ms:
            result = await self._ports.store.append_fenced(entries, self.token, sequence)
            if result.outcome is Outcome.DONE:
                return True
            if result.fenced:
                _log.warning("fenced_by_store", token=self.token)
                self._ownership.note_fenced()
                await asyncio.sleep(STORE_RETRY_PAUSE_S)
                return False
            if result.too_large:  # the store has not counted it, and would refuse it for ever
                self._sequence -= 1
                key, value = max(entries, key=lambda entry: len(entry[1]))
                _log.warning("append_too_large", token=self.token, key=key, bytes=len(value))
                await asyncio.sleep(STORE_RETRY_PAUSE_S)
                return False
            self._metrics.count("append_retries", outcome=result.outcome.value)
            await asyncio.sleep(STORE_RETRY_PAUSE_S)
        return False

    async def release(self) -> None:
        """Store the last changes and release the cell, so that another instance can claim it.

        Nothing is started from now on, and nothing is sent once the changes are collected: the next
        owner may act as soon as it reads them. Until the append that is under way has ended, leases
        are extended, as the runs must go on until the next owner extends them.
        """
        self._releasing = True
        # A call of the store that times out as it is cancelled may return instead, so the time-out
        # below does not always end the retries.
        self._retries_end_ms = monotonic_ms() + RELEASE_TIMEOUT_S * 1000
        stored = False
        with suppress(TimeoutError):
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                handover = await await_ends(
                    self._calls.values, self.cell.boots.values, self._may_send_orders
                )
                _log.info("handed_over", token=self.token, **asdict(handover))
                self._release_queued = True
                async with self._append_lock:
                    self._released = True
                    await cancel_all([*self._calls, *self._lease_tasks.values()])
                    changes = self.cell.collect_changes(wall_ms(), monotonic_ms(), releasing=True)
                    records = list(changes.records) if changes else []
                    entries = self._encode([*records, self._ownership_record(True)])
                    stored = await self._append_with_retries(entries)
        if not stored:
            _log.warning("not_released", token=self.token)

    async def report_departures(self) -> None:
        """Tell the next owner which workers leave, until none drains that drained under this one.

        Only who has seen an entry change for some time can tell why it is removed.
        """
        directory = self._ports.directory
        drains = True
        while drains:
            await asyncio.sleep(SHORT_DIRECTORY_INTERVAL_S)
            try:
                listed = await directory.refresh()
            except StoreUnavailable:
                continue
            drains = any(info.draining for info in listed.values())
            if departed := directory.take_departed():
                record = Departures(tuple(sorted(departed.items())))
                entries = [(key_of(record), encode_record(record))]
                while (await self._ports.store.append(entries)).outcome is not Outcome.DONE:
                    await asyncio.sleep(STORE_RETRY_PAUSE_S)
                _log.info("departures_reported", token=self.token, workers=len(departed))

    async def _delete_expired_jobs(self) -> None:
        await asyncio.sleep(DELETION_INTERVAL_S)
        retention_ms = self._status_retention_ms + DELETION_MARGIN_MS
        job_ids = self._ledger.ended_before(wall_ms() - retention_ms)
        # These are kept for longer than the append of a submission may take.
        early = self._ledger.early_cancellations_before(monotonic_ms() - retention_ms)
        if not job_ids and not early:
            return
        deletions = [(prefix + job_id, b"") for job_id in job_ids for prefix in ("p", "c", "j")]
        deletions += [(f"c{job_id}", b"") for job_id in early]
        if await self._append_entries(deletions):
            self.cell.remove_jobs(job_ids)
