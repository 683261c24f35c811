"""Entry point of ggw-gateway."""

from greengagewood.internal.daemon import run_daemon
from greengagewood.internal.gateway import Gateway
from greengagewood.internal.settings import GatewaySettings


def main() -> None:
    """Run the gateway."""
    run_daemon("ggw-gateway", GatewaySettings, Gateway)
