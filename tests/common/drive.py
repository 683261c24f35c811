"""Drive entry instances over the stand-in of a platform, with seeded faults, in virtual time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from greengagewood.internal.cells.runner import Ports
from greengagewood.internal.entry import EntrySettings, Node
from greengagewood.internal.entry.settings import Bounds
from greengagewood.internal.jobs.model import JobSpec, Queue, StepSpec
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.ports import Configuration, Outcome, RouteRule, StoreUnavailable
from tests.common.plant import LEASE_MS, Plant, PlantConfig, PlantDirectory, PlantWorkers
from tests.common.virtualtime import run_virtual

CALLER_WAITS_S = 3.0
HOST = "shop.example"
QUEUES = {
    "fast": Queue("fast", "svc", 0, 3, 1.5, 250),
    "wide": Queue("wide", "svc", 2, 2, 2.0, 1000),
    "serve": Queue("serve", "svc", 0, 3, 2.2, 2500),
}
CONFIG = Configuration(
    1,
    tuple(RouteRule(HOST, f"/{name}/", queue) for name, queue in QUEUES.items()),
    queues=QUEUES,
)


def settings(name: str) -> EntrySettings:
    """Return the settings of an instance."""
    address = "10.0.0.1:1"
    return EntrySettings(
        instance=name,
        failure_domain="z0",
        listen=address,
        ready=address,
        admin=address,
        store=address,
        bounds=Bounds(lease_ms=LEASE_MS, grace_s=6, status_s=120),
    )


def short_job() -> JobSpec:
    """Return a job of two steps of short tasks."""
    first = StepSpec(4, cpu_millis=4_000, memory_mb=8_000, estimate_ms=600)
    second = StepSpec(3, cpu_millis=4_000, memory_mb=8_000, estimate_ms=600, depends_on=(0,))
    return JobSpec("quote", (first, second))


def filling_job() -> JobSpec:
    """Return a job that uses what others leave."""
    step = StepSpec(
        5,
        cpu_millis=7_000,
        memory_mb=13_000,
        estimate_ms=2_000,
        checkpointing=True,
        image="layout",
        best_effort=True,
    )
    return JobSpec("layout", (step,))


def lasting_job() -> JobSpec:
    """Return a job that serves until it is cancelled."""
    step = StepSpec(
        3,
        cpu_millis=13_000,
        memory_mb=26_000,
        estimate_ms=400,
        long_running=True,
        image="watch",
        tail_target_ms=24,
    )
    return JobSpec("watch", (step,))


@dataclass
class Drive:
    """Hold the instances and what callers were told."""

    seed: int
    workers: int = 6
    instances: int = 3
    plant: Plant = field(init=False)
    nodes: dict[str, Node] = field(default_factory=dict)
    accepted: set[str] = field(default_factory=set)
    cancelled: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    unknown: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.plant = Plant(self.seed, self.workers, CONFIG)

    def start_node(self, name: str) -> None:
        """Start an instance, as after a kill."""
        ports = Ports(
            self.plant.store.view(name),
            PlantDirectory(self.plant, name),
            PlantWorkers(self.plant, name),
            None,
        )
        node = Node(settings(name), ports, PlantConfig(self.plant), Metrics())
        self.nodes[name] = node
        node.start()

    async def kill_node(self, name: str) -> None:
        """End an instance without notice."""
        await self.nodes.pop(name).stop()

    def owner(self) -> str | None:
        """Return which instance owns the cell."""
        return next((n for n, node in self.nodes.items() if node._view.owning), None)

    async def submit(self, job: str, queue: str, spec: JobSpec) -> Outcome | None:
        """Hand a job in at any instance, as a caller does who comes back with the same ID."""
        self.plant.specs[job] = spec.steps
        for _ in range(4):
            if not self.nodes:
                await asyncio.sleep(0.5)
                continue
            node = self.rng.choice(list(self.nodes.values()))
            if node.config is None:
                await asyncio.sleep(0.3)
                continue
            try:
                async with asyncio.timeout(CALLER_WAITS_S):
                    outcome = await node.submit(job, QUEUES[queue], spec, 2_700)
            except TimeoutError:  # the instance was killed with the request in it
                outcome = Outcome.UNKNOWN
            if outcome is Outcome.DONE:
                self.accepted.add(job)
                self.refused.discard(job)
                self.unknown.discard(job)
                return outcome
            (self.refused if outcome is Outcome.REFUSED else self.unknown).add(job)
            await asyncio.sleep(0.5)
        return None

    async def cancel(self, job: str) -> bool:
        """Cancel a job at any instance."""
        for _ in range(20):
            node = self.rng.choice(list(self.nodes.values()))
            try:
                known = await node.state_of(job)
            except StoreUnavailable:
                await asyncio.sleep(0.3)
                continue
            if known is not None and await node.cancel(job, 2_700) is Outcome.DONE:
                self.plant.cancelled_ms.setdefault(job, self._now_ms())
                self.cancelled.add(job)
                return True
            await asyncio.sleep(0.3)
        return False

    @staticmethod
    def _now_ms() -> float:
        return asyncio.get_running_loop().time() * 1000

    async def state(self, job: str) -> str | None:
        """Ask any instance for a job's state."""
        node = self.rng.choice(list(self.nodes.values()))
        try:
            return await node.state_of(job)
        except StoreUnavailable:
            return "unreachable"

    async def settle(self, jobs: set[str], limit_s: float) -> set[str]:
        """Wait until the jobs have ended; return those that have not."""
        left = set(jobs)
        until = asyncio.get_running_loop().time() + limit_s
        while left and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.25)
            for job in sorted(left):
                if await self.state(job) in ("completed", "failed", "cancelled"):
                    left.discard(job)
        return left


def play(drive: Drive, script: Callable[[Drive], Awaitable[None]]) -> Drive:
    """Run a script over instances that have settled on an owner."""

    async def main() -> None:
        random.seed(drive.seed)  # the product spreads its claims by chance
        drive.__post_init__()  # the stand-in's events belong to this loop
        for number in range(drive.instances):
            drive.start_node(f"n{number}")
        await asyncio.sleep(4)
        await script(drive)
        for name in list(drive.nodes):
            await drive.kill_node(name)

    run_virtual(main())
    return drive
