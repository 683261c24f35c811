"""Entry point of ggw-standin, the stand-in platform of the demo and the tests."""

import asyncio
import signal

from absl import flags
from result import Err

from greengagewood.internal.daemon import exit_with_usage_error, parse_flags
from greengagewood.internal.standin.platform import StandinPlatform
from greengagewood.internal.standin.settings import StandinSettings
from greengagewood.internal.yamlfile import load_yaml

PROGRAM = "ggw-standin"


async def serve(cfg: StandinSettings) -> None:
    """Run the stand-in until SIGTERM."""
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopping.set)
    platform = StandinPlatform(cfg)
    await platform.start()
    await stopping.wait()
    await platform.stop()


def main() -> None:
    """Run the stand-in platform."""

    def define(values: flags.FlagValues) -> None:
        flags.DEFINE_string("settings", None, "YAML settings file", flag_values=values)

    values = parse_flags(PROGRAM, define)
    if values.settings is None:
        exit_with_usage_error(f"{PROGRAM}: --settings is missing; name the YAML settings file")
    loaded = load_yaml(values.settings, StandinSettings)
    if isinstance(loaded, Err):
        exit_with_usage_error(f"{PROGRAM}: {loaded.err_value}")
    asyncio.run(serve(loaded.ok_value))
