"""Play scripts of the fault soak in virtual time, on the simulated platform.

The scripts, the player, the callers and the checker are those of `devtools.soak`. This module has
the system that they work on: it reads the faults of links and of the stand-in as those of
`plant.Faults`, and writes the history that the stand-in would write.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

import logbook
import msgspec
from devtools.soak import callers as callers_module
from devtools.soak import deployment as deployment_module
from devtools.soak import run as run_module
from devtools.soak.callers import Callers, now_ms
from devtools.soak.checker import build_runs, check_all, missing_standing_tasks
from devtools.soak.deployment import (
    MAX_ATTEMPTS,
    QUEUE,
    SCALES,
    SERVICE,
    WORKER_CPU,
    WORKER_MEMORY_MB,
    Deployment,
    Scale,
)
from devtools.soak.player import Player
from devtools.soak.proxy import LinkFault
from devtools.soak.records import Disruption, Event, JobRecord, Request
from devtools.soak.script import Step, draw_script, load_script

from greengagewood.internal.cells.runner import Ports
from greengagewood.internal.clock import monotonic_ms, wall_ms
from greengagewood.internal.entry import EntryInstance
from greengagewood.internal.jobs.model import Queue
from greengagewood.internal.jobs.records import TaskId
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.ports import (
    Configuration,
    Outcome,
    RouteRule,
    RunEnd,
    StoreUnavailable,
)
from greengagewood.platform.jobs import parse_job
from greengagewood.platform.standin.settings import Fault
from greengagewood.platform.workers import format_task_name
from tests.common.drive import settings as instance_settings
from tests.common.entrymutants import MUTANTS
from tests.common.plant import (
    HEARTBEAT_INTERVAL_S,
    SimConfigSource,
    SimDirectory,
    SimPlatform,
    SimWorker,
    SimWorkerLink,
    _Run,
)
from tests.common.virtualtime import START_WALL_MS, run_in_virtual_time

__all__ = ["NOT_PLAYED", "play_in_virtual_time"]

# Faults of a script that the simulation passes over, each with the reason.
NOT_PLAYED = {
    "freeze": "one event loop runs all instances, so none can be suspended alone",
    "starve": "the same",
    "hangup": "the ports have no settings file",
    "reset": "the ports have no connections; test_silent_connections.py has those of the adapter",
    "silence": "the same",
    "evacuate": "the simulated operator writes no orders",
    "cancel_in_calm": "it evacuates, and its jobs need what only the stand-in's workers have",
    "deadly": "the simulated workers crash under tasks that a test names, see test_crashes.py",
    "odd_entries": "the adapter decodes them; see test_odd_entries.py",
}
ENTRY_LIFETIME_S = 3 * HEARTBEAT_INTERVAL_S  # of an entry without heartbeats
CALLER_TIMEOUT_S = 10.0
STORE_TIMEOUT_MS = 2_700  # the callers' deadline of 3 s, less a margin
START_S = 4.0
LATE_ENDS_S = 20.0  # an order may still be carried out 12 s later, and the rest is calm


class _Platform(SimPlatform):
    """The simulated platform with the soak's workers; it writes a history like the stand-in's."""

    late_orders_reach_later_boots = True

    def __init__(self, seed: int, dep: Deployment, config: Configuration) -> None:
        self.events: list[Event] = []
        self._dep = dep
        super().__init__(seed, 0, config)
        for number in range(dep.scale.workers):
            self.add_worker(dep.worker_id(number))

    def write(self, what: str, worker: str, **fields: Any) -> None:
        """Append a line to the history."""
        self.events.append({"t": now_ms(), "what": what, "worker": worker, **fields})

    def add_worker(self, name: str, clock_shift_ms: int = 0) -> None:
        """Boot a worker; its time of day is off by the shift."""
        number = self._dep.worker_number(name)
        super().add_worker(name)
        earlier = max((w.info.boot_time_ms for w in self.workers.values()), default=0)
        born = wall_ms() + clock_shift_ms
        info = replace(
            self.workers[name].info,
            service=SERVICE,
            address=self._dep.workers[number],
            failure_domain=f"z{self._dep.domain(number)}",
            rack=self._dep.rack(number),
            labels=frozenset(("a", self._dep.rack(number))),
            cpu_millis=WORKER_CPU,
            memory_mb=WORKER_MEMORY_MB,
            boot_time_ms=born if clock_shift_ms < 0 else max(born, earlier + 1),
        )
        self.workers[name] = SimWorker(info, self, monotonic_ms())
        self.write("boot", name)

    def check_start(self, worker: SimWorker, run: _Run) -> None:
        """Record a start, and check it as the simulation does."""
        super().check_start(worker, run)
        fields = {"run": run.number, "spec": run.payload, "from": run.sender, "late": run.late}
        self.write("start", worker.info.worker_id, task=format_task_name(run.task), **fields)

    def record_end(self, worker: SimWorker, run: _Run, result: str) -> None:
        """Record the end of a run."""
        super().record_end(worker, run, result)
        self._write_end(worker, run.task, run.number, result)

    def record_acknowledged(self, worker: SimWorker, end: RunEnd) -> None:
        """Record that an end was acknowledged."""
        super().record_acknowledged(worker, end)
        fields = {"task": format_task_name(end.task_id), "run": end.run_number}
        what = "ack_after_lapse" if end.sequence <= worker.lapsed_end_count else "ack"
        self.write(what, worker.info.worker_id, how=end.result, **fields)

    def _write_end(self, worker: SimWorker, task: TaskId, run: int, how: str) -> None:
        name = format_task_name(task)
        self.write("end", worker.info.worker_id, task=name, run=run, how=how)

    def shut_down(self, name: str, how: str) -> None:
        """End a worker and everything on it."""
        worker = self.workers[name]
        for run in worker.runs.values() if worker.up else ():
            self._write_end(worker, run.task, run.number, how)
        self.crash(name)


class _Proxy:
    """The links between instances, store and workers, as faults of the simulated platform."""

    def __init__(self, system: _System) -> None:
        self._system = system
        self._faults: list[LinkFault] = []

    def add(self, fault: LinkFault) -> None:
        """Put a fault in force."""
        self._faults.append(fault)
        self._system.apply_faults()

    def remove(self, fault: LinkFault) -> None:
        """End a fault."""
        self._faults.remove(fault)
        self._system.apply_faults()

    def reset(self, sources: frozenset[str], targets: frozenset[str]) -> None:
        """Do nothing: there are no connections."""

    silence = reset

    async def hang(self, address: str, for_s: float) -> None:
        """Do nothing more than the cut beside it: there are no connections."""
        await asyncio.sleep(for_s)

    def modes(self, source: str, target: str) -> tuple[bool, bool, float]:
        """Return whether a link is cut outwards, and back, and its delay in seconds."""
        hit = [f for f in self._faults if source in f.sources and target in f.targets]
        cuts = [f.way for f in hit if f.mode != "delay"]
        delay_ms = max((f.delay_ms for f in hit if f.mode == "delay"), default=0)
        return any(w in ("out", "both") for w in cuts), "back" in cuts, delay_ms / 1000


class _System:
    """The part of `devtools.soak.system.System` that the player and the calm need."""

    def __init__(self, seed: int, scale: Scale) -> None:
        self.deployment = Deployment(scale, seed)
        self.disruptions: list[Disruption] = []
        self.calm_events: list[Event] = []
        self.proxy = _Proxy(self)
        guarded = self.deployment.admission_check
        self._queue = Queue(QUEUE, SERVICE, 0, MAX_ATTEMPTS, 2.0, 2_000, admission_check=guarded)
        self.platform = _Platform(seed, self.deployment, self._configuration(1))
        self.platform.guarded = guarded
        self.instances: dict[int, EntryInstance] = {}
        self._standin_faults: dict[str, list[Fault]] = defaultdict(list)  # by the role
        self._lapse_tasks: set[asyncio.Task[None]] = set()

    def _configuration(self, version: int) -> Configuration:
        routes = (RouteRule(deployment_module.HOST, deployment_module.PREFIX, self._queue),)
        return Configuration(version, routes, queues={QUEUE: self._queue})

    @property
    def events(self) -> list[Event]:
        """Return the history."""
        return self.platform.events

    @property
    def queue(self) -> Queue:
        """Return the only queue."""
        return self._queue

    @property
    def owner_number(self) -> int:
        """Return the instance that owns the cell."""
        owners = (n for n, instance in self.instances.items() if instance._ownership.owning)
        return next(owners, 0)

    def read_new_lines(self) -> None:
        """Do nothing: the history is here."""

    # Processes.

    def is_up(self, number: int) -> bool:
        """Return whether an instance runs."""
        return number in self.instances

    def start_instance(self, number: int) -> None:
        """Start an instance with no state."""
        name = self.deployment.instances[number]
        ports = Ports(
            self.platform.store.client(name),
            SimDirectory(self.platform, name),
            SimWorkerLink(self.platform, name),
            None,
        )
        source = SimConfigSource(self.platform, name)
        self.instances[number] = EntryInstance(instance_settings(name), ports, source, Metrics())
        self.instances[number].start()

    async def end_instance(self, number: int, kind: str, pause_s: float) -> None:
        """End an instance; it is started again after a pause."""
        instance = self.instances.pop(number, None)
        if instance is None:
            return
        disruption = Disruption(kind, number, now_ms())
        self.disruptions.append(disruption)
        if kind == "terminate":
            await instance.release_cell()
        await instance.stop()
        await asyncio.sleep(pause_s)
        self.apply_faults()
        self.start_instance(number)
        started = self.instances[number]
        while self.instances.get(number) is started and not started.ready:
            await asyncio.sleep(0.1)
        disruption.to_ms = now_ms()

    async def replace_instance(self, number: int, kind: str, pause_s: float) -> None:
        """End an instance for good; after a pause, one at another address takes its place."""
        self.deployment.replace_instance(number)
        await self.end_instance(number, kind, pause_s)

    def signal_instance(self, number: int, signal_number: int) -> None:
        """Do nothing: an instance can't be suspended alone."""

    # The stand-in.

    async def try_admin(self, address: str, call: str, **body: Any) -> None:
        """Call a control address of the stand-in; it may refuse."""
        await self.admin(address, call, **body)

    async def admin(self, address: str, call: str, **body: Any) -> None:
        """Call a control address of the stand-in."""
        role = "store" if address == self.deployment.store_admin else "workers"
        match call:
            case "fault":
                fault = msgspec.convert(body, Fault)
                faults = self._standin_faults[role]
                if fault.kind == "clear":
                    faults[:] = [f for f in faults if f.id != fault.id]
                else:
                    faults.append(fault)
                    if fault.kind == "lapse":
                        self._spawn(self._lapse_later(fault))
                self.apply_faults()
            case "truncate":
                store = self.platform.store
                store.first_offset = max(store.first_offset, len(store.records) - int(body["keep"]))
            case "entry" if body["key"] == "op/config":
                self.platform.config = self._configuration(self.platform.config.version + 1)
            case "worker":
                self._change_worker(**body)

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._lapse_tasks.add(task)
        task.add_done_callback(self._lapse_tasks.discard)

    async def _lapse_later(self, fault: Fault) -> None:
        await asyncio.sleep(ENTRY_LIFETIME_S)
        if fault in self._standin_faults["store"]:
            self.platform.faults.unlisted_workers |= set(fault.workers)

    def _change_worker(self, id: str, do: str, new_id: str = "", ms: int | None = None) -> None:
        number = self.deployment.worker_number(id)
        name = next(n for n in self.platform.workers if self.deployment.worker_number(n) == number)
        match do:
            case "boot" if not self.platform.workers[name].up:
                del self.platform.workers[name]
                self.platform.left.discard(name)
                self.platform.add_worker(new_id or name, ms or 0)
            case "crash" | "gone":
                self.platform.shut_down(name, "crashed" if do == "crash" else "gone")
            case "drain":
                self.platform.drain(name)
                self.platform.write("drain", name)
                self._spawn(self._leave_later(name, (ms or 0) / 1000))

    async def _leave_later(self, name: str, stay_s: float) -> None:
        worker = self.platform.workers[name]
        await asyncio.sleep(stay_s)
        if self.platform.workers.get(name) is worker and worker.up:
            self.platform.shut_down(name, "gone")
            self.platform.left.add(name)

    # Faults in force.

    def apply_faults(self) -> None:
        """Set the faults of the simulated platform by the faults in force."""
        faults, dep = self.platform.faults, self.deployment
        for names in (faults.store_silent_to, faults.store_unanswered_to, faults.cut_links):
            names.clear()
        faults.unanswered_links.clear()
        faults.delays_s.clear()
        faults.store_delays_s.clear()
        for ip in dep.instances:
            out, back, faults.store_delays_s[ip] = self.proxy.modes(ip, dep.store)
            if out or back:
                (faults.store_silent_to if out else faults.store_unanswered_to).add(ip)
            for name in self.platform.workers:
                address = dep.workers[dep.worker_number(name)]
                out, back, delay_s = self.proxy.modes(ip, address)
                if out or back:
                    (faults.cut_links if out else faults.unanswered_links).add((ip, name))
                if delay_s:
                    faults.delays_s[ip, name] = delay_s
        self._apply_store_faults()
        self._apply_worker_faults()

    def _apply_store_faults(self) -> None:
        faults, every = self.platform.faults, set(self.deployment.instances)
        refused = faults.store_refuses_to
        for names in (refused, faults.directory_unreadable_to, faults.orders_unreadable_to):
            names.clear()
        faults.lost_answer_share = faults.late_append_share = 0.0
        lapsed: set[str] = set()
        for fault in self._standin_faults["store"]:
            hit = set(fault.clients) or every
            cell = not fault.topics or "keyed.cell0" in fault.topics
            match fault.kind:
                case "silent" | "busy" | "reset":
                    if not fault.topics or "keyed.servers" in fault.topics:
                        faults.directory_unreadable_to |= hit
                    if not fault.topics or "keyed.op" in fault.topics:
                        faults.orders_unreadable_to |= hit
                    if cell:
                        (refused if fault.kind == "busy" else faults.store_silent_to).update(hit)
                case "slow" if cell:
                    faults.store_delays_s |= dict.fromkeys(hit, fault.ms / 1000)
                case "lose_answers" if cell:
                    faults.lost_answer_share = fault.share
                case "apply_late" if cell:
                    faults.late_append_share = fault.share
                case "lapse":
                    lapsed |= set(fault.workers)
        faults.unlisted_workers &= lapsed

    def _apply_worker_faults(self) -> None:
        faults, platform = self.platform.faults, self.platform
        faults.failing_workers.clear()
        faults.busy_workers.clear()
        faults.odd_row_workers.clear()
        faults.late_order_share, faults.late_order_workers = 0.0, set()
        for fault in self._standin_faults["workers"]:
            numbers = {self.deployment.worker_number(w) for w in fault.workers}
            hit = {n for n in platform.workers if self.deployment.worker_number(n) in numbers}
            match fault.kind:
                case "late_orders":
                    faults.late_order_share = fault.share
                    faults.late_order_workers |= hit
                case "lost_answers":
                    faults.unanswered_links |= {
                        (ip, name) for ip in self.deployment.instances for name in hit
                    }
                case "fail_runs":
                    faults.failing_workers |= hit
                case "busy":
                    faults.busy_workers |= dict.fromkeys(hit, fault.share)
                case "odd_rows":
                    faults.odd_row_workers |= dict.fromkeys(hit, fault.share)
        if not faults.late_order_share:
            faults.late_order_workers = None


