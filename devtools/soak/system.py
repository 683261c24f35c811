"""The processes of a soak: started, watched, signalled and ended by id."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import yaml

from devtools.soak.callers import now_ms
from devtools.soak.checker import check_log_line
from devtools.soak.deployment import BOUNDS, READY_PATH, Deployment
from devtools.soak.proxy import LinkProxy
from devtools.soak.records import Disruption, Event

__all__ = ["StartError", "System"]

START_TIMEOUT_S = 60.0
STANDIN = "greengagewood.platform.standin"
WATCH_INTERVAL_S = 0.1
POLL_S = 0.2
STALL_MS = 1_000


class StartError(RuntimeError):
    """Raised if a process does not start, with its output."""


class Tail:
    """Read the whole lines that are added to a file."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._position = 0

    def read(self) -> Iterator[bytes]:
        """Return the new lines."""
        if not self.path.exists():
            return
        with self.path.open("rb") as file:
            file.seek(self._position)
            for line in file:
                if not line.endswith(b"\n"):
                    break
                self._position += len(line)
                yield line.rstrip(b"\n")


@dataclass
class _Process:
    """A program that is kept running; `pause_s` is the time before it is started again."""

    name: str
    args: list[str]
    popen: subprocess.Popen[bytes] | None = None
    starts: int = 0
    pause_s: float = 0.2
    signalled: bool = False  # whether its end is the soak's doing
    disruptions: list[Disruption] = field(default_factory=list)  # of its process that last


