"""Start and stop a small system of real processes on the loopback interface."""

from __future__ import annotations

import contextlib
import signal
import subprocess
import sys
import time
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import yaml

from devtools.loopback import PLATFORM_PORT, reserve_network

__all__ = ["Cluster", "ClusterPlan", "Instance"]

KEEPER_PORT = 17001
GATEWAY_PORT = 17002
GATEWAY_PEER_PORT = 17003
SCHEDULER_PORT = 17004
KEEPER_ADMIN_PORT = 17011
GATEWAY_ADMIN_PORT = 17012
SCHEDULER_ADMIN_PORT = 17013
FIRST_BACKEND_PORT = 17200
ADMIN_PORTS = {
    "keeper": KEEPER_ADMIN_PORT,
    "gateway": GATEWAY_ADMIN_PORT,
    "scheduler": SCHEDULER_ADMIN_PORT,
}
ROLES = ("keeper", "gateway", "scheduler")
SHARED_KEY = "demo-key-only-for-loopback"
STOP_TIMEOUT_S = 60.0


@dataclass(frozen=True)
class ClusterPlan:
    """Describe the system to start.

    `standin_settings` and `worker_settings` are added to the settings of the stand-in platform and
    of each of its workers, and override them.
    """

    environment: str
    service: str
    rack_by_domain: dict[str, str]
    workers_per_domain: int
    instances_per_domain: int
    trial_instances: int = 1
    standin_settings: dict[str, Any] = field(default_factory=dict)
    first_worker_accelerators: int = 0
    worker_settings: dict[str, Any] = field(default_factory=dict)


@dataclass
class Instance:
    """Hold an entry instance and its processes."""

    name: str
    failure_domain: str
    stage: str
    ip: str
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    @property
    def url(self) -> str:
        """Return the address for callers."""
        return f"http://{self.ip}:{GATEWAY_PORT}"