class _Callers(Callers):
    """The soak's callers, who call the instances directly."""

    def __init__(self, system: _System, seed: int) -> None:
        # The session of the base class would open sockets.
        with (
            patch.object(callers_module.aiohttp, "ClientSession"),
            patch.object(callers_module.aiohttp, "TCPConnector"),
        ):
            super().__init__(system.deployment, seed, system.is_up)
        self._system = system

    async def send(
        self, record: JobRecord, method: str, instance: int, body: object = None
    ) -> Request:
        """Send a request, record it and return it."""
        req = Request(instance, method, record.job, now_ms())
        record.requests.append(req)
        target = self._system.instances.get(instance)
        if target is None:
            req.unsent, req.error, req.ended_ms = True, "down", now_ms()
            return req
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                req.status = await self._answer(target, record, req, body)
        except TimeoutError as exc:
            req.error = repr(exc)
        except asyncio.CancelledError:
            if self._system.instances.get(instance) is target:
                raise
            # The instance has stopped, and with it a read that this request waited for.
        if self._system.instances.get(instance) is not target:
            req.status, req.state, req.error = None, "", "broken"
        req.ended_ms = now_ms()
        return req

    async def _answer(
        self, target: EntryInstance, record: JobRecord, req: Request, body: object
    ) -> int:
        """Return the status with which the front end would answer."""
        if target.config is None:
            return 503
        try:
            if req.method == "POST":
                spec = parse_job(msgspec.json.encode(body))
                self._system.platform.specs[record.job] = spec.steps
                if await target.find_refusal(record.job, self._system.queue, spec):
                    return 503
                outcome = await target.submit(
                    record.job, self._system.queue, spec, STORE_TIMEOUT_MS
                )
            elif req.method == "GET":
                state = await target.state_of(record.job)
                if state is None:
                    return 410
                req.state = state
                return 200
            else:
                result = await target.cancel(record.job, STORE_TIMEOUT_MS)
                if result.outcome is Outcome.DONE and not result.known:
                    return 410
                outcome = result.outcome
        except StoreUnavailable:
            return 503
        return {Outcome.DONE: 200, Outcome.REFUSED: 503, Outcome.UNKNOWN: 504}[outcome]


