"""Exit codes and error messages of ggwctl."""

from __future__ import annotations

import sys

__all__ = [
    "EXIT_CONFLICT",
    "EXIT_FAILED",
    "EXIT_OK",
    "EXIT_UNREACHABLE",
    "EXIT_USAGE",
    "print_error",
]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4


def print_error(message: str) -> None:
    """Print a message to standard error."""
    print(f"ggwctl: {message}", file=sys.stderr)
