"""One boot of a worker: its clock, its lease, the runs that go on and the ends that it lists."""

from __future__ import annotations

import asyncio
import functools
import random
import time
import zlib
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from greengagewood.internal.placement import Resources
from greengagewood.platform.standin.advice import is_valid

__all__ = ["Boot", "Gangs", "Order", "StepWork"]

MAX_LISTED_ENDS = 500
MAX_HOLD_WAIT_MS = 2_000
STARTUP_MS = 300  # of a long-running task, until its progress is 100 percent
PACING_S = 0.1  # from an order to change the pace until it applies
CHECKPOINT_MS = 1_000  # work between two checkpoints
WORK_FACTORS = (0.5, 1.8)  # the work of a task as a multiple of its estimate
FAILURE_AFTER_MS = (20.0, 400.0)  # work of a run that fails
STOP_SHARES = (0.3, 1.0)  # of the longest time that a stop may take
TAIL_MS = 5
TAIL_MS_PER_CPU = 0.03  # more for each thousandth of a core that best-effort tasks use beside it
STRAGGLER_SHARE, STRAGGLER_FACTOR = 0.15, 6  # of the runs of speculative steps
CRASH_DELAY_S = 0.03  # from the start of a task that crashes its worker to the crash
GANG_TIMEOUT_S = 4.0  # from which on a run whose gang is incomplete ends

Record = Callable[[str, dict[str, Any]], None]


class Order(msgspec.Struct, rename="kebab"):
    """An order as it arrives; each kind uses some of the fields."""

    task: str = ""
    run: int = 0
    spec: str = ""
    deadline_ms: int | None = None
    fencing_token: int = 0
    checkpoint: str = ""
    ticket: str = ""
    percent: Annotated[int, Meta(ge=0, le=100)] = 100
    ack_cursor: int = 0
    wait_ms: Annotated[int, Meta(ge=0, le=MAX_HOLD_WAIT_MS)] = 0


class StepWork(msgspec.Struct, rename="kebab"):
    """What a task needs, as its step in the spec says."""

    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 500
    checkpointing: bool = False
    long_running: bool = False
    target_ms: float = 0
    utilization: bool = False
    gang: bool = False
    crashes: bool = False  # its worker, as it starts
    speculative: bool = False
    advised: bool = False  # whether a start needs a ticket

    @property
    def room(self) -> Resources:
        """Return what a run takes of the capacity: CPU in thousandths, memory, accelerators."""
        return Resources(0 if self.utilization else self.cpu, self.mem_mb, self.gpu)


@functools.lru_cache(maxsize=4096)
def _steps_of(spec: str) -> tuple[StepWork, ...]:
    try:
        return msgspec.json.decode(spec, type=tuple[StepWork, ...])
    except ValueError:
        return ()


def _step_work(spec: str, task: str) -> StepWork:
    """Return the work of a task, by the list of steps that the spec holds; raise ValueError."""
    _, _, step, _ = task.split(".")
    steps = _steps_of(spec)
    return steps[int(step)] if int(step) < len(steps) else StepWork()


@dataclass(eq=False)
class _Run:
    task: str
    number: int
    work: StepWork
    total_ms: float
    done_ms: float  # up to `since`
    since: float
    fails: bool
    percent: int = 100
    saved: str = ""
    stopping: bool = False
    timer: asyncio.TimerHandle | None = None

    @property
    def group(self) -> str:
        """Return whose checkpoints and work it shares: its step, or only its own task."""
        return self.task.rpartition(".")[0] if self.work.gang else self.task

    def progress(self, now: float) -> float:
        """Return the work that is done, in milliseconds."""
        return min(self.total_ms, self.done_ms + (now - self.since) * 10 * self.percent)

    def save(self, now: float, at_stop: bool = False) -> str:
        """Return the newest checkpoint: the work that it holds, and whose it is, in hexadecimal."""
        if self.work.checkpointing:
            done_ms = self.progress(now)
            saved_ms = done_ms if at_stop else done_ms - done_ms % CHECKPOINT_MS
            self.saved = max(self.saved, _checkpoint(self.group, saved_ms) if saved_ms >= 1 else "")
        return self.saved


def _checkpoint(group: str, saved_ms: float) -> str:
    return f"{int(saved_ms):08x}{zlib.crc32(group.encode()):08x}"