@contextmanager
def _virtual_clocks() -> Iterator[None]:
    """Let the modules of the soak use the clocks of the simulation."""
    with (
        patch.object(
            callers_module, "time", SimpleNamespace(monotonic=lambda: monotonic_ms() / 1000)
        ),
        patch.object(deployment_module, "time", SimpleNamespace(time=lambda: wall_ms() / 1000)),
        patch.object(deployment_module, "WALL_OFFSET_MS", START_WALL_MS),
    ):
        yield


async def _play(seed: int, scale: Scale, steps: list[Step]) -> list[str]:
    random.seed(seed)  # instances draw the delay of their claims from this generator
    system = _System(seed, scale)
    callers = _Callers(system, seed)
    player = Player(system, callers)  # type: ignore[arg-type]
    for number in range(scale.instances):
        system.start_instance(number)
    await asyncio.sleep(START_S)
    callers.start()
    await player.play([step for step in steps if step.kind not in NOT_PLAYED])
    await callers.stop()
    calm_s = await run_module._wait_until_calm(system, callers)  # type: ignore[arg-type]
    await asyncio.sleep(LATE_ENDS_S)
    for number in list(system.instances):
        await system.instances.pop(number).stop()
    dep, jobs = system.deployment, callers.jobs
    numbers = {name: dep.worker_number(name) for name in {e["worker"] for e in system.events}}
    racks = {name: dep.rack(number) for name, number in numbers.items()}
    findings = check_all(
        system.events,
        jobs,
        system.disruptions,
        WORKER_CPU,
        set() if dep.admission_check else set(numbers),
        dep.numbers,
        racks,
    )
    if calm_s >= run_module.CALM_LIMIT_S:
        missing = missing_standing_tasks(build_runs(system.calm_events), jobs)
        findings += [f"STANDING: {task} is not back" for task in missing]
    return findings


