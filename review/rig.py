"""Start ggw-entry and the project's stand-ins as processes on loopback, for cases 6 to 10.

Settings follow `deploy/entry.yaml` with the figures of the small sites. A case sends requests
with `Rig.call` and reads what the workers did with `Rig.events`.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "target/deps"), str(ROOT / "src")]

try:
    import aiohttp
except ImportError:
    print("could not run: aiohttp is missing; run review/build-2.sh")
    sys.exit(2)

STANDIN = "greengagewood.platform.standin"
HOST = "nony24.example"
SERVICE = "quotazioni"
READY = "/greengagewood/ready"
START_TIMEOUT_S = 25.0
LOCK_PORT, STORE_PORT, WORKER_PORT = 17000, 17100, 17200
FRONTEND_PORT, READY_PORT, ADMIN_PORT, METRICS_PORT = 17301, 17302, 17303, 17304


class CannotRun(Exception):
    """Raised if the case could not run, so it says nothing of the rule."""


def now_ms() -> float:
    """Return the monotonic clock in milliseconds, as the stand-ins record it."""
    return time.monotonic() * 1000


def trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Rig:
    """Processes of one small deployment in a loopback network of their own."""

    def __init__(
        self,
        case: Path,
        workers: int = 24,
        entries: int = 3,
        worker_processes: int = 2,
        cpu: int = 64_000,
        mem_mb: int = 250_000,
        stop_ms: int = 400,
        max_order_delay_ms: int = 12_000,
    ) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record_path = case / "record.txt"
        self._record = self.record_path.open("w", encoding="utf-8")
        self._lock, net = self._reserve()
        self.net = f"127.{net}"
        self.store = f"{self.net}.0.1:{STORE_PORT}"
        self.store_admin = f"{self.net}.0.2:{STORE_PORT}"
        self.entries = [f"{self.net}.1.{i + 1}" for i in range(entries)]
        self.worker_names = [f"w{i:015x}" for i in range(workers)]
        self.worker_processes = worker_processes
        self.cpu, self.mem_mb = cpu, mem_mb
        self.stop_ms, self.max_order_delay_ms = stop_ms, max_order_delay_ms
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.stopped: set[str] = set()
        self.session: aiohttp.ClientSession | None = None

    @staticmethod
    def _reserve() -> tuple[socket.socket, int]:
        for octet in range(100, 250):
            sock = socket.socket()
            try:
                sock.bind((f"127.{octet}.255.254", LOCK_PORT))
                probe = socket.socket()
                probe.bind((f"127.{octet}.0.1", STORE_PORT))
                probe.close()
            except OSError:
                sock.close()
                continue
            return sock, octet
        raise CannotRun("every loopback network is in use")

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self._record.write(f"{now_ms():.0f} {text}\n")
        self._record.flush()

    # Processes.

    def _spawn(self, name: str, args: list[str], env: dict[str, str] | None = None) -> None:
        full = {"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"), "LANG": "C.UTF-8"}
        full["PYTHONPATH"] = f"{ROOT}/target/deps:{ROOT}/src"
        full |= env or {}
        with (self.folder / f"{name}.log").open("ab") as out:
            self.processes[name] = subprocess.Popen(
                args, cwd=ROOT, env=full, stdin=subprocess.DEVNULL, stdout=out, stderr=out
            )

    def _settings(self, name: str, value: dict[str, Any]) -> str:
        path = self.folder / f"{name}.yaml"
        path.write_text(json.dumps(value), encoding="utf-8")  # JSON is YAML
        return str(path)

    def spawn_entry(self, number: int, **changes: Any) -> None:
        """Start an entry instance with the command of the deploy file."""
        ip = self.entries[number]
        settings = {
            "instance": f"frontend-{number}",
            "failure_domain": f"z{number % 3}",
            "listen": f"{ip}:{FRONTEND_PORT}",
            "ready": f"{ip}:{READY_PORT}",
            "admin": f"{ip}:{ADMIN_PORT}",
            "metrics": f"{ip}:{METRICS_PORT}",
            "store": self.store,
            "worker_report_interval_ms": 1_500,
            "cores": 2,
            "cpu_share": 0.537,
            "bounds": {"lease_ms": 6_000, "grace_s": 6, "status_s": 120},
            **changes,
        }
        path = self._settings(f"entry-{number}", settings)
        self._spawn(
            f"entry-{number}",
            ["python3", "src/ggw_entry.py"],
            {"GREENGAGEWOOD_NODE_FILE": path},
        )

    async def start(self, manifest: dict[str, Any]) -> None:
        """Start everything and wait until it is ready."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), timeout=aiohttp.ClientTimeout(total=10)
        )
        store = {"listen": self.store, "admin": self.store_admin, "keep_s": 20}
        store |= {
            "record": str(self.folder / "store.jsonl"),
            "rates": {"writes_per_s": 800, "reads_per_s": 2_000},
        }
        run = ["python3", "-m", STANDIN]
        self._spawn("store", [*run, "store", "--settings=" + self._settings("store", store)])
        await self._wait(f"http://{self.store_admin}/state")
        for process in range(self.worker_processes):
            settings = {
                "admin": self.worker_admin(process),
                "store_admin": self.store_admin,
                "record": str(self.folder / f"workers-{process}.jsonl"),
                "seed": 7 + process,
                "lease_ms": 6_000,
                "heartbeat_ms": 1_500,
                "stop_ms": self.stop_ms,
                "max_order_delay_ms": self.max_order_delay_ms,
                "workers": [
                    self._worker(i)
                    for i in range(len(self.worker_names))
                    if i % self.worker_processes == process
                ],
            }
            path = self._settings(f"workers-{process}", settings)
            self._spawn(f"workers-{process}", [*run, "workers", "--settings=" + path])
        for process in range(self.worker_processes):
            await self._wait(f"http://{self.worker_admin(process)}/state")
        await self.admin(self.store_admin, "entry", {"key": "op/config", "value": manifest})
        for number in range(len(self.entries)):
            self.spawn_entry(number)
        for number in range(len(self.entries)):
            await self.wait_ready(number)
        self.note(f"started: {len(self.entries)} entries, {len(self.worker_names)} workers")

    def _worker(self, number: int) -> dict[str, Any]:
        address = f"{self.net}.2.{number + 1}:{WORKER_PORT}"
        return {
            "id": self.worker_names[number],
            "listen": address,
            "advertised": address,
            "service": SERVICE,
            "zone": f"z{number % 3}",
            "rack": f"r{number % 3}-{number // 12}",
            "cpu": self.cpu,
            "mem_mb": self.mem_mb,
        }

    def worker_admin(self, process: int) -> str:
        """Return the control address of a process of workers."""
        return f"{self.net}.0.{10 + process}:{STORE_PORT}"

    async def wait_ready(self, number: int) -> None:
        """Wait until an instance says that it is ready."""
        await self._wait(f"http://{self.entries[number]}:{READY_PORT}{READY}")

    async def _wait(self, url: str) -> None:
        assert self.session is not None
        end_ms = now_ms() + START_TIMEOUT_S * 1000
        while now_ms() < end_ms:
            try:
                async with self.session.get(url) as resp:
                    if resp.status == 200:
                        return
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{url} does not answer")

    async def admin(self, address: str, call: str, body: dict[str, Any]) -> None:
        """Call a control address of a stand-in."""
        assert self.session is not None
        async with self.session.post(f"http://{address}/{call}", json=body) as resp:
            if resp.status != 200:
                raise CannotRun(f"{address}/{call}: {resp.status} {await resp.text()}")
        self.note(f"stand-in {call} {json.dumps(body)[:200]}")

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process that this rig started."""
        self.note(f"signal {signal.Signals(number).name} to {name}")
        self.stopped.add(name)
        self.processes[name].send_signal(number)

    def check_alive(self) -> list[str]:
        """Return the processes that have ended without a signal of the case."""
        return [
            f"{name} ended by itself with {popen.returncode}"
            for name, popen in self.processes.items()
            if popen.poll() is not None and name not in self.stopped
        ]

    async def stop(self) -> None:
        """End every process that was started, and delete the temporary folder."""
        if self.session is not None:
            await self.session.close()
        for popen in self.processes.values():
            if popen.poll() is None:
                popen.send_signal(signal.SIGCONT)
                popen.kill()
        for popen in self.processes.values():
            popen.wait(10)
        self._lock.close()
        self._record.close()
        if os.environ.get("KEEP"):
            print("logs are kept in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Callers.

    async def call(
        self, method: str, number: int, path: str, body: Any = None, quiet: bool = False
    ) -> tuple[int, Any]:
        """Send a request to an instance; return the status (0 without an answer) and the body."""
        assert self.session is not None
        url = f"http://{self.entries[number]}:{FRONTEND_PORT}{path}"
        headers = {"Host": HOST, "X-Deadline-Ms": "3000", "Content-Type": "application/json"}
        data = None if body is None else json.dumps(body).encode()
        status, answer = 0, None
        sent_ms = now_ms()
        try:
            async with self.session.request(method, url, data=data, headers=headers) as resp:
                content = await resp.read()
                status = resp.status
                answer = json.loads(content) if content else None
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
            answer = repr(exc)
        if not quiet:
            self.note(
                f"{method} {path} at frontend-{number}, sent at {sent_ms:.0f}: {status} {answer}"
            )
        return status, answer

    # What the workers did.

    def events(self) -> list[dict[str, Any]]:
        """Return the starts and ends of runs, and what happened to workers, in their order."""
        found = []
        for process in range(self.worker_processes):
            path = self.folder / f"workers-{process}.jsonl"
            for line in path.read_bytes().splitlines():
                event = json.loads(line)
                if event["what"] != "order":
                    found.append(event)
        return sorted(found, key=lambda event: float(event["t"]))


def manifest(version: int = 1, **route: Any) -> dict[str, Any]:
    """Return a manifest with one queue, as on the users' small sites."""
    queue = {
        "name": "work",
        "host": HOST,
        "path-prefix": "/lohu930/",
        "service": SERVICE,
        "timeout-ms": 3_000,
        "target-latency-ms": 1_000,
        "max-attempts": 3,
        "slack-factor": 2.0,
        **route,
    }
    services = [{"name": SERVICE, "admission-check": True}]
    limits = {"max-header-bytes": 16_384, "max-body-bytes": 262_144, "idle-timeout-ms": 15_000}
    return {"version": version, "routes": [queue], "services": services, "limits": limits}


def job(**steps_and_times: Any) -> dict[str, Any]:
    """Return the body of a submission; the stand-in reads from the spec what a task needs."""
    steps = steps_and_times.pop("steps")
    return {"spec": json.dumps(steps), "steps": steps, **steps_and_times}


def run_case(main: Any) -> None:
    """Run a case: exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    try:
        broken = asyncio.run(main())
    except Exception as exc:  # an error of the case says nothing of the rule
        traceback.print_exc()
        print("could not run:", repr(exc))
        sys.exit(2)
    print("BROKEN" if broken else "held")
    sys.exit(1 if broken else 0)
