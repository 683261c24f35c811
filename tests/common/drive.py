"""Run entry instances on the simulated platform in virtual time, with faults drawn from a seed."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

import msgspec

from greengagewood.internal.cells.runner import Ports
from greengagewood.internal.entry import EntryInstance, EntrySettings
from greengagewood.internal.entry.settings import Bounds
from greengagewood.internal.jobs.model import JobSpec, Queue, StepSpec
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.ports import Configuration, Outcome, RouteRule, StoreUnavailable
from tests.common.plant import LEASE_MS, SimConfigSource, SimDirectory, SimPlatform, SimWorkerLink
from tests.common.virtualtime import run_in_virtual_time

CALLER_TIMEOUT_S = 3.0
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
        refuse_hopeless_jobs=True,
    )


def short_job() -> JobSpec:
    """Return a job of two steps with short tasks."""
    first_step = StepSpec(4, cpu_millis=4_000, memory_mb=8_000, estimate_ms=600)
    second_step = StepSpec(3, cpu_millis=4_000, memory_mb=8_000, estimate_ms=600, depends_on=(0,))
    return JobSpec("quote", (first_step, second_step))


def best_effort_job() -> JobSpec:
    """Return a job that uses only CPU time that other tasks leave idle."""
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


def long_running_job() -> JobSpec:
    """Return a job that runs until it is cancelled, and has a target of tail latency."""
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


def mixed_job(number: int) -> tuple[str, JobSpec]:
    """Return a queue and a job for it, of each kind in turn; every third job is long-running."""
    return (
        ("fast", short_job()),
        ("wide", best_effort_job()),
        ("serve", long_running_job()),
    )[number % 3]


@dataclass
class CellSimulation:
    """Run entry instances and callers; record the answer that each caller got for its job."""

    seed: int
    worker_count: int = 6
    instance_count: int = 3
    admission_check: bool = True  # whether the queues say that the workers refuse what doesn't fit
    platform: SimPlatform = field(init=False)
    instances: dict[str, EntryInstance] = field(default_factory=dict)
    accepted: set[str] = field(default_factory=set)
    cancelled: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    unknown: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.queues = {
            name: msgspec.structs.replace(queue, admission_check=self.admission_check)
            for name, queue in QUEUES.items()
        }
        config = replace(CONFIG, queues=self.queues)
        self.platform = SimPlatform(self.seed, self.worker_count, config)

    def make_directory(self, name: str) -> SimDirectory:
        """Return the directory that an instance reads."""
        return SimDirectory(self.platform, name)

    def start_instance(self, name: str) -> None:
        """Start an instance with no state, as a new process."""
        ports = Ports(
            self.platform.store.client(name),
            self.make_directory(name),
            SimWorkerLink(self.platform, name),
            None,
        )
        instance = EntryInstance(
            settings(name), ports, SimConfigSource(self.platform, name), Metrics()
        )
        self.instances[name] = instance
        instance.start()

    async def kill_instance(self, name: str) -> None:
        """Stop an instance without releasing its cell."""
        self.platform.disturbed_ms = self._now_ms()
        await self.instances.pop(name).stop()

    def owner(self) -> str | None:
        """Return the name of an instance that owns the cell, or None."""
        return next(
            (n for n, instance in self.instances.items() if instance._ownership.owning), None
        )

    async def submit(self, job: str, queue: str, spec: JobSpec) -> Outcome | None:
        """Submit a job to a random instance; retry with the same ID up to 3 times if it fails."""
        self.platform.specs[job] = spec.steps
        for _ in range(4):
            if not self.instances:
                await asyncio.sleep(0.5)
                continue
            instance = self.rng.choice(list(self.instances.values()))
            if instance.config is None:
                await asyncio.sleep(0.3)
                continue
            try:
                async with asyncio.timeout(CALLER_TIMEOUT_S):
                    outcome = await instance.submit(job, self.queues[queue], spec, 2_700)
            except TimeoutError:  # the instance was killed while it handled the request
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
        """Cancel a job through a random instance; retry until it is stored, up to 20 attempts."""
        for _ in range(20):
            if not self.instances:
                await asyncio.sleep(0.3)
                continue
            instance = self.rng.choice(list(self.instances.values()))
            try:
                async with asyncio.timeout(CALLER_TIMEOUT_S):
                    result = await instance.cancel(job, 2_700)
            except (StoreUnavailable, TimeoutError):  # or the instance was killed meanwhile
                await asyncio.sleep(0.3)
                continue
            if result.outcome is Outcome.DONE:
                self.platform.cancelled_ms.setdefault(job, self._now_ms())
                self.cancelled.add(job)
                return True
            await asyncio.sleep(0.3)
        return False

    @staticmethod
    def _now_ms() -> float:
        return asyncio.get_running_loop().time() * 1000

    async def state(self, job: str) -> str | None:
        """Return the state of a job according to a random instance."""
        instance = self.rng.choice(list(self.instances.values()))
        try:
            return await instance.state_of(job)
        except StoreUnavailable:
            return "unreachable"

    async def wait_until_ended(self, jobs: set[str], limit_s: float) -> set[str]:
        """Wait until the jobs have ended; return those that have not after `limit_s`."""
        unended = set(jobs)
        end_s = asyncio.get_running_loop().time() + limit_s
        while unended and asyncio.get_running_loop().time() < end_s:
            await asyncio.sleep(0.25)
            for job in sorted(unended):
                if await self.state(job) in ("completed", "failed", "cancelled"):
                    unended.discard(job)
        return unended


def run_simulation(
    sim: CellSimulation, script: Callable[[CellSimulation], Awaitable[None]]
) -> CellSimulation:
    """Run a script after the instances have had time to claim the cell."""

    async def main() -> None:
        random.seed(sim.seed)  # instances draw the delay of their claims from this generator
        sim.__post_init__()  # makes a new platform, whose asyncio events belong to this loop
        for number in range(sim.instance_count):
            sim.start_instance(f"n{number}")
        await asyncio.sleep(4)
        await script(sim)
        for name in list(sim.instances):
            await sim.kill_instance(name)

    run_in_virtual_time(main())
    return sim
