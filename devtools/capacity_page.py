"""Write docs/CAPACITY.md from the slopes in docs/capacity.json."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

from devtools.benches.capacity import load

__all__ = ["main", "page"]

PAGE = Path("docs/CAPACITY.md")
NOTES = Path("devtools/capacity_notes.md")
DOMAINS = 13
WORKERS = 2500
STARTS_PER_S = 320
RUNNING = 46_000
CORE_BOUND = 2.1
KB_BOUND = 14.0
MEMORY_BOUND = 256.0
APPENDS_BOUND = 300
CELL_APPENDS = 140
KEEPER_APPENDS = 140
JOBS_A_DAY = 46_000
CONFIGS_A_DAY = 4600
DAY_S = 86_400
MOST_INSTANCES = 200

Slopes = dict[tuple[str, str], tuple[float, float]]


def _slopes(found: dict[str, Any]) -> Slopes:
    return {(s["per"], s["of"]): (s["base"], max(0.0, s["slope"])) for s in found["slopes"]}


def _node(slopes: Slopes, instances: int) -> dict[str, float]:
    """Return what one instance spends when a failure domain has so many of them."""
    workers = WORKERS / DOMAINS / instances
    starts = STARTS_PER_S / DOMAINS / instances
    figures = {}
    for of in ("keeper core %", "gateway core %", "scheduler core %", "KB/s a node"):
        base, per_instance = slopes["instances of a failure domain", of]
        figures[of] = base + per_instance * instances
        for per, amount in (
            ("busy workers of a cell", workers),
            ("task starts a second", starts),
        ):
            figures[of] += slopes[per, of][1] * amount
    figures["core %"] = sum(
        figures[f"{role} core %"] for role in ("keeper", "gateway", "scheduler")
    )
    return figures


def _memory(slopes: Slopes, instances: int) -> float:
    total = 0.0
    for role in ("keeper", "gateway", "scheduler"):
        base, per_instance = slopes["instances of a failure domain", f"{role} MB"]
        total += base + per_instance * instances
        total += slopes["busy workers of a cell", f"{role} MB"][1] * WORKERS / DOMAINS / instances
    return total


def _fits(slopes: Slopes, instances: int) -> bool:
    node = _node(slopes, instances)
    return node["core %"] <= CORE_BOUND and node["KB/s a node"] <= KB_BOUND


def _table(head: list[str], rows: list[list[Any]]) -> list[str]:
    lines = ["| " + " | ".join(head) + " |", "| " + " | ".join("---" for _ in head) + " |"]
    for row in rows:
        lines.append("| " + " | ".join(_text(cell) for cell in row) + " |")
    return [*lines, ""]


def _text(value: Any) -> str:
    return f"{value:.3g}" if isinstance(value, float) else str(value)


def _bound(name: str, bound: float, value: float) -> list[Any]:
    return [name, bound, value, "kept" if value <= bound else "**missed**"]


def page() -> str:
    """Return the page."""
    found = load()
    slopes = _slopes(found)
    enough = next((n for n in range(1, MOST_INSTANCES) if _fits(slopes, n)), 0)
    tried = [8, 16, 32, 64]
    best = enough or min(tried, key=lambda n: _node(slopes, n)["KB/s a node"])
    node, memory = _node(slopes, best), _memory(slopes, best)
    appends = CELL_APPENDS + KEEPER_APPENDS + (JOBS_A_DAY + CONFIGS_A_DAY) / DAY_S
    lines = [
        "# Capacity",
        "",
        "Made by `python -m devtools.capacity_page` from [capacity.json](capacity.json), which",
        "`./dev bench capacity` writes; a test keeps them in step. Real programs on one machine,",
        "bytes as the loopback interface carried them, processor time of the processes themselves.",
        "",
        "## The size",
        "",
        f"{WORKERS} workers with 5,700 accelerators in {DOMAINS} failure domains of 4 regions;",
        f"{JOBS_A_DAY:,} jobs a day, {STARTS_PER_S} task starts a second; 10,000 latency-critical",
        f"and {RUNNING:,} batch tasks; 51 teams; {CONFIGS_A_DAY:,} configuration changes a day in",
        "force within 9 s; 32 instances fail and 330 are replaced a day.",
        "",
        "## What was measured",
        "",
        *_table(list(found["columns"]), found["rows"]),
        "Slopes (least squares; a negative one counts as none):",
        "",
        *_table(
            ["of", "for one more", "base", "slope"],
            [[s["of"], s["per"], s["base"], s["slope"]] for s in found["slopes"]],
        ),
        "## At the design size",
        "",
        _sentence(enough),
        "",
        *_table(
            ["instances a failure domain", "core %", "KB/s", "MB"],
            [
                [n, _node(slopes, n)["core %"], _node(slopes, n)["KB/s a node"], _memory(slopes, n)]
                for n in sorted({*tried, best})
            ],
        ),
        *_table(
            ["bound of a node", "target", f"with {best} instances a failure domain", "verdict"],
            [
                _bound("processor, % of a core", CORE_BOUND, node["core %"]),
                _bound("network, KB/s", KB_BOUND, node["KB/s a node"]),
                _bound("memory, MB", MEMORY_BOUND, memory),
                _bound("log appends of all, a second", APPENDS_BOUND, appends),
            ],
        ),
        NOTES.read_text(encoding="utf-8"),
    ]
    return "\n".join(lines).rstrip() + "\n"


def _sentence(enough: int) -> str:
    if enough:
        return (
            f"From the slopes, {enough} entry instances a failure domain keep the bounds of a node"
            f" ({enough * DOMAINS} in all)."
        )
    return "From the slopes, no number of entry instances keeps every bound of a node."


def main() -> int:
    """Write the page."""
    PAGE.write_text(page(), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
