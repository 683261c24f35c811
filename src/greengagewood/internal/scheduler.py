"""The scheduler: runs the commands that the owners of this instance's cells plan.

A `CellOwner` decides without input or output. This module passes it records, configurations
and workers' replies, and sends its commands to workers and to the log.
"""

from __future__ import annotations

import asyncio
import math
import uuid
from collections.abc import Coroutine
from typing import Any

import aiohttp

from greengagewood.internal.clock import monotonic_ms, wall_ms
from greengagewood.internal.confighistory import AcceptedConfig
from greengagewood.internal.document import Cell
from greengagewood.internal.feed import ClusterStatus, Feed, ReplayedRecord
from greengagewood.internal.interference import LatencySample
from greengagewood.internal.joblog import JobLog
from greengagewood.internal.link import Link, LinkTimeout, Listener
from greengagewood.internal.logs import Log
from greengagewood.internal.messages import (
    AnyMessage,
    AppendReply,
    AppendRequest,
    CellLoad,
    Done,
    Failure,
    JobQuery,
    JobView,
    LatencyReport,
    WorkerEntry,
)
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.native.workers import WorkerClient, WorkerUnreachable
from greengagewood.internal.owner import Append, CellOwner, ClusterView, Command, Send
from greengagewood.internal.placement import Resources
from greengagewood.internal.process import supervised_loop
from greengagewood.internal.ranking import rendezvous_rank
from greengagewood.internal.records import (
    CellClaimed,
    JobCancelled,
    JobSubmitted,
    StreamNames,
    encode_record,
)
from greengagewood.internal.settings import SchedulerSettings

# aiohttp would add these headers to every request.
SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")

__all__ = ["Scheduler"]

TICK_INTERVAL_S = 0.1
WORKER_TIMEOUT_S = 1.0
APPEND_TIMEOUT_MS = 2000
RELEASE_TIMEOUT_S = 5.0
STARTUP_DELAY_MS = 2000  # no scheduler counts as a candidate owner this long after the start
JOB_POLL_INTERVAL_S = 0.1
EXPIRY_INTERVAL_S = 5.0
JOB_RETENTION_FACTOR = 2  # times the log's retention; older submissions cannot be read again

_log = Log("scheduler")


