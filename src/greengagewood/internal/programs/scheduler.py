"""Entry point of ggw-scheduler."""

from greengagewood.internal.daemon import run_daemon
from greengagewood.internal.scheduler import Scheduler
from greengagewood.internal.settings import SchedulerSettings


def main() -> None:
    """Run the scheduler."""
    run_daemon("ggw-scheduler", SchedulerSettings, Scheduler)
