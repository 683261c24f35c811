"""Run ggw-entry instances beside the project's stand-ins, as processes on loopback addresses.

The instances are started with the command and the settings template of `deploy/system.toml`. Each
reaches the store through a proxy of its own, so that the store can treat one of them differently.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, TextIO

import aiohttp
import msgspec
import yaml

ROOT = Path(__file__).resolve().parent.parent
HOST = "queue.example"
PREFIX = "/conv-check/"
SERVICE = "compute"
STORE_PORT, STORE_ADMIN_PORT, WORKER_PORT = 8169, 8170, 8300
FRONTEND_PORT, READY_PORT, CONTROL_PORT = 8161, 8167, 8166
BOUNDS = {"max-hold-ms": 6_000, "grace-s": 6, "status_s": 120}  # of the sheets
HEARTBEAT_MS, STOP_MS, CANCEL_MS, CONTACT_MS, FINISH_S = 1_500, 400, 3_000, 3_000, 14
START_TIMEOUT_S = 30.0
RUN_LIMIT_S = 115.0
RULE_HELD, RULE_BROKEN, COULD_NOT_RUN = 0, 1, 2


class CaseError(RuntimeError):
    """Raised if the case can't run."""


def now_ms() -> float:
    """Return the monotonic clock, which the stand-ins' histories use too."""
    return time.monotonic() * 1000


def free_network() -> str:
    """Return a loopback network, as the first two octets, in which the store's port is free."""
    for octet in range(60 + os.getpid() % 100, 250):
        with socket.socket() as sock:
            try:
                sock.bind((f"127.{octet}.0.1", STORE_PORT))
            except OSError:
                continue
            return f"127.{octet}"
    raise CaseError("no free loopback network")


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a settings template as DEPLOY.md says, as far as the project's template needs it."""

    def section(match: re.Match[str]) -> str:
        return match[2] if fields.get(match[1]) else ""

    text = re.sub(r"\{\{#([^}]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([^}]+)\}\}", lambda match: str(fields.get(match[1], "")), text)


