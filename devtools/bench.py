"""Run benchmarks, print tables, write JSON results and check bounds.

Every bound is a stated target and is never derived from a measurement.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from importlib import import_module
from pathlib import Path
from typing import Any

import msgspec

__all__ = ["Bound", "Result", "main"]

BENCHMARKS = (
    "footprint",
    "takeover",
    "replay",
    "placement",
    "plans",
    "decisions",
    "gateway",
    "capacity",
    "cells",
)
RESULTS_FOLDER = Path("bench-results")


class Bound(msgspec.Struct, frozen=True):
    """State a target, what was measured, and whether the target was kept."""

    name: str
    target: str
    measured: float
    kept: bool


class Result(msgspec.Struct, frozen=True):
    """Hold the table and the bounds of one benchmark."""

    name: str
    columns: tuple[str, ...]
    rows: tuple[tuple[Any, ...], ...]
    bounds: tuple[Bound, ...]


def print_result(result: Result) -> None:
    """Print the table and the bounds of a result."""
    texts = [[_format_value(cell) for cell in row] for row in result.rows]
    widths = [
        max(len(r[i]) for r in [list(result.columns), *texts]) for i in range(len(result.columns))
    ]
    print(f"\n{result.name}")
    for row in [list(result.columns), *texts]:
        print("  " + "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)))
    for bound in result.bounds:
        verdict = "kept" if bound.kept else "MISSED"
        print(
            f"  {verdict:6} {bound.name}: {_format_value(bound.measured)} (target {bound.target})"
        )


def _format_value(value: Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def main() -> int:
    """Run the benchmarks named as arguments, or all; return 1 if a bound was missed."""
    names = [arg for arg in sys.argv[1:] if not arg.startswith("-")] or list(BENCHMARKS)
    RESULTS_FOLDER.mkdir(exist_ok=True)
    missed_count = 0
    for name in names:
        if name not in BENCHMARKS:
            print(f"bench: {name!r} is none of {', '.join(BENCHMARKS)}", file=sys.stderr)
            return 2
        run_benchmark: Callable[[], Result] = import_module(f"devtools.benches.{name}").run
        result = run_benchmark()
        print_result(result)
        (RESULTS_FOLDER / f"{name}.json").write_bytes(
            msgspec.json.format(msgspec.json.encode(result), indent=1)
        )
        missed_count += sum(not bound.kept for bound in result.bounds)
    return 1 if missed_count else 0


if __name__ == "__main__":
    sys.exit(main())
