"""Run benchmarks, print tables, write JSON results and check bounds.

A bound comes from the stated target, never from a measured figure.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from importlib import import_module
from pathlib import Path
from typing import Any

import msgspec

__all__ = ["Bound", "Result", "main"]

NAMES = (
    "footprint",
    "takeover",
    "replay",
    "placement",
    "decisions",
    "gateway",
    "capacity",
    "cells",
)
FOLDER = Path("bench-results")


class Bound(msgspec.Struct, frozen=True):
    """State a target and whether it was kept."""

    name: str
    target: str
    measured: float
    kept: bool


class Result(msgspec.Struct, frozen=True):
    """Hold the rows and bounds of one benchmark."""

    name: str
    columns: tuple[str, ...]
    rows: tuple[tuple[Any, ...], ...]
    bounds: tuple[Bound, ...]


def show(result: Result) -> None:
    """Print a result as tables."""
    texts = [[_text(cell) for cell in row] for row in result.rows]
    widths = [
        max(len(r[i]) for r in [list(result.columns), *texts]) for i in range(len(result.columns))
    ]
    print(f"\n{result.name}")
    for row in [list(result.columns), *texts]:
        print("  " + "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)))
    for bound in result.bounds:
        verdict = "kept" if bound.kept else "MISSED"
        print(f"  {verdict:6} {bound.name}: {_text(bound.measured)} (target {bound.target})")


def _text(value: Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def main() -> int:
    """Run the named benchmarks, or all."""
    names = [arg for arg in sys.argv[1:] if not arg.startswith("-")] or list(NAMES)
    FOLDER.mkdir(exist_ok=True)
    missed = 0
    for name in names:
        if name not in NAMES:
            print(f"bench: {name!r} is none of {', '.join(NAMES)}", file=sys.stderr)
            return 2
        run: Callable[[], Result] = import_module(f"devtools.benches.{name}").run
        result = run()
        show(result)
        (FOLDER / f"{name}.json").write_bytes(
            msgspec.json.format(msgspec.json.encode(result), indent=1)
        )
        missed += sum(not bound.kept for bound in result.bounds)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