class Scheduler:
    """Run the owners of the cells of one failure domain."""

    def __init__(self, cfg: SchedulerSettings, metrics: Metrics) -> None:
        self._cfg = cfg
        self._metrics = metrics
        self._stream_names = StreamNames(cfg.environment, cfg.stage)
        self._boot_ms = wall_ms()
        self._started_ms = monotonic_ms()
        self._owners: dict[str, CellOwner] = {}
        self._owners_by_stream: dict[str, CellOwner] = {}
        self._job_log = JobLog()
        self._command_tasks: set[asyncio.Task[None]] = set()
        self._loops: list[asyncio.Future[None]] = []
        self._listener = Listener(cfg.instance, cfg.listen, cfg.keys, self._handle_request, metrics)

    async def start(self) -> None:
        """Open the sockets, and begin to sync with the keeper and to plan."""
        source = (self._cfg.listen.ip, 0)
        connector = aiohttp.TCPConnector(limit=0, local_addr=source)
        self._session = aiohttp.ClientSession(
            connector=connector, skip_auto_headers=SKIPPED_AUTO_HEADERS
        )
        self._workers = WorkerClient(self._session, WORKER_TIMEOUT_S)
        cfg = self._cfg
        self._keeper = Link(f"{cfg.instance}.scheduler", str(cfg.keeper), cfg.keys, self._metrics)
        self._feed = Feed("scheduler", self._keeper, self._metrics, self._cell_loads)
        self._feed.follow(self._stream_names.jobs)
        self._feed.config.subscribe(self._apply_config)
        self._feed.workers.subscribe(lambda _: self._update_workers())
        self._feed.backends.subscribe(lambda _: self._update_workers())
        self._feed.evacuations.subscribe(lambda _: self._update_holds())
        self._feed.records.subscribe(self._apply_record)
        self._feed.gaps.subscribe(self._handle_gap)
        self._listener.start()
        for name, step in {
            "feed": self._feed.sync,
            "tick": self._tick,
            "forget": self._drop_expired,
        }.items():
            loop = supervised_loop(name, step, self._metrics, 0.2)
            self._loops.append(asyncio.ensure_future(loop()))

    async def stop(self) -> None:
        """Release every cell, so that another scheduler can claim it at once, and close.

        A claim that is under way is awaited, as its cell has no other owner once it is stored.
        """
        for owner in self._owners.values():
            owner.release()
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                while any(owner.may_own for owner in self._owners.values()):
                    await asyncio.sleep(TICK_INTERVAL_S)
        except TimeoutError:
            _log.warning(
                "cells not released", cells=[c for c, o in self._owners.items() if o.may_own]
            )
        for loop in self._loops:
            loop.cancel()
        for task in list(self._command_tasks):
            task.cancel()
        await asyncio.gather(*self._loops, *self._command_tasks, return_exceptions=True)
        await self._listener.stop()
        self._keeper.close()
        await self._session.close()

    def ready(self) -> str:
        """Return an empty string if the scheduler can work, else what it waits for."""
        return "" if self._feed.config.value else "a configuration"

    def status(self) -> Any:
        """Describe the cells, their jobs and their workers."""
        return {
            "cells": {
                name: {
                    "state": owner.state,
                    "epoch": owner.log.epoch,
                    "owner": owner.log.owner,
                    "jobs": len(owner.book.jobs),
                    "evictions": owner.evictions,
                    "task_moves": {
                        f"{state}.{event}": count
                        for (state, event), count in owner.book.transition_counts.items()
                    },
                    "workers": {
                        worker.name: {
                            "free": worker.free(),
                            "fenced": worker.fenced,
                            "failures": worker.failed_exchanges,
                        }
                        for worker in owner.workers.values()
                    },
                }
                for name, owner in self._owners.items()
            }
        }

    # Updates from the keeper.

    def _apply_config(self, accepted: AcceptedConfig | None) -> None:
        if accepted is None:
            return
        for name, cell in accepted.document.cells.items():
            if cell.failure_domain == self._cfg.failure_domain and name not in self._owners:
                self._add_owner(name)
        for owner in self._owners.values():
            owner.set_document(accepted.document)
        self._update_workers()

    def _add_owner(self, cell: str) -> None:
        owner = CellOwner(cell, self._cfg.instance, self._boot_ms, wall_ms)
        owner.on_event = self._record_event
        owner.hold_placement(self._hold_reason())
        self._owners[cell] = owner
        self._owners_by_stream[self._stream_names.cell(cell)] = owner
        for job in self._job_log.jobs.values():
            if job.spec.cell == cell:
                owner.set_job(job)
        for record in self._job_log.early_cancellations.values():
            owner.note_cancelled(record)
        self._feed.follow(self._stream_names.cell(cell))

    def _record_event(self, event: str, fields: dict[str, object]) -> None:
        self._metrics.count("owner_events", event=event, cell=str(fields["cell"]))
        if event == "attempt_over":
            _log.debug(event, **fields)
        else:
            _log.info(event, **fields)

    def _hold_reason(self) -> str:
        """Return why the cells' owners may start nothing, or an empty string if they may."""
        evacuations = self._feed.evacuations.value
        if self._cfg.failure_domain in evacuations.domains:
            return "evacuated"
        return "" if evacuations.known else "evacuations_unknown"

    def _update_holds(self) -> None:
        reason = self._hold_reason()
        for owner in self._owners.values():
            owner.hold_placement(reason)

    def _measure_evacuated_workers(self) -> None:
        evacuated = self._cfg.failure_domain in self._feed.evacuations.value.domains
        for name, owner in self._owners.items():
            count = len(owner.workers) if evacuated else 0
            self._metrics.gauge("evacuated_workers", count, cell=name)

    def _update_workers(self) -> None:
        accepted = self._feed.config.value
        if accepted is None:
            return
        reserves = self._reserves_by_worker(accepted)
        services_by_worker: dict[str, set[str]] = {}
        for backend in self._feed.backends.value:
            services_by_worker.setdefault(backend.worker, set()).add(backend.service)
        for name, cell in accepted.document.cells.items():
            owner = self._owners.get(name)
            if owner is not None:
                entries = [w for w in self._feed.workers.value if _belongs(w, cell)]
                owner.set_workers(entries, reserves)
                owner.set_services(services_by_worker)

    def _reserves_by_worker(self, accepted: AcceptedConfig) -> dict[str, Resources]:
        """Return the resources of each worker that are reserved for services' backend servers."""
        reserves: dict[str, Resources] = {}
        for backend in self._feed.backends.value:
            service = accepted.document.services.get(backend.service)
            if service is not None:
                reserve = service.reserve
                size = Resources(reserve.cpus, reserve.memory_mb, reserve.accelerators)
                reserves[backend.worker] = reserves.get(backend.worker, Resources()) + size
        return reserves

    def _apply_record(self, replayed: ReplayedRecord) -> None:
        record = replayed.record
        if replayed.stream == self._stream_names.jobs:
            if isinstance(record, JobSubmitted | JobCancelled) and self._job_log.replay(record):
                job = self._job_log.jobs[record.job]
                owner = self._owners.get(job.spec.cell)
                if owner is not None:
                    owner.set_job(job)
            elif isinstance(record, JobCancelled):
                for owner in self._owners.values():  # its cell is not known
                    owner.note_cancelled(record)
            return
        owner = self._owners_by_stream.get(replayed.stream)
        if owner is not None:
            owner.replay(replayed.offset, record, monotonic_ms())

    def _handle_gap(self, stream: str) -> None:
        owner = self._owners_by_stream.get(stream)
        if owner is not None:
            owner.lose_sync()

    async def _drop_expired(self) -> None:
        await asyncio.sleep(EXPIRY_INTERVAL_S)
        accepted = self._feed.config.value
        if accepted is None:
            return
        retention = accepted.document.log
        keep_jobs_ms = retention.keeps_ms * JOB_RETENTION_FACTOR
        for owner in self._owners.values():
            owner.drop_expired(retention.results_keep_ms, keep_jobs_ms)
        active = {job for owner in self._owners.values() for job in owner.log.state.jobs}
        self._job_log.drop_before(wall_ms() - keep_jobs_ms, active)

    def _cell_loads(self) -> tuple[CellLoad, ...]:
        loads = (owner.load() for owner in self._owners.values())
        return tuple(load for load in loads if load is not None)

    # Commands: planned by the owners, run as tasks.

    async def _tick(self) -> None:
        now_ms = monotonic_ms()
        cluster_status = self._feed.cluster_status.value
        for owner in self._owners.values():
            for command in owner.plan(now_ms, self._cluster_view(owner, cluster_status, now_ms)):
                self._execute(owner, command)
        self._measure_evacuated_workers()
        await asyncio.sleep(TICK_INTERVAL_S)

    def _cluster_view(
        self, owner: CellOwner, cluster_status: ClusterStatus, now_ms: int
    ) -> ClusterView:
        accepted = self._feed.config.value
        suspect_ms = accepted.document.leases.suspect_after_ms if accepted else 0
        domain_members = [
            (member, heard_ms)
            for member, heard_ms in cluster_status.members.values()
            if member.failure_domain == self._cfg.failure_domain
        ]
        live_members = [m for m, heard_ms in domain_members if now_ms - heard_ms <= suspect_ms]
        candidates = [m.instance for m in live_members if m.scheduler_address and not m.leaving]
        if now_ms - self._started_ms < STARTUP_DELAY_MS:
            candidates = []
        epoch = owner.log.epoch
        owner_seen = bool(owner.log.owner) and any(
            m.instance == owner.log.owner
            and any(c.cell == owner.cell and c.epoch == epoch for c in m.owned_cells)
            for m in live_members
        )
        return ClusterView(
            log_confirmed_ms=cluster_status.log_confirmed_ms,
            ranked_schedulers=tuple(rendezvous_rank(owner.cell, candidates)),
            owner_seen=owner_seen,
            acked_heartbeat_sent_ms=cluster_status.acked_heartbeat_sent_ms,
            peer_claim_epochs=tuple(
                claim.based_on
                for m, _ in domain_members
                if m.instance != self._cfg.instance
                for claim in m.cell_claims
                if claim.cell == owner.cell
            ),
        )

    def _execute(self, owner: CellOwner, command: Command) -> None:
        match command:
            case Send():
                self._start_command(self._exchange(owner, command))
            case Append():
                self._start_command(self._append(owner, command))

    def _start_command(self, command: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(command)
        self._command_tasks.add(task)
        task.add_done_callback(self._command_finished)

    def _command_finished(self, task: asyncio.Task[None]) -> None:
        self._command_tasks.discard(task)
        if not task.cancelled() and (exc := task.exception()) is not None:
            self._metrics.count("task_failures", task="command", kind=type(exc).__name__)
            _log.warning("command failed", error=repr(exc))

    async def _exchange(self, owner: CellOwner, send: Send) -> None:
        try:
            reply = await self._workers.exchange(send.url, send.exchange)
        except WorkerUnreachable as exc:
            self._metrics.count("worker_failures", worker=send.worker)
            _log.debug("worker did not answer", worker=send.worker, error=str(exc))
            owner.exchange_failed(send)
            return
        owner.exchange_answered(send, reply, monotonic_ms())

    async def _append(self, owner: CellOwner, append: Append) -> None:
        stream = self._stream_names.cell(owner.cell)
        body = encode_record(append.record)
        req = AppendRequest(stream, uuid.uuid4().hex, body, APPEND_TIMEOUT_MS)
        durable = False
        try:
            reply = await self._keeper.request(req, APPEND_TIMEOUT_MS / 1000 + 1)
            durable = isinstance(reply, AppendReply) and reply.offset > 0
        except LinkTimeout:
            pass
        kind = type(append.record).__name__
        if isinstance(append.record, CellClaimed):
            _log.info("claim appended", cell=owner.cell, durable=durable)
        self._metrics.count("owner_appends", kind=kind, durable=str(durable))
        owner.append_finished(append.record, durable)

    # Requests of gateways.

    async def _handle_request(self, sender: str, message: AnyMessage) -> AnyMessage | None:
        if isinstance(message, LatencyReport):
            self._add_latencies(message)
            return Done()
        if not isinstance(message, JobQuery):
            self._metrics.count("link_dropped", reason="unexpected_kind")
            return Failure("unexpected kind of message")
        deadline_ms = monotonic_ms() + message.wait_ms
        view = self._view(message)
        while view.state == "active" and monotonic_ms() < deadline_ms:
            await asyncio.sleep(JOB_POLL_INTERVAL_S)
            view = self._view(message)
        return view

    def _add_latencies(self, report: LatencyReport) -> None:
        for latency in report.latencies:
            if latency.count < 1 or not math.isfinite(latency.log_sum + latency.log_square_sum):
                self._metrics.count("latency_rows_dropped")
                continue
            sample = LatencySample(
                latency.service,
                latency.worker,
                latency.count,
                latency.log_sum,
                latency.log_square_sum,
            )
            for owner in self._owners.values():
                if latency.worker in owner.workers:
                    owner.note_latency(sample)

    def _view(self, query: JobQuery) -> JobView:
        job = self._job_log.jobs.get(query.job)
        owner = self._owners.get(job.spec.cell) if job else None
        view = owner.view(query.job, query.with_results) if owner else None
        return view or JobView(query.job, False)


def _belongs(worker: WorkerEntry, cell: Cell) -> bool:
    return worker.failure_domain == cell.failure_domain and worker.rack in cell.racks