class Cluster:
    """Run the stand-in platform and the entry instances as processes.

    Its loopback addresses share a second octet that no other cluster on the machine uses.
    """

    def __init__(self, plan: ClusterPlan, folder: Path) -> None:
        self.plan = plan
        self.folder = folder
        octet = reserve_network()
        self.platform_ip = f"127.{octet}.0.1"
        self.platform = f"http://{self.platform_ip}:{PLATFORM_PORT}"
        self.instances: dict[str, Instance] = {}
        self._standin: subprocess.Popen[bytes] | None = None
        self._octet = octet
        folder.mkdir(parents=True, exist_ok=True)
        for subnet, domain in enumerate(plan.rack_by_domain):
            for index in range(plan.instances_per_domain):
                self._add_instance(f"{domain}-{index + 1}", domain, "production", subnet, index)
        first_domain = next(iter(plan.rack_by_domain))
        for index in range(plan.trial_instances):
            self._add_instance(f"trial-{index + 1}", first_domain, "trial", 100, index)

    def _add_instance(self, name: str, domain: str, stage: str, subnet: int, index: int) -> None:
        ip = f"127.{self._octet}.{subnet + 1}.{index + 1}"
        self.instances[name] = Instance(name, domain, stage, ip)

    # Settings files.

    def _write_settings(self, name: str, settings: dict[str, Any]) -> Path:
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings, sort_keys=False), encoding="utf-8")
        return path

    def _address(self, ip: str, port: int) -> dict[str, Any]:
        return {"ip": ip, "port": port}

    def _common_settings(self, instance: Instance, admin_port: int) -> dict[str, Any]:
        return {
            "environment": self.plan.environment,
            "stage": instance.stage,
            "instance": instance.name,
            "failure_domain": instance.failure_domain,
            "keys": {"current": "k1", "accepted": {"k1": SHARED_KEY}},
            "admin": self._address(instance.ip, admin_port),
            "platform": self._address(self.platform_ip, PLATFORM_PORT),
        }

    def _role_settings(self, instance: Instance, role: str) -> dict[str, Any]:
        keeper = self._address(instance.ip, KEEPER_PORT)
        if role == "keeper":
            return {
                **self._common_settings(instance, KEEPER_ADMIN_PORT),
                "listen": keeper,
                "gateway": self._address(instance.ip, GATEWAY_PEER_PORT),
                "scheduler": self._address(instance.ip, SCHEDULER_PORT),
            }
        if role == "gateway":
            return {
                **self._common_settings(instance, GATEWAY_ADMIN_PORT),
                "listen": self._address(instance.ip, GATEWAY_PORT),
                "peer": self._address(instance.ip, GATEWAY_PEER_PORT),
                "keeper": keeper,
            }
        return {
            **self._common_settings(instance, SCHEDULER_ADMIN_PORT),
            "listen": self._address(instance.ip, SCHEDULER_PORT),
            "keeper": keeper,
        }

    def _standin_settings(self) -> dict[str, Any]:
        workers: list[dict[str, Any]] = []
        for domain, rack in self.plan.rack_by_domain.items():
            for index in range(self.plan.workers_per_domain):
                number = len(workers)
                workers.append(
                    {
                        "name": f"{domain}-w{index + 1}",
                        "failure_domain": domain,
                        "rack": rack,
                        "accelerators": self.plan.first_worker_accelerators if index == 0 else 0,
                        "backend_port": FIRST_BACKEND_PORT + number,
                        **self.plan.worker_settings,
                    }
                )
        return {
            "listen": self._address(self.platform_ip, PLATFORM_PORT),
            "service": self.plan.service,
            "workers": workers,
            "entries": self._entry_list(),
            **self.plan.standin_settings,
        }

    def _entry_list(self) -> list[dict[str, str]]:
        return [
            {
                "instance": instance.name,
                "failure_domain": instance.failure_domain,
                "keeper": f"{instance.ip}:{KEEPER_PORT}",
            }
            for instance in self.instances.values()
            if instance.stage == "production"
        ]

    def write_control_settings(self) -> Path:
        """Write the settings file of ggwctl and return its path."""
        admins: dict[str, list[dict[str, Any]]] = {"production": [], "trial": []}
        for instance in self.instances.values():
            admins[instance.stage].append(self._address(instance.ip, KEEPER_ADMIN_PORT))
        settings = {
            "environment": self.plan.environment,
            "platform": self._address(self.platform_ip, PLATFORM_PORT),
            "admins": admins["production"],
            "trial_admins": admins["trial"],
        }
        return self._write_settings("ggwctl", settings)

    # Processes.

    def _spawn(self, program: str, settings: Path) -> subprocess.Popen[bytes]:
        binary = Path(sys.executable).parent / program
        log = (self.folder / f"{settings.stem}.log").open("ab")
        return subprocess.Popen(
            [str(binary), f"--settings={settings}"],
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )

    def start(self) -> None:
        """Start the stand-in platform, then every instance."""
        self.start_platform()
        for instance in self.instances.values():
            self.start_instance(instance)

    def wait_ready(self, seconds: float, stage: str = "production") -> None:
        """Wait until every process of a stage reports that it is ready; raise if one does not."""
        deadline = time.monotonic() + seconds
        for instance in self.instances.values():
            if instance.stage != stage:
                continue
            for role, port in ADMIN_PORTS.items():
                while not self._is_ready(instance, port):
                    if time.monotonic() > deadline or instance.processes[role].poll() is not None:
                        raise RuntimeError(f"{role} of {instance.name} is not ready")
                    time.sleep(0.1)

    def _is_ready(self, instance: Instance, port: int) -> bool:
        url = f"http://{instance.ip}:{port}/readyz"
        try:
            with urllib.request.urlopen(url, timeout=2) as resp:
                return bool(resp.status == 200)
        except OSError:
            return False

    def start_platform(self) -> None:
        """Start the stand-in platform and wait until it answers."""
        self._standin = self._spawn(
            "ggw-standin", self._write_settings("standin", self._standin_settings())
        )
        deadline = time.monotonic() + 15
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError):
                self.fetch_json("/instances")
                return
            time.sleep(0.1)
        raise RuntimeError("the stand-in platform did not start")

    def start_instance(self, instance: Instance, roles: tuple[str, ...] = ROLES) -> None:
        """Start the processes of one instance."""
        for role in roles:
            path = self._write_settings(
                f"{instance.name}-{role}", self._role_settings(instance, role)
            )
            instance.processes[role] = self._spawn(f"ggw-{role}", path)

    def send_signal(self, instance: Instance, number: int, roles: tuple[str, ...] = ROLES) -> None:
        """Send a signal to the processes of an instance that still run."""
        for role in roles:
            process = instance.processes.get(role)
            if process is not None and process.poll() is None:
                process.send_signal(number)

    def wait_for_exit(self, instance: Instance) -> dict[str, int]:
        """Wait for the processes of an instance to end and return their exit codes."""
        deadline = time.monotonic() + STOP_TIMEOUT_S
        codes = {}
        for role, process in instance.processes.items():
            codes[role] = process.wait(max(0.1, deadline - time.monotonic()))
        return codes

    def stop(self) -> None:
        """Kill every process that this cluster started, and wait for its exit."""
        running = [p for i in self.instances.values() for p in i.processes.values()]
        if self._standin is not None:
            running.append(self._standin)
        for process in running:
            if process.poll() is None:
                process.kill()
        for process in running:
            process.wait(10)

    def pids(self) -> list[int]:
        """Return the ids of all processes that were started, the stand-in platform last."""
        found = [p.pid for i in self.instances.values() for p in i.processes.values()]
        return found + ([self._standin.pid] if self._standin else [])

    # Requests to the stand-in platform.

    def fetch_json(self, path: str) -> Any:
        """Fetch a JSON document from the stand-in platform."""
        with urllib.request.urlopen(self.platform + path, timeout=10) as resp:
            return msgspec.json.decode(resp.read())

    def change_standin(self, **change: Any) -> None:
        """Change the behaviour of the running stand-in platform."""
        req = urllib.request.Request(
            self.platform + "/control", data=msgspec.json.encode(change), method="POST"
        )
        with urllib.request.urlopen(req, timeout=10) as resp:
            resp.read()

    def kill(self, instance: Instance, roles: tuple[str, ...] = ROLES) -> None:
        """Send SIGKILL to processes of an instance."""
        self.send_signal(instance, signal.SIGKILL, roles)
