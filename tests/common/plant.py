"""A simulated platform that implements the ports of an entry instance, with faults.

It records what ran and checks the scheduler's guarantees at every start of a run: `violations`
lists those that were broken. A test switches faults on and off in `SimPlatform.faults`.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.evacuation import Evacuations
from greengagewood.internal.jobs.model import StepSpec
from greengagewood.internal.jobs.records import TaskId
from greengagewood.internal.ports import (
    AllEndsReply,
    AppendResult,
    Configuration,
    LeaseReply,
    LogEntry,
    LogPage,
    LogTruncated,
    OrderReply,
    Outcome,
    RunEnd,
    RunListPage,
    RunningTask,
    StoreUnavailable,
    WorkerCallFailed,
    WorkerInfo,
)

STORE_LATENCY_S = 0.004
WORKER_LATENCY_S = 0.001
CALL_TIMEOUT_S = 1.0
LEASE_MS = 6_000
STOP_DELAY_S = 0.3
HEARTBEAT_INTERVAL_S = 1.5
SHRINK_GRACE_MS = 4_500  # a lower capacity binds starts this long after a worker has shrunk
LATE_ORDER_DELAY_RANGE_S = (2.0, 12.0)
MAX_LISTED_ENDS = 500  # at a time
CRASH_DELAY_S = 0.02  # from the start of a task that crashes its worker to the crash
CRASH_DOWN_S = 3.2  # from the crash to the next boot
MAX_STARTS_AFTER_CRASHES = 2  # of a task under which three workers have crashed
LATE_APPEND_DELAY_RANGE_S = (0.05, 1.5)
STRAGGLER_FACTOR = 7.0
IMMEDIATE_LATE_ORDER_SHARE = 0.4  # of the unanswered orders, share carried out at once
EVACUATION_BOUND_MS = 5_000  # after which an order must be obeyed by who reaches the store
ORDERS_READ_INTERVAL_S = 0.05
CANCEL_BOUND_MS = 3_000  # from the acknowledged cancellation of a job to its last start
STOP_TIMEOUT_MS = 400  # until when a run that is stopped then has ended
CONTACT_MS = 3_000  # how long after a fault the bounds hold again
RUNS_CHECK_INTERVAL_MS = 100


@dataclass
class Faults:
    """Faults that are switched on; sets hold names of instances and workers."""

    store_silent_to: set[str] = field(default_factory=set)  # instances that get no answer
    store_refuses_to: set[str] = field(default_factory=set)  # instances whose calls are refused
    appends_silent_to: set[str] = field(default_factory=set)  # instances that can only read
    reads_refused_to: set[str] = field(default_factory=set)  # instances that can only append
    lost_answer_share: float = 0.0  # share of appends that are carried out but not answered
    late_order_share: float = 0.0  # share of orders without an answer, most of them late
    cut_links: set[tuple[str, str]] = field(default_factory=set)  # (instance, worker)
    # Links (instance, worker) on which orders arrive, but their answers are lost.
    unanswered_links: set[tuple[str, str]] = field(default_factory=set)
    # Links (instance, worker) on which only lease extensions fail: the worker refuses them, or its
    # answer cannot be read.
    refused_lease_links: set[tuple[str, str]] = field(default_factory=set)
    unreadable_lease_links: set[tuple[str, str]] = field(default_factory=set)
    failing_workers: set[str] = field(default_factory=set)  # workers on which every run fails
    failing_jobs: set[str] = field(default_factory=set)  # jobs of which every run fails soon
    directory_unreadable_to: set[str] = field(default_factory=set)  # instances
    orders_unreadable_to: set[str] = field(default_factory=set)  # instances
    crashing_tasks: set[TaskId] = field(default_factory=set)  # tasks that crash their workers
    straggler_share: float = 0.0  # share of runs that take `STRAGGLER_FACTOR` times as long
    # Instances whose appends are carried out, but not answered, and whose reads are not answered.
    store_unanswered_to: set[str] = field(default_factory=set)
    late_appends_of: set[str] = field(default_factory=set)  # instances, as the next line says
    late_append_share: float = 0.0  # share of appends without an answer that are applied later
    delays_s: dict[tuple[str, str], float] = field(default_factory=dict)  # (instance, worker)
    store_delays_s: dict[str, float] = field(default_factory=dict)  # by instance
    late_order_workers: set[str] | None = None  # workers with late orders; None for all
    busy_workers: dict[str, float] = field(default_factory=dict)  # shares of refused orders
    unlisted_workers: set[str] = field(default_factory=set)  # workers whose entries have lapsed
    odd_row_workers: dict[str, float] = field(default_factory=dict)  # shares of incomplete lists


class SimStore:
    """One keyed topic of the store, with fencing of older owners."""

    def __init__(self, faults: Faults, rng: random.Random) -> None:
        self.faults = faults
        self.rng = rng
        self.records: list[tuple[str, bytes]] = []
        self.epoch = 0
        self.sequence = 0
        self.offsets_by_append: dict[tuple[int, int], int] = {}
        self.appended = asyncio.Event()
        self.max_page_records: int | None = None  # most records that one read returns
        self.first_offset = 0  # of the oldest record that a read returns

    def client(self, instance: str) -> SimStoreClient:
        """Return a client of the store for one instance."""
        return SimStoreClient(self, instance)

    def truncate(self) -> None:
        """Delete all records except the newest of each key, which only `load` returns."""
        self.first_offset = len(self.records)

    def append_records(self, entries: Sequence[tuple[str, bytes]]) -> int:
        """Append records; return the offset of the first one."""
        offset = len(self.records)
        self.records.extend(entries)
        self.appended.set()
        self.appended = asyncio.Event()
        return offset


@dataclass
class SimStoreClient:
    """Implement JobStore for one instance."""

    store: SimStore
    instance: str

    async def _reach(self) -> None:
        if self.instance in self.store.faults.store_refuses_to:
            raise StoreUnavailable("refused")
        faults = self.store.faults
        if self.instance in faults.store_silent_to | faults.store_unanswered_to:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise StoreUnavailable("no answer")
        await asyncio.sleep(STORE_LATENCY_S + faults.store_delays_s.get(self.instance, 0.0))

    async def load(self) -> LogPage:
        await self._reach()
        newest: dict[str, LogEntry] = {}
        for offset, (key, value) in enumerate(self.store.records):
            newest[key] = LogEntry(offset, key, value)
        end = len(self.store.records)
        return LogPage(tuple(newest[key] for key in sorted(newest) if newest[key].value), end)

    async def read(self, start: int, wait_ms: int) -> LogPage:
        await self._reach()
        if self.instance in self.store.faults.reads_refused_to:
            raise StoreUnavailable("refused")
        if start < self.store.first_offset:
            raise LogTruncated("read")
        if len(self.store.records) <= start and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self.store.appended.wait()
            except TimeoutError:
                pass
        if self.instance in self.store.faults.store_silent_to:
            raise StoreUnavailable("no answer")
        entries = tuple(
            LogEntry(start + n, key, value)
            for n, (key, value) in enumerate(self.store.records[start:])
        )[: self.store.max_page_records]
        return LogPage(entries, start + len(entries), len(self.store.records))

    async def _answer(self, result: AppendResult) -> AppendResult:
        faults = self.store.faults
        is_lost = self.instance in faults.store_unanswered_to
        if is_lost or self.store.rng.random() < faults.lost_answer_share:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return AppendResult(Outcome.UNKNOWN)
        return result

    async def _begin_append(self) -> AppendResult | None:
        if self.instance in self.store.faults.store_refuses_to:
            return AppendResult(Outcome.REFUSED)
        faults = self.store.faults
        if self.instance in faults.store_silent_to | faults.appends_silent_to:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return AppendResult(Outcome.UNKNOWN)
        await asyncio.sleep(STORE_LATENCY_S + faults.store_delays_s.get(self.instance, 0.0))
        return None

    async def _apply(self, apply: Callable[[], AppendResult]) -> AppendResult:
        """Apply an append now, or later without an answer."""
        failure = await self._begin_append()
        if failure is not None:
            return failure
        faults = self.store.faults
        late_share = 1.0 if self.instance in faults.late_appends_of else faults.late_append_share
        if late_share and self.store.rng.random() < late_share:
            delay_s = self.store.rng.uniform(*LATE_APPEND_DELAY_RANGE_S)
            asyncio.get_running_loop().call_later(delay_s, apply)
            await asyncio.sleep(CALL_TIMEOUT_S)
            return AppendResult(Outcome.UNKNOWN)
        return await self._answer(apply())

    async def append(self, entries: Sequence[tuple[str, bytes]]) -> AppendResult:
        return await self._apply(
            lambda: AppendResult(Outcome.DONE, self.store.append_records(entries))
        )

    async def claim(self, entry: tuple[str, bytes], expected_end: int, token: int) -> AppendResult:
        return await self._apply(lambda: self._claim(entry, expected_end, token))

    def _claim(self, entry: tuple[str, bytes], expected_end: int, token: int) -> AppendResult:
        if expected_end != len(self.store.records) or token <= self.store.epoch:
            return AppendResult(Outcome.REFUSED)
        self.store.epoch = token
        self.store.sequence = 1
        return AppendResult(Outcome.DONE, self.store.append_records([entry]))

    async def append_fenced(
        self, entries: Sequence[tuple[str, bytes]], token: int, sequence: int
    ) -> AppendResult:
        return await self._apply(lambda: self._append_fenced(entries, token, sequence))

    def _append_fenced(
        self, entries: Sequence[tuple[str, bytes]], token: int, sequence: int
    ) -> AppendResult:
        store = self.store
        if token < store.epoch:
            return AppendResult(Outcome.REFUSED, fenced=True)
        if (token, sequence) in store.offsets_by_append:
            return AppendResult(Outcome.DONE, store.offsets_by_append[token, sequence])
        if sequence != store.sequence + 1:
            return AppendResult(Outcome.REFUSED)
        store.sequence = sequence
        store.offsets_by_append[token, sequence] = store.append_records(entries)
        return AppendResult(Outcome.DONE, store.offsets_by_append[token, sequence])


@dataclass(eq=False)
class _Run:
    task: TaskId
    number: int
    spec: StepSpec
    started_ms: float
    work_ms: float
    checkpoint: str = ""
    stopping: bool = False
    payload: str = ""
    sender: str = ""  # the instance that sent the start
    late: bool = False  # whether the start was carried out late


@dataclass(eq=False)
class SimWorker:
    """Run tasks under a lease.

    A worker accepts any start that its token, deadline and run number allow: whether the run fits
    its resources is checked by `SimPlatform.check_start`, which records a violation. Only on a
    `guarded` platform it refuses what does not fit.
    """

    info: WorkerInfo
    platform: SimPlatform
    boot_ms: float
    up: bool = True
    token: int = 0
    lease_deadline_ms: float = 0.0
    runs: dict[TaskId, _Run] = field(default_factory=dict)
    ends: list[RunEnd] = field(default_factory=list)
    highest_run_numbers: dict[TaskId, int] = field(default_factory=dict)
    # Higher capacities that it had, as CPU and memory, each with the time when it shrank.
    past_capacities: list[tuple[float, int, int]] = field(default_factory=list)
    capacity: tuple[int, int] = (0, 0)  # its CPU and memory now, which `info` may not show yet
    end_count: int = 0
    lapsed_end_count: int = 0  # of ends since which the lease has lapsed
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.capacity = (self.info.cpu_millis, self.info.memory_mb)

    def binding_capacity(self) -> tuple[int, int]:
        """Return the CPU and memory that no start may exceed now."""
        now_ms = monotonic_ms()
        self.past_capacities = [c for c in self.past_capacities if now_ms - c[0] <= SHRINK_GRACE_MS]
        sizes = [self.capacity, *((cpu, memory) for _, cpu, memory in self.past_capacities)]
        return max(cpu for cpu, _ in sizes), max(memory for _, memory in sizes)

    def used_with(self, spec: StepSpec) -> tuple[int, int]:
        """Return the CPU and memory in use with one more task of a step."""
        specs = [*(run.spec for run in self.runs.values()), spec]
        cpu_millis = sum(s.cpu_millis for s in specs if not s.best_effort)
        return cpu_millis, sum(s.memory_mb for s in specs)

    def has_room(self, spec: StepSpec) -> bool:
        """Return whether one more task of a step fits the present capacity."""
        cpu_millis, memory_mb = self.used_with(spec)
        return cpu_millis <= self.capacity[0] and memory_mb <= self.capacity[1]

    def clock_ms(self) -> int:
        """Return the time of the worker's clock, which runs 2 % slow."""
        return int((monotonic_ms() - self.boot_ms) * 0.98)

    def expire_lease(self) -> None:
        """End all runs if the lease has expired."""
        if self.clock_ms() > self.lease_deadline_ms:
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
            self.lapsed_end_count = self.end_count

    def end(self, run: _Run, result: str) -> None:
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.end_count += 1
        self.ends.append(RunEnd(self.end_count, run.task, run.number, result, run.checkpoint))
        self.ended.set()
        self.ended = asyncio.Event()
        self.platform.record_end(self, run, result)


