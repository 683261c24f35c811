"""Simulation of a worker: it runs tasks under leases and records what happened for the audit."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from aiohttp import web

from greengagewood.internal.native.workers import (
    Attempt,
    EndedAttempt,
    Exchange,
    ExchangeReply,
    StartCommand,
    Usage,
)
from greengagewood.internal.placement import Resources
from greengagewood.internal.standin.settings import WorkerSettings
from greengagewood.internal.workerstate import AttemptId, requested_resources

__all__ = ["AuditEvent", "StandinWorker"]

MAX_USAGE_REPORTS_PER_REPLY = 20


class AuditEvent(msgspec.Struct, frozen=True):
    """Describe what happened to an attempt on a worker; `at_ms` is on the simulation's clock."""

    at_ms: int
    worker: str
    event: str
    task: str
    attempt: int
    batch_class: str = ""


@dataclass
class _Running:
    """Hold a running attempt.

    `done_ms` is its progress up to `speed_since_ms`; from then on it runs at `speed`.
    """

    start: StartCommand
    lease_until_ms: int
    ends_ms: int
    speed_since_ms: int
    done_ms: int
    speed: float = 1.0
    will_fail: bool = False


@dataclass
class _UsageLog:
    """Hold usage that is not reported yet, each with the time from which it may be reported."""

    reports: list[tuple[int, Usage]] = field(default_factory=list)