class System:
    """Run the stand-in, the entry instances and the proxy between them."""

    def __init__(self, deployment: Deployment, folder: Path, seed: int, mutant: str) -> None:
        self.deployment = deployment
        self.folder = folder
        self.proxy = LinkProxy()
        self.events: list[Event] = []
        self.calm_events: list[Event] = []  # up to the last look at whether it was calm
        self.findings: list[str] = []
        self.disruptions: list[Disruption] = []
        self.stalls: list[str] = []  # as the machine was too busy, or asleep
        self.owner_number = 0
        self._seed = seed
        self._mutant = mutant
        self._stopping = False
        self._processes: dict[str, _Process] = {}
        self._tails: dict[str, Tail] = {}
        self._versions: dict[str, int] = {}
        self._owner_token = 0
        self._watchers: set[asyncio.Task[None]] = set()
        self._session: aiohttp.ClientSession | None = None

    # Start and stop.

    async def start(self) -> None:
        """Start everything; raise StartError with what failed."""
        dep = self.deployment
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5))
        store_record = str(self.folder / "store.jsonl")
        self._add(
            "store", [sys.executable, "-m", STANDIN, "store"], dep.store_settings(store_record)
        )
        for number in range(dep.scale.worker_processes):
            record = self.folder / f"workers-{number}.jsonl"
            settings = dep.workers_settings(number, self._seed, str(record))
            self._add(f"workers-{number}", [sys.executable, "-m", STANDIN, "workers"], settings)
            self._tails[f"history-{number}"] = Tail(record)
        self._listen()
        for name in list(self._processes):
            self._spawn(self._processes[name])
            admin = dep.store_admin if name == "store" else dep.worker_admin(int(name[8:]))
            await self._wait_answering(name, f"http://{admin}/state")
        await self.admin(dep.store_admin, "entry", key="op/config", value=dep.next_manifest())
        for number in range(dep.scale.instances):
            name = f"entry-{number}"
            launch = ["-m", "devtools.soak.launch", dep.instances[number], self._mutant]
            self._add(name, [sys.executable, *launch], dep.instance_settings(number))
            self._tails[name] = Tail(self.folder / f"{name}.log")
            self._spawn(self._processes[name])
        for number in range(dep.scale.instances):
            await self._wait_answering(f"entry-{number}", f"http://{dep.ready(number)}{READY_PATH}")
        for process in self._processes.values():
            self._watchers.add(asyncio.create_task(self._watch(process)))
        self._watchers.add(asyncio.create_task(self._poll()))

    def _listen(self) -> None:
        dep = self.deployment
        links = {dep.store: dep.store_behind, dep.advice: dep.advice_behind}
        links |= {dep.workers[n]: dep.worker_behind(n) for n in range(dep.scale.workers)}
        for address, behind in links.items():
            try:
                self.proxy.listen(address, behind)
            except OSError as exc:
                raise StartError(f"the proxy can not listen at {address}: {exc}") from exc

    def _add(self, name: str, args: list[str], settings: dict[str, Any]) -> None:
        path = self._write_settings(name, settings)
        self._processes[name] = _Process(name, [*args, f"--settings={path}"])

    def _write_settings(self, name: str, settings: dict[str, Any]) -> Path:
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings, sort_keys=False), encoding="utf-8")
        return path

    def _spawn(self, process: _Process) -> None:
        with (
            (self.folder / f"{process.name}.log").open("ab") as out,
            (self.folder / f"{process.name}.err").open("ab") as err,
        ):
            process.popen = subprocess.Popen(
                process.args,
                stdout=out,
                stderr=err,
                stdin=subprocess.DEVNULL,
                start_new_session=True,  # Ctrl-C reaches the soak only, which then ends them
            )
        process.starts += 1
        process.signalled = False

    async def _wait_answering(self, name: str, url: str) -> None:
        process = self._processes[name]
        deadline = asyncio.get_running_loop().time() + START_TIMEOUT_S
        while not await self._answers(url):
            assert process.popen is not None
            code = process.popen.poll()
            if code is not None or asyncio.get_running_loop().time() > deadline:
                state = f"exited with {code}" if code is not None else "does not answer"
                errors = (self.folder / f"{name}.err").read_text(errors="replace").splitlines()
                last = errors[-1] if errors else "it wrote no error"
                raise StartError(f"{name} {state}; waited for {url}; its last line: {last}")
            await asyncio.sleep(0.05)

    async def _answers(self, url: str) -> bool:
        assert self._session is not None
        try:
            async with self._session.get(url, timeout=aiohttp.ClientTimeout(total=1)) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def stop(self) -> None:
        """End every process that was started, by its id, and wait for its exit."""
        self._stopping = True
        for task in self._watchers:
            task.cancel()
        popens = [p.popen for p in self._processes.values() if p.popen is not None]
        for popen in popens:
            if popen.poll() is None:
                popen.send_signal(signal.SIGCONT)
                popen.kill()
        for popen in popens:
            popen.wait(10)
        await self.proxy.close()
        if self._session is not None:
            await self._session.close()

    # Watching.

    async def _watch(self, process: _Process) -> None:
        """Start a process again when it has ended; an end that no signal explains is a finding."""
        while not self._stopping:
            await asyncio.sleep(WATCH_INTERVAL_S)
            popen = process.popen
            if popen is None or popen.poll() is None:
                continue
            if not process.signalled:
                self.findings.append(f"EXIT: {process.name} ended by itself with {popen.poll()}")
            await asyncio.sleep(process.pause_s)
            self._spawn(process)
            if not process.name.startswith("entry-"):
                continue
            lasting, process.disruptions = process.disruptions, []
            number = int(process.name[6:])
            self._watchers.add(asyncio.create_task(self._end_when_ready(number, lasting)))

    async def _end_when_ready(self, number: int, disruptions: list[Disruption]) -> None:
        # Another instance at another address may take its place meanwhile.
        while not await self._answers(f"http://{self.deployment.ready(number)}{READY_PATH}"):
            await asyncio.sleep(0.1)
        for disruption in disruptions:
            disruption.to_ms = now_ms()

    async def _poll(self) -> None:
        while True:
            self.read_new_lines()
            due_ms = now_ms() + POLL_S * 1000
            await asyncio.sleep(POLL_S)
            if now_ms() > due_ms + STALL_MS:
                self.stalls.append(f"{due_ms:.0f} the soak itself did not run until {now_ms():.0f}")

    def read_new_lines(self) -> None:
        """Read what the processes have written since the last time."""
        for name, tail in self._tails.items():
            for line in tail.read():
                if name.startswith("history-"):
                    self.events.append(msgspec.json.decode(line))
                    continue
                self.findings.extend(check_log_line(line, self._versions, name))
                if b'"term_started"' in line:
                    token = msgspec.json.decode(line)["token"]
                    if token > self._owner_token:
                        self._owner_token, self.owner_number = token, int(name[6:])

    def error_output(self) -> list[str]:
        """Return a finding for each entry instance that wrote to standard error."""
        texts = {
            p.name: (self.folder / f"{p.name}.err").read_text(errors="replace")
            for p in self._processes.values()
            if (self.folder / f"{p.name}.err").exists()
        }
        return [f"STDERR: {name}: {text[-300:]}" for name, text in texts.items() if text]

    def running_pids(self) -> dict[str, int]:
        """Return the ids of the processes that run, by name."""
        popens = {p.name: p.popen for p in self._processes.values()}
        return {n: p.pid for n, p in popens.items() if p is not None and p.poll() is None}

    # Faults of processes and of the stand-in.

    def is_up(self, number: int) -> bool:
        """Return whether an instance's process runs and was not signalled to end."""
        process = self._processes[f"entry-{number}"]
        return process.popen is not None and process.popen.poll() is None and not process.signalled

    def signal_instance(self, number: int, signal_number: int) -> None:
        """Send a signal to an instance if it runs."""
        popen = self._processes[f"entry-{number}"].popen
        if popen is not None and popen.poll() is None:
            popen.send_signal(signal_number)

    async def end_instance(self, number: int, kind: str, pause_s: float) -> None:
        """End an instance's process; it is started again after a pause."""
        process = self._processes[f"entry-{number}"]
        popen = process.popen
        if popen is None or popen.poll() is not None:
            return
        process.pause_s, process.signalled = pause_s, True
        disruption = Disruption(kind, number, now_ms())
        process.disruptions.append(disruption)
        self.disruptions.append(disruption)
        if kind == "kill":
            popen.kill()
            return
        popen.terminate()
        deadline = asyncio.get_running_loop().time() + BOUNDS["grace_s"]
        while popen.poll() is None:
            if asyncio.get_running_loop().time() > deadline:
                if not self._was_frozen(number, disruption.from_ms):
                    limit = f"{BOUNDS['grace_s']} s after SIGTERM at {disruption.from_ms:.0f}"
                    self.findings.append(f"GRACE: entry-{number} did not end in {limit}")
                popen.kill()
            await asyncio.sleep(0.05)

    async def replace_instance(self, number: int, kind: str, pause_s: float) -> None:
        """End an instance for good; after a pause, one at another address takes its place."""
        dep, name = self.deployment, f"entry-{number}"
        dep.replace_instance(number)
        self._write_settings(name, dep.instance_settings(number))
        self._processes[name].args[3] = dep.instances[number]
        await self.end_instance(number, kind, pause_s)

    def _was_frozen(self, number: int, since_ms: float) -> bool:
        return any(
            d.kind in ("freeze", "starve") and d.instance == number and d.to_ms > since_ms
            for d in self.disruptions
        )

    async def admin(self, address: str, call: str, **body: Any) -> Any:
        """Call a control address of the stand-in."""
        assert self._session is not None
        url = f"http://{address}/{call}"
        async with self._session.post(url, data=msgspec.json.encode(body)) as resp:
            content = await resp.read()
            if resp.status != 200:
                raise RuntimeError(f"{url} answered {resp.status}: {content[:200]!r}")
            return msgspec.json.decode(content) if content else None

    async def try_admin(self, address: str, call: str, **body: Any) -> None:
        """Call a control address; the stand-in may refuse, such as to boot a worker that is up."""
        with contextlib.suppress(RuntimeError):
            await self.admin(address, call, **body)
