"""A small deployment for the scripts of the review, as separate processes on loopback addresses.

The entry instances run with the command and the template of the deploy file. The store and the
workers are the project's own stand-ins. Consumers and the platform, which restarts processes that
have ended, are here.
"""

from __future__ import annotations

import contextlib
import http.client
import http.server
import json
import os
import queue
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST, SERVICE = "queue.example", "compute"
PREFIX, ADVISED_PREFIX = "/jobs/", "/advised/"  # of the queues without and with advice
MAX_ATTEMPTS = 4
DEADLINE_MS = 3_000
ADVICE_VALIDITY_MS = 3_000
MAX_ADVICE_WORKERS, MAX_ADVICE_WAITING = 100, 32
RESTART_S = 1.0  # from the end of a process to its next start by the platform
BOUNDS = {"max-hold-ms": 6_000, "grace-s": 6, "status_s": 120}
STOP_MS = 400
START_TIMEOUT_S = 30.0
PORTS = {"frontend": 8161, "readiness": 8167, "control": 8166, "metrics": 9464}
PLATFORM_PORT, ADMIN_PORT, WORKER_PORT = 8169, 8170, 8080


class CaseError(RuntimeError):
    """Raised if the case can't run."""


def now_ms() -> float:
    """Return the machine's monotonic clock, which the stand-ins' records share."""
    return round(time.monotonic() * 1000, 1)


def trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template of the deploy file: values, and sections that need a value."""

    def value(path: str) -> Any:
        found: Any = fields
        for name in path.split("."):
            found = found.get(name) if isinstance(found, dict) else None
        return found

    section = re.compile(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", re.S)
    text = section.sub(lambda m: m[2] if value(m[1]) else "", template)
    return re.sub(r"\{\{([^}]+)\}\}", lambda m: str(value(m[1]) or ""), text)


def free_network() -> str:
    """Return the first two octets of a loopback network of which no address is in use here."""
    for octet in random.sample(range(2, 250), 60):
        bound = []
        try:
            for address in ((1, PLATFORM_PORT), (2, ADMIN_PORT)):
                sock = socket.socket()
                bound.append(sock)
                sock.bind((f"127.{octet}.0.{address[0]}", address[1]))
        except OSError:
            continue
        finally:
            for sock in bound:
                sock.close()
        return f"127.{octet}"
    raise CaseError("no free loopback network")


class Site:
    """The processes of one deployment, and what they have written."""

    def __init__(
        self,
        folder: Path,
        instances: int = 3,
        workers: int = 6,
        cpu: int = 64_000,
        mem_mb: int = 250_000,
        seed: int = 1,
        zones: int = 3,
        absent: tuple[int, ...] = (),
        alone: tuple[int, ...] = (),
        advise: Callable[[str, str], bool] | None = None,
        advice_ms: tuple[int, int] = (40, 2),
        **worker_options: Any,
    ) -> None:
        """Describe a deployment.

        The workers numbered in `absent` are not up at first, those in `alone` have a process of
        their own each. `advise` says whether a worker, given
        by its ID, may run a step of the advised queue; `advice_ms` are the milliseconds that an
        answer takes, and more for each worker that it names.
        """
        self.folder = folder
        self.net = free_network()
        self.instances = [f"{self.net}.1.{n + 1}" for n in range(instances)]
        self.store = f"{self.net}.0.1:{PLATFORM_PORT}"
        self.store_admin = f"{self.net}.0.2:{ADMIN_PORT}"
        self.worker_addresses = [f"{self.net}.2.{n + 1}:{WORKER_PORT}" for n in range(workers)]
        self.worker_ids = [f"w{n:02}" for n in range(workers)]
        self.advice = f"{self.net}.0.4:{PLATFORM_PORT}" if advise else ""
        self.zones, self._absent, self._alone, self._advise = zones, absent, alone, advise
        self.decision_ms, self.per_worker_ms = advice_ms
        self.cpu, self.mem_mb, self.seed = cpu, mem_mb, seed
        self.worker_options = worker_options
        self.requests: list[dict[str, Any]] = []
        self.notes: list[dict[str, Any]] = []
        self._popens: dict[str, subprocess.Popen[bytes]] = {}
        self._commands: dict[str, tuple[list[str], dict[str, str]]] = {}
        self._ended_by_us: set[int] = set()
        self._stopping = threading.Event()
        self._restarter: threading.Thread | None = None
        self._lock = threading.Lock()
        self._version = 0

    # Processes.

    def start(self) -> None:
        """Start the stand-ins, then the entry instances, and wait until these are ready."""
        standin = ["python3", "-m", "greengagewood.platform.standin"]
        env = self._environment(f"{ROOT / 'src'}:{ROOT / 'target/deps'}")
        store = {
            "listen": self.store,
            "admin": self.store_admin,
            "record": str(self.folder / "store.jsonl"),
            "rates": {"writes_per_s": 800, "reads_per_s": 2_000},
        }
        self._add("store", [*standin, "store", self._settings_flag("store", store)], env)
        self._wait("store", lambda: self._admin(self.store_admin, "state", {}))
        together = [n for n in range(len(self.worker_ids)) if n not in self._alone]
        for group in ([together] if together else []) + [[n] for n in self._alone]:
            name = self._group_name(group[0])
            settings = self._workers_settings(group, str(self.folder / f"{name}.jsonl"))
            self._add(name, [*standin, "workers", self._settings_flag(name, settings)], env)
            self._wait(name, lambda n=group[0]: self._admin(self._worker_admin(n), "state", {}))
        for number in self._absent:
            self.change_worker(self.worker_ids[number], "gone")
        if self._advise is not None:
            self._serve_advice(self._advise)
        self.publish_manifest()
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        template = (ROOT / role["template"]).read_text()
        for number, ip in enumerate(self.instances):
            path = self.folder / f"entry-{number}.conf"
            path.write_text(render(template, self._fields(number, ip)))
            env = self._environment(str(ROOT / "target/deps"))
            env["GREENGAGEWOOD_NODE_FILE"] = str(path)
            self._add(f"entry-{number}", role["run"].split(" "), env)
        for number in range(len(self.instances)):
            self._wait(f"entry-{number}", lambda n=number: self._is_ready(n))
        self._restarter = threading.Thread(target=self._restart_ended, daemon=True)
        self._restarter.start()

    def _group_name(self, number: int) -> str:
        return f"worker-{number}" if number in self._alone else "workers"

    def _worker_admin(self, number: int) -> str:
        alone = self._alone.index(number) + 1 if number in self._alone else 0
        return f"{self.net}.3.{alone + 1}:{ADMIN_PORT}"

    def _workers_settings(self, numbers: list[int], record: str) -> dict[str, Any]:
        return {
            "admin": self._worker_admin(numbers[0]),
            "store_admin": self.store_admin,
            "record": record,
            "lease_ms": BOUNDS["max-hold-ms"],
            "stop_ms": STOP_MS,
            "seed": self.seed,
            **self.worker_options,
            "workers": [
                {
                    "id": self.worker_ids[number],
                    "listen": self.worker_addresses[number],
                    "advertised": self.worker_addresses[number],
                    "service": SERVICE,
                    "zone": f"z{number % self.zones}",
                    "rack": f"z{number % self.zones}-r0",
                    "cpu": self.cpu,
                    "mem_mb": self.mem_mb,
                }
                for number in numbers
            ],
        }

    def _environment(self, python_path: str) -> dict[str, str]:
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        return {**kept, "PYTHONPATH": python_path, "PYTHONDONTWRITEBYTECODE": "1"}

    def _fields(self, number: int, ip: str) -> dict[str, Any]:
        listen = {name: f"{ip}:{PORTS[name]}" for name in ("frontend", "readiness", "control")}
        return {
            "node-name": f"entry-{number}",
            "zone": f"z{number % self.zones}",
            "ip": ip,
            "advice": self.advice,
            "listen": listen,
            "platform": {"address": self.store},
            "limits": {"cores": 1, "cpu-share": 0.5},
            "bounds": BOUNDS,
        }

    def _settings_flag(self, name: str, settings: dict[str, Any]) -> str:
        path = self.folder / f"{name}.yaml"
        path.write_text(json.dumps(settings))  # JSON is YAML, too
        return f"--settings={path}"

    def _add(self, name: str, command: list[str], env: dict[str, str]) -> None:
        self._commands[name] = command, env
        self._spawn(name)

    def _spawn(self, name: str) -> None:
        command, env = self._commands[name]
        with open(self.folder / f"{name}.log", "ab") as log:
            self._popens[name] = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def _wait(self, name: str, is_up: Callable[[], Any]) -> None:
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            with contextlib.suppress(OSError, http.client.HTTPException):
                if is_up():
                    return
            if self._popens[name].poll() is not None:
                log = (self.folder / f"{name}.log").read_text(errors="replace")
                raise CaseError(f"{name} ended: {log[-400:]}")
            time.sleep(0.05)
        raise CaseError(f"{name} does not answer")

    def _is_ready(self, number: int) -> bool:
        ip = self.instances[number]
        return (
            _call(f"{ip}:{PORTS['readiness']}", "GET", "/greengagewood/ready", b"", 1.0)[0] == 200
        )

    def _restart_ended(self) -> None:
        """Start each process that has ended again, as the platform does."""
        due: dict[str, float] = {}
        while not self._stopping.wait(0.05):
            for name, popen in list(self._popens.items()):
                if popen.poll() is None:
                    continue
                if name not in due:
                    due[name] = time.monotonic() + RESTART_S
                    if popen.pid not in self._ended_by_us:
                        self.note("process ended by itself", process=name, code=popen.returncode)
                elif time.monotonic() >= due[name] and not self._stopping.is_set():
                    del due[name]
                    self._spawn(name)

    def signal_instance(self, number: int, signal_number: int) -> None:
        """Send a signal to the process of an instance."""
        popen = self._popens[f"entry-{number}"]
        if signal_number in (signal.SIGKILL, signal.SIGTERM):
            self._ended_by_us.add(popen.pid)
        self.note("signal", instance=number, signal=signal.Signals(signal_number).name)
        popen.send_signal(signal_number)

    def stop_worker(self, number: int) -> None:
        """Stop the process of a worker that has one of its own, so that it answers nothing."""
        self.note("worker goes silent", worker=self.worker_ids[number])
        self._popens[self._group_name(number)].send_signal(signal.SIGSTOP)

    def owner(self) -> int:
        """Return the instance whose term of ownership is the newest, by the logs."""
        found: list[tuple[int, int]] = []
        for number in range(len(self.instances)):
            for line in (self.folder / f"entry-{number}.log").read_bytes().splitlines():
                if b'"term_started"' in line:
                    found.append((json.loads(line)["token"], number))
        if not found:
            raise CaseError("no instance owns the cell")
        return max(found)[1]

    def log_events(self, event: str) -> list[dict[str, Any]]:
        """Return the log lines of all instances with an event."""
        lines = []
        for number in range(len(self.instances)):
            for line in (self.folder / f"entry-{number}.log").read_bytes().splitlines():
                if f'"event":"{event}"'.encode() in line:
                    lines.append(json.loads(line))
        return lines

    def stop(self) -> None:
        """End all processes."""
        self._stopping.set()
        if self._restarter is not None:
            self._restarter.join()  # it starts no process any more
        for popen in self._popens.values():
            if popen.poll() is None:
                popen.send_signal(signal.SIGCONT)
                popen.kill()
        for popen in self._popens.values():
            popen.wait(10)

    # The operator and the stand-ins.

    def publish_manifest(self) -> None:
        """Write a version of the manifest."""
        self._version += 1
        route = {
            "name": "work",
            "host": HOST,
            "path-prefix": PREFIX,
            "kind": "non_idempotent",
            "service": SERVICE,
            "timeout-ms": 3_000,
            "target-latency-ms": 1_000,
            "max-attempts": MAX_ATTEMPTS,
            "slack-factor": 2.0,
            "priority": 0,
        }
        limits = {"max-header-bytes": 16_384, "max-body-bytes": 262_144, "idle-timeout-ms": 15_000}
        services = [{"name": SERVICE, "admission-check": True, "standby": False}]
        routes = [route]
        if self.advice:
            advice = {
                "decision-ms": self.decision_ms,
                "per-worker-ms": self.per_worker_ms,
                "validity-ms": ADVICE_VALIDITY_MS,
            }
            names = {"name": "advised", "path-prefix": ADVISED_PREFIX}
            routes.append({**route, **names, "advice": advice})
        manifest = {
            "version": self._version,
            "routes": routes,
            "services": services,
            "limits": limits,
        }
        self._admin(self.store_admin, "entry", {"key": "op/config", "value": manifest})

    def _serve_advice(self, advise: Callable[[str, str], bool]) -> None:
        """Answer as the advice service does: one call after the other, all from one machine."""
        site = self
        calls: queue.SimpleQueue[tuple[int, threading.Event]] = queue.SimpleQueue()

        def take_turns() -> None:
            while True:
                worker_count, is_answered = calls.get()
                time.sleep((site.decision_ms + site.per_worker_ms * worker_count) / 1000)
                is_answered.set()

        threading.Thread(target=take_turns, daemon=True).start()

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self) -> None:
                question = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                step, workers = question["step"], question["workers"][:MAX_ADVICE_WORKERS]
                if calls.qsize() >= MAX_ADVICE_WAITING:
                    self._answer(429, {})
                    return
                is_answered = threading.Event()
                calls.put((len(workers), is_answered))
                is_answered.wait()
                allowed = [[name, f"{step}-{name}"] for name in workers if advise(step, name)]
                site.note("advice", step=step, asked=workers, allowed=[row[0] for row in allowed])
                self._answer(200, {"allowed": allowed, "validity-ms": ADVICE_VALIDITY_MS})

            def _answer(self, status: int, answer: dict[str, Any]) -> None:
                body = json.dumps(answer).encode()
                with contextlib.suppress(OSError):  # the caller may have given up
                    self.send_response(status)
                    self.send_header("Content-Type", "application/json")
                    self.send_header("Content-Length", str(len(body)))
                    self.end_headers()
                    self.wfile.write(body)

            def log_message(self, *args: Any) -> None:
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, request: Any, client_address: Any) -> None:
                """Say nothing of connections that their callers have reset."""

        ip, _, port = self.advice.partition(":")
        server = Server((ip, int(port)), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()

    def _admin(self, address: str, call: str, body: dict[str, Any]) -> Any:
        status, answer = _call(address, "POST", f"/{call}", json.dumps(body).encode(), 5.0)
        if status != 200:
            raise CaseError(f"{call} {body}: {status} {answer[:200]!r}")
        return json.loads(answer) or True

    def store_fault(self, kind: str, **options: Any) -> None:
        """Switch a fault of the store on, or off with the kind clear."""
        self.note("store fault", kind=kind, **options)
        self._admin(self.store_admin, "fault", {"kind": kind, **options})

    def workers_fault(self, kind: str, **options: Any) -> None:
        """Switch a fault of the workers on, or off with the kind clear."""
        self.note("workers fault", kind=kind, **options)
        for number in {-1, *self._alone}:
            self._admin(self._worker_admin(number), "fault", {"kind": kind, **options})

    def change_worker(self, worker_id: str, do: str, **options: Any) -> None:
        """Crash, boot or drain a worker."""
        self.note("worker", worker=worker_id, do=do, **options)
        admin = self._worker_admin(self.worker_ids.index(worker_id))
        self._admin(admin, "worker", {"id": worker_id, "do": do, **options})

    # Consumers.

    def request(
        self,
        number: int,
        method: str,
        job: str,
        body: dict[str, Any] | None = None,
        prefix: str = PREFIX,
    ) -> tuple[int | None, dict[str, Any]]:
        """Send a request of a consumer to an instance; return the status, or None, and the body."""
        data = json.dumps(body).encode() if body is not None else b""
        headers = {
            "Host": HOST,
            "Content-Type": "application/json",
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        sent = now_ms()
        status: int | None = None
        answer: dict[str, Any] = {}
        try:
            address = f"{self.instances[number]}:{PORTS['frontend']}"
            timeout_s = DEADLINE_MS / 1000 + 1
            status, content = _call(address, method, prefix + job, data, timeout_s, headers)
            answer = json.loads(content) if content else {}
        except (OSError, http.client.HTTPException, ValueError) as exc:
            answer = {"error": repr(exc)}
        line = {
            "t": sent,
            "answered": now_ms(),
            "what": f"{method} {prefix}{job}",
            "instance": number,
        }
        with self._lock:
            self.requests.append({**line, "status": status, "body": answer})
        return status, answer

    def submit(self, body: dict[str, Any], prefix: str = PREFIX, tries: int = 6) -> str:
        """Submit a job until it is accepted, at one instance after another; return its ID."""
        job = f"{random.getrandbits(64):016x}"
        for number in range(tries):
            status, _ = self.request(number % len(self.instances), "POST", job, body, prefix)
            if status == 200:
                return job
            time.sleep(1.0)
        raise CaseError(f"job {job} was not accepted")

    def state(self, job: str, prefix: str = PREFIX) -> str:
        """Ask the instances for the state of a job until one of them answers."""
        for number in range(3 * len(self.instances)):
            status, answer = self.request(number % len(self.instances), "GET", job, None, prefix)
            if status == 200:
                return str(answer["state"])
            if status == 410:
                return "410"
            time.sleep(0.2)
        return "no answer"

    # Records.

    def note(self, what: str, **fields: Any) -> None:
        """Record what the platform has done."""
        with self._lock:
            self.notes.append({"t": now_ms(), "what": what, **fields})

    def history(self) -> list[dict[str, Any]]:
        """Return what the workers have recorded so far."""
        lines: list[bytes] = []
        for path in self.folder.glob("worker*.jsonl"):
            lines += path.read_bytes().split(b"\n")[:-1]
        return sorted((json.loads(line) for line in lines if line), key=lambda e: float(e["t"]))

    def write_record(self, path: Path, findings: list[str]) -> None:
        """Write what was sent, answered and run, and what broke the rule."""
        kept = ("boot", "leave", "start", "end", "ack", "ack_after_lapse", "lapse", "drain")
        events = [e for e in self.history() if e["what"] in kept]
        lines = sorted([*self.requests, *self.notes, *events], key=lambda e: float(e["t"]))
        with open(path, "w") as out:
            for event in lines:
                event.pop("spec", None)
                out.write(json.dumps(event) + "\n")
            for finding in findings:
                out.write(f"BROKEN {finding}\n")
            if not findings:
                out.write("HELD\n")


def _call(
    address: str,
    method: str,
    path: str,
    body: bytes,
    timeout_s: float,
    headers: dict[str, str] | None = None,
) -> tuple[int, bytes]:
    host, _, port = address.partition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        conn.request(method, path, body or None, headers or {})
        resp = conn.getresponse()
        return resp.status, resp.read()
    finally:
        conn.close()


def job_body(steps: list[dict[str, Any]], **options: Any) -> dict[str, Any]:
    """Return the body of a submission; the stand-in's workers read the steps from its spec."""
    return {"spec": json.dumps(steps, separators=(",", ":")), "steps": steps, **options}


