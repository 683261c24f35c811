"""Structured logs: one JSON object a line on standard error."""

from __future__ import annotations

import sys
from typing import Any

import logbook
import msgspec

__all__ = ["Log", "set_up_logs"]


class _JsonHandler(logbook.StreamHandler):
    def __init__(self, program: str, instance: str, level: str) -> None:
        super().__init__(sys.stderr, level=level)
        self._common = {"program": program, "instance": instance}

    def format(self, record: Any) -> str:
        line = {
            "time": record.time.isoformat() + "Z",
            "level": record.level_name,
            **self._common,
            "event": record.message,
            **record.extra,
        }
        if record.exc_info:
            line["exception"] = repr(record.exc_info[1])
        return msgspec.json.encode(line, enc_hook=str).decode()


class Log:
    """Write events with named fields."""

    def __init__(self, channel: str) -> None:
        self._logger = logbook.Logger(channel)

    def info(self, event: str, **fields: object) -> None:
        """Log what an operator may want to know."""
        self._logger.info(event, extra=fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log what an operator may have to act on."""
        self._logger.warning(event, extra=fields)

    def debug(self, event: str, **fields: object) -> None:
        """Log what helps to find a fault."""
        self._logger.debug(event, extra=fields)


def set_up_logs(program: str, instance: str, level: str) -> None:
    """Send every log of the process to standard error as JSON lines."""
    _JsonHandler(program, instance, level).push_application()
