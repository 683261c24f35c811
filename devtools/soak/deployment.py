"""Addresses, settings files and messages of a soak in the terms of the users' platform."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field
from typing import Any

import msgspec

from devtools.cluster import FIRST_BACKEND_PORT
from devtools.loopback import PLATFORM_PORT, reserve_network

__all__ = [
    "BOUNDS",
    "CALM_SHAPES",
    "HOST",
    "MAX_ATTEMPTS",
    "PREFIX",
    "READY_PATH",
    "SCALES",
    "STOP_MS",
    "WORKER_CPU",
    "Deployment",
    "JobShape",
    "Scale",
    "draw_job",
]

HOST = "queue.example"
PREFIX, ADVISED_PREFIX = "/work/", "/advised/"
READY_PATH = "/greengagewood/ready"
SERVICE = "compute"
QUEUE = "work"
MAX_ATTEMPTS = 3
WALL_OFFSET_MS = (time.time() - time.monotonic()) * 1000
STOP_MS, DRAIN_STAY_MS = 300, 6_000
BOUNDS = {"lease_ms": 6_000, "grace_s": 6, "status_s": 600}
REPORT_INTERVAL_MS = 1_500  # between two heartbeats of a worker
FRONTEND_PORT, READY_PORT, ADMIN_PORT = 17001, 17002, 17003
STANDIN_ADMIN_PORT = 17101
# The proxy holds orders as well; together they stay below the 12 s that the platform allows.
MAX_ORDER_DELAY_MS = 8_000
WORKER_CPU, WORKER_MEMORY_MB = 4_000, 64_000


@dataclass(frozen=True)
class Scale:
    """How many of each are started."""

    domains: int
    instances: int
    workers: int
    callers: int
    worker_processes: int


SCALES = {
    "small": Scale(3, 4, 12, 6, 1),
    "usual": Scale(4, 24, 48, 16, 4),
    "full": Scale(6, 96, 300, 32, 6),
}


@dataclass(frozen=True)
class JobShape:
    """A job as its caller describes it."""

    kind: str  # short, long, timed or standing
    counts: tuple[int, ...]  # of tasks, by step
    cpu: int
    estimate_ms: int
    options: dict[str, Any] = field(default_factory=dict)  # of every step
    repeats: int = 1
    interval_ms: int = 0
    first_ms: int = 0  # time of day of the first occurrence
    crashes: bool = False  # whether each task crashes the worker that starts it
    prefix: str = PREFIX  # of its queue

    def due_ms(self, occurrence: int) -> float:
        """Return when an occurrence is due on the monotonic clock."""
        return self.first_ms + occurrence * self.interval_ms - WALL_OFFSET_MS

    @property
    def has_copies(self) -> bool:
        """Return whether several runs of a task may go on at once."""
        return bool(self.options.get("speculative"))

    @property
    def is_gang(self) -> bool:
        """Return whether the tasks of a step work only together."""
        return bool(self.options.get("gang"))

    @property
    def label(self) -> str:
        """Return the label that its workers must have, or an empty string."""
        return str(self.options.get("requirements", ""))

    @property
    def max_per_worker(self) -> int:
        """Return how many tasks of a step one worker may run; 0 for no limit."""
        return int(self.options.get("anti-affinity", 0))

    @property
    def counted_cpu(self) -> int:
        """Return what a run counts against a worker's capacity."""
        return 0 if self.options.get("utilization") else self.cpu

    def body(self) -> dict[str, Any]:
        """Return the body of its submission; each step depends on the one before.

        The stand-in's workers read from the payload what a task needs.
        """
        steps = []
        for number, count in enumerate(self.counts):
            step: dict[str, Any] = {"count": count, "cpu": self.cpu, "mem-mb": 256}
            step |= {"estimate-ms": self.estimate_ms, **self.options}
            if number:
                step["depends-on"] = [number - 1]
            if self.kind == "standing":
                step["long-running"] = True
            steps.append(step)
        # Only the spec says that a task crashes its worker, or that its start needs a ticket.
        flags = {"crashes": self.crashes, "advised": self.prefix == ADVISED_PREFIX}
        spec = msgspec.json.encode([{**step, **flags} for step in steps]).decode()
        body: dict[str, Any] = {"spec": spec, "steps": steps}
        if self.kind == "timed":
            times = {"first-run-ms": self.first_ms, "interval-ms": self.interval_ms}
            body |= {"repeat-count": self.repeats, **times}
        return body


