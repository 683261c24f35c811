"""Main program of ggw-entry, which runs one entry instance on the platform."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Awaitable, Callable

import uvloop
from aiohttp import web
from result import Err

from greengagewood.internal.cells.runner import Ports
from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.connections import ConnectionGuard
from greengagewood.internal.entry import EntryInstance, EntrySettings
from greengagewood.internal.httplistener import HttpListener
from greengagewood.internal.logs import Log, set_up_logs
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.process import exit_with_usage_error
from greengagewood.internal.yamlfile import load_yaml
from greengagewood.platform.advice import HttpAdvice
from greengagewood.platform.directory import MAX_ENTRY_BYTES, StoreDirectory
from greengagewood.platform.frontend import Frontend
from greengagewood.platform.manifest import ManifestSource
from greengagewood.platform.store import KeyedLog
from greengagewood.platform.wire import Session
from greengagewood.platform.workers import HttpWorkers

__all__ = ["main"]

PROGRAM = "ggw-entry"
SETTINGS_VARIABLE = "GREENGAGEWOOD_NODE_FILE"
CELL_TOPIC = "keyed.cell0"
WORKERS_TOPIC = "keyed.servers"
OPERATOR_TOPIC = "keyed.op"
# The load balancer checks readiness every second, and removes an instance after two failed checks.
DEREGISTRATION_S = 2.6
SHUTDOWN_MARGIN_S = 1.0  # part of the grace time kept for the release and for closing connections
CLOSING_TIME_S = 0.3  # of that, for closing sockets and connections
MAX_CONNECTIONS_PER_WORKER = 12  # a worker accepts 64, which all instances share
MAX_CONNECTIONS_TO_STORE = 8
LISTEN_BACKLOG = 1024
# Python's defaults (700, 10, 10) have the garbage collector visit every task of a cell many times a
# second while calls go out, which takes a sixth of the processor time with 8,000 tasks.
COLLECTION_THRESHOLDS = (20_000, 20, 20)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

_log = Log("program")


async def _listen(server: web.Server, address: str, guard: ConnectionGuard) -> HttpListener:
    runner = web.ServerRunner(server)
    await runner.setup()
    ip, _, port = address.rpartition(":")
    listener = HttpListener(runner, guard)
    await listener.start(ip, int(port), LISTEN_BACKLOG)
    return listener


async def _run_instance(cfg: EntrySettings) -> None:
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: _log.info("reload"))
    metrics = Metrics()
    store_session = Session(MAX_CONNECTIONS_TO_STORE)
    worker_session = Session(MAX_CONNECTIONS_PER_WORKER)
    ports = Ports(
        KeyedLog(store_session, cfg.store, CELL_TOPIC),
        StoreDirectory(
            KeyedLog(store_session, cfg.store, WORKERS_TOPIC, MAX_ENTRY_BYTES),
            cfg.worker_report_interval_ms,
        ),
        HttpWorkers(worker_session),
        HttpAdvice(worker_session, cfg.advice) if cfg.advice else None,
    )
    config_source = ManifestSource(KeyedLog(store_session, cfg.store, OPERATOR_TOPIC))
    instance = EntryInstance(cfg, ports, config_source, metrics)
    frontend = Frontend(instance, metrics)
    instance.start()
    guard = frontend.connections
    caller_listener = await _listen(web.Server(frontend.handle, access_log=None), cfg.listen, guard)
    listeners = [
        caller_listener,
        await _listen(web.Server(frontend.handle_ready, access_log=None), cfg.ready, guard),
        *[
            await _listen(web.Server(_metrics_handler(metrics), access_log=None), address, guard)
            for address in (cfg.admin, cfg.metrics)
            if address is not None
        ],
    ]
    _log.info("started", failure_domain=cfg.failure_domain)
    await stop_requested.wait()
    _log.info("stopping")
    frontend.draining = True
    stopping_ms = monotonic_ms()
    await instance.release_cell()
    await _drain(caller_listener, cfg.bounds.grace_s, (monotonic_ms() - stopping_ms) / 1000)
    for listener in listeners:
        await listener.close()
    await instance.stop()
    await store_session.close()
    await worker_session.close()
    _log.info("stopped")


async def _drain(listener: HttpListener, grace_s: float, elapsed_s: float) -> None:
    """Wait until the load balancer sends no more requests and every connection is idle.

    A release of the cell that took long leaves less of the grace time.
    """
    grace_s -= max(0.0, elapsed_s - SHUTDOWN_MARGIN_S + CLOSING_TIME_S)
    await asyncio.sleep(min(DEREGISTRATION_S, grace_s / 2))
    await listener.stop_accepting()
    if not await listener.wait_until_idle(max(0.0, grace_s - DEREGISTRATION_S - SHUTDOWN_MARGIN_S)):
        _log.warning("stopped_with_requests")


def _metrics_handler(metrics: Metrics) -> Handler:
    async def handle(req: web.BaseRequest) -> web.StreamResponse:
        content, headers = metrics.render()
        return web.Response(body=content, headers=headers)

    return handle


def _path_in_flags() -> str:
    """Return the path of the settings file that the command line names, or an empty string."""
    # The platform starts instances without flags, and the library for them takes 2 MB of memory.
    from absl import flags

    from greengagewood.internal.daemon import parse_flags

    def define(values: flags.FlagValues) -> None:
        flags.DEFINE_string("settings", "", "YAML settings file", flag_values=values)

    return str(parse_flags(PROGRAM, define).settings or "")


def main() -> None:
    """Run an entry instance."""
    path = (_path_in_flags() if len(sys.argv) > 1 else "") or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        exit_with_usage_error(f"{PROGRAM}: --settings is missing; name the YAML settings file")
    loaded = load_yaml(path, EntrySettings)
    if isinstance(loaded, Err):
        exit_with_usage_error(f"{PROGRAM}: {loaded.err_value}")
    cfg = loaded.ok_value
    set_up_logs(PROGRAM, cfg.instance, cfg.log_level)
    gc.set_threshold(*COLLECTION_THRESHOLDS)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_run_instance(cfg))


if __name__ == "__main__":
    main()