class StandinWorker:
    """Simulate a worker; `clock` returns its time in milliseconds."""

    def __init__(
        self,
        cfg: WorkerSettings,
        usage_lag_ms: int,
        rng: random.Random,
        clock: Callable[[], int],
    ) -> None:
        self.cfg = cfg
        self._usage_lag_ms = usage_lag_ms
        self._rng = rng
        self._clock = clock
        self._epoch = 0
        self._round = 0
        self._boot = time.time_ns()
        self._version = self._boot
        self._running: dict[AttemptId, _Running] = {}
        self._outbox: dict[AttemptId, EndedAttempt] = {}
        self._usage = _UsageLog()
        self._usage_since_ms = clock()
        self.reserved = Resources()
        self.fail_every_task = False
        self.silent = False
        self.max_committed = Resources()
        self.audit: list[AuditEvent] = []

    @property
    def running_tasks(self) -> int:
        """Return the number of tasks that run now."""
        return len(self._running)

    def tick(self) -> None:
        """End the attempts that are finished or whose lease has expired."""
        now_ms = self._clock()
        for key, running in list(self._running.items()):
            if running.lease_until_ms <= now_ms and running.lease_until_ms <= running.ends_ms:
                self._end_attempt(key, "lapsed", "")
            elif running.ends_ms <= now_ms:
                self._complete(key, running)

    def _complete(self, key: AttemptId, running: _Running) -> None:
        if running.will_fail:
            self._end_attempt(key, "failed", "exit status 1")
        else:
            self._end_attempt(key, "done", f"{running.start.task}:{running.start.run_ms}")

    def _end_attempt(self, key: AttemptId, outcome: str, detail: str) -> None:
        running = self._running.pop(key)
        self._version += 1
        self._outbox[key] = EndedAttempt(key[0], key[1], outcome, detail)
        self._record_event(outcome, running.start)

    def _record_event(self, event: str, start: StartCommand) -> None:
        self.audit.append(
            AuditEvent(
                self._clock(), self.cfg.name, event, start.task, start.attempt, start.batch_class
            )
        )

    async def serve(self, req: web.Request) -> web.Response:
        """Handle an exchange that arrives over HTTP."""
        if self.silent:
            return web.Response(status=500)
        try:
            exchange = msgspec.json.decode(await req.read(), type=Exchange)
        except msgspec.DecodeError as exc:
            return web.Response(status=400, text=str(exc))
        body = msgspec.json.encode(self.exchange(exchange))
        return web.Response(body=body, content_type="application/json")

    def exchange(self, exchange: Exchange) -> ExchangeReply:
        """Apply the commands of an exchange unless it is stale, and return the reply."""
        self.tick()
        now_ms = self._clock()
        last_accepted = (self._epoch, self._round)
        if (exchange.epoch, exchange.round) <= last_accepted:
            return self._reply(exchange, accepted=False, fresh=False)
        self._epoch = exchange.epoch
        self._round = exchange.round
        for key in exchange.acks:
            self._outbox.pop(key, None)
        age_ms = now_ms - exchange.echo
        fresh = exchange.boot == self._boot and 0 <= age_ms <= exchange.window_ms
        if fresh:
            self._apply_commands(exchange, now_ms)
        return self._reply(exchange, accepted=True, fresh=fresh)

    def _apply_commands(self, exchange: Exchange, now_ms: int) -> None:
        for running in self._running.values():
            running.lease_until_ms = now_ms + exchange.lease_ms
        for start in exchange.starts:
            self._start(start, now_ms, exchange.lease_ms)
        for key in exchange.stops:
            if key in self._running:
                self._end_attempt(key, "stopped", "")
        for key in exchange.checkpoints:
            if key in self._running:
                self._checkpoint(key, now_ms)
        for task, attempt, speed in exchange.throttles:
            if (task, attempt) in self._running:
                self._throttle(self._running[(task, attempt)], now_ms, speed)

    def _start(self, start: StartCommand, now_ms: int, lease_ms: int) -> None:
        key = (start.task, start.attempt)
        if key in self._running or key in self._outbox:
            return
        committed = self.reserved + requested_resources(start)
        for running in self._running.values():
            committed += requested_resources(running.start)
        capacity = Resources(self.cfg.cpus, self.cfg.memory_mb, self.cfg.accelerators)
        if not committed.fits_within(capacity):
            self._outbox[key] = EndedAttempt(start.task, start.attempt, "refused", "over capacity")
            self._record_event("refused", start)
            return
        done_ms = int(start.checkpoint or 0)
        remaining_ms = max(1, int(start.run_ms * self._rng.uniform(0.8, 1.2)) - done_ms)
        will_fail = self.fail_every_task
        ends_ms = now_ms + (min(remaining_ms, 50) if will_fail else remaining_ms)
        lease_until_ms = now_ms + lease_ms
        self._running[key] = _Running(
            start, lease_until_ms, ends_ms, now_ms, done_ms, 1.0, will_fail
        )
        self._version += 1
        self._record_event("start", start)
        self.max_committed = Resources(
            max(self.max_committed.cpus, committed.cpus),
            max(self.max_committed.memory_mb, committed.memory_mb),
            max(self.max_committed.accelerators, committed.accelerators),
        )

    def _checkpoint(self, key: AttemptId, now_ms: int) -> None:
        running = self._running[key]
        done_ms = running.done_ms + int((now_ms - running.speed_since_ms) * running.speed)
        self._end_attempt(key, "checkpointed", str(done_ms))

    def _throttle(self, running: _Running, now_ms: int, speed: float) -> None:
        remaining_ms = (running.ends_ms - now_ms) * running.speed
        running.done_ms += int((now_ms - running.speed_since_ms) * running.speed)
        running.speed_since_ms = now_ms
        running.speed = speed
        running.ends_ms = now_ms + int(remaining_ms / max(speed, 0.01))

    def _reply(self, exchange: Exchange, accepted: bool, fresh: bool) -> ExchangeReply:
        now_ms = self._clock()
        changed = self._version != exchange.known_version
        running = tuple(
            Attempt(s.task, s.attempt, s.batch_class, s.cpus, s.memory_mb, s.accelerators)
            for s in (r.start for r in self._running.values())
        )
        return ExchangeReply(
            accepted=accepted,
            epoch=self._epoch,
            fresh=fresh,
            boot=self._boot,
            clock=now_ms,
            version=self._version,
            cpus=self.cfg.cpus,
            memory_mb=self.cfg.memory_mb,
            accelerators=self.cfg.accelerators,
            running=running if changed and accepted else None,
            ended=tuple(self._outbox.values()) if accepted else (),
            usage=self._collect_due_usage(now_ms) if accepted else (),
        )

    def _collect_due_usage(self, now_ms: int) -> tuple[Usage, ...]:
        """Record the usage since the last call, and return what is old enough to be reported."""
        cpus_by_class: dict[str, float] = {}
        for running in self._running.values():
            name = running.start.batch_class
            cpus_by_class[name] = cpus_by_class.get(name, 0.0) + running.start.cpus * running.speed
        for name, cpus in cpus_by_class.items():
            usage = Usage(name, cpus, self._usage_since_ms, now_ms)
            self._usage.reports.append((now_ms + self._usage_lag_ms, usage))
        self._usage_since_ms = now_ms
        due = tuple(usage for due_ms, usage in self._usage.reports if due_ms <= now_ms)
        self._usage.reports = [entry for entry in self._usage.reports if entry[0] > now_ms]
        return due[-MAX_USAGE_REPORTS_PER_REPLY:]
