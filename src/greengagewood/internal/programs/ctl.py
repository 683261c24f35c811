"""Entry point of ggwctl."""

from greengagewood.internal.ctl.main import main

__all__ = ["main"]
