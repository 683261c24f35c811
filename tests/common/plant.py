"""A small stand-in of a platform behind the product's ports, in virtual time, with its faults.

It keeps its own account of what ran and checks the promises while it plays: `violations` holds what
was broken. Faults are switched on and off by the driver of a test.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.jobs.model import StepSpec
from greengagewood.internal.jobs.records import TaskId
from greengagewood.internal.ports import (
    AppendResult,
    Configuration,
    LeaseReply,
    LogEntry,
    LogPage,
    OrderReply,
    Outcome,
    RunEnd,
    RunningTask,
    StoreUnavailable,
    WorkerCallFailed,
    WorkerInfo,
    WrongBoot,
)

STORE_ANSWER_S = 0.004
LINK_S = 0.001
CALL_TIMEOUT_S = 1.0
LEASE_MS = 6_000
STOP_S = 0.3
BEAT_S = 1.5
LATE_S = (2.0, 12.0)
DONE_UNANSWERED = 0.4  # share of the orders without an answer that are done at once


@dataclass
class Faults:
    """Hold what goes wrong now; names are those of nodes and workers."""

    store_down: set[str] = field(default_factory=set)  # nodes that the store does not answer
    store_refuses: set[str] = field(default_factory=set)
    lost_answers: float = 0.0  # share of appends that are done and not answered
    late_orders: float = 0.0  # share of orders that are done late and not answered
    cut: set[tuple[str, str]] = field(default_factory=set)  # (node, worker)
    mute: set[tuple[str, str]] = field(default_factory=set)  # orders arrive, answers do not
    grey: set[str] = field(default_factory=set)  # workers that fail all they run


class Store:
    """Keep one log, as a keyed topic does."""

    def __init__(self, faults: Faults, rng: random.Random) -> None:
        self.faults = faults
        self.rng = rng
        self.records: list[tuple[str, bytes]] = []
        self.epoch = 0
        self.sequence = 0
        self.answers: dict[tuple[int, int], int] = {}
        self.grown = asyncio.Event()

    def view(self, node: str) -> NodeStore:
        """Return the store as one node reaches it."""
        return NodeStore(self, node)

    def add(self, entries: Sequence[tuple[str, bytes]]) -> int:
        """Append records; return the offset of the first."""
        offset = len(self.records)
        self.records.extend(entries)
        self.grown.set()
        self.grown = asyncio.Event()
        return offset


@dataclass
class NodeStore:
    """Implement JobStore for one node."""

    store: Store
    node: str

    async def _reach(self) -> None:
        if self.node in self.store.faults.store_refuses:
            raise StoreUnavailable("refused")
        if self.node in self.store.faults.store_down:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise StoreUnavailable("silent")
        await asyncio.sleep(STORE_ANSWER_S)

    async def load(self) -> LogPage:
        await self._reach()
        newest: dict[str, LogEntry] = {}
        for offset, (key, value) in enumerate(self.store.records):
            newest[key] = LogEntry(offset, key, value)
        end = len(self.store.records)
        return LogPage(tuple(e for e in newest.values() if e.value), end)

    async def read(self, start: int, wait_ms: int) -> LogPage:
        await self._reach()
        if len(self.store.records) <= start and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self.store.grown.wait()
            except TimeoutError:
                pass
        if self.node in self.store.faults.store_down:
            raise StoreUnavailable("silent")
        entries = tuple(
            LogEntry(start + n, key, value)
            for n, (key, value) in enumerate(self.store.records[start:])
        )
        return LogPage(entries, start + len(entries))

    async def _answer(self, result: AppendResult) -> AppendResult:
        if self.store.rng.random() < self.store.faults.lost_answers:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return AppendResult(Outcome.UNKNOWN)
        return result

    async def _try(self) -> AppendResult | None:
        if self.node in self.store.faults.store_refuses:
            return AppendResult(Outcome.REFUSED)
        if self.node in self.store.faults.store_down:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return AppendResult(Outcome.UNKNOWN)
        await asyncio.sleep(STORE_ANSWER_S)
        return None

    async def append(self, entries: Sequence[tuple[str, bytes]]) -> AppendResult:
        failed = await self._try()
        if failed is not None:
            return failed
        return await self._answer(AppendResult(Outcome.DONE, self.store.add(entries)))

    async def claim(self, entry: tuple[str, bytes], expected_end: int, token: int) -> AppendResult:
        failed = await self._try()
        if failed is not None:
            return failed
        if expected_end != len(self.store.records) or token <= self.store.epoch:
            return await self._answer(AppendResult(Outcome.REFUSED))
        self.store.epoch = token
        self.store.sequence = 1
        return await self._answer(AppendResult(Outcome.DONE, self.store.add([entry])))

    async def append_fenced(
        self, entries: Sequence[tuple[str, bytes]], token: int, sequence: int
    ) -> AppendResult:
        failed = await self._try()
        if failed is not None:
            return failed
        store = self.store
        if token < store.epoch:
            return await self._answer(AppendResult(Outcome.REFUSED, fenced=True))
        if (token, sequence) in store.answers:
            return await self._answer(AppendResult(Outcome.DONE, store.answers[token, sequence]))
        if sequence != store.sequence + 1:
            return await self._answer(AppendResult(Outcome.REFUSED))
        store.sequence = sequence
        store.answers[token, sequence] = store.add(entries)
        return await self._answer(AppendResult(Outcome.DONE, store.answers[token, sequence]))


@dataclass(eq=False)
class _Run:
    task: TaskId
    number: int
    spec: StepSpec
    began_ms: float
    work_ms: float
    checkpoint: str = ""
    ending: bool = False


@dataclass(eq=False)
class SimWorker:
    """Run tasks under a lease, and guard nothing: what is over its room is a violation."""

    info: WorkerInfo
    plant: Plant
    born_at_ms: float
    up: bool = True
    token: int = 0
    until_ms: float = 0.0
    runs: dict[TaskId, _Run] = field(default_factory=dict)
    ends: list[RunEnd] = field(default_factory=list)
    highest: dict[TaskId, int] = field(default_factory=dict)
    counter: int = 0
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    def clock_ms(self) -> int:
        return int((monotonic_ms() - self.born_at_ms) * 0.985)

    def lapse(self) -> None:
        """End everything if the lease is over."""
        if self.runs and self.clock_ms() > self.until_ms:
            for run in list(self.runs.values()):
                self.end(run, "lapsed")

    def end(self, run: _Run, how: str) -> None:
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.counter += 1
        self.ends.append(RunEnd(self.counter, run.task, run.number, how, run.checkpoint))
        self.ended.set()
        self.ended = asyncio.Event()
        self.plant.note_end(self, run, how)


class Plant:
    """Hold store, workers and configuration, and keep the account of what ran."""

    def __init__(self, seed: int, workers: int, config: Configuration) -> None:
        self.rng = random.Random(seed)
        self.faults = Faults()
        self.store = Store(self.faults, self.rng)
        self.config = config
        self.workers: dict[str, SimWorker] = {}
        self.violations: list[str] = []
        self.done: set[TaskId] = set()
        self.noted: set[TaskId] = set()
        self.failures: Counter[TaskId] = Counter()
        self.specs: dict[str, tuple[StepSpec, ...]] = {}
        self.cancelled_ms: dict[str, float] = {}
        self.max_attempts = max(q.max_attempts for q in config.queues.values())
        for number in range(workers):
            self.add_worker(f"w{number}")

    def add_worker(self, name: str) -> None:
        info = WorkerInfo(
            name,
            f"10.9.0.{len(self.workers) + 1}:80",
            "svc",
            f"z{len(self.workers) % 3}",
            f"r{len(self.workers) % 3}",
            frozenset(("a", f"r{len(self.workers) % 3}")),
            64_000,
            256_000,
            0,
            False,
            None,
            int(monotonic_ms()) + 1,
        )
        self.workers[name] = SimWorker(info, self, monotonic_ms())

    def crash(self, name: str) -> None:
        worker = self.workers[name]
        worker.up = False
        worker.runs.clear()
        worker.ends.clear()

    def restart(self, name: str) -> None:
        old = self.workers[name]
        info = replace(old.info, boot_time_ms=int(monotonic_ms()) + 1)
        self.workers[name] = SimWorker(info, self, monotonic_ms())

    # The account.

    def note_start(self, worker: SimWorker, run: _Run) -> None:
        task = run.task
        for other in self.workers.values():
            other.lapse()
            if other is not worker and other.up and task in other.runs:
                self.violations.append(f"twice: {task} on {worker.info.worker_id}")
        if task in self.noted and not run.spec.long_running:
            self.violations.append(f"again: {task} after its end was taken note of")
        if self.failures[task] >= self.max_attempts and not run.spec.long_running:
            self.violations.append(f"budget: {task} after {self.failures[task]} failures")
        steps = self.specs[task.job_id]
        for earlier in run.spec.depends_on:
            for index in range(steps[earlier].task_count):
                if TaskId(task.job_id, task.occurrence, earlier, index) not in self.done:
                    self.violations.append(f"order: {task} before step {earlier}")
                    break
        used = sum(r.spec.cpu_millis for r in worker.runs.values() if not r.spec.best_effort)
        memory = sum(r.spec.memory_mb for r in worker.runs.values())
        if used > worker.info.cpu_millis or memory > worker.info.memory_mb:
            self.violations.append(f"limit: {worker.info.worker_id} cpu {used} memory {memory}")
        cancelled = self.cancelled_ms.get(task.job_id)
        if cancelled is not None and monotonic_ms() - cancelled > 3_000:
            self.violations.append(f"unasked: {task} after its job was cancelled")

    def note_end(self, worker: SimWorker, run: _Run, how: str) -> None:
        if how == "done":
            self.done.add(run.task)


@dataclass
class PlantWorkers:
    """Implement WorkerLink for one node."""

    plant: Plant
    node: str

    async def _reach(self, info: WorkerInfo) -> SimWorker:
        await asyncio.sleep(LINK_S)
        worker = self.plant.workers.get(info.worker_id)
        cut = (self.node, info.worker_id) in self.plant.faults.cut
        if worker is None or not worker.up or cut:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise WorkerCallFailed("silent")
        worker.lapse()
        return worker

    async def _hush(self, info: WorkerInfo) -> None:
        """Lose the answer of an order that was carried out, if this way is cut."""
        if (self.node, info.worker_id) in self.plant.faults.mute:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise WorkerCallFailed("mute")

    async def _late(self) -> bool:
        return self.plant.rng.random() < self.plant.faults.late_orders

    def _carry_out_late(self, info: WorkerInfo, order: object) -> None:
        worker = self.plant.workers[info.worker_id]
        if self.plant.rng.random() < DONE_UNANSWERED:
            order(worker)  # type: ignore[operator]
            return

        async def later() -> None:
            await asyncio.sleep(self.plant.rng.uniform(*LATE_S))
            worker = self.plant.workers.get(info.worker_id)
            if worker is not None and worker.up and worker.info.boot_time_ms == born:
                worker.lapse()
                order(worker)  # type: ignore[operator]

        born = self.plant.workers[info.worker_id].info.boot_time_ms
        self._tasks = getattr(self, "_tasks", [])
        self._tasks.append(asyncio.ensure_future(later()))

    async def start(
        self,
        info: WorkerInfo,
        task: TaskId,
        run: int,
        payload: str,
        deadline_ms: int,
        token: int,
        checkpoint: str,
        ticket: str,
    ) -> OrderReply:
        worker = await self._reach(info)

        def order(worker: SimWorker) -> OrderReply:
            return self._start(worker, task, run, deadline_ms, token, checkpoint)

        if await self._late():
            self._carry_out_late(info, order)
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise WorkerCallFailed("late")
        reply = order(worker)
        await self._hush(info)
        return reply

    def _start(
        self,
        worker: SimWorker,
        task: TaskId,
        number: int,
        deadline_ms: int,
        token: int,
        checkpoint: str,
    ) -> OrderReply:
        clock = worker.clock_ms()
        if token < worker.token:
            return OrderReply("fence", clock)
        worker.token = token
        if clock > deadline_ms:
            return OrderReply("late", clock)
        if number <= worker.highest.get(task, 0):
            known = worker.runs.get(task)
            same = known is not None and known.number == number
            return OrderReply("" if same else "old", clock)
        spec = self.plant.specs[task.job_id][task.step]
        worker.highest[task] = number
        worker.until_ms = max(worker.until_ms, min(deadline_ms, clock + LEASE_MS))
        work = spec.estimate_ms * self.plant.rng.uniform(0.5, 1.8)
        run = _Run(task, number, spec, monotonic_ms(), work, checkpoint)
        self.plant.note_start(worker, run)
        worker.runs[task] = run
        fails = worker.info.worker_id in self.plant.faults.grey or self.plant.rng.random() < 0.01
        if not spec.long_running:
            loop = asyncio.get_running_loop()
            loop.call_later(work / 1000, self._finish, worker, run, "failed" if fails else "done")
        return OrderReply("", clock)

    def _finish(self, worker: SimWorker, run: _Run, how: str) -> None:
        if self.plant.workers.get(worker.info.worker_id) is not worker or not worker.up:
            return
        worker.lapse()
        if worker.runs.get(run.task) is run and not run.ending:
            worker.end(run, how)

    async def stop(self, info: WorkerInfo, task: TaskId, run: int, token: int) -> OrderReply:
        worker = await self._reach(info)

        def order(worker: SimWorker) -> OrderReply:
            if token < worker.token:
                return OrderReply("fence", worker.clock_ms())
            worker.token = token
            worker.highest[task] = max(run, worker.highest.get(task, 0))
            known = worker.runs.get(task)
            if known is not None and known.number == run and not known.ending:
                known.ending = True
                loop = asyncio.get_running_loop()
                loop.call_later(STOP_S, worker.end, known, "stopped")
            return OrderReply("", worker.clock_ms())

        if await self._late():
            self._carry_out_late(info, order)
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise WorkerCallFailed("late")
        reply = order(worker)
        await self._hush(info)
        return reply

    async def throttle(
        self, info: WorkerInfo, task: TaskId, run: int, percent: int, token: int
    ) -> OrderReply:
        worker = await self._reach(info)
        return OrderReply("", worker.clock_ms())

    async def extend_lease(
        self,
        info: WorkerInfo,
        deadline_ms: int | None,
        token: int,
        acknowledged: int,
        wait_ms: int,
    ) -> LeaseReply | OrderReply:
        worker = await self._reach(info)
        clock = worker.clock_ms()
        if token < worker.token:
            return OrderReply("fence", clock)
        worker.token = token
        for end in worker.ends:
            if end.sequence <= acknowledged:
                if end.result == "done":
                    self.plant.noted.add(end.task_id)
                if end.result == "failed":
                    self.plant.failures[end.task_id] += 1
        worker.ends = [end for end in worker.ends if end.sequence > acknowledged]
        if deadline_ms is not None:
            worker.until_ms = max(worker.until_ms, min(deadline_ms, clock + LEASE_MS))
        await self._hush(info)
        if wait_ms and not worker.ends:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await worker.ended.wait()
            except TimeoutError:
                pass
        worker = await self._reach(info)
        if worker.info.boot_time_ms != info.boot_time_ms and info.boot_time_ms:
            raise WrongBoot(info.worker_id)
        now = monotonic_ms()
        running = tuple(
            RunningTask(
                run.task,
                run.number,
                run.checkpoint,
                (
                    100
                    if run.spec.long_running
                    else min(99, int(100 * (now - run.began_ms) / run.work_ms))
                ),
                5 if run.spec.long_running else run.spec.cpu_millis,
            )
            for run in worker.runs.values()
        )
        return LeaseReply(worker.clock_ms(), worker.info.boot_time_ms, running, tuple(worker.ends))


@dataclass
class PlantDirectory:
    """Implement WorkerDirectory for one node."""

    plant: Plant
    node: str

    async def refresh(self) -> dict[str, WorkerInfo]:
        if self.node in self.plant.faults.store_down | self.plant.faults.store_refuses:
            await asyncio.sleep(STORE_ANSWER_S)
            raise StoreUnavailable("down")
        await asyncio.sleep(STORE_ANSWER_S)
        return {name: worker.info for name, worker in self.plant.workers.items() if worker.up}


@dataclass
class PlantConfig:
    """Implement ConfigSource for one node."""

    plant: Plant
    told: int = -1

    async def next(self) -> Configuration | None:
        await asyncio.sleep(0.05)
        if self.plant.config.version <= self.told:
            return None
        self.told = self.plant.config.version
        return self.plant.config
