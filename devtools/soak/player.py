"""Play a script of faults on a running system."""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
import time
from collections import Counter
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

from devtools.soak.callers import Callers, now_ms
from devtools.soak.checker import build_runs
from devtools.soak.deployment import CALM_SHAPES, DRAIN_STAY_MS, SERVICE, JobShape
from devtools.soak.proxy import LinkFault
from devtools.soak.records import Disruption
from devtools.soak.script import OWNER, Step
from devtools.soak.system import System

__all__ = ["Player"]

STORE = -1
STARVE_PERIOD_S = 0.1
CALM_START_S = 2.5  # until the tasks that are to be cancelled run
CALM_STAY_MS = 12_000
CELL_TOPIC = "keyed.cell0"
_ENTRY = {
    "service": SERVICE,
    "address": "10.0.0.1:80",
    "zone": "z0",
    "state": "ready",
    "capacity": {"cpu": 64_000, "mem-mb": 256_000, "gpu": 0},
    "labels": ["a", "r"],
    "born": 1,
}
ODD_PREFIXES = ("servers/", "servers/", "op/", "op/wave/", "status/", "cell0/")
ODD_TEXTS = ('{"x":' + "[" * 100_000, '{"service":1e999}', '"\\ud800"', "{", "[]", "\0")
ODD_VALUES: tuple[Any, ...] = (
    *(None, True, -1, 2**63, 2**64 - 1, 1e300, "", "a" * 70_000, "a..b:80", "127.0.0.1:99999"),
    *([[]], {}, {"cpu": 2**64 - 1, "mem-mb": 2**64 - 1}),
)


def _draw_odd_entry(rng: random.Random) -> Any:
    """Return an entry of another writer, as it is stored or as text."""
    if rng.random() < 0.3:
        return rng.choice(ODD_TEXTS)
    return {**_ENTRY, rng.choice(list(_ENTRY)): rng.choice(ODD_VALUES)}