def play_in_virtual_time(seed: int, scale: str, steps: list[Step]) -> list[str]:
    """Play a script; return the findings."""
    with _virtual_clocks():
        return run_in_virtual_time(_play(seed, SCALES[scale], steps))


def main() -> int:
    """Play seeds or a script by hand; return 1 after a finding."""
    parser = argparse.ArgumentParser(description="Play the fault soak in virtual time.")
    parser.add_argument("--seed", type=int, default=0, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--minutes", type=float, default=0.5, help="minutes of faults for each")
    parser.add_argument("--scale", choices=sorted(SCALES), default="small")
    parser.add_argument("--replay", type=Path, help="script to play with each seed")
    parser.add_argument("--mutant", choices=["none", *sorted(MUTANTS)], default="none")
    args = parser.parse_args()
    if args.mutant != "none":
        setattr(*MUTANTS[args.mutant])
    logbook.NullHandler().push_application()
    failed, step_count = [], 0
    for seed in range(args.seed, args.seed + args.seeds):
        if args.replay:
            _, scale, steps = load_script(args.replay)
        else:
            scale = args.scale
            steps = draw_script(seed, SCALES[scale], int(args.minutes * 60_000))
        findings = play_in_virtual_time(seed, scale, steps)
        step_count += len(steps)
        for finding in findings:
            print(f"FINDING seed {seed}: {finding}", flush=True)
        if findings:
            failed.append(seed)
    print(f"{args.seeds} seeds, {step_count} faults, failed seeds: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
