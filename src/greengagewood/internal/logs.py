"""Structured logs: one JSON object per line on standard output, without ever blocking.

A slow reader of standard output never delays a decision: lines that do not fit into the pipe are
buffered up to a limit, and further ones are dropped and counted.
"""

from __future__ import annotations

import os
from typing import Any

import logbook
import msgspec

__all__ = ["LineWriter", "Log", "set_up_logs"]

STDOUT_FD = 1
MAX_BUFFERED_BYTES = 256 * 1024


class LineWriter:
    """Write lines to a non-blocking file descriptor."""

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._buffer = bytearray()
        self._dropped = 0

    def write(self, line: bytes) -> None:
        """Write a line, or buffer it, or drop it if the buffer is full."""
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self._dropped += 1
        else:
            if self._dropped and not self._buffer:
                self._buffer += b'{"event":"log_lines_dropped","count":%d}\n' % self._dropped
                self._dropped = 0
            self._buffer += line
        try:
            written = os.write(self._fd, self._buffer)
        except BlockingIOError:
            return
        except OSError:  # the reader is gone, and there is nowhere else to report it
            self._buffer.clear()
            return
        del self._buffer[:written]


class _JsonHandler(logbook.Handler):
    def __init__(self, program: str, instance: str, level: str) -> None:
        super().__init__(level=level)
        self._common_fields = {"program": program, "instance": instance}
        os.set_blocking(STDOUT_FD, False)
        self._writer = LineWriter(STDOUT_FD)

    def emit(self, record: Any) -> None:
        line = {
            "time": record.time.isoformat() + "Z",
            "level": record.level_name,
            **self._common_fields,
            "event": record.message,
            **record.extra,
        }
        if record.exc_info:
            line["exception"] = repr(record.exc_info[1])
        self._writer.write(msgspec.json.encode(line, enc_hook=str) + b"\n")


class Log:
    """Log events with named fields."""

    def __init__(self, channel: str) -> None:
        self._logger = logbook.Logger(channel)

    def info(self, event: str, **fields: object) -> None:
        """Log an event of normal operation."""
        self._logger.info(event, extra=fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log an event on which an operator may have to act."""
        self._logger.warning(event, extra=fields)

    def debug(self, event: str, **fields: object) -> None:
        """Log an event that helps to find a fault."""
        self._logger.debug(event, extra=fields)


def set_up_logs(program: str, instance: str, level: str) -> None:
    """Send all logs of the process to standard output as JSON lines."""
    _JsonHandler(program, instance, level).push_application()