class Player:
    """Inject the faults of a script; `notes` says what each one hit."""

    def __init__(self, system: System, callers: Callers) -> None:
        self._system = system
        self._callers = callers
        self._dep = system.deployment
        self._ids = itertools.count(1)
        self.played: Counter[str] = Counter()
        self.notes: list[str] = []

    async def play(self, steps: list[Step]) -> None:
        """Play all steps at their times and wait until their faults have ended."""
        started_ms = now_ms()
        tasks = []
        for step in steps:
            await asyncio.sleep(max(0.0, started_ms + step.at_ms - now_ms()) / 1000)
            tasks.append(asyncio.create_task(self._play_step(step)))
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result

    async def _play_step(self, step: Step) -> None:
        args = dict(step.args)
        if args.get("instance") == OWNER:
            args["instance"] = self._system.owner_number
        if args.get("domain") == OWNER:
            args["domain"] = self._dep.domain(self._system.owner_number)
        self.played[step.kind] += 1
        owner = self._system.owner_number
        self.notes.append(f"{now_ms():.0f} {step.kind} {args} (owner entry-{owner})")
        await getattr(self, f"_{step.kind}")(args)

    @asynccontextmanager
    async def _disruption(self, kind: str, instance: int | None) -> AsyncIterator[None]:
        disruption = Disruption(kind, instance, now_ms())
        self._system.disruptions.append(disruption)
        try:
            yield
        finally:
            disruption.to_ms = now_ms()

    # Processes.

    async def _terminate(self, args: dict[str, Any]) -> None:
        await self._system.end_instance(args["instance"], "terminate", args["pause_ms"] / 1000)

    async def _kill(self, args: dict[str, Any]) -> None:
        await self._system.end_instance(args["instance"], "kill", args["pause_ms"] / 1000)

    async def _freeze(self, args: dict[str, Any]) -> None:
        async with self._disruption("freeze", args["instance"]):
            self._system.signal_instance(args["instance"], signal.SIGSTOP)
            await asyncio.sleep(args["for_ms"] / 1000)
            self._system.signal_instance(args["instance"], signal.SIGCONT)

    async def _replace(self, args: dict[str, Any]) -> None:
        number, pause_s = args["instance"], args["pause_ms"] / 1000
        await self._system.replace_instance(number, args["how"], pause_s)

    async def _starve(self, args: dict[str, Any]) -> None:
        """Let an instance run for a share of each tenth of a second."""
        until_ms = now_ms() + args["for_ms"]
        async with self._disruption("starve", args["instance"]):
            while now_ms() < until_ms:
                self._system.signal_instance(args["instance"], signal.SIGSTOP)
                await asyncio.sleep(STARVE_PERIOD_S * (1 - args["share"]))
                self._system.signal_instance(args["instance"], signal.SIGCONT)
                await asyncio.sleep(STARVE_PERIOD_S * args["share"])

    async def _hangup(self, args: dict[str, Any]) -> None:
        self._system.signal_instance(args["instance"], signal.SIGHUP)

    # Links.

    def _ips(self, domain: int | None = None, others: bool = False) -> frozenset[str]:
        """Return the addresses of all instances, of those in a domain, or of the others."""
        return frozenset(
            ip
            for number, ip in enumerate(self._dep.instances)
            if domain is None or (self._dep.domain(number) == domain) != others
        )

    def _source(self, args: dict[str, Any]) -> frozenset[str]:
        return frozenset({self._dep.instances[args["instance"]]})

    def _worker_addresses(self, domain: int, others: bool) -> frozenset[str]:
        return frozenset(
            address
            for number, address in enumerate(self._dep.workers)
            if (self._dep.domain(number) == domain) != others
        )

    async def _hold_faults(self, faults: Iterable[LinkFault], for_ms: int) -> None:
        active = list(faults)
        async with self._disruption("link", None):
            for fault in active:
                self._system.proxy.add(fault)
            try:
                await asyncio.sleep(for_ms / 1000)
            finally:
                for fault in active:
                    self._system.proxy.remove(fault)

    async def _cut_domain(self, args: dict[str, Any]) -> None:
        domain, mode, way = args["domain"], args["mode"], args["way"]
        outside = self._worker_addresses(domain, others=True) | {self._dep.store}
        inside = self._worker_addresses(domain, others=False)
        # The way is seen from the domain: what its instances send out, others send back to it.
        opposite = {"out": "back", "back": "out", "both": "both"}[way]
        faults = [
            LinkFault(self._ips(domain), outside, mode, way),
            LinkFault(self._ips(domain, others=True), inside, mode, opposite),
        ]
        await asyncio.gather(self._hold_faults(faults, args["for_ms"]), self._lapse(args))

    async def _cut_off_owner(self, args: dict[str, Any]) -> None:
        """Cut the owner off from one worker, then its failure domain from the rest."""
        owner = self._system.owner_number
        worker = self._busiest_worker_outside(self._dep.domain(owner))
        source, target = frozenset({self._dep.instances[owner]}), self._dep.workers[worker]
        self.notes.append(f"{now_ms():.0f} entry-{owner} loses {self._dep.worker_id(worker)}")
        first = LinkFault(source, frozenset({target}), "drop")
        first_lasts_ms = args["lead_ms"] + args["for_ms"]
        first_cut = asyncio.create_task(self._hold_faults([first], first_lasts_ms))
        await asyncio.sleep(args["lead_ms"] / 1000)
        cut = {"domain": self._dep.domain(owner), "mode": "drop", "way": "both"}
        await self._cut_domain({**cut, "for_ms": args["for_ms"]})
        await first_cut

    def _busiest_worker_outside(self, domain: int) -> int:
        runs = build_runs(self._system.events)
        counts = Counter(self._dep.worker_number(run.worker) for run in runs if not run.how)
        candidates = [n for n in range(len(self._dep.workers)) if self._dep.domain(n) != domain]
        return max(candidates, key=lambda n: (counts[n], -n))

    async def _cut_pair(self, args: dict[str, Any]) -> None:
        target = args["target"]
        address = self._dep.store if target == STORE else self._dep.workers[target]
        source = self._source(args)
        fault = LinkFault(source, frozenset({address}), args["mode"], args["way"])
        await self._hold_faults([fault], args["for_ms"])

    async def _delay(self, args: dict[str, Any]) -> None:
        source = self._source(args)
        targets = frozenset({self._dep.store, *self._dep.workers})
        fault = LinkFault(source, targets, "delay", "both", args["by_ms"])
        await self._hold_faults([fault], args["for_ms"])

    async def _reset(self, args: dict[str, Any]) -> None:
        source = self._source(args)
        async with self._disruption("link", None):
            self._system.proxy.reset(source, frozenset({self._dep.store, *self._dep.workers}))

    async def _silence(self, args: dict[str, Any]) -> None:
        """Let all open connections go silent for good; new ones work."""
        async with self._disruption("link", None):
            targets = frozenset({self._dep.store, *self._dep.workers})
            self._system.proxy.silence(self._ips(), targets)

    async def _hang(self, args: dict[str, Any]) -> None:
        """Let an address fall silent, and connections to it hang while they are opened."""
        target = args["target"]
        address = self._dep.store if target == STORE else self._dep.workers[target]
        fault = LinkFault(self._ips(), frozenset({address}), "drop")
        hanging = self._system.proxy.hang(address, args["for_ms"] / 1000)
        await asyncio.gather(self._hold_faults([fault], args["for_ms"]), hanging)

    # The stand-in.

    async def _hold_standin_fault(
        self, kind: str, admins: list[str], fault: dict[str, Any], for_ms: int
    ) -> None:
        fault_id = str(next(self._ids))
        async with self._disruption(kind, None):
            for admin in admins:
                await self._system.admin(admin, "fault", id=fault_id, **fault)
            await asyncio.sleep(for_ms / 1000)
            for admin in admins:
                await self._system.admin(admin, "fault", kind="clear", id=fault_id)

    async def _lapse(self, args: dict[str, Any]) -> None:
        """Let the store get no heartbeats of the workers in a domain, or of any worker."""
        numbers = range(len(self._dep.workers))
        hit = [n for n in numbers if args["domain"] in (None, self._dep.domain(n))]
        fault = {"kind": "lapse", "workers": [self._dep.current_ids[n] for n in hit]}
        await self._hold_standin_fault("link", [self._dep.store_admin], fault, args["for_ms"])

    async def _store(self, args: dict[str, Any]) -> None:
        fault: dict[str, Any] = {"kind": args["fault"], "ms": args["ms"]}
        if args["fault"] in ("lose_answers", "apply_late"):
            fault["share"] = args["share"]
        if args["instance"] is not None:
            fault["for"] = [self._dep.instances[args["instance"]]]
        if args.get("topic"):
            fault["topics"] = [args["topic"]]
        await self._hold_standin_fault("store", [self._dep.store_admin], fault, args["for_ms"])

    async def _truncate(self, args: dict[str, Any]) -> None:
        async with self._disruption("store", None):
            truncation = {"topic": CELL_TOPIC, "keep": args["keep"]}
            await self._system.admin(self._dep.store_admin, "truncate", **truncation)

    async def _truncate_behind(self, args: dict[str, Any]) -> None:
        """Truncate the log while an instance has not read its end."""
        fault = LinkFault(self._source(args), frozenset({self._dep.store}), "drop")
        cut = asyncio.create_task(self._hold_faults([fault], args["for_ms"]))
        burst = asyncio.create_task(self._callers.burst())
        await asyncio.sleep(args["for_ms"] / 1000 - 0.1)
        await self._truncate({"keep": 0})
        await asyncio.gather(cut, burst)

    async def _reboot_behind(self, args: dict[str, Any]) -> None:
        """Reboot workers that refuse some orders, while their answers are on the way."""
        source = self._source(args)
        addresses = frozenset(self._dep.workers[number] for number in args["workers"])
        fault = LinkFault(source, addresses, "delay", "back", args["by_ms"])
        refusals = {"fault": "busy", "share": 0.5, "for_ms": args["by_ms"]}
        tasks = [
            asyncio.create_task(self._hold_faults([fault], 3 * args["by_ms"])),
            asyncio.create_task(self._orders({**refusals, "workers": args["workers"]})),
            asyncio.create_task(self._callers.burst()),
        ]
        await asyncio.sleep(args["by_ms"] / 2_000)
        for number in args["workers"]:
            await self._worker({"worker": number, "do": "boot"})
        await asyncio.gather(*tasks)

    async def _worker(self, args: dict[str, Any]) -> None:
        number = args["worker"]
        worker = self._dep.worker_id(number)
        admin = self._dep.worker_admin(self._dep.worker_process(number))
        boot = {"id": worker, "do": "boot", "ms": args.get("shift_ms")}
        if args["do"] in ("replace", "reclaim"):
            self._dep.current_ids[number] = boot["new_id"] = f"{worker}-{next(self._ids)}"
        if args["do"] in ("drain", "reclaim"):
            # A graceful end excuses nothing; the worker has left when it is booted again.
            stay_ms = args.get("stay_ms", DRAIN_STAY_MS)
            await self._system.try_admin(admin, "worker", id=worker, do="drain", ms=stay_ms)
            await asyncio.sleep((stay_ms + args["pause_ms"]) / 1000)
            await self._system.try_admin(admin, "worker", **boot)
            return
        async with self._disruption("worker", None):
            end = "gone" if args["do"] == "gone" else "crash"
            await self._system.try_admin(admin, "worker", id=worker, do=end)
            if args["do"] not in ("boot", "boot_shifted"):
                await asyncio.sleep(args["pause_ms"] / 1000)
            await self._system.try_admin(admin, "worker", **boot)

    async def _orders(self, args: dict[str, Any]) -> None:
        workers = [self._dep.worker_id(number) for number in args["workers"]]
        fault = {"kind": args["fault"], "share": args["share"], "workers": workers}
        processes = range(self._dep.scale.worker_processes)
        admins = [self._dep.worker_admin(number) for number in processes]
        await self._hold_standin_fault("worker", admins, fault, args["for_ms"])

    async def _odd_entries(self, args: dict[str, Any]) -> None:
        """Write odd entries: new ones, which stay, and some that the next heartbeats replace."""
        rng = random.Random(args.get("seed", 0))
        keys = [f"{rng.choice(ODD_PREFIXES)}odd-{number}" for number in range(args["new"])]
        keys += [f"servers/{self._dep.current_ids[number]}" for number in args["workers"]]
        for key in keys:
            value = _draw_odd_entry(rng)
            await self._system.admin(self._dep.store_admin, "entry", key=key, value=value)

    async def _deadly(self, args: dict[str, Any]) -> None:
        """Submit a job whose tasks crash the workers that start them."""
        shape = JobShape("short", (args["tasks"],), 300, 2_000, crashes=True)
        await self._callers.submit(shape)

    async def _evacuate(self, args: dict[str, Any]) -> None:
        """Let the operator evacuate a failure domain, which excuses nothing."""
        zone = f"z{args['domain']}"
        entry = {"key": f"op/evacuate/{zone}"}
        await self._system.admin(self._dep.store_admin, "entry", **entry, value={})
        self._system.events.append({"t": now_ms(), "what": "evacuate", "zone": zone})
        await asyncio.sleep(args["for_ms"] / 1000)
        self._system.events.append({"t": now_ms(), "what": "take_back", "zone": zone})
        await self._system.admin(self._dep.store_admin, "entry", **entry, value=None)

    async def _cancel_in_calm(self, args: dict[str, Any]) -> None:
        """Cancel jobs in a short trouble, and in the calm after it while workers drain.

        The workers stay for longer than a run of a cancelled job may go on.
        """
        while any(d.to_ms > now_ms() for d in self._system.disruptions):
            await asyncio.sleep(0.1)
        due_ms = int(time.time() * 1000) + 500  # of those that are timed
        shapes = [replace(shape, first_ms=due_ms) for shape in 3 * CALM_SHAPES]
        records = await asyncio.gather(*(self._callers.submit(shape) for shape in shapes))
        await asyncio.sleep(CALM_START_S)

        async def cancel(first: int, last: int) -> None:
            await asyncio.gather(*(self._callers.cancel(r) for r in records[first:last]))

        await asyncio.gather(self._play_short(args["trouble"]), cancel(0, len(CALM_SHAPES)))
        drain = {"do": "drain", "pause_ms": 500, "stay_ms": CALM_STAY_MS}
        planned = [
            asyncio.create_task(self._worker({**drain, "worker": number}))
            for number in args["workers"]
        ]
        evacuation = {"domain": args["domain"], "for_ms": CALM_STAY_MS - 3_000}
        planned.append(asyncio.create_task(self._evacuate(evacuation)))
        await asyncio.sleep(1)
        await cancel(len(CALM_SHAPES), 2 * len(CALM_SHAPES))
        await asyncio.sleep(2.5)
        await cancel(2 * len(CALM_SHAPES), len(records))
        await asyncio.gather(*planned)

    async def _play_short(self, trouble: str) -> None:
        """Play a short trouble of a kind; one of links hits all those to the workers."""
        everything = {"workers": range(self._dep.scale.workers), "for_ms": 700}
        match trouble:
            case "links":
                cut = LinkFault(self._ips(), frozenset(self._dep.workers), "drop")
                await self._hold_faults([cut], 700)
            case "kill" | "terminate":
                owner = self._system.owner_number
                await self._system.end_instance(owner, trouble, 0.5)
            case "busy":
                await self._orders({**everything, "fault": "busy", "share": 0.7})
            case "crash":
                await self._worker({"worker": 0, "do": "crash", "pause_ms": 700})

    async def _configure(self, args: dict[str, Any]) -> None:
        manifest = self._dep.next_manifest()
        await self._system.admin(self._dep.store_admin, "entry", key="op/config", value=manifest)
