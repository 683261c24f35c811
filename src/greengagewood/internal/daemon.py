"""What all daemons share: flags, settings, logs, the admin port and graceful shutdown."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from collections.abc import Callable
from typing import Any, Protocol, TypeVar

import msgspec
import uvloop
from absl import flags
from aiohttp import web
from result import Err

from greengagewood.internal.logs import Log, set_up_logs
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.process import exit_with_usage_error
from greengagewood.internal.settings import Address
from greengagewood.internal.yamlfile import load_yaml

__all__ = [
    "AdminServer",
    "Daemon",
    "define_help_flag",
    "parse_flags",
    "run_daemon",
]

EXAMPLE_FLAGS = "--settings=/etc/greengagewood/settings.yaml"
MAX_HEADER_FIELD_BYTES = 16 * 1024

_log = Log("daemon")


class _CommonSettings(Protocol):
    @property
    def instance(self) -> str: ...
    @property
    def log_level(self) -> str: ...
    @property
    def admin(self) -> Address: ...


S = TypeVar("S", bound=_CommonSettings)


class Daemon(Protocol):
    """Define what `run_daemon` needs of a daemon."""

    async def start(self) -> None:
        """Open the sockets and begin to work."""

    async def stop(self) -> None:
        """Finish the work in progress and close the sockets."""

    def ready(self) -> str:
        """Return an empty string if the process is ready to serve, else what it waits for."""

    def status(self) -> Any:
        """Return the process's state for operators, to be encoded as JSON."""


def parse_flags(program: str, define_flags: Callable[[flags.FlagValues], None]) -> flags.FlagValues:
    """Parse the command line; exit with 0 after --help, and with 2 and one line on an error."""
    values = flags.FlagValues()
    define_flags(values)
    define_help_flag(values)
    try:
        arguments = values(sys.argv)
    except flags.Error as exc:
        exit_with_usage_error(f"{program}: {exc}; see {program} --help")
    if values.help:
        print(f"usage: {program} [FLAGS]\n{values.get_help()}\nexample: {program} {EXAMPLE_FLAGS}")
        sys.exit(0)
    if len(arguments) > 1:
        exit_with_usage_error(
            f"{program}: unexpected argument {arguments[1]!r}; see {program} --help"
        )
    return values


def define_help_flag(values: flags.FlagValues) -> None:
    """Define the flags --help and -h."""
    flags.DEFINE_bool("help", False, "show this help", short_name="h", flag_values=values)


class AdminServer:
    """Serve /healthz, /readyz, /metrics and /status."""

    def __init__(self, address: Address, daemon: Daemon, metrics: Metrics) -> None:
        self._address = address
        self._daemon = daemon
        self._metrics = metrics
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Open the admin port."""
        app = web.Application()
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/readyz", self._ready)
        app.router.add_get("/metrics", self._show_metrics)
        app.router.add_get("/status", self._status)
        self._runner = web.AppRunner(app, access_log=None, max_field_size=MAX_HEADER_FIELD_BYTES)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._address.ip, self._address.port).start()

    async def stop(self) -> None:
        """Close the admin port."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _health(self, req: web.Request) -> web.Response:
        return web.json_response({"alive": True})

    async def _ready(self, req: web.Request) -> web.Response:
        waits_for = self._daemon.ready()
        status = 503 if waits_for else 200
        return web.json_response({"ready": not waits_for, "waits_for": waits_for}, status=status)

    async def _show_metrics(self, req: web.Request) -> web.Response:
        cpu_s = time.process_time()
        self._metrics.gauge("process_cpu_seconds", cpu_s)
        content, headers = self._metrics.render()
        return web.Response(body=content, headers=headers)

    async def _status(self, req: web.Request) -> web.Response:
        body = msgspec.json.encode(self._daemon.status(), enc_hook=str)
        return web.Response(body=body, content_type="application/json")


async def _serve(daemon: Daemon, admin: AdminServer, instance: str) -> None:
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await admin.start()
    await daemon.start()
    _log.info("started", instance=instance)
    await stop_requested.wait()
    _log.info("stopping", instance=instance)
    await daemon.stop()
    await admin.stop()
    _log.info("stopped", instance=instance)


def run_daemon(program: str, model: type[S], build: Callable[[S, Metrics], Daemon]) -> None:
    """Parse flags, load the settings, set up the logs, and run until SIGTERM or SIGINT."""

    def define_flags(values: flags.FlagValues) -> None:
        flags.DEFINE_string("settings", None, "YAML settings file", flag_values=values)
        flags.DEFINE_bool("check", False, "check the settings and exit", flag_values=values)

    values = parse_flags(program, define_flags)
    if values.settings is None:
        exit_with_usage_error(f"{program}: --settings is missing; name the YAML settings file")
    loaded = load_yaml(values.settings, model)
    if isinstance(loaded, Err):
        exit_with_usage_error(f"{program}: {loaded.err_value}")
    cfg = loaded.ok_value
    if values.check:
        print(f"{program}: {values.settings} is valid")
        return
    set_up_logs(program, cfg.instance, cfg.log_level)
    metrics = Metrics()

    async def main() -> None:
        daemon = build(cfg, metrics)
        await _serve(daemon, AdminServer(cfg.admin, daemon, metrics), cfg.instance)

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(main())
    except OSError as exc:
        exit_with_usage_error(
            f"{program}: {exc}; free the address or change it in {values.settings}"
        )
