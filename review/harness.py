"""Start ggw-entry and the project's stand-ins as processes on loopback addresses, for a case.

The entry instances run with the command and the settings template of the deploy file. The store and
the workers are the project's stand-ins in `greengagewood.platform.standin`, as processes of their
own. Everything that is sent, answered and run is written to `record.txt` in the folder of the case.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
DEPS = ROOT / "target" / "deps"
for entry in (ROOT / "src", DEPS):
    if str(entry) not in sys.path:
        sys.path.insert(0, str(entry))

import aiohttp  # noqa: E402
from aiohttp import web  # noqa: E402

__all__ = ["CannotRun", "Fleet", "find_twice", "main", "now_ms", "runs_of", "web"]

HOST = "queue.example"
PREFIX = "/jobs/"
SERVICE = "compute"
QUEUE = "work"
START_LIMIT_S = 30.0
RESTART_S = 0.3
MAX_SPEC_STEPS = 20  # what the payload tells the workers of; it has at most 4,000 bytes
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(RuntimeError):
    """Raised if the case can't be judged, for a reason that is not the system's."""


def now_ms() -> float:
    """Return the time that the records of the stand-ins use."""
    return time.monotonic() * 1000


def _free_network() -> str:
    for octet in random.sample(range(1, 250), 60):
        with socket.socket() as probe:
            try:
                probe.bind((f"127.{octet}.0.1", 17100))
            except OSError:
                continue
            return f"127.{octet}"
    raise CannotRun("no loopback network is free")


def _value(fields: dict[str, Any], name: str) -> Any:
    value: Any = fields
    for part in name.split("."):
        value = value.get(part) if isinstance(value, dict) else None
    return value


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a settings template: values, and sections for values that are there."""

    def section(match: re.Match[str]) -> str:
        return match[2] if _value(fields, match[1]) else ""

    text = re.sub(r"\{\{#([\w.-]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.-]+)\}\}", lambda m: str(_value(fields, m[1]) or ""), text)