class StoreLink:
    """A TCP proxy between one instance and the store.

    It connects from the address of the instance, by which the stand-in of the store tells its
    callers apart.
    """

    def __init__(self, listen: str, target: str, source: str) -> None:
        self._listen, self._target, self._source = listen, target, source
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        host, _, port = self._listen.partition(":")
        self._server = await asyncio.start_server(self._connect, host, int(port))

    async def _connect(self, down: asyncio.StreamReader, back: asyncio.StreamWriter) -> None:
        host, _, port = self._target.partition(":")
        try:
            answers, up = await asyncio.open_connection(
                host, int(port), local_addr=(self._source, 0)
            )
        except OSError:
            back.close()
            return
        for work in (self._forward(down, up), self._forward(answers, back)):
            task = asyncio.create_task(work)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await source.read(65_536):
                sink.write(data)
                await sink.drain()
        sink.close()

    async def close(self) -> None:
        """Stop listening and forwarding."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()


class Lab:
    """One run of a case."""

    def __init__(
        self, record: Path, instances: int, workers: int, worker_processes: int, **worker: Any
    ) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.net = free_network()
        self.instance_count, self.worker_count = instances, workers
        self._worker_processes, self._worker = worker_processes, worker
        self.folder = Path(tempfile.mkdtemp(prefix="ggw-lab-"))
        self.links = [
            StoreLink(f"{self.net}.1.{i + 1}:{STORE_PORT}", self.store, self.ip(i))
            for i in range(instances)
        ]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._commands: dict[str, tuple[list[str], dict[str, str]]] = {}
        self._record: TextIO = record.open("w", encoding="utf-8")
        self._started_ms = now_ms()
        self.session: aiohttp.ClientSession | None = None

    # Addresses.

    @property
    def store(self) -> str:
        """Return the store's address."""
        return f"{self.net}.0.1:{STORE_PORT}"

    @property
    def store_admin(self) -> str:
        """Return the control address of the stand-in of the store."""
        return f"{self.net}.0.1:{STORE_ADMIN_PORT}"

    def ip(self, instance: int) -> str:
        """Return the address of an instance."""
        return f"{self.net}.10.{instance + 1}"

    def worker_admin(self, process: int) -> str:
        """Return the control address of a process of workers."""
        return f"{self.net}.0.{10 + process}:{STORE_ADMIN_PORT}"

    # The record.

    def note(self, text: str) -> None:
        """Write a line with the time since the start."""
        line = f"{(now_ms() - self._started_ms) / 1000:8.3f} {text}"
        self._record.write(line + "\n")
        self._record.flush()
        print(line, flush=True)

    def seconds(self) -> float:
        """Return the time since the start."""
        return (now_ms() - self._started_ms) / 1000

    # Processes.

    async def start(self, manifest: dict[str, Any]) -> None:
        """Start the stand-ins and all instances, and wait until they are ready."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), timeout=aiohttp.ClientTimeout(total=10)
        )
        standin = [sys.executable, "-m", "greengagewood.platform.standin"]
        settings = {
            "listen": self.store,
            "admin": self.store_admin,
            "record": str(self.folder / "store.jsonl"),
            "rates": {"writes_per_s": 800, "reads_per_s": 2_000},
        }
        self._launch("store", [*standin, "store"], settings)
        await self._wait_ready("store", f"http://{self.store_admin}/state")
        for number in range(self._worker_processes):
            name = f"workers-{number}"
            workers = [sys.executable, str(ROOT / "review/workers_lab.py"), "workers"]
            self._launch(name, workers, self._workers_settings(number))
            await self._wait_ready(name, f"http://{self.worker_admin(number)}/state")
        for link in self.links:
            await link.start()
        await self.admin(self.store_admin, "entry", key="op/config", value=manifest)
        for instance in range(self.instance_count):
            self.start_instance(instance)
        for instance in range(self.instance_count):
            await self.wait_instance(instance)

    def _launch(self, name: str, command: list[str], settings: dict[str, Any]) -> None:
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        env = {"PATH": os.environ["PATH"], "PYTHONPATH": f"{ROOT}/target/deps:{ROOT}/src"}
        self._commands[name] = [*command, f"--settings={path}"], env
        self._spawn(name)

    def start_instance(self, instance: int) -> None:
        """Start an instance with the command and the settings template of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        role = deploy["roles"]["entry"]
        ip = self.ip(instance)
        fields = {
            "node-name": f"frontend-z{instance % 3}-{instance}",
            "zone": f"z{instance % 3}",
            "ip": ip,
            "listen.frontend": f"{ip}:{FRONTEND_PORT}",
            "listen.readiness": f"{ip}:{READY_PORT}",
            "listen.control": f"{ip}:{CONTROL_PORT}",
            "platform.address": f"{self.net}.1.{instance + 1}:{STORE_PORT}",
            "heartbeat-ms": HEARTBEAT_MS,
            "limits.cores": 1,
            "limits.cpu-share": 0.43,
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
        }
        path = self.folder / f"entry-{instance}.yaml"
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        path.write_text(render(template, fields), encoding="utf-8")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"PYTHONPATH": f"{ROOT}/target/deps", "GREENGAGEWOOD_NODE_FILE": str(path)}
        command = role["run"].split(" ")
        if command[0] == "python3":
            command[0] = sys.executable
        name = f"entry-{instance}"
        self._commands[name] = command, env
        self._spawn(name)

    def _spawn(self, name: str) -> None:
        command, env = self._commands[name]
        with (self.folder / f"{name}.log").open("ab") as out:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=out, stderr=out
            )

    async def wait_instance(self, instance: int) -> None:
        """Wait until an instance is ready."""
        url = f"http://{self.ip(instance)}:{READY_PORT}/greengagewood/ready"
        await self._wait_ready(f"entry-{instance}", url)

    async def _wait_ready(self, name: str, url: str) -> None:
        assert self.session is not None
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if self.processes[name].poll() is not None:
                break
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                async with self.session.get(url) as resp:
                    if resp.status == 200:
                        return
            await asyncio.sleep(0.05)
        log = (self.folder / f"{name}.log").read_text(errors="replace")[-800:]
        raise CaseError(f"{name} is not ready: {log}")

    async def close(self) -> None:
        """End every process that was started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(10)
        for link in self.links:
            await link.close()
        if self.session is not None:
            await self.session.close()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    def _workers_settings(self, process: int) -> dict[str, Any]:
        numbers = range(process, self.worker_count, self._worker_processes)
        workers = []
        for number in numbers:
            address = f"{self.net}.40.{number + 1}:{WORKER_PORT}"
            workers.append(
                {
                    "id": f"i-{number:04x}",
                    "listen": address,
                    "advertised": address,
                    "service": SERVICE,
                    "zone": f"z{number % 3}",
                    "rack": f"z{number % 3}-r{number % 2}",
                    **self._worker,
                }
            )
        return {
            "admin": self.worker_admin(process),
            "store_admin": self.store_admin,
            "record": str(self.folder / f"workers-{process}.jsonl"),
            "lease_ms": BOUNDS["max-hold-ms"],
            "heartbeat_ms": HEARTBEAT_MS,
            "stop_ms": STOP_MS,
            "workers": workers,
        }

    # Calls.

    async def admin(self, address: str, call: str, **body: Any) -> Any:
        """Call a control address of a stand-in."""
        assert self.session is not None
        async with self.session.post(
            f"http://{address}/{call}", data=msgspec.json.encode(body)
        ) as resp:
            content = await resp.read()
            if resp.status != 200:
                raise CaseError(f"{call}: {resp.status} {content[:200]!r}")
            return msgspec.json.decode(content) if content else None

    async def send(
        self,
        method: str,
        instance: int,
        job: str,
        body: Any = None,
        deadline_ms: int = 3_000,
        wait_ms: int | None = None,
        quiet: bool = False,
    ) -> tuple[int, dict[str, Any]]:
        """Send a request of a caller; return the status, 0 without an answer, and the body."""
        assert self.session is not None
        url = f"http://{self.ip(instance)}:{FRONTEND_PORT}{PREFIX}{job}"
        headers = {"Host": HOST, "X-Deadline-Ms": str(deadline_ms)}
        headers["Content-Type"] = "application/json"
        data = None if body is None else msgspec.json.encode(body)
        timeout = aiohttp.ClientTimeout(total=(wait_ms or deadline_ms) / 1000)
        status, answer = 0, {}
        try:
            async with self.session.request(
                method, url, data=data, headers=headers, timeout=timeout
            ) as resp:
                content = await resp.read()
                status = resp.status
                with contextlib.suppress(ValueError):
                    answer = msgspec.json.decode(content)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            answer = {"error": repr(exc)}
        if not quiet:
            self.note(f"{method} {job} at entry-{instance}: {status} {answer}")
        return status, answer

    # What the workers and the instances have written.

    def history(self) -> list[dict[str, Any]]:
        """Return what the workers have seen, in order."""
        events: list[dict[str, Any]] = []
        for path in self.folder.glob("workers-*.jsonl"):
            events.extend(_lines(path))
        return sorted(events, key=lambda event: float(event["t"]))

    def logs(self, event: str) -> list[dict[str, Any]]:
        """Return the log lines of all instances with this event."""
        found = []
        for path in sorted(self.folder.glob("entry-*.log")):
            for line in _lines(path):
                if line.get("event") == event:
                    found.append({"file": path.stem, **line})
        return found


def _lines(path: Path) -> Iterator[dict[str, Any]]:
    with path.open("rb") as file:
        for line in file:
            with contextlib.suppress(ValueError):
                value = msgspec.json.decode(line)
                if isinstance(value, dict):
                    yield value


def manifest(version: int = 1, **route: Any) -> dict[str, Any]:
    """Return a manifest with one queue."""
    queue = {
        "name": "work",
        "host": HOST,
        "path-prefix": PREFIX,
        "service": SERVICE,
        "timeout-ms": 3_000,
        "target-latency-ms": 1_000,
        "priority": 0,
        "max-attempts": 4,
        "slack-factor": 2.0,
        **route,
    }
    services = [{"name": SERVICE, "admission-check": True}]
    return {"version": version, "routes": [queue], "services": services, "limits": {}}


def job_body(*steps: dict[str, Any], **timing: Any) -> dict[str, Any]:
    """Return the body of a submission; the stand-in's workers read the work from the spec."""
    spec = msgspec.json.encode(list(steps)).decode()
    return {"spec": spec, "steps": list(steps), **timing}


def run_case(record: Path, lab: Callable[[Path], Lab], play: Callable[[Lab], Any]) -> int:
    """Play a case within the time limit; return the exit status of its script."""

    async def run() -> int:
        system = lab(record)
        try:
            async with asyncio.timeout(RUN_LIMIT_S):
                await system.start(manifest())
                system.note(f"started; trouble: {system.trouble}")
                broken = await play(system)
        except Exception as exc:  # whatever keeps the case from running says nothing of the rule
            system.note(f"could not run: {exc!r}")
            return COULD_NOT_RUN
        finally:
            await system.close()
        for text in broken:
            system.note(f"BROKEN {text}")
        system.note(f"{len(broken)} broken")
        return RULE_BROKEN if broken else RULE_HELD

    return asyncio.run(run())
