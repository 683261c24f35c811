"""Program of the stand-ins: the first argument is the role, store or workers."""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import Protocol

import uvloop
from absl import flags
from result import Err

from greengagewood.internal.daemon import parse_flags
from greengagewood.internal.process import exit_with_usage_error
from greengagewood.internal.yamlfile import load_yaml
from greengagewood.platform.standin.fleet import WorkersStandin
from greengagewood.platform.standin.settings import StoreSettings, WorkersSettings
from greengagewood.platform.standin.store import StoreStandin

PROGRAM = "greengagewood.platform.standin"
ROLES = ("store", "workers")


class _Standin(Protocol):
    async def start(self) -> None: ...
    async def stop(self) -> None: ...


def _build(role: str, path: str) -> _Standin:
    if role == "store":
        store = load_yaml(path, StoreSettings)
        if isinstance(store, Err):
            exit_with_usage_error(f"{PROGRAM}: {store.err_value}")
        return StoreStandin(store.ok_value)
    workers = load_yaml(path, WorkersSettings)
    if isinstance(workers, Err):
        exit_with_usage_error(f"{PROGRAM}: {workers.err_value}")
    return WorkersStandin(workers.ok_value)


async def _serve(role: str, path: str) -> None:
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop_requested.set)
    try:
        standin = _build(role, path)
        await standin.start()
    except OSError as exc:
        exit_with_usage_error(f"{PROGRAM} {role}: {exc} in {path}")
    await stop_requested.wait()
    await standin.stop()


def main() -> None:
    """Run one of the stand-ins until SIGTERM or SIGINT."""

    def define_flags(values: flags.FlagValues) -> None:
        flags.DEFINE_string("settings", None, "YAML settings file", flag_values=values)

    role = sys.argv.pop(1) if len(sys.argv) > 1 and sys.argv[1] in ROLES else ""
    values = parse_flags(PROGRAM, define_flags)
    if not role:
        exit_with_usage_error(f"{PROGRAM}: name a role as first argument: {' or '.join(ROLES)}")
    if values.settings is None:
        exit_with_usage_error(f"{PROGRAM}: --settings is missing; name the YAML settings file")
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(role, values.settings))


if __name__ == "__main__":
    main()