class Fleet:
    """The processes of one case."""

    def __init__(
        self,
        case: Path,
        entries: int = 3,
        workers: int = 4,
        worker_processes: int = 1,
        worker_cpu: int = 64_000,
        worker_memory_mb: int = 250_000,
        max_attempts: int = 3,
        stop_ms: int = 400,
        advised: bool = False,
        standin_advice: bool = False,
    ) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._case = case
        self._record = (case / "record.txt").open("w", encoding="utf-8")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._net = _free_network()
        self._worker_cpu = worker_cpu
        self._worker_memory_mb = worker_memory_mb
        self.max_attempts = max_attempts
        self._stop_ms = stop_ms
        self._advised = advised
        self._standin_advice = standin_advice
        self.entry_count = entries
        self.worker_count = workers
        self.worker_processes = worker_processes
        self.store_admin = f"{self._net}.0.2:17101"
        self.store = f"{self._net}.0.1:17100"
        self.advice = f"{self._net}.0.3:17100"  # where the case serves it, if `advised`
        self._popens: dict[str, subprocess.Popen[bytes]] = {}
        self._launch: dict[str, Callable[[], subprocess.Popen[bytes]]] = {}
        self._keep_up: set[str] = set()
        self._watcher: asyncio.Task[None] | None = None
        self._session: aiohttp.ClientSession | None = None
        self._version = 0
        self.own_ends: list[str] = []  # entry instances that ended without a signal of the case

    # Records.

    def note(self, what: str, **fields: Any) -> None:
        """Write a line to record.txt."""
        self._record.write(json.dumps({"t": round(now_ms(), 1), "what": what, **fields}) + "\n")
        self._record.flush()

    def worker_events(self) -> list[dict[str, Any]]:
        """Return what the workers have recorded so far, in the order of time."""
        events = []
        for number in range(self.worker_processes):
            for line in (self.folder / f"workers-{number}.jsonl").read_text().splitlines():
                events.append(json.loads(line))
        return sorted(events, key=lambda event: float(event["t"]))

    def entry_log(self, number: int) -> str:
        """Return what an entry instance has written."""
        return (self.folder / f"entry-{number}.log").read_text(errors="replace")

    def entry_events(self, name: str) -> list[dict[str, Any]]:
        """Return the log lines of all entry instances with this event."""
        found = []
        for number in range(self.entry_count):
            for line in self.entry_log(number).splitlines():
                if f'"{name}"' in line:
                    found.append({**json.loads(line), "entry": number})
        return found

    # Addresses.

    def entry_ip(self, number: int) -> str:
        """Return the address of an entry instance."""
        return f"{self._net}.10.{number + 1}"

    def frontend(self, number: int) -> str:
        """Return the address for callers of an entry instance."""
        return f"{self.entry_ip(number)}:17001"

    def worker_id(self, number: int) -> str:
        """Return the ID of a worker."""
        return f"w{number:03}"

    def worker_address(self, number: int) -> str:
        """Return the address of a worker."""
        return f"{self._net}.40.{number + 1}:17200"

    def worker_admin(self, process: int) -> str:
        """Return the control address of a process of workers."""
        return f"{self._net}.0.{10 + process}:17101"

    # Start and stop.

    async def start(self) -> None:
        """Start everything and wait until the entry instances are ready."""
        if not (DEPS / "aiohttp").is_dir():
            raise CannotRun("target/deps is missing; run the build of the deploy file")
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=6), connector=aiohttp.TCPConnector(limit=0)
        )
        self._add_standin(
            "store",
            "store",
            {
                "listen": self.store,
                "admin": self.store_admin,
                "record": str(self.folder / "store.jsonl"),
                "rates": {"writes_per_s": 800, "reads_per_s": 2000},
            },
        )
        await self._until(lambda: self._answers(f"http://{self.store_admin}/state"), "the store")
        for process in range(self.worker_processes):
            self._add_standin(f"workers-{process}", "workers", self._workers_settings(process))
        for process in range(self.worker_processes):
            url = f"http://{self.worker_admin(process)}/state"
            await self._until(lambda url=url: self._answers(url), "the workers")
        await self.put_manifest(self.manifest())
        for number in range(self.entry_count):
            self._add_entry(number)
        for number in range(self.entry_count):
            await self.wait_ready(number)
        self._watcher = asyncio.create_task(self._watch())
        self.note("started", entries=self.entry_count, workers=self.worker_count)

    def _workers_settings(self, process: int) -> dict[str, Any]:
        workers = [
            {
                "id": self.worker_id(number),
                "listen": self.worker_address(number),
                "advertised": self.worker_address(number),
                "service": SERVICE,
                "zone": f"z{number % 3}",
                "rack": f"r{number % 2}",
                "cpu": self._worker_cpu,
                "mem_mb": self._worker_memory_mb,
            }
            for number in range(self.worker_count)
            if number % self.worker_processes == process
        ]
        own_advice = {"advice": self.advice} if self._advised and not process else {}
        return {
            **(own_advice if self._standin_advice else {}),
            "admin": self.worker_admin(process),
            "store_admin": self.store_admin,
            "record": str(self.folder / f"workers-{process}.jsonl"),
            "workers": workers,
            "seed": 7,
            "lease_ms": 6_000,
            "heartbeat_ms": 1_500,
            "stop_ms": self._stop_ms,
            "drain_ms": 2_000,
        }

    def _add_standin(self, name: str, role: str, settings: dict[str, Any]) -> None:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        args = [
            sys.executable,
            "-m",
            "greengagewood.platform.standin",
            role,
            f"--settings={path}",
        ]
        env = {**os.environ, "PYTHONPATH": f"{DEPS}:{ROOT / 'src'}"}
        self._add(name, args, env)

    def _add_entry(self, number: int) -> None:
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["entry"]
        ip = self.entry_ip(number)
        fields = {
            "node-name": f"frontend-z{number % 3}-{number}",
            "zone": f"z{number % 3}",
            "ip": ip,
            "listen": {
                "frontend": f"{ip}:17001",
                "readiness": f"{ip}:17002",
                "control": f"{ip}:17003",
            },
            "platform": {"address": self.store},
            "limits": {"cores": 2, "cpu-share": 0.5},
            "bounds": {"max-hold-ms": 6000, "grace-s": 6, "status_s": 120},
        }
        if self._advised:
            fields["advice"] = self.advice
        path = self.folder / f"entry-{number}.yaml"
        path.write_text(render((ROOT / role["template"]).read_text(), fields), encoding="utf-8")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env = {**kept, "PYTHONPATH": str(DEPS), "GREENGAGEWOOD_NODE_FILE": str(path)}
        args = role["run"].split()
        if args[0] == "python3":
            args[0] = sys.executable
        self._add(f"entry-{number}", args, env)
        self._keep_up.add(f"entry-{number}")

    def _add(self, name: str, args: list[str], env: dict[str, str]) -> None:
        def launch() -> subprocess.Popen[bytes]:
            with (self.folder / f"{name}.log").open("ab") as out:
                return subprocess.Popen(
                    args, cwd=ROOT, env=env, stdout=out, stderr=out, stdin=subprocess.DEVNULL
                )

        self._launch[name] = launch
        self._popens[name] = launch()

    async def _until(
        self, check: Callable[[], Awaitable[bool]], what: str, limit_s: float = START_LIMIT_S
    ) -> None:
        deadline = time.monotonic() + limit_s
        while not await check():
            if time.monotonic() > deadline:
                raise CannotRun(f"{what} did not start within {limit_s:.0f} s")
            await asyncio.sleep(0.05)

    async def _answers(self, url: str) -> bool:
        assert self._session is not None
        try:
            async with self._session.get(url) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def wait_ready(self, number: int) -> None:
        """Wait until an entry instance says that it is ready."""
        url = f"http://{self.entry_ip(number)}:17002/greengagewood/ready"
        await self._until(lambda: self._answers(url), f"entry-{number}")

    async def _watch(self) -> None:
        """Start an entry instance again a short time after it has ended."""
        while True:
            await asyncio.sleep(0.1)
            for name in sorted(self._keep_up):
                popen = self._popens[name]
                if popen.poll() is None:
                    continue
                self.note("ended", process=name, status=popen.returncode)
                if popen.returncode >= 0:
                    self.own_ends.append(name)
                await asyncio.sleep(RESTART_S)
                self._popens[name] = self._launch[name]()

    def check_standins(self) -> None:
        """Raise CannotRun if a stand-in has ended by itself."""
        for name, popen in self._popens.items():
            if name not in self._keep_up and popen.poll() is not None:
                raise CannotRun(f"{name} has ended with {popen.returncode}")

    async def stop(self) -> None:
        """End every process that was started."""
        if self._watcher is not None:
            self._watcher.cancel()
        for popen in self._popens.values():
            if popen.poll() is None:
                popen.send_signal(signal.SIGCONT)
                popen.kill()
        for popen in self._popens.values():
            popen.wait()
        if self._session is not None:
            await self._session.close()

    def close(self) -> None:
        """Add what the workers and the entry instances wrote to record.txt; remove the rest."""
        for path in sorted(self.folder.glob("workers-*.jsonl")):
            with path.open(encoding="utf-8") as lines:
                for line in lines:
                    if '"order"' not in line:
                        self._record.write(line)
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()

    # Signals.

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that was started."""
        self.note("signal", process=name, signal=number.name)
        self._popens[name].send_signal(number)

    def pid(self, name: str) -> int:
        """Return the process ID of a process."""
        return self._popens[name].pid

    def owner(self) -> int:
        """Return the number of the entry instance whose term began last."""
        terms = self.entry_events("term_started")
        if not terms:
            raise CannotRun("no entry instance owns the cell")
        return int(max(terms, key=lambda event: int(event["token"]))["entry"])

    # The operator.

    def manifest(self) -> dict[str, Any]:
        """Return the next version of the manifest."""
        self._version += 1
        route = {
            "name": QUEUE,
            "host": HOST,
            "path-prefix": PREFIX,
            "service": SERVICE,
            "timeout-ms": 3_000,
            "target-latency-ms": 2_000,
            "max-attempts": self.max_attempts,
            "slack-factor": 2.0,
        }
        if self._advised:
            route["advice"] = {"decision-ms": 40, "per-worker-ms": 2, "validity-ms": 4_000}
        return {
            "version": self._version,
            "routes": [route],
            "services": [{"name": SERVICE, "admission-check": True}],
            "limits": {},
        }

    async def put_manifest(self, manifest: dict[str, Any]) -> None:
        """Write a manifest; the answer of the store is the ack."""
        await self.admin(self.store_admin, "entry", key="op/config", value=manifest)
        self.note("manifest", version=manifest["version"])

    async def admin(self, address: str, call: str, **body: Any) -> Any:
        """Call a control address of a stand-in."""
        assert self._session is not None
        async with self._session.post(f"http://{address}/{call}", data=json.dumps(body)) as resp:
            if resp.status != 200:
                raise CannotRun(f"{call}: {resp.status} {(await resp.text())[:200]}")
            return await resp.json()

    async def store_fault(self, kind: str, **fields: Any) -> None:
        """Switch a fault of the store on."""
        self.note("store_fault", kind=kind, **fields)
        await self.admin(self.store_admin, "fault", kind=kind, **fields)

    async def worker_fault(self, kind: str, **fields: Any) -> None:
        """Switch a fault of the workers on."""
        self.note("worker_fault", kind=kind, **fields)
        for process in range(self.worker_processes):
            await self.admin(self.worker_admin(process), "fault", kind=kind, **fields)

    async def change_worker(self, number: int, do: str, **fields: Any) -> None:
        """Crash, boot, drain or remove a worker."""
        self.note("worker", id=self.worker_id(number), do=do, **fields)
        process = number % self.worker_processes
        await self.admin(
            self.worker_admin(process), "worker", id=self.worker_id(number), do=do, **fields
        )

    # Callers.

    async def call(
        self, entry: int, method: str, job_id: str, body: Any = None, prefix: str = PREFIX
    ) -> tuple[int, Any]:
        """Send a request of a caller; return the status, 0 without an answer, and the body."""
        assert self._session is not None
        sent = now_ms()
        data = None if body is None else json.dumps(body)
        headers = {"Host": HOST, "Content-Type": "application/json", "X-Deadline-Ms": "3000"}
        url = f"http://{self.frontend(entry)}{prefix}{job_id}"
        status, answer = 0, None
        try:
            async with self._session.request(
                method, url, data=data, headers=headers, timeout=aiohttp.ClientTimeout(total=3)
            ) as resp:
                status = resp.status
                answer = json.loads(await resp.read() or b"null")
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            pass
        short = "" if data is None else data[:200]
        self.note(
            "request",
            sent=round(sent, 1),
            entry=entry,
            method=method,
            job=job_id,
            body=short,
            status=status,
            answer=answer,
        )
        return status, answer

    async def submit(self, job_id: str, steps: list[dict[str, Any]], **fields: Any) -> None:
        """Hand in a job and repeat it until it is accepted; raise CannotRun after ten seconds."""
        spec = json.dumps([dict(step) for step in steps[:MAX_SPEC_STEPS]])
        body = {"spec": spec, "steps": steps, **fields}
        deadline = time.monotonic() + 10
        entry = 0
        while time.monotonic() < deadline:
            status, _ = await self.call(entry % self.entry_count, "POST", job_id, body)
            if 200 <= status < 300:
                return
            entry += 1
            await asyncio.sleep(0.3)
        raise CannotRun(f"job {job_id} was not accepted")

    async def state(self, job_id: str) -> str:
        """Return the state of a job, or an empty string if no instance tells it."""
        for entry in range(self.entry_count):
            status, answer = await self.call(entry, "GET", job_id)
            if status == 200 and isinstance(answer, dict):
                return str(answer["state"])
            if status == 410:
                return "410"
        return ""

    async def wait_state(self, job_id: str, wanted: str, limit_s: float) -> str:
        """Wait until a job is shown in a state; return the last state shown."""
        deadline = time.monotonic() + limit_s
        state = ""
        while time.monotonic() < deadline:
            state = await self.state(job_id)
            if state == wanted:
                break
            await asyncio.sleep(0.25)
        return state


def runs_of(events: list[dict[str, Any]]) -> dict[str, list[dict[str, Any]]]:
    """Return the runs of each task: its worker, number, start, end, how it ended, and its ack."""
    runs: dict[tuple[str, str, int, int], dict[str, Any]] = {}
    for event in events:
        if event["what"] not in ("start", "end", "ack", "ack_after_lapse"):
            continue
        key = (event["task"], event["worker"], event["born"], event["run"])
        if event["what"] == "start":
            runs[key] = {"worker": event["worker"], "run": event["run"], "from": event["t"]}
            runs[key] |= {"to": None, "how": "", "acked": None, "token": event["token"]}
        elif key in runs and event["what"] == "end":
            runs[key] |= {"to": event["t"], "how": event["how"]}
        elif key in runs and event["what"] == "ack":
            runs[key]["acked"] = event["t"]
    by_task: dict[str, list[dict[str, Any]]] = {}
    for (task, *_), run in runs.items():
        by_task.setdefault(task, []).append(run)
    return by_task


def find_twice(events: list[dict[str, Any]]) -> list[str]:
    """Return where TWICE is broken: two runs at once, or a start after an end `done` that is noted.

    An end is noted when `ack-cursor` reaches it while the worker's lease had not lapsed between.
    """
    findings = []
    for task, runs in sorted(runs_of(events).items()):
        runs.sort(key=lambda run: float(run["from"]))
        for first, second in itertools.pairwise(runs):
            if first["to"] is None or first["to"] > second["from"]:
                findings.append(f"{task}: run {second['run']} began while {first['run']} went on")
        done = [run for run in runs if run["how"] == "done" and run["acked"] is not None]
        for run in runs:
            earlier = [d for d in done if d is not run and d["to"] <= run["from"]]
            if earlier:
                findings.append(
                    f"{task}: run {run['run']} began on {run['worker']} "
                    f"{run['from'] - earlier[0]['to']:.0f} ms after run {earlier[0]['run']} had "
                    f"ended done on {earlier[0]['worker']}; that end was acknowledged"
                )
    return findings


def main(case: Callable[[Fleet], Awaitable[list[str]]], fleet: Fleet) -> int:
    """Run a case; print and record its findings, and return the exit status."""

    async def play() -> list[str]:
        try:
            await fleet.start()
            found = await case(fleet)
            fleet.check_standins()
            return found
        finally:
            await fleet.stop()

    def end(number: int, frame: object) -> None:
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, end)
    try:
        findings = asyncio.run(play())
    except (Exception, KeyboardInterrupt) as exc:  # whatever it is, nothing was shown
        fleet.note("verdict", status=NOT_RUN, why=repr(exc))
        print(f"could not run: {exc!r}")
        fleet.close()
        return NOT_RUN
    status = BROKEN if findings else HELD
    fleet.note("verdict", status=status, findings=len(findings), first=findings[:5])
    fleet.close()
    print(f"{'BROKEN' if findings else 'held'}: {len(findings)} findings")
    for finding in findings[:5]:
        print(f"  {finding}")
    return status
