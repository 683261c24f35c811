"""Run a small cluster in one process: real daemons and a stand-in platform, over loopback."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import hashlib
import itertools
import random
import uuid
from pathlib import Path

import aiohttp
import msgspec
import yaml
from devtools.loopback import reserve_network

from greengagewood.internal.clock import wall_ms
from greengagewood.internal.document import document_digest
from greengagewood.internal.gateway import Gateway
from greengagewood.internal.keeper import Keeper
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.records import ConfigPublished, StreamNames, encode_record
from greengagewood.internal.scheduler import Scheduler
from greengagewood.internal.settings import (
    Address,
    GatewaySettings,
    KeeperSettings,
    Keys,
    SchedulerSettings,
)
from greengagewood.internal.standin.log import _NewRecord
from greengagewood.internal.standin.platform import StandinPlatform
from greengagewood.internal.standin.settings import (
    EntrySettings,
    StandinSettings,
    WorkerSettings,
)

KEYS = Keys("k1", {"k1": "a-key-for-the-tests-only"})
TOKENS = {"alice": "token-of-alice", "bob": "token-of-bob"}
_network_numbers = itertools.count(1)


@functools.cache
def _process_network():
    """Return the network of all clusters of this process, reserved when it is first needed."""
    return reserve_network()


def auth(caller="alice", **headers):
    return {"Authorization": f"Bearer {TOKENS[caller]}", **headers}


def example_document(**changes) -> str:
    raw = yaml.safe_load(Path("examples/padana.yaml").read_text(encoding="utf-8"))
    raw["callers"] = {
        name: {"team": "mercato", "token_sha256": hashlib.sha256(token.encode()).hexdigest()}
        for name, token in TOKENS.items()
    }
    for path, value in changes.items():
        *parents, last = path.split("__")
        target = raw
        for name in parents:
            target = target[name]
        target[last] = value
    return yaml.safe_dump(raw, sort_keys=False)


class System:
    """A cluster of one failure domain; each instance has a keeper, a gateway and a scheduler."""

    def __init__(self, instances=1, workers=2, **standin_settings):
        self.net = f"127.{_process_network()}.{next(_network_numbers) % 250}"
        self.names = StreamNames("padana", "production")
        names = [f"i{n + 1}" for n in range(instances)]
        self.platform = StandinPlatform(
            StandinSettings(
                listen=Address(f"{self.net}.1", 17100),
                service="quotazioni",
                workers=tuple(
                    WorkerSettings(f"w{n + 1}", "pd-milano", "milano-r1", backend_port=17200 + n)
                    for n in range(workers)
                ),
                entries=tuple(
                    EntrySettings(name, "pd-milano", str(self.address(name, 17001)))
                    for name in names
                ),
                **{"list_lag_ms": 100, "base_latency_ms": 2.0, **standin_settings},
            )
        )
        self.daemons = {name: self._daemons(name) for name in names}
        self.running: list = []

    def address(self, name, port):
        return Address(f"{self.net}.{int(name[1:]) + 1}", port)

    def _daemons(self, name):
        common = {
            "environment": "padana",
            "instance": name,
            "failure_domain": "pd-milano",
            "keys": KEYS,
            "admin": self.address(name, 17011),
            "platform": Address(f"{self.net}.1", 17100),
        }
        keeper = self.address(name, 17001)
        peer = self.address(name, 17003)
        scheduler = self.address(name, 17004)
        return {
            "keeper": Keeper(
                KeeperSettings(
                    listen=keeper,
                    gateway=peer,
                    scheduler=scheduler,
                    commit_interval_ms=5,
                    **common,
                ),
                Metrics(),
            ),
            "gateway": Gateway(
                GatewaySettings(
                    listen=self.address(name, 17002),
                    peer=peer,
                    keeper=keeper,
                    drain_grace_ms=0,
                    quiet_limit_ms=1000,
                    **common,
                ),
                Metrics(),
            ),
            "scheduler": Scheduler(
                SchedulerSettings(listen=scheduler, keeper=keeper, **common), Metrics()
            ),
        }

    def url(self, name="i1"):
        return f"http://{self.address(name, 17002)}"

    def publish(self, text, based_on=0):
        record = ConfigPublished(document_digest(text), text, based_on, "test", wall_ms())
        body = msgspec.Raw(encode_record(record))
        new_record = _NewRecord(uuid.uuid4().hex, body)
        return self.platform.log.append(self.names.config, [new_record])[0]

    async def start(self, document=None, roles=("keeper", "gateway", "scheduler")):
        await self.platform.start()
        self.publish(document or example_document())
        for daemons in self.daemons.values():
            for role in roles:
                await daemons[role].start()
                self.running.append(daemons[role])
        await self.until(
            lambda: all(not daemon.ready() for daemon in self.running), "daemons are ready"
        )
        gateways = [daemons["gateway"] for daemons in self.daemons.values() if "gateway" in roles]
        await self.until(
            lambda: all(
                len(dispatcher.table) for g in gateways for dispatcher in g._dispatchers.values()
            ),
            "gateways know backend servers",
        )
        await self.until(
            lambda: all(
                sum(bool(m.gateway_address) for m in g._live_members()) == len(gateways)
                for g in gateways
            ),
            "gateways know each other",
        )

    async def until(self, condition, description, timeout_s=20.0):
        try:
            async with asyncio.timeout(timeout_s):
                while not condition():
                    await asyncio.sleep(0.02)
        except TimeoutError:
            raise AssertionError(f"not within {timeout_s} s: {description}") from None

    async def stop(self):
        for daemon in self.running:
            for loop in getattr(daemon, "_loops", []):
                loop.cancel()
        for daemon in reversed(self.running):
            with contextlib.suppress(Exception):
                await asyncio.wait_for(daemon.stop(), 10)
        await self.platform.stop()


@contextlib.asynccontextmanager
async def system(document=None, roles=("keeper", "gateway", "scheduler"), **options):
    cluster = System(**options)
    try:
        await cluster.start(document, roles)
        yield cluster
    finally:
        await cluster.stop()


@contextlib.asynccontextmanager
async def client():
    async with aiohttp.ClientSession() as session:
        yield session


def seeded(seed=1):
    return random.Random(seed)
