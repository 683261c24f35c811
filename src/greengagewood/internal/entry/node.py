"""One process of an entry instance: follow the store, take callers' work, own the cell if need be.

Tasks own their loops: one follows the cell's log, one the configuration, one stores what callers
ask for. Whoever owns the cell runs a `CellRunner` beside them.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Protocol

from greengagewood.internal.cells.cell import CellLimits
from greengagewood.internal.cells.ledger import Ledger
from greengagewood.internal.cells.ownership import OwnershipView
from greengagewood.internal.cells.runner import CellRunner, Ports
from greengagewood.internal.clock import monotonic_ms, wall_ms
from greengagewood.internal.daemon import supervised_loop
from greengagewood.internal.entry.intake import Intake
from greengagewood.internal.entry.settings import EntrySettings
from greengagewood.internal.jobs.book import FINAL_STATES
from greengagewood.internal.jobs.model import JobSpec, Queue
from greengagewood.internal.jobs.records import (
    Cancellation,
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

__all__ = ["ConfigSource", "Node"]

READ_WAIT_MS = 400  # each answered read confirms who owns the cell
FOLLOWER_PAUSE_S = 0.2  # a follower reads in batches, to spare calls to the store
ASKED_FRESH_MS = 30  # a state that may change is read anew for a caller if it is older
STORE_PAUSE_S = 0.1
TERM_MS = 5_000  # an outage of the store that is shorter stops no work
CLAIM_SPREAD_MS = 300  # spreads claims, so that seldom two instances claim at once
FRESH_MS = 1_000  # what was read within this time may be told as the truth
CATCH_UP_TIMEOUT_S = 1.0
REFRESH_TIMEOUT_S = 0.3  # a slow store answers a read by then; an older state is told otherwise
TICK_S = 0.05

_log = Log("entry")


class ConfigSource(Protocol):
    """Follow the configuration."""

    async def next(self) -> Configuration | None:
        """Return a newer configuration, or None if there was none for a while."""


class Node:
    """Run an entry instance."""

    def __init__(
        self, cfg: EntrySettings, ports: Ports, source: ConfigSource, metrics: Metrics
    ) -> None:
        self._cfg = cfg
        self._ports = ports
        self._source = source
        self._metrics = metrics
        self.config: Configuration | None = None
        self.ledger = Ledger()
        self._intake = Intake(ports.store, self.ledger, lambda: self.fresh)
        me = f"{cfg.instance}#{wall_ms()}"
        delay = random.randint(0, CLAIM_SPREAD_MS)
        self._view = OwnershipView(me, TERM_MS, delay, cfg.cpu_millis)
        self._runner: CellRunner | None = None
        self._loaded = False
        self._read_ms: int | None = None
        self._store_lost = False
        self._loops: list[asyncio.Future[None]] = []

    def start(self) -> None:
        """Begin to follow the store."""
        steps: dict[str, Callable[[], Awaitable[None]]] = {
            "follow": self._follow,
            "configuration": self._follow_config,
            "intake": self._intake.step,
            "ownership": self._watch_ownership,
        }
        for name, step in steps.items():
            loop = supervised_loop(name, step, self._metrics, STORE_PAUSE_S)
            self._loops.append(asyncio.ensure_future(loop()))

    async def hand_over(self) -> None:
        """Give the cell up and claim it no more."""
        self._view.retiring = True
        runner = self._runner
        if runner is not None:
            await runner.release()
            await self._end_term("stopping")

    async def stop(self) -> None:
        """Stop everything."""
        await self._end_term("stopped")
        for loop in self._loops:
            loop.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)

    @property
    def ready(self) -> bool:
        """Tell whether callers can be served."""
        return self.config is not None and self._loaded and not self._intake.store_down

    @property
    def fresh(self) -> bool:
        """Tell whether the store was read lately."""
        return self._read_ms is not None and monotonic_ms() - self._read_ms < FRESH_MS

    @property
    def retry_after_s(self) -> int:
        """Return when a refused caller should come back."""
        return self._intake.retry_after_s

    # What callers ask for.

    def route(self, host: str, path: str) -> RouteRule | None:
        """Return the route of a request: its host and the longest prefix of its path."""
        best: RouteRule | None = None
        for rule in self.config.routes if self.config else ():
            fits = rule.host == host and path.startswith(rule.path_prefix)
            if fits and (best is None or len(rule.path_prefix) > len(best.path_prefix)):
                best = rule
        return best

    async def submit(self, job: str, queue: Queue, spec: JobSpec, patience_ms: int) -> Outcome:
        """Store a job; a job that is known already is accepted again."""
        if job in self.ledger.jobs and self.ledger.jobs[job].submission is not None:
            return Outcome.DONE
        record = Submission(job, queue, spec, wall_ms())
        return await self._intake.put(record, patience_ms)

    async def cancel(self, job: str, patience_ms: int) -> Outcome:
        """Store the cancellation of a job."""
        return await self._intake.put(Cancellation(job), patience_ms)

    async def state_of(self, job: str) -> str | None:
        """Return a job's state, or None if there is none.

        Raise StoreUnavailable if it cannot be told.
        """
        known = self.ledger.jobs.get(job)
        if known is None or known.submission is None:
            await self._catch_up(CATCH_UP_TIMEOUT_S)
            known = self.ledger.jobs.get(job)
        elif known.state not in FINAL_STATES and self._may_be_old:
            try:
                await self._catch_up(REFRESH_TIMEOUT_S)
            except StoreUnavailable as exc:
                _log.debug("state_is_old", job=job, age_ms=self._age_ms(), error=str(exc))
        if known is None or known.submission is None:
            return None
        return known.state

    @property
    def _may_be_old(self) -> bool:
        """Tell whether the store is worth asking for what has changed."""
        return not self._store_lost and self._age_ms() > ASKED_FRESH_MS

    def _age_ms(self) -> int:
        """Return how long ago the store was read."""
        return FRESH_MS if self._read_ms is None else monotonic_ms() - self._read_ms

    async def _catch_up(self, timeout_s: float) -> None:
        """Read the store up to its end as of now."""
        if not self._loaded:
            raise StoreUnavailable("the store has not been read yet")
        now = monotonic_ms()
        try:
            async with asyncio.timeout(timeout_s):
                page = await self._ports.store.read(self.ledger.end, 0)
        except (TimeoutError, LogTruncated) as exc:
            raise StoreUnavailable(repr(exc)) from exc
        self._take_page(page)
        self._read_ms = max(now, self._read_ms or 0)

    # The cell's log.

    async def _follow(self) -> None:
        sent = monotonic_ms()
        try:
            if not self._loaded:
                page = await self._ports.store.load()
            else:
                page = await self._ports.store.read(self.ledger.end, READ_WAIT_MS)
        except LogTruncated:
            self._loaded = False
            self.ledger.end = 0
            return
        except StoreUnavailable as exc:
            self._note_store(False, str(exc))
            await asyncio.sleep(STORE_PAUSE_S)
            return
        self._note_store(True, "")
        now = monotonic_ms()
        self._take_page(page)
        self._loaded = True
        self._read_ms = now
        self._view.read_confirmed(sent, now)
        if not self._view.owning:
            await asyncio.sleep(FOLLOWER_PAUSE_S)

    def _note_store(self, reached: bool, error: str) -> None:
        if reached and self._store_lost:
            _log.info("store_read_again")
        elif not reached and not self._store_lost:
            _log.warning("store_not_read", error=error)
        self._store_lost = not reached

    def _take_page(self, page: LogPage) -> None:
        for entry in page.entries:
            self._take_entry(entry)
        self.ledger.end = max(self.ledger.end, page.next_offset)

    def _take_entry(self, entry: LogEntry) -> None:
        unreadable = self.ledger.unreadable
        record = self.ledger.apply(entry)
        if self.ledger.unreadable > unreadable:
            self._metrics.count("unreadable_records")
            _log.warning("record_unreadable", key=entry.key, offset=entry.offset)
        if record is None:
            return
        self._view.saw(record, monotonic_ms())
        runner = self._runner
        if runner is not None and self._holds_term(runner):
            runner.took(record)

    # Ownership.

    async def _watch_ownership(self) -> None:
        await asyncio.sleep(TICK_S)
        now = monotonic_ms()
        self._view.tick(now)
        runner = self._runner
        if runner is not None and not self._holds_term(runner):
            await self._end_term("replaced")
        if self._view.owning and self._runner is None:
            self._begin_term()
        if self._view.should_claim(now) and self.config is not None:
            await self._claim(now)

    async def _claim(self, now: int) -> None:
        claim = self._view.claim(now)
        at = self.ledger.end
        entry = (key_of(claim), encode_record(claim))
        result = await self._ports.store.claim(entry, at, claim.token)
        _log.info("claim", token=claim.token, at=at, outcome=result.outcome.value)
        match result.outcome:
            case Outcome.REFUSED:
                self._view.claim_failed()
            case Outcome.DONE:  # of several, the one that the log shows has won
                try:
                    await self._catch_up(REFRESH_TIMEOUT_S)
                except StoreUnavailable as exc:
                    _log.info("claim_not_read", token=claim.token, error=str(exc))

    def _begin_term(self) -> None:
        bounds = self._cfg.bounds
        limits = CellLimits(bounds.lease_ms, TERM_MS)
        runner = CellRunner(
            self._ports,
            self.ledger,
            limits,
            self._view.token,
            int(bounds.status_s * 1000),
            self._metrics,
            self._view.fenced,
            self._licensed,
        )
        _log.info("term_began", token=self._view.token, jobs=len(self.ledger.jobs))
        if self.config is not None:
            runner.cell.set_queues(self.config.queues)
        runner.start()
        self._runner = runner

    async def _end_term(self, reason: str) -> None:
        runner, self._runner = self._runner, None
        if runner is not None:
            _log.info("term_ended", token=runner.token, reason=reason)
            await runner.stop()
            self._view.released()

    def _holds_term(self, runner: CellRunner) -> bool:
        return self._view.owning and self._view.token == runner.token

    def _licensed(self) -> bool:
        """Tell whether orders may be given now."""
        self._view.tick(monotonic_ms())
        runner = self._runner
        return runner is not None and self._view.state == "owning" and self._holds_term(runner)

    # Configuration.

    async def _follow_config(self) -> None:
        found = await self._source.next()
        if found is None:
            return
        if self.config is not None and found.version <= self.config.version:
            return
        self.config = found
        if self._runner is not None:
            self._runner.cell.set_queues(found.queues)
        _log.info("configuration", version=found.version, routes=len(found.routes))
