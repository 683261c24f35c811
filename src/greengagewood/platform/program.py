"""Entry point of ggw-entry: one entry instance on the users' platform."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable

import uvloop
from absl import flags
from aiohttp import web
from result import Err

from greengagewood.internal.cells.runner import Ports
from greengagewood.internal.daemon import exit_with_usage_error, parse_flags
from greengagewood.internal.entry import EntrySettings, Node
from greengagewood.internal.logs import Log, set_up_logs
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.yamlfile import load_yaml
from greengagewood.platform.advice import HttpAdvice
from greengagewood.platform.directory import StoreDirectory
from greengagewood.platform.frontend import Frontend
from greengagewood.platform.manifest import ManifestSource
from greengagewood.platform.store import KeyedLog
from greengagewood.platform.wire import new_session
from greengagewood.platform.workers import HttpWorkers

__all__ = ["main"]

PROGRAM = "ggw-entry"
SETTINGS_VARIABLE = "GREENGAGEWOOD_NODE_FILE"
CELL_TOPIC = "keyed.cell0"
WORKERS_TOPIC = "keyed.servers"
OPERATOR_TOPIC = "keyed.op"
LEAVING_S = 2.6  # the balancer takes an instance out after two missed checks, one a second
GRACE_MARGIN_S = 1.0
CONNECTIONS_A_WORKER = 12  # of its 64, which all instances share
CONNECTIONS_TO_STORE = 8
BACKLOG = 1024

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

_log = Log("program")


async def _listen(handler: web.Server, address: str) -> web.ServerRunner:
    runner = web.ServerRunner(handler)
    await runner.setup()
    ip, _, port = address.rpartition(":")
    await web.TCPSite(runner, ip, int(port), backlog=BACKLOG).start()
    return runner


async def _serve(cfg: EntrySettings) -> None:
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: _log.info("reload"))
    metrics = Metrics()
    store = new_session(CONNECTIONS_TO_STORE)
    workers = new_session(CONNECTIONS_A_WORKER)
    ports = Ports(
        KeyedLog(store, cfg.store, CELL_TOPIC),
        StoreDirectory(KeyedLog(store, cfg.store, WORKERS_TOPIC)),
        HttpWorkers(workers),
        HttpAdvice(workers, cfg.advice) if cfg.advice else None,
    )
    source = ManifestSource(KeyedLog(store, cfg.store, OPERATOR_TOPIC))
    node = Node(cfg, ports, source, metrics)
    frontend = Frontend(node, metrics)
    node.start()
    runners = [
        await _listen(web.Server(frontend.handle, access_log=None), cfg.listen),
        await _listen(web.Server(frontend.handle_ready, access_log=None), cfg.ready),
        *[
            await _listen(web.Server(_metrics_handler(metrics), access_log=None), address)
            for address in (cfg.admin, cfg.metrics)
            if address is not None
        ],
    ]
    _log.info("started", failure_domain=cfg.failure_domain)
    await stopping.wait()
    _log.info("stopping")
    frontend.leaving = True
    await node.hand_over()
    await _drain(frontend, cfg.bounds.grace_s)
    for runner in runners:
        await runner.cleanup()
    await node.stop()
    await store.close()
    await workers.close()
    _log.info("stopped")


async def _drain(frontend: Frontend, grace_s: float) -> None:
    """Serve until the balancer sends nothing more and no request is in progress."""
    await asyncio.sleep(min(LEAVING_S, grace_s / 2))
    try:
        async with asyncio.timeout(max(0.0, grace_s - LEAVING_S - GRACE_MARGIN_S)):
            while frontend.in_progress:
                await asyncio.sleep(0.02)
    except TimeoutError:
        _log.warning("stopped_with_requests", in_progress=frontend.in_progress)


def _metrics_handler(metrics: Metrics) -> Handler:
    async def handle(req: web.BaseRequest) -> web.StreamResponse:
        content, headers = metrics.render()
        return web.Response(body=content, headers=headers)

    return handle


def main() -> None:
    """Run an entry instance."""

    def define(values: flags.FlagValues) -> None:
        flags.DEFINE_string("settings", None, "YAML settings file", flag_values=values)

    values = parse_flags(PROGRAM, define)
    path = values.settings or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        exit_with_usage_error(f"{PROGRAM}: --settings is missing; name the YAML settings file")
    loaded = load_yaml(path, EntrySettings)
    if isinstance(loaded, Err):
        exit_with_usage_error(f"{PROGRAM}: {loaded.err_value}")
    cfg = loaded.ok_value
    set_up_logs(PROGRAM, cfg.instance, cfg.log_level)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(cfg))


if __name__ == "__main__":
    main()
