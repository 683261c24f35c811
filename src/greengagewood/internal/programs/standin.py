"""Entry point of ggw-standin, the simulated platform for the demo and the tests."""

import asyncio
import signal

from absl import flags
from result import Err

from greengagewood.internal.daemon import parse_flags
from greengagewood.internal.process import exit_with_usage_error
from greengagewood.internal.standin.platform import StandinPlatform
from greengagewood.internal.standin.settings import StandinSettings
from greengagewood.internal.yamlfile import load_yaml

PROGRAM = "ggw-standin"


async def serve(cfg: StandinSettings) -> None:
    """Run the simulated platform until SIGTERM or SIGINT."""
    stopping = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stopping.set)
    platform = StandinPlatform(cfg)
    await platform.start()
    await stopping.wait()
    await platform.stop()


def main() -> None:
    """Parse the command line, load the settings and run the simulated platform."""

    def define_flags(values: flags.FlagValues) -> None:
        flags.DEFINE_string("settings", None, "YAML settings file", flag_values=values)

    values = parse_flags(PROGRAM, define_flags)
    if values.settings is None:
        exit_with_usage_error(
            f"{PROGRAM}: --settings is missing; pass the path of the YAML settings file"
        )
    loaded = load_yaml(values.settings, StandinSettings)
    if isinstance(loaded, Err):
        exit_with_usage_error(f"{PROGRAM}: {loaded.err_value}")
    asyncio.run(serve(loaded.ok_value))
