"""Carry out what the owner of a cell decides: lists of workers, orders, and stored changes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import msgspec

from greengagewood.internal.cells.cell import Cell, CellLimits
from greengagewood.internal.cells.fleet import Worker
from greengagewood.internal.cells.ledger import Ledger
from greengagewood.internal.cells.orders import (
    AskAdvice,
    Changes,
    Order,
    PaceRun,
    StartRun,
    StopRun,
)
from greengagewood.internal.cells.ownership import SIGN_INTERVAL_MS
from greengagewood.internal.clock import monotonic_ms, wall_ms
from greengagewood.internal.daemon import raise_location, supervised_loop
from greengagewood.internal.jobs.records import (
    Cancellation,
    Ownership,
    Record,
    Submission,
    encode_record,
    key_of,
)
from greengagewood.internal.logs import Log
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.ports import (
    AdviceService,
    AdviceUnavailable,
    JobStore,
    LeaseReply,
    OrderReply,
    Outcome,
    StoreUnavailable,
    WorkerCallFailed,
    WorkerDirectory,
    WorkerLink,
    WrongBoot,
)

__all__ = ["CellRunner", "Ports"]

HOLD_WAIT_MS = 450  # readings of tails come every half second
SILENT_PAUSE_S = 0.25
REPEAT_PAUSE_S = 0.05  # between lists that showed nothing new
DIRECTORY_INTERVAL_S = 0.5
PLAN_INTERVAL_S = 0.05
PLAN_REST_S = 0.01  # between two plans, so that ends which come together are planned for together
COMMIT_INTERVAL_S = 0.15
STORE_PAUSE_S = 0.1
FORGET_INTERVAL_S = 10.0
FORGET_MARGIN_MS = 60_000  # clocks of the day differ, and callers may come back late
RELEASE_TIMEOUT_S = 1.5

_log = Log("cell")


@dataclass(frozen=True)
class Ports:
    """Hold what the product needs of the outside."""

    store: JobStore
    directory: WorkerDirectory
    workers: WorkerLink
    advice: AdviceService | None


class CellRunner:
    """Run one term of ownership."""

    def __init__(
        self,
        ports: Ports,
        ledger: Ledger,
        limits: CellLimits,
        token: int,
        status_ms: int,
        metrics: Metrics,
        lost: Callable[[], None],
        licensed: Callable[[], bool],
    ) -> None:
        self._ports = ports
        self._ledger = ledger
        self._claimed = ledger.ownership
        self.token = token
        self._status_ms = status_ms
        self._metrics = metrics
        self._lost = lost
        self._licensed = licensed
        self._sequence = 1  # the claim was the first append of the term
        self._signed_ms = monotonic_ms()
        self._appending = asyncio.Lock()
        self._wake = asyncio.Event()
        self._urgent = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._holds: dict[Worker, asyncio.Task[None]] = {}
        self._stopping = False
        self.cell = Cell(
            limits, token, monotonic_ms(), ledger.ownership.settled_offset, ledger.claimed_at
        )
        self.cell.on_event = self._report

    def start(self) -> None:
        """Take over what the store knows and begin to decide."""
        now = monotonic_ms()
        for name, known in self._ledger.jobs.items():
            if known.submission is None:
                continue
            offset = known.submitted_at
            # Submitted after the claim, or before what the store says of every start.
            untouched = known.progress is None and offset < self._ledger.ownership.settled_offset
            fresh = untouched or offset > self._ledger.claimed_at
            self.cell.add_job(known.submission, known.progress, fresh, now, offset)
            if known.cancelled:
                self.cell.cancel(name, now)
        self.cell.set_enlisted(self._ledger.enlisted, now)
        for name, step in {
            "directory": self._refresh_directory,
            "plan": self._plan,
            "commit": self._commit,
            "forget": self._forget_old,
        }.items():
            self._spawn(self._loop(name, step))

    async def _loop(self, name: str, step: Callable[[], Awaitable[None]]) -> None:
        """Repeat a step for the whole term: one bad record or answer must not end it."""
        await supervised_loop(name, step, self._metrics, STORE_PAUSE_S)()

    async def stop(self) -> None:
        """Stop giving orders."""
        self._stopping = True
        tasks = [*self._tasks, *self._holds.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def took(self, record: Record) -> None:
        """Take in a record that callers' instances have stored."""
        now = monotonic_ms()
        match record:
            case Submission():
                self.cell.add_job(
                    record, None, True, now, self._ledger.jobs[record.job_id].submitted_at
                )
            case Cancellation():
                self.cell.cancel(record.job_id, now)
            case _:
                return
        self._wake.set()

    def _report(self, event: str, fields: dict[str, object]) -> None:
        self._metrics.count("cell_events", event=event)
        _log.info(event, token=self.token, **fields)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (exc := task.exception()) is not None:
            self._metrics.count("task_failures", task="order", kind=type(exc).__name__)
            _log.warning("task_failed", task="order", error=repr(exc), where=raise_location(exc))

    # Decisions.

    async def _plan(self) -> None:
        await asyncio.sleep(PLAN_REST_S)
        if self._licensed():
            self._carry_out_all(self.cell.plan(monotonic_ms(), wall_ms()))
        if self.cell.has_urgent_changes:
            self._urgent.set()
        try:
            async with asyncio.timeout(PLAN_INTERVAL_S):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()

    def _carry_out_all(self, orders: list[Order]) -> None:
        for order in orders:
            self._spawn(self._carry_out(order))

    async def _carry_out(self, order: Order) -> None:
        match order:
            case StartRun():
                await self._start_run(order)
            case StopRun():
                await self._stop_run(order)
            case PaceRun():
                await self._pace_run(order)
            case AskAdvice():
                await self._ask_advice(order)
        self._wake.set()

    async def _start_run(self, order: StartRun) -> None:
        run = order.run
        worker = order.worker
        reason = "unanswered"
        try:
            reply = await self._ports.workers.start(
                worker.info,
                run.task.id,
                run.number,
                order.payload,
                order.deadline_ms,
                self.token,
                order.checkpoint,
                run.ticket,
            )
        except WorkerCallFailed:
            self.cell.start_unanswered(run, monotonic_ms())
        except WrongBoot:
            self.cell.wrong_boot(worker, monotonic_ms())
            reason = "wrong_boot"
        else:
            reason = reply.reason or "accepted"
            self._check_fence(reply)
            self._carry_out_all(self.cell.start_answered(worker, run, reply.reason, monotonic_ms()))
        self._metrics.count("starts", outcome=reason)
        _log.info(
            "start",
            token=self.token,
            task=run.task.id,
            run=run.number,
            worker=worker.name,
            waited_ms=run.started_ms - run.task.step.job.arrived_ms,
            image=run.task.step.spec.image,
            cpu=run.task.step.spec.cpu_millis,
            percent=run.initial_speed_percent,
            free_cpu=worker.info.cpu_millis - worker.used.cpu_millis,
            answered_ms=monotonic_ms() - run.started_ms,
            outcome=reason,
        )

    def _check_fence(self, reply: OrderReply) -> None:
        if reply.reason == "fence":
            _log.warning("fenced_by_worker", token=self.token)
            self._lost()

    async def _stop_run(self, order: StopRun) -> None:
        outcome = "unanswered"
        try:
            reply = await self._ports.workers.stop(
                order.worker.info, order.task, order.number, self.token
            )
            self._check_fence(reply)
            outcome = reply.reason or "accepted"
            if not reply.reason:
                self.cell.stop_answered(order.run, monotonic_ms())
        except WorkerCallFailed:
            pass  # the cell sends the stop again
        except WrongBoot:
            self.cell.wrong_boot(order.worker, monotonic_ms())
        self._metrics.count("stops", reason=order.reason, outcome=outcome)
        _log.info(
            "stop",
            token=self.token,
            task=order.task,
            run=order.number,
            worker=order.worker.name,
            reason=order.reason,
            outcome=outcome,
        )

    async def _pace_run(self, order: PaceRun) -> None:
        before = order.run.speed_percent
        order.run.speed_percent = order.percent
        order.worker.reconsider_tails()
        try:
            reply = await self._ports.workers.throttle(
                order.worker.info, order.run.task.id, order.run.number, order.percent, self.token
            )
            self._check_fence(reply)
        except (WorkerCallFailed, WrongBoot):
            order.run.speed_percent = before  # it is paced again by the next reading
            order.worker.reconsider_tails()
        self._metrics.count("paces")
        _log.debug(
            "pace",
            task=order.run.task.id,
            run=order.run.number,
            worker=order.worker.name,
            least_slack=round(order.worker.least_slack, 2),
            percent=order.percent,
        )

    async def _ask_advice(self, order: AskAdvice) -> None:
        step = order.step
        if self._ports.advice is None:
            _log.warning("no_advice_service", job=step.job.id, step=step.number)
            return
        try:
            permits = await self._ports.advice.request_permits(
                step.job.id, step.occurrence, step.number, order.workers
            )
        except AdviceUnavailable:
            self.cell.planner.advice_failed(step)
        else:
            self.cell.planner.advice_answered(step, permits)

    # Workers.

    async def _refresh_directory(self) -> None:
        try:
            listed = await self._ports.directory.refresh()
        except StoreUnavailable:
            self._metrics.count("directory_failures")
        else:
            self.cell.set_workers(listed, monotonic_ms())
            self._follow_workers()
            self._wake.set()
        await asyncio.sleep(DIRECTORY_INTERVAL_S)

    def _follow_workers(self) -> None:
        """Keep one loop of lists a worker."""
        current = dict.fromkeys(self.cell.workers.values())
        for worker in [w for w in current if w not in self._holds]:
            self._holds[worker] = asyncio.create_task(
                self._loop("hold", lambda worker=worker: self._hold(worker))  # type: ignore[misc]
            )
        for worker in [w for w in self._holds if w not in current]:
            self._holds.pop(worker).cancel()

    async def _hold(self, worker: Worker) -> None:
        if not self._licensed():
            await asyncio.sleep(REPEAT_PAUSE_S)
            return
        sent = monotonic_ms()
        deadline, acknowledged = self.cell.hold_terms(worker, sent)
        before = worker.seen_end
        wait_ms = HOLD_WAIT_MS if worker.adopted else 0
        try:
            reply = await self._ports.workers.extend_lease(
                worker.info, deadline, self.token, acknowledged, wait_ms
            )
        except WorkerCallFailed:
            self._metrics.count("hold_failures")
            self.cell.hold_failed(worker, monotonic_ms())
            await asyncio.sleep(SILENT_PAUSE_S)
            return
        except WrongBoot:
            self.cell.wrong_boot(worker, monotonic_ms())
            await asyncio.sleep(SILENT_PAUSE_S)
            return
        if not isinstance(reply, LeaseReply):
            self._check_fence(reply)
            await asyncio.sleep(SILENT_PAUSE_S)
            return
        self._carry_out_all(self.cell.hold_answered(worker, reply, sent, monotonic_ms()))
        if worker not in self.cell.workers.values():
            self._follow_workers()
        if worker.seen_end > before:
            self._wake.set()
        elif monotonic_ms() - sent < HOLD_WAIT_MS // 2:
            await asyncio.sleep(REPEAT_PAUSE_S)

    # The store.

    async def _commit(self) -> None:
        if not self.cell.has_urgent_changes:
            await self._wait_for_urgent()
        changes = self.cell.changes(wall_ms())
        if changes is not None and changes.records:
            await self._store(changes)
        elif changes is not None:
            self.cell.changes_stored(changes)
        if monotonic_ms() - self._signed_ms > SIGN_INTERVAL_MS:
            await self._append([self._sign(False)])

    async def _wait_for_urgent(self) -> None:
        """Wait one interval, or until something must be stored without delay."""
        self._urgent.clear()
        try:
            async with asyncio.timeout(COMMIT_INTERVAL_S):
                await self._urgent.wait()
        except TimeoutError:
            pass

    def _sign(self, released: bool) -> Ownership:
        settled = self.cell.planner.settle(self._ledger.end, monotonic_ms())
        return msgspec.structs.replace(self._claimed, released=released, settled_offset=settled)

    async def _store(self, changes: Changes) -> None:
        if await self._append(list(changes.records)):
            self.cell.changes_stored(changes)
            self._wake.set()
        else:
            self.cell.changes_lost(changes)

    async def _append(self, records: list[Record]) -> bool:
        """Append as the owner; repeat until it is certain what became of it."""
        entries = [(key_of(record), encode_record(record)) for record in records]
        return await self._append_entries(entries)

    async def _append_entries(self, entries: list[tuple[str, bytes]]) -> bool:
        async with self._appending:  # the store takes them only in order
            self._sequence += 1
            return await self._append_in_order(entries, self._sequence)

    async def _append_in_order(self, entries: list[tuple[str, bytes]], sequence: int) -> bool:
        while not self._stopping:
            result = await self._ports.store.append_fenced(entries, self.token, sequence)
            if result.outcome is Outcome.DONE:
                self._signed_ms = monotonic_ms()
                return True
            if result.fenced:
                _log.warning("fenced_by_store", token=self.token)
                self._lost()
                await asyncio.sleep(STORE_PAUSE_S)
                return False
            self._metrics.count("append_retries", outcome=result.outcome.value)
            await asyncio.sleep(STORE_PAUSE_S)
        return False

    async def release(self) -> None:
        """Give the cell up, so that another instance claims it at once."""
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                changes = self.cell.changes(wall_ms())
                records = list(changes.records) if changes else []
                await self._append([*records, self._sign(True)])
        except TimeoutError:
            _log.warning("not_released", token=self.token)

    async def _forget_old(self) -> None:
        await asyncio.sleep(FORGET_INTERVAL_S)
        names = self._ledger.ended_before(wall_ms() - self._status_ms - FORGET_MARGIN_MS)
        if not names:
            return
        keys = [(kind + name, b"") for name in names for kind in ("p", "c", "j")]
        if await self._append_entries(keys):
            self.cell.forget_jobs(names)
