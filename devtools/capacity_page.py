"""Write docs/CAPACITY.md from the measurements and slopes in docs/capacity.json."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

from devtools.benches.capacity import load

__all__ = ["main", "page"]

PAGE = Path("docs/CAPACITY.md")
NOTES = Path("devtools/capacity_notes.md")
FAILURE_DOMAINS = 13
WORKERS = 2500
TASK_STARTS_PER_S = 320
BATCH_TASKS = 46_000
CORE_BOUND_PERCENT = 2.1
NETWORK_BOUND_KB_PER_S = 14.0
MEMORY_BOUND_MB = 256.0
APPENDS_BOUND_PER_S = 300
CELL_APPENDS_PER_S = 140
KEEPER_APPENDS_PER_S = 140
JOBS_PER_DAY = 46_000
CONFIG_CHANGES_PER_DAY = 4600
SECONDS_PER_DAY = 86_400
INSTANCES_SEARCH_END = 200

# By what grows and what is measured: the base and the slope of the fitted line.
Slopes = dict[tuple[str, str], tuple[float, float]]


def _slopes(results: dict[str, Any]) -> Slopes:
    return {(s["per"], s["of"]): (s["base"], max(0.0, s["slope"])) for s in results["slopes"]}


def _node_usage(slopes: Slopes, instances: int) -> dict[str, float]:
    """Return what one instance uses when a failure domain has the given number of them."""
    workers = WORKERS / FAILURE_DOMAINS / instances
    starts = TASK_STARTS_PER_S / FAILURE_DOMAINS / instances
    usage = {}
    for measure in ("keeper core %", "gateway core %", "scheduler core %", "KB/s a node"):
        base, per_instance = slopes["instances of a failure domain", measure]
        usage[measure] = base + per_instance * instances
        for per, amount in (
            ("busy workers of a cell", workers),
            ("task starts a second", starts),
        ):
            usage[measure] += slopes[per, measure][1] * amount
    usage["core %"] = sum(usage[f"{role} core %"] for role in ("keeper", "gateway", "scheduler"))
    return usage


def _node_memory_mb(slopes: Slopes, instances: int) -> float:
    total = 0.0
    for role in ("keeper", "gateway", "scheduler"):
        base, per_instance = slopes["instances of a failure domain", f"{role} MB"]
        total += base + per_instance * instances
        total += (
            slopes["busy workers of a cell", f"{role} MB"][1]
            * WORKERS
            / FAILURE_DOMAINS
            / instances
        )
    return total


def _keeps_bounds(slopes: Slopes, instances: int) -> bool:
    node = _node_usage(slopes, instances)
    return node["core %"] <= CORE_BOUND_PERCENT and node["KB/s a node"] <= NETWORK_BOUND_KB_PER_S


def _markdown_table(header: list[str], rows: list[list[Any]]) -> list[str]:
    lines = ["| " + " | ".join(header) + " |", "| " + " | ".join("---" for _ in header) + " |"]
    for row in rows:
        lines.append("| " + " | ".join(_format_value(cell) for cell in row) + " |")
    return [*lines, ""]


def _format_value(value: Any) -> str:
    return f"{value:.3g}" if isinstance(value, float) else str(value)


def _bound_row(name: str, bound: float, value: float) -> list[Any]:
    return [name, bound, value, "kept" if value <= bound else "**missed**"]


def page() -> str:
    """Return the text of the page."""
    results = load()
    slopes = _slopes(results)
    sufficient = next((n for n in range(1, INSTANCES_SEARCH_END) if _keeps_bounds(slopes, n)), 0)
    shown = [8, 16, 32, 64]
    chosen = sufficient or min(shown, key=lambda n: _node_usage(slopes, n)["KB/s a node"])
    node, memory_mb = _node_usage(slopes, chosen), _node_memory_mb(slopes, chosen)
    appends_per_s = (
        CELL_APPENDS_PER_S
        + KEEPER_APPENDS_PER_S
        + (JOBS_PER_DAY + CONFIG_CHANGES_PER_DAY) / SECONDS_PER_DAY
    )
    lines = [
        "# Capacity",
        "",
        "Made by `python -m devtools.capacity_page` from [capacity.json](capacity.json), which",
        "`./dev bench capacity` writes; a test keeps them in step. Real programs on one machine,",
        "bytes as the loopback interface carried them, processor time of the processes themselves.",
        "",
        "## The size",
        "",
        f"{WORKERS} workers with 5,700 accelerators in {FAILURE_DOMAINS} failure domains of 4 "
        "regions;",
        f"{JOBS_PER_DAY:,} jobs a day, {TASK_STARTS_PER_S} task starts a second; 10,000 "
        "latency-critical",
        f"and {BATCH_TASKS:,} batch tasks; 51 teams; {CONFIG_CHANGES_PER_DAY:,} configuration "
        "changes a day in",
        "force within 9 s; 32 instances fail and 330 are replaced a day.",
        "",
        "## What was measured",
        "",
        *_markdown_table(list(results["columns"]), results["rows"]),
        "Slopes (least squares; a negative one counts as none):",
        "",
        *_markdown_table(
            ["of", "for one more", "base", "slope"],
            [[s["of"], s["per"], s["base"], s["slope"]] for s in results["slopes"]],
        ),
        "## At the design size",
        "",
        _conclusion(sufficient),
        "",
        *_markdown_table(
            ["instances a failure domain", "core %", "KB/s", "MB"],
            [
                [
                    n,
                    _node_usage(slopes, n)["core %"],
                    _node_usage(slopes, n)["KB/s a node"],
                    _node_memory_mb(slopes, n),
                ]
                for n in sorted({*shown, chosen})
            ],
        ),
        *_markdown_table(
            [
                "bound of a node",
                "target",
                f"with {chosen} instances a failure domain",
                "verdict",
            ],
            [
                _bound_row("processor, % of a core", CORE_BOUND_PERCENT, node["core %"]),
                _bound_row("network, KB/s", NETWORK_BOUND_KB_PER_S, node["KB/s a node"]),
                _bound_row("memory, MB", MEMORY_BOUND_MB, memory_mb),
                _bound_row("log appends of all, a second", APPENDS_BOUND_PER_S, appends_per_s),
            ],
        ),
        NOTES.read_text(encoding="utf-8"),
    ]
    return "\n".join(lines).rstrip() + "\n"


def _conclusion(instances: int) -> str:
    if instances:
        return (
            f"From the slopes, {instances} entry instances a failure domain keep the bounds of a "
            f"node ({instances * FAILURE_DOMAINS} in all)."
        )
    return "From the slopes, no number of entry instances keeps every bound of a node."


def main() -> int:
    """Write the page."""
    PAGE.write_text(page(), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