def runs_of(history: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the runs that workers have begun, with their ends and when these were noted."""
    runs: list[dict[str, Any]] = []
    present: dict[tuple[str, int, str, int], dict[str, Any]] = {}
    for event in history:
        if event["what"] not in ("start", "end", "ack"):
            continue
        key = (event["worker"], event["born"], event["task"], event["run"])
        if event["what"] == "start":
            run = {"task": event["task"], "run": event["run"], "worker": event["worker"]}
            run |= {"start": event["t"], "end": float("inf"), "how": "", "noted": float("inf")}
            present[key] = run
            runs.append(run)
        elif key in present and event["what"] == "end":
            present[key] |= {"end": event["t"], "how": event["how"]}
        elif key in present:
            present[key]["noted"] = min(present[key]["noted"], event["t"])
    return runs


def check_twice(history: list[dict[str, Any]]) -> list[str]:
    """Return the breaks of TWICE, for tasks without copies, whose workers were up all the while.

    An end that was acknowledged after the lease had lapsed isn't recorded as `ack`.
    """
    by_task: dict[str, list[dict[str, Any]]] = {}
    for run in runs_of(history):
        by_task.setdefault(run["task"], []).append(run)
    findings = []
    for task, runs in by_task.items():
        for index, first in enumerate(runs):
            for second in runs[index + 1 :]:
                names = f"{task}: run {first['run']} on {first['worker']}"
                names += f" and run {second['run']} on {second['worker']}"
                if second["start"] < first["end"]:
                    findings.append(f"TWICE {names} at the same time, from {second['start']}")
                elif first["how"] == "done" and first["noted"] < float("inf"):
                    ended = f"the first was done at {first['end']}, noted at {first['noted']}"
                    findings.append(f"TWICE {names}, started at {second['start']}; {ended}")
    return findings


@contextlib.contextmanager
def deployment(**options: Any) -> Iterator[Site]:
    """Run a deployment in a temporary folder, and end all of its processes afterwards."""

    def leave(signal_number: int, frame: object) -> None:
        raise CaseError(f"ended by signal {signal_number}")

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, leave)
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        site = Site(Path(folder), **options)
        try:
            site.start()
            yield site
        finally:
            site.stop()
            kept = os.environ.get("KEEP_LOGS")
            if kept:
                subprocess.run(["cp", "-r", folder, kept], check=False)


def run_case(play: Callable[[Site], list[str]], folder: Path, **options: Any) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    try:
        with deployment(**options) as site:
            findings = play(site)
            site.write_record(folder / "record.txt", findings)
    except Exception as exc:  # exit code 1 is only for a rule that was broken
        print(f"could not run: {exc!r}")
        sys.exit(2)
    for finding in findings[:10]:
        print(finding)
    print(f"{len(findings)} breaks" if findings else "the rule held")
    sys.exit(1 if findings else 0)