class Gangs:
    """The runs of gangs on the workers of one process, by step and number of the run."""

    def __init__(self) -> None:
        self._members: dict[tuple[str, int], dict[_Run, Boot]] = defaultdict(dict)

    def join(self, run: _Run, boot: Boot) -> dict[_Run, Boot]:
        """Add a run; return all of its gang once that is complete."""
        members = self._members[run.group, run.number]
        members[run] = boot
        return members if len(members) == run.work.count else {}

    def break_up(self, run: _Run) -> dict[_Run, Boot]:
        """Remove a gang of which a run has ended; return the other runs."""
        members = self._members.pop((run.group, run.number), {})
        members.pop(run, None)
        return members


class Boot:
    """Carry out orders as one boot of a worker."""

    def __init__(
        self,
        worker_id: str,
        born: int,
        capacity: Resources,
        guarded: bool,
        clock_rate: float,
        lease_ms: int,
        stop_ms: int,
        cold_ms: int,
        seed: int,
        rng: random.Random,
        gangs: Gangs,
        draw_failure: Callable[[], bool],
        crash: Callable[[], None],
        record: Record,
    ) -> None:
        self.id = worker_id
        self.born = born
        self.capacity = capacity
        self._guarded = guarded
        self._clock_rate = clock_rate
        self._lease_ms = lease_ms
        self._stop_ms = stop_ms
        self._cold_ms = cold_ms
        self._seed = seed
        self._rng = rng
        self._gangs = gangs
        self._draw_failure = draw_failure
        self._crash = crash
        self._record_line = record
        self._booted = time.monotonic()
        self._token = 0
        self._lease_until_ms = 0
        self._lapsed = True  # whether the lease has expired, or there was none yet
        self._lease_timer: asyncio.TimerHandle | None = None
        self._runs: dict[tuple[str, int], _Run] = {}
        self._ends: list[tuple[int, str, int, str, str]] = []
        self._end_count = 0
        self._lapsed_end_count = 0  # of ends since which the lease has lapsed
        self._highest_closed: dict[str, int] = {}  # run stopped or ended, by task
        self._ended = asyncio.Event()
        self._timers: set[asyncio.TimerHandle] = set()

    def clock_ms(self) -> int:
        """Return the time on the worker's clock."""
        return int((time.monotonic() - self._booted) * 1000 * self._clock_rate)

    @property
    def cold_remaining_ms(self) -> int:
        """Return how much longer the worker is slow after its boot."""
        return max(0, self._cold_ms - int((time.monotonic() - self._booted) * 1000))

    @property
    def runs(self) -> list[tuple[str, int]]:
        """Return the runs that go on, as tasks and run numbers."""
        return list(self._runs)

    def execute(
        self, kind: str, order: Order, client: str, late: bool = False
    ) -> tuple[int, dict[str, Any]]:
        """Carry out an order; return the status and the body of the answer, without lists."""
        self._expire_lease()
        try:
            status, reason = self._dispatch(kind, order, {"from": client, "late": late})
        except ValueError as exc:
            status, reason = 400, str(exc)
        details = {"task": order.task, "run": order.run} if order.task else {}
        self._record(
            "order",
            {"order": kind, "token": order.fencing_token, "status": status, "reason": reason}
            | {"late": late, "from": client, **details},
        )
        return status, {"clock-ms": self.clock_ms(), **({"reason": reason} if reason else {})}

    def _dispatch(self, kind: str, order: Order, origin: dict[str, Any]) -> tuple[int, str]:
        if order.fencing_token < self._token:
            return 409, "fence"
        if kind != "hold" and (order.task.count(".") != 3 or order.run < 1):
            raise ValueError(f"no run {order.run} of task {order.task!r}")
        self._token = order.fencing_token
        match kind:
            case "start":
                return self._start(order, origin)
            case "stop":
                self._stop(order)
            case "pace":
                run = self._runs.get((order.task, order.run))
                if run is not None:
                    self._call_later(PACING_S, self._set_pace, run, order.percent)
            case "hold":
                self._acknowledge(order.ack_cursor)
                if order.deadline_ms is not None:
                    self._extend_lease(order.deadline_ms)
        return 200, ""

    def _start(self, order: Order, origin: dict[str, Any]) -> tuple[int, str]:
        work = _step_work(order.spec, order.task)
        if order.deadline_ms is None:
            raise ValueError("deadline-ms is missing")
        # The deadline also counts if the start itself is refused.
        self._extend_lease(order.deadline_ms)
        if (order.task, order.run) in self._runs:
            return 200, ""
        if self.clock_ms() > order.deadline_ms:
            return 409, "late"
        if order.run <= self._highest_closed.get(order.task, 0):
            return 409, "old"
        if work.advised and not is_valid(order.ticket, order.task, self.id, self._booted * 1000):
            return 409, "ticket"
        taken = work.room
        for other in self._runs.values():
            taken += other.work.room
        if self._guarded and not taken.fits_within(self.capacity):
            return 409, "room"
        self._begin(order, work, origin)
        return 200, ""

    def _begin(self, order: Order, work: StepWork, origin: dict[str, Any]) -> None:
        # The same task has the same work in each of its runs, wherever they go on.
        group = order.task.rpartition(".")[0] if work.gang else order.task
        factor = random.Random(f"{self._seed}:{group}").uniform(*WORK_FACTORS)
        if work.speculative and self._rng.random() < STRAGGLER_SHARE:
            factor *= STRAGGLER_FACTOR
        saved_ms = int(order.checkpoint[:8], 16) if order.checkpoint else 0
        total_ms = STARTUP_MS if work.long_running else max(1.0, work.estimate_ms * factor)
        total_ms += self.cold_remaining_ms / 2  # half of the speed while it is cold
        fails = self._draw_failure()
        run = _Run(
            order.task,
            order.run,
            work,
            total_ms,
            min(float(saved_ms), total_ms),
            time.monotonic(),
            fails,
            percent=0 if work.gang else 100,
            saved=order.checkpoint,
        )
        self._runs[order.task, order.run] = run
        details = {"task": order.task, "run": order.run, "token": order.fencing_token}
        room = {"cpu": work.room.cpus, "mem_mb": work.mem_mb}
        content = {"spec": order.spec, "checkpoint": order.checkpoint}
        self._record("start", {**details, **content, **origin, **room})
        if work.crashes:
            self._call_later(CRASH_DELAY_S, self._crash)
        if not work.gang:
            self._work(run)
            return
        self._call_later(GANG_TIMEOUT_S, self._end_alone, run)
        for member, boot in self._gangs.join(run, self).items():
            member.since, member.percent = time.monotonic(), 100
            boot._work(member)

    def _work(self, run: _Run) -> None:
        if run.fails:
            self._call_later(self._rng.uniform(*FAILURE_AFTER_MS) / 1000, self._fail, run)
        self._schedule_completion(run)

    def _end_alone(self, run: _Run) -> None:
        self._expire_lease()
        if not run.percent and not run.stopping:
            self._end(run, "alone")

    def _schedule_completion(self, run: _Run) -> None:
        if run.timer is not None:
            run.timer.cancel()
            run.timer = None
        if not run.work.long_running and not run.fails and run.percent:
            left_ms = run.total_ms - run.progress(time.monotonic())
            delay_s = left_ms / (10 * run.percent)
            run.timer = asyncio.get_running_loop().call_later(delay_s, self._complete, run)

    def _complete(self, run: _Run) -> None:
        self._expire_lease()
        if not run.stopping:
            self._end(run, "done")

    def _fail(self, run: _Run) -> None:
        self._expire_lease()
        if not run.stopping:
            self._end(run, "failed")

    def _set_pace(self, run: _Run, percent: int) -> None:
        if run.work.gang:
            return
        now = time.monotonic()
        run.done_ms, run.since, run.percent = run.progress(now), now, percent
        if self._runs.get((run.task, run.number)) is run and not run.stopping:
            self._schedule_completion(run)

    def _stop(self, order: Order) -> None:
        highest = self._highest_closed.get(order.task, 0)
        self._highest_closed[order.task] = max(highest, order.run)
        run = self._runs.get((order.task, order.run))
        if run is not None and not run.stopping:
            run.stopping = True
            run.save(time.monotonic(), at_stop=True)
            delay_s = self._stop_ms / 1000 * self._rng.uniform(*STOP_SHARES)
            self._call_later(delay_s, self._end, run, "stopped")

    def _end(self, run: _Run, how: str) -> None:
        if self._runs.get((run.task, run.number)) is not run:
            return
        del self._runs[run.task, run.number]
        if run.timer is not None:
            run.timer.cancel()
        self._highest_closed[run.task] = max(self._highest_closed.get(run.task, 0), run.number)
        self._end_count += 1
        saved = run.saved if run.stopping else run.save(time.monotonic())
        self._ends.append((self._end_count, run.task, run.number, how, saved))
        self._record("end", {"task": run.task, "run": run.number, "how": how})
        self._ended.set()
        self._ended = asyncio.Event()
        self._end_gang(run, how)

    def _end_gang(self, run: _Run, how: str) -> None:
        """End the other runs of the gang of a run that has ended."""
        if run.work.gang:
            for member, boot in self._gangs.break_up(run).items():
                boot._end(member, "done" if how == "done" else "broken")

    def _acknowledge(self, cursor: int) -> None:
        for number, task, run, how, _ in self._ends:
            if number <= cursor:
                # Such an end does not count as noted: its task may have been started meanwhile.
                what = "ack_after_lapse" if number <= self._lapsed_end_count else "ack"
                self._record(what, {"task": task, "run": run, "how": how})
        self._ends = [end for end in self._ends if end[0] > cursor]

    def _extend_lease(self, deadline_ms: int) -> None:
        self._expire_lease()
        until_ms = min(deadline_ms, self.clock_ms() + self._lease_ms)
        self._lease_until_ms = max(self._lease_until_ms, until_ms)
        self._lapsed = self.clock_ms() > self._lease_until_ms
        if self._lease_timer is None:
            self._watch_lease()

    def _watch_lease(self) -> None:
        """End the runs when the lease expires; runs again when the lease was extended meanwhile."""
        self._lease_timer = None
        self._expire_lease()
        left_ms = self._lease_until_ms - self.clock_ms() + 1
        if left_ms > 0:
            loop = asyncio.get_running_loop()
            delay_s = left_ms / 1000 / self._clock_rate
            self._lease_timer = loop.call_later(delay_s, self._watch_lease)

    def _expire_lease(self) -> None:
        if self._lapsed or self.clock_ms() <= self._lease_until_ms:
            return
        self._lapsed = True
        self._record("lapse", {})
        for run in list(self._runs.values()):
            self._end(run, "lapsed")
        self._lapsed_end_count = self._end_count

    async def wait_for_end(self, wait_ms: int) -> None:
        """Wait until an end is listed that is not acknowledged, or the time has passed."""
        if self._ends or not wait_ms:
            return
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await self._ended.wait()
        except TimeoutError:
            pass

    def lists(self) -> dict[str, Any]:
        """Return the answer to a hold."""
        self._expire_lease()
        return {
            "clock-ms": self.clock_ms(),
            "born": self.born,
            "running": [self._row(run) for run in self._runs.values()],
            "finished": self._ends[:MAX_LISTED_ENDS],
        }

    def _row(self, run: _Run) -> tuple[str, int, str, int, int]:
        now = time.monotonic()
        share = run.progress(now) / run.total_ms
        percent = int(100 * share) if run.work.long_running else min(99, int(100 * share))
        use = run.work.cpu * run.percent // 100
        if run.work.target_ms:
            fill = sum(r.work.cpu * r.percent for r in self._runs.values() if r.work.utilization)
            use = TAIL_MS + int(fill / 100 * TAIL_MS_PER_CPU)
        return (run.task, run.number, run.save(now), percent, use)

    def shut_down(self, how: str) -> None:
        """End everything at once; the ends are recorded, but never listed."""
        self._expire_lease()
        for timer in (*self._timers, *([self._lease_timer] if self._lease_timer else [])):
            timer.cancel()
        runs, self._runs = list(self._runs.values()), {}
        for run in runs:
            if run.timer is not None:
                run.timer.cancel()
            self._record("end", {"task": run.task, "run": run.number, "how": how})
        for run in runs:
            self._end_gang(run, how)
        self._ends.clear()

    def _call_later(self, delay_s: float, callback: Callable[..., None], *args: object) -> None:
        def fire() -> None:
            self._timers.discard(handle)
            callback(*args)

        handle = asyncio.get_running_loop().call_later(delay_s, fire)
        self._timers.add(handle)

    def _record(self, what: str, fields: dict[str, Any]) -> None:
        self._record_line(what, {"worker": self.id, "born": self.born, **fields})