def draw_job(rng: random.Random) -> JobShape:
    """Draw a job: most are short, some outlast a change of the owner, some never end."""
    draw = rng.random()
    options: dict[str, Any] = rng.choice(OPTIONS) if rng.random() < 0.5 else {}
    if draw < 0.5:
        counts = tuple(rng.randint(1, 4) for _ in range(rng.randint(1, 2)))
        # The advice may deny both workers with a label.
        advised = rng.random() < 0.2 and "requirements" not in options
        prefix = ADVISED_PREFIX if advised else PREFIX
        estimate_ms = rng.randint(200, 1_500)
        return JobShape("short", counts, 1_000, estimate_ms, options, prefix=prefix)
    if draw < 0.8:
        options = options or {"checkpointing": True}
        # A straggler takes six times as long, and has to end in the calm phase, too.
        estimate_ms = rng.randint(5_000, 12_000) // (4 if options.get("speculative") else 1)
        return JobShape("long", (rng.randint(1, 3),), 1_000, estimate_ms, options)
    if draw < 0.9:
        first_ms = int(time.time() * 1000) + rng.randint(500, 4_000)
        timing = (rng.randint(2, 3), rng.randint(1_000, 3_000), first_ms)
        return JobShape("timed", (rng.randint(1, 2),), 1_000, 300, options, *timing)
    return JobShape("standing", (rng.randint(1, 3),), 500, 400, LASTING)


LASTING = {"max-unavailable": 1, "image": "serve", "target-ms": 20}
# Each rack has two workers at least, at any scale, and one process has all workers of a domain: the
# stand-in knows the members of a gang only within a process.
OPTIONS: list[dict[str, Any]] = [
    {"requirements": "z0-r0"},
    {"anti-affinity": 1},
    {"speculative": True},
    {"checkpointing": True},
    {"affinity": "z1-r1"},
    {"same-rack": True},
    {"utilization": True, "checkpointing": True, "image": "fill"},
    {"gang": True, "requirements": "z1-r0"},
    {"gang": True, "requirements": "z2-r1", "checkpointing": True},
]
# What is cancelled in a calm phase: tasks that last, that are long, have copies, or occur often.
CALM_SHAPES = [
    JobShape("standing", (2,), 300, 400, LASTING),
    JobShape("long", (2,), 300, 25_000, {"checkpointing": True}),
    JobShape("long", (2,), 300, 20_000, {"utilization": True, "image": "fill"}),
    JobShape("long", (2,), 300, 20_000, {"gang": True, "requirements": "z1-r0"}),
    JobShape("timed", (1,), 300, 400, {}, 12, 1_500),
]