class SimPlatform:
    """The store, the workers and the configuration; records what ran and what was violated."""

    def __init__(self, seed: int, worker_count: int, config: Configuration) -> None:
        self.rng = random.Random(seed)
        self.faults = Faults()
        self.store = SimStore(self.faults, self.rng)
        self.config = config
        self.workers: dict[str, SimWorker] = {}
        self.violations: list[str] = []
        self.left: set[str] = set()  # workers that have drained and left
        self.done: set[TaskId] = set()
        self.acknowledged_tasks: set[TaskId] = set()
        self.failures: Counter[TaskId] = Counter()
        self.crashes: Counter[TaskId] = Counter()  # workers that each task has crashed
        # The runs that were going on when their worker crashed: its name, by task and run number.
        self.crashed_runs: dict[tuple[TaskId, int], str] = {}
        self.starts_after_crashes: Counter[TaskId] = Counter()  # once three workers have crashed
        self.copies: Counter[TaskId] = Counter()  # starts while another run was going on
        self.specs: dict[str, tuple[StepSpec, ...]] = {}
        self.cancelled_ms: dict[str, float] = {}
        self.start_counts: Counter[str] = Counter()  # by job
        self.disturbed_ms = 0.0  # when a fault was last in force, or a process ended
        self._runs_checked_ms = 0.0
        self._overdue_runs: set[tuple[TaskId, int]] = set()  # those that were recorded
        self.evacuated_ms: dict[str, int] = {}  # by domain, when its order was acknowledged
        self.orders_offset = 0
        self.max_attempts = max(q.max_attempts for q in config.queues.values())
        for number in range(worker_count):
            self.add_worker(f"w{number}")

    late_orders_reach_later_boots = False
    guarded = False

    def add_worker(self, name: str) -> None:
        worker_info = WorkerInfo(
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
        self.workers[name] = SimWorker(worker_info, self, monotonic_ms())

    def resize(self, name: str, cpu_millis: int, memory_mb: int) -> None:
        """Change a worker's capacity; the directory shows it after up to one heartbeat."""
        worker = self.workers[name]
        worker.past_capacities.append((monotonic_ms(), *worker.capacity))
        worker.capacity = (cpu_millis, memory_mb)

        def show() -> None:
            cpu_millis, memory_mb = worker.capacity
            worker.info = replace(worker.info, cpu_millis=cpu_millis, memory_mb=memory_mb)

        delay_s = self.rng.uniform(0, HEARTBEAT_INTERVAL_S)
        asyncio.get_running_loop().call_later(delay_s, show)

    def crash(self, name: str) -> None:
        self.disturbed_ms = monotonic_ms()
        worker = self.workers[name]
        for task, run in worker.runs.items():
            self.crashed_runs[task, run.number] = name
        worker.up = False
        worker.runs.clear()
        worker.ends.clear()

    def drain(self, name: str) -> None:
        """Let a worker announce that it leaves."""
        worker = self.workers[name]
        worker.info = replace(worker.info, draining=True)

    def leave(self, name: str) -> None:
        """Let a worker that drains leave for good, and the directory remove its entry."""
        self.crash(name)
        self.left.add(name)

    def evacuate(self, *domains: str) -> None:
        """Store orders that nothing is started in some failure domains."""
        for domain in domains:
            self.evacuated_ms.setdefault(domain, monotonic_ms())
            self.orders_offset += 1

    def take_back(self, *domains: str) -> None:
        """Withdraw the orders for some failure domains."""
        for domain in domains:
            self.evacuated_ms.pop(domain, None)
            self.orders_offset += 1

    def running_in(self, domain: str) -> set[tuple[TaskId, int]]:
        """Return the runs on the workers of a failure domain, as tasks and run numbers."""
        return {
            (task, run.number)
            for worker in self.workers.values()
            if worker.up and worker.info.failure_domain == domain
            for task, run in worker.runs.items()
        }

    def running_tasks(self) -> set[TaskId]:
        """Return the tasks that have a run on any worker."""
        return {task for worker in self.workers.values() if worker.up for task in worker.runs}

    def restart(self, name: str) -> None:
        self.disturbed_ms = monotonic_ms()
        self.left.discard(name)
        old_worker = self.workers[name]
        worker_info = replace(old_worker.info, boot_time_ms=int(monotonic_ms()) + 1)
        self.workers[name] = SimWorker(worker_info, self, monotonic_ms())

    def crash_and_restart(self, worker: SimWorker, down_s: float = CRASH_DOWN_S) -> None:
        """Crash a worker, unless it has crashed already, and boot it again after `down_s`."""
        name = worker.info.worker_id
        if not worker.up or self.workers[name] is not worker:
            return
        self.crash(name)
        asyncio.get_running_loop().call_later(down_s, self.restart, name)

    def _crash_under(self, worker: SimWorker, task: TaskId) -> None:
        if worker.up:
            self.crashes[task] += 1
        self.crash_and_restart(worker)

    # Records and checks of what ran.

    def check_evacuation(self, worker: SimWorker, task: TaskId) -> None:
        """Record a start in an evacuated domain; a late one that was sent in time may occur."""
        ordered_ms = self.evacuated_ms.get(worker.info.failure_domain)
        if ordered_ms is not None and monotonic_ms() - ordered_ms > EVACUATION_BOUND_MS:
            self.violations.append(f"started in an evacuated domain: {task}")

    def check_start(self, worker: SimWorker, run: _Run) -> None:
        task = run.task
        self.start_counts[task.job_id] += 1
        others = 0
        for other in self.workers.values():
            other.expire_lease()
            others += other is not worker and other.up and task in other.runs
        # A task of a speculative step may have one copy.
        if others > (run.spec.speculative and not run.spec.gang):
            self.violations.append(
                f"started while running elsewhere: {task} on {worker.info.worker_id}"
            )
        self.copies[task] += others
        if task in self.acknowledged_tasks and not run.spec.long_running:
            self.violations.append(f"started again: {task} after its end was acknowledged")
        if self.failures[task] >= self.max_attempts and not run.spec.long_running:
            self.violations.append(
                f"too many attempts: {task} after {self.failures[task]} failures"
            )
        if self.crashes[task] >= 3:
            self.starts_after_crashes[task] += 1
            if self.starts_after_crashes[task] > MAX_STARTS_AFTER_CRASHES:
                self.violations.append(f"started after three crashes: {task}")
        if task in self.faults.crashing_tasks:
            loop = asyncio.get_running_loop()
            loop.call_later(CRASH_DELAY_S, self._crash_under, worker, task)
        steps = self.specs[task.job_id]
        for earlier in run.spec.depends_on:
            for index in range(steps[earlier].task_count):
                if TaskId(task.job_id, task.occurrence, earlier, index) not in self.done:
                    self.violations.append(f"dependency not met: {task} before step {earlier}")
                    break
        used_cpu, used_memory_mb = worker.used_with(run.spec)
        cpu_limit, memory_limit_mb = worker.binding_capacity()
        if used_cpu > cpu_limit or used_memory_mb > memory_limit_mb:
            self.violations.append(
                f"over capacity: {worker.info.worker_id} cpu {used_cpu} memory {used_memory_mb}"
            )
        cancelled_at_ms = self.cancelled_ms.get(task.job_id)
        if cancelled_at_ms is not None and monotonic_ms() - cancelled_at_ms > CANCEL_BOUND_MS:
            self.violations.append(f"started after cancellation: {task} of a cancelled job")

    def check_cancelled_runs(self) -> None:
        """Record runs that go on long after the cancellation of their jobs, though all is calm."""
        now_ms = monotonic_ms()
        if self.faults != Faults():
            self.disturbed_ms = now_ms
        if not self.cancelled_ms or now_ms - self._runs_checked_ms < RUNS_CHECK_INTERVAL_MS:
            return
        self._runs_checked_ms = now_ms
        for worker in self.workers.values():
            worker.expire_lease()
            for run in worker.runs.values() if worker.up else ():
                cancelled_ms = self.cancelled_ms.get(run.task.job_id)
                key = (run.task, run.number)
                if cancelled_ms is None or key in self._overdue_runs:
                    continue
                since_ms = max(cancelled_ms, run.started_ms, self.disturbed_ms + CONTACT_MS)
                if now_ms - since_ms > CANCEL_BOUND_MS + STOP_TIMEOUT_MS:
                    self._overdue_runs.add(key)
                    self.violations.append(f"goes on after cancellation: {run.task}")

    def record_acknowledged(self, worker: SimWorker, end: RunEnd) -> None:
        """Record that an end was acknowledged to its worker."""
        if end.result == "done":
            self.acknowledged_tasks.add(end.task_id)
        if end.result == "failed":
            self.failures[end.task_id] += 1

    def record_end(self, worker: SimWorker, run: _Run, result: str) -> None:
        if result == "done":
            self.done.add(run.task)


@dataclass
class SimWorkerLink:
    """Implement WorkerLink for one instance."""

    platform: SimPlatform
    instance: str

    _carries_out_late = False

    async def _reach(self, worker_info: WorkerInfo) -> SimWorker:
        delay_s = self.platform.faults.delays_s.get((self.instance, worker_info.worker_id), 0.0)
        await asyncio.sleep(WORKER_LATENCY_S + delay_s)
        self.platform.check_cancelled_runs()
        worker = self.platform.workers.get(worker_info.worker_id)
        is_cut = (self.instance, worker_info.worker_id) in self.platform.faults.cut_links
        if worker is None or not worker.up or is_cut:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise WorkerCallFailed("no answer")
        worker.expire_lease()
        return worker

    async def _maybe_lose_answer(self, worker_info: WorkerInfo) -> None:
        """Lose the answer to an order that was carried out, if this link is unanswered."""
        if (self.instance, worker_info.worker_id) in self.platform.faults.unanswered_links:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise WorkerCallFailed("answer lost")

    async def _is_late(self, worker_info: WorkerInfo) -> bool:
        faults = self.platform.faults
        affected = faults.late_order_workers
        return (
            affected is None or worker_info.worker_id in affected
        ) and self.platform.rng.random() < faults.late_order_share

    def _is_busy(self, worker_info: WorkerInfo) -> bool:
        share = self.platform.faults.busy_workers.get(worker_info.worker_id, 0.0)
        return bool(share) and self.platform.rng.random() < share

    def _carry_out_unanswered(self, worker_info: WorkerInfo, order: object) -> None:
        worker = self.platform.workers[worker_info.worker_id]
        if self.platform.rng.random() < IMMEDIATE_LATE_ORDER_SHARE:
            order(worker)  # type: ignore[operator]
            return

        async def carry_out_late() -> None:
            await asyncio.sleep(self.platform.rng.uniform(*LATE_ORDER_DELAY_RANGE_S))
            worker = self.platform.workers.get(worker_info.worker_id)
            if worker is None or not worker.up:
                return
            if (
                self.platform.late_orders_reach_later_boots
                or worker.info.boot_time_ms == boot_time_ms
            ):
                worker.expire_lease()
                self._carries_out_late = True
                order(worker)  # type: ignore[operator]
                self._carries_out_late = False

        boot_time_ms = self.platform.workers[worker_info.worker_id].info.boot_time_ms
        self._tasks = getattr(self, "_tasks", [])
        self._tasks.append(asyncio.ensure_future(carry_out_late()))

    async def start(
        self,
        worker_info: WorkerInfo,
        task: TaskId,
        run: int,
        payload: str,
        deadline_ms: int,
        token: int,
        checkpoint: str,
        ticket: str,
    ) -> OrderReply:
        worker = await self._reach(worker_info)
        if self._is_busy(worker_info):
            return OrderReply("unhealthy", worker.clock_ms())

        def order(worker: SimWorker) -> OrderReply:
            return self._start(worker, task, run, deadline_ms, token, checkpoint, payload)

        if await self._is_late(worker_info):
            self._carry_out_unanswered(worker_info, order)
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise WorkerCallFailed("order delayed")
        self.platform.check_evacuation(worker, task)
        reply = order(worker)
        await self._maybe_lose_answer(worker_info)
        return reply

    def _start(
        self,
        worker: SimWorker,
        task: TaskId,
        number: int,
        deadline_ms: int,
        token: int,
        checkpoint: str,
        payload: str = "",
    ) -> OrderReply:
        worker_now_ms = worker.clock_ms()
        if token < worker.token:
            return OrderReply("fence", worker_now_ms)
        worker.token = token
        if worker_now_ms > deadline_ms:
            return OrderReply("late", worker_now_ms)
        if number <= worker.highest_run_numbers.get(task, 0):
            known_run = worker.runs.get(task)
            is_same_run = known_run is not None and known_run.number == number
            return OrderReply("" if is_same_run else "old", worker_now_ms)
        spec = self.platform.specs[task.job_id][task.step]
        if self.platform.guarded and not worker.has_room(spec):
            return OrderReply("room", worker_now_ms)
        worker.highest_run_numbers[task] = number
        worker.lease_deadline_ms = max(
            worker.lease_deadline_ms, min(deadline_ms, worker_now_ms + LEASE_MS)
        )
        work_ms = spec.estimate_ms * self.platform.rng.uniform(0.5, 1.8)
        faults = self.platform.faults
        if faults.straggler_share and self.platform.rng.random() < faults.straggler_share:
            work_ms *= STRAGGLER_FACTOR
        run = _Run(task, number, spec, monotonic_ms(), work_ms, checkpoint)
        run.sender, run.late, run.payload = self.instance, self._carries_out_late, payload
        self.platform.check_start(worker, run)
        worker.runs[task] = run
        will_fail = (
            worker.info.worker_id in self.platform.faults.failing_workers
            or self.platform.rng.random() < 0.01
        )
        always_fails = task.job_id in faults.failing_jobs
        if always_fails:
            will_fail, work_ms = True, self.platform.rng.uniform(20, 400)
        if always_fails or not spec.long_running:
            loop = asyncio.get_running_loop()
            loop.call_later(
                work_ms / 1000, self._finish, worker, run, "failed" if will_fail else "done"
            )
        return OrderReply("", worker_now_ms)

    def _finish(self, worker: SimWorker, run: _Run, result: str) -> None:
        if self.platform.workers.get(worker.info.worker_id) is not worker or not worker.up:
            return
        worker.expire_lease()
        if worker.runs.get(run.task) is run and not run.stopping:
            worker.end(run, result)

    async def stop(self, worker_info: WorkerInfo, task: TaskId, run: int, token: int) -> OrderReply:
        worker = await self._reach(worker_info)
        if self._is_busy(worker_info):
            return OrderReply("unhealthy", worker.clock_ms())

        def order(worker: SimWorker) -> OrderReply:
            if token < worker.token:
                return OrderReply("fence", worker.clock_ms())
            worker.token = token
            worker.highest_run_numbers[task] = max(run, worker.highest_run_numbers.get(task, 0))
            known_run = worker.runs.get(task)
            if known_run is not None and known_run.number == run and not known_run.stopping:
                known_run.stopping = True
                loop = asyncio.get_running_loop()
                loop.call_later(STOP_DELAY_S, worker.end, known_run, "stopped")
            return OrderReply("", worker.clock_ms())

        if await self._is_late(worker_info):
            self._carry_out_unanswered(worker_info, order)
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise WorkerCallFailed("order delayed")
        reply = order(worker)
        await self._maybe_lose_answer(worker_info)
        return reply

    async def throttle(
        self, worker_info: WorkerInfo, task: TaskId, run: int, percent: int, token: int
    ) -> OrderReply:
        worker = await self._reach(worker_info)
        return OrderReply("", worker.clock_ms())

    async def extend_lease(
        self,
        worker_info: WorkerInfo,
        deadline_ms: int | None,
        token: int,
        acknowledged: int,
        wait_ms: int,
    ) -> RunListPage | OrderReply:
        worker = await self._reach(worker_info)
        worker_now_ms = worker.clock_ms()
        if token < worker.token:
            return OrderReply("fence", worker_now_ms)
        if (self.instance, worker_info.worker_id) in self.platform.faults.refused_lease_links:
            return OrderReply("unhealthy", worker_now_ms)
        worker.token = token
        for end in worker.ends:
            if end.sequence <= acknowledged:
                self.platform.record_acknowledged(worker, end)
        worker.ends = [end for end in worker.ends if end.sequence > acknowledged]
        if deadline_ms is not None:
            worker.lease_deadline_ms = max(
                worker.lease_deadline_ms, min(deadline_ms, worker_now_ms + LEASE_MS)
            )
        await self._maybe_lose_answer(worker_info)
        if (self.instance, worker_info.worker_id) in self.platform.faults.unreadable_lease_links:
            raise WorkerCallFailed("hold: unreadable answer")
        if wait_ms and not worker.ends:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await worker.ended.wait()
            except TimeoutError:
                pass
        worker = await self._reach(worker_info)  # may be a later boot under the same ID
        now_ms = monotonic_ms()
        running = tuple(
            RunningTask(
                run.task,
                run.number,
                run.checkpoint,
                (
                    100
                    if run.spec.long_running
                    else min(99, int(100 * (now_ms - run.started_ms) / run.work_ms))
                ),
                5 if run.spec.long_running else run.spec.cpu_millis,
            )
            for run in worker.runs.values()
        )
        share = self.platform.faults.odd_row_workers.get(worker_info.worker_id, 0.0)
        complete = not share or self.platform.rng.random() >= share
        if not complete and running:  # an unreadable row stands for a run
            hidden = self.platform.rng.randrange(len(running))
            running = running[:hidden] + running[hidden + 1 :]
        ends = tuple(worker.ends[:MAX_LISTED_ENDS])
        reply_type: type[RunListPage] = LeaseReply if complete else AllEndsReply
        if len(ends) == MAX_LISTED_ENDS:
            reply_type = RunListPage
        return reply_type(worker.clock_ms(), worker.info.boot_time_ms, running, ends)


@dataclass
class SimDirectory:
    """Implement WorkerDirectory for one instance."""

    platform: SimPlatform
    instance: str
    followed_since_ms: int | None = None  # when the entries were first read
    read_ms: int = 0
    drained: set[str] = field(default_factory=set)  # workers that drained at the last read
    departed: dict[str, int] = field(default_factory=dict)

    async def refresh(self) -> dict[str, WorkerInfo]:
        faults = self.platform.faults
        if self.instance in (
            faults.store_silent_to | faults.store_refuses_to | faults.directory_unreadable_to
        ):
            await asyncio.sleep(STORE_LATENCY_S)
            raise StoreUnavailable("store unreachable")
        await asyncio.sleep(STORE_LATENCY_S)
        listed = {
            name: worker.info
            for name, worker in self.platform.workers.items()
            if worker.up and name not in faults.unlisted_workers
        }
        self._note_read(listed)
        return listed

    def _note_read(self, listed: dict[str, WorkerInfo]) -> None:
        """Note which workers have left, as far as the times of their reports show it."""
        now_ms = monotonic_ms()
        if self.followed_since_ms is None:
            self.followed_since_ms = now_ms
        was_read_lately = now_ms - self.read_ms < HEARTBEAT_INTERVAL_S * 1000
        if was_read_lately and now_ms - self.followed_since_ms > HEARTBEAT_INTERVAL_S * 1000:
            for name in self.drained & self.platform.left - set(listed):
                self.departed[name] = self.platform.workers[name].info.boot_time_ms
        self.drained = {name for name, info in listed.items() if info.draining}
        self.read_ms = now_ms

    def take_departed(self) -> dict[str, int]:
        departed, self.departed = self.departed, {}
        return departed


@dataclass
class SimConfigSource:
    """Implement ConfigSource for one instance."""

    platform: SimPlatform
    instance: str
    returned_version: int = -1

    async def next(self) -> Configuration | Evacuations | None:
        sent_ms = monotonic_ms()
        await asyncio.sleep(ORDERS_READ_INTERVAL_S)
        if self.platform.config.version > self.returned_version:
            self.returned_version = self.platform.config.version
            return self.platform.config
        faults = self.platform.faults
        if self.instance in (
            faults.store_silent_to | faults.store_refuses_to | faults.orders_unreadable_to
        ):
            return None
        # The answer is at least as new as the read.
        return Evacuations(
            frozenset(self.platform.evacuated_ms), self.platform.orders_offset, sent_ms
        )
