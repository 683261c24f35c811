"""Entry point of ggw-keeper."""

from greengagewood.internal.daemon import run_daemon
from greengagewood.internal.keeper import Keeper
from greengagewood.internal.settings import KeeperSettings


def main() -> None:
    """Run the keeper."""
    run_daemon("ggw-keeper", KeeperSettings, Keeper)