class Deployment:
    """Addresses in one loopback network, and the settings that refer to them.

    Every instance has an address of its own, from which it also connects. The proxy stands at the
    store's address and at those which the workers' entries say.
    """

    def __init__(self, scale: Scale, seed: int) -> None:
        self.scale = scale
        self.admission_check = bool(seed % 3)  # whether workers refuse what does not fit
        self._net = f"127.{reserve_network()}"
        self.store = f"{self._net}.0.1:{PLATFORM_PORT}"
        self.store_behind = f"{self._net}.0.2:{PLATFORM_PORT}"
        self.store_admin = f"{self._net}.0.2:{STANDIN_ADMIN_PORT}"
        self.advice = f"{self._net}.0.3:{PLATFORM_PORT}"
        self.advice_behind = f"{self._net}.0.4:{PLATFORM_PORT}"
        self.instances = [
            f"{self._net}.{10 + i // 200}.{i % 200 + 1}" for i in range(scale.instances)
        ]
        self.numbers = {ip: number for number, ip in enumerate(self.instances)}  # also of earlier
        self.workers = [
            f"{self._net}.{40 + i // 200}.{i % 200 + 1}:{FIRST_BACKEND_PORT}"
            for i in range(scale.workers)
        ]
        self.current_ids = [self.worker_id(number) for number in range(scale.workers)]
        self.version = 0

    def replace_instance(self, number: int) -> None:
        """Give an instance another address, as another machine takes its place."""
        count = len(self.numbers)
        self.instances[number] = f"{self._net}.{20 + count // 200}.{count % 200 + 1}"
        self.numbers[self.instances[number]] = number

    def domain(self, number: int) -> int:
        """Return the failure domain of the instance or worker with this number."""
        return number % self.scale.domains

    def worker_id(self, number: int) -> str:
        """Return the first ID of a worker, by which its process knows it."""
        return f"w{number:03}"

    def worker_number(self, worker_id: str) -> int:
        """Return the number of a worker, also of one that has taken its place."""
        return int(worker_id[1:4])

    def rack(self, number: int) -> str:
        """Return the rack of a worker."""
        return f"z{self.domain(number)}-r{number % 2}"

    def worker_behind(self, number: int) -> str:
        """Return the address at which a worker listens behind the proxy."""
        ip, _, port = self.workers[number].partition(":")
        octets = ip.split(".")
        octets[2] = str(int(octets[2]) + 40)
        return f"{'.'.join(octets)}:{port}"

    def worker_admin(self, process: int) -> str:
        """Return the control address of a process of workers."""
        return f"{self._net}.0.{10 + process}:{STANDIN_ADMIN_PORT}"

    def frontend(self, number: int) -> str:
        """Return the address for callers of an instance."""
        return f"{self.instances[number]}:{FRONTEND_PORT}"

    def ready(self, number: int) -> str:
        """Return the readiness address of an instance."""
        return f"{self.instances[number]}:{READY_PORT}"

    def instance_settings(self, number: int) -> dict[str, Any]:
        """Return the settings of an entry instance."""
        return {
            "instance": f"entry-{self.instances[number]}",
            "failure_domain": f"z{self.domain(number)}",
            "listen": self.frontend(number),
            "ready": self.ready(number),
            "admin": f"{self.instances[number]}:{ADMIN_PORT}",
            "store": self.store,
            "advice": self.advice,
            "bounds": BOUNDS,
            "worker_report_interval_ms": REPORT_INTERVAL_MS,
        }

    def store_settings(self, record: str) -> dict[str, Any]:
        """Return the settings of the stand-in's store."""
        rates = {"writes_per_s": 800, "reads_per_s": 2_000}
        addresses = {"listen": self.store_behind, "admin": self.store_admin}
        return {**addresses, "record": record, "rates": rates}

    def worker_process(self, number: int) -> int:
        """Return the process in which a worker runs."""
        return self.domain(number) % self.scale.worker_processes

    def workers_settings(self, process: int, seed: int, record: str) -> dict[str, Any]:
        """Return the settings of one process of workers."""
        return {
            "admin": self.worker_admin(process),
            "store_admin": self.store_admin,
            **({} if process else {"advice": self.advice_behind}),
            "record": record,
            "seed": seed,
            "lease_ms": BOUNDS["lease_ms"],
            "heartbeat_ms": REPORT_INTERVAL_MS,
            "stop_ms": STOP_MS,
            "drain_ms": DRAIN_STAY_MS,
            "max_order_delay_ms": MAX_ORDER_DELAY_MS,
            "workers": [
                self._worker_settings(number)
                for number in range(self.scale.workers)
                if self.worker_process(number) == process
            ],
        }

    def _worker_settings(self, number: int) -> dict[str, Any]:
        return {
            "id": self.worker_id(number),
            "listen": self.worker_behind(number),
            "advertised": self.workers[number],
            "service": SERVICE,
            "zone": f"z{self.domain(number)}",
            "rack": self.rack(number),
            "cpu": WORKER_CPU,
            "mem_mb": WORKER_MEMORY_MB,
            "clock_rate": (1.0, 0.98)[number % 2],
            "guarded": self.admission_check,
        }

    def next_manifest(self) -> dict[str, Any]:
        """Return the next version of the manifest."""
        self.version += 1
        route = {
            "name": QUEUE,
            "host": HOST,
            "path-prefix": PREFIX,
            "service": SERVICE,
            "timeout-ms": 3_000,
            "target-latency-ms": 2_000 + self.version,
            "max-attempts": MAX_ATTEMPTS,
            "slack-factor": 2.0,
        }
        advice = {"decision-ms": 40, "per-worker-ms": 2, "validity-ms": 4_000}
        advised = {**route, "name": "advised", "path-prefix": ADVISED_PREFIX, "advice": advice}
        services = [{"name": SERVICE, "admission-check": self.admission_check}]
        return {
            "version": self.version,
            "routes": [route, advised],
            "services": services,
            "limits": {},
        }
