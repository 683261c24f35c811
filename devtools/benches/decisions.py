"""Compare policies in virtual time: the same figures on every run."""

from __future__ import annotations

from typing import Any

from devtools.bench import Bound, Result
from devtools.lab import (
    BASE_LOAD,
    InterferenceTable,
    Lab,
    Measurements,
    Policy,
    Scenario,
    naive,
    never_share,
    oracle,
    ours,
    percentile,
)

__all__ = ["run"]

MILD: InterferenceTable = {"light": 0.05, "medium": 0.12, "heavy": 0.25, "urgent": 0.1, "new": 0.2}
HARSH: InterferenceTable = {"light": 0.2, "medium": 1.0, "heavy": 4.0, "urgent": 0.3, "new": 5.0}
SWAPPED: InterferenceTable = {"light": 2.0, "medium": 0.2, "heavy": 0.3, "urgent": 0.3}
HALFWAY_S = 150.0
WAVE_PERIOD_S = 60.0
NOISY_S = 15.0


def steady(table: InterferenceTable) -> Any:
    """Return a table that does not change."""
    return lambda t: table


def shifting(t: float) -> InterferenceTable:
    """Return a table that changes halfway."""
    return HARSH if t < HALFWAY_S else SWAPPED


def waves(t: float) -> InterferenceTable:
    """Return a table whose heavy class is noisy for a quarter of each minute."""
    noisy = t % WAVE_PERIOD_S < NOISY_S
    return {**HARSH, "medium": 3.0 if noisy else 0.5}


SCENARIOS = (
    Scenario("mild", steady(MILD)),
    Scenario("harsh", steady(HARSH)),
    Scenario("table shifts", shifting),
    Scenario("unseen class", steady(HARSH)),
    Scenario("load shift", steady(HARSH), load=lambda t: BASE_LOAD if t < HALFWAY_S else 0.8),
    Scenario("noisy waves", waves),
    Scenario("failing workers", steady(HARSH), failing_workers=3),
    Scenario("wrong sizes", steady(HARSH), cpu_usage_factor=lambda t: 2.0, run_time_factor=3.0),
    Scenario("cancel wave", steady(HARSH), cancel_at_s=HALFWAY_S),
    Scenario("lost domain", steady(HARSH), domain_lost_at_s=HALFWAY_S),
    Scenario("slow log", steady(HARSH), log_delay_ms=4000),
)
POLICIES: dict[str, Policy] = {
    "naive": naive,
    "never share": never_share,
    "oracle": oracle,
    "ours": ours,
}
USERS = ("padana", "nl-west")
MAX_P99_RATIO = 1.25
MIN_THROUGHPUT_RATIO = 0.85
MAX_EVICTION_RATIO = 0.01
MAX_EVICTION_RATIO_IN_WAVES = 0.05
MAX_URGENT_P99_S = 5.1


def _row(user: str, scenario: Scenario, policy: str, found: Measurements, limit: float) -> Any:
    misses = sum(1 for value in found.latencies_ms if value > limit) / len(found.latencies_ms)
    return (
        user,
        scenario.name,
        policy,
        percentile(found.latencies_ms, 0.5),
        percentile(found.latencies_ms, 0.99),
        percentile(found.latencies_ms, 0.999),
        misses * 100,
        found.cpu_seconds,
        found.grid_job_s,
        found.starts,
        found.evictions,
        found.wasted_attempts,
        percentile(found.urgent_waits_s, 0.99),
    )


def _bounds(
    user: str, scenario: Scenario, runs: dict[str, Measurements], limit: float
) -> list[Bound]:
    mine, alone = runs["ours"], runs["never share"]
    where = f"{user}, {scenario.name}"
    p99 = percentile(mine.latencies_ms, 0.99)
    alone_p99 = percentile(alone.latencies_ms, 0.99)
    throughput = mine.cpu_seconds / max(1.0, runs["oracle"].cpu_seconds)
    evicted = mine.evictions / max(1, mine.starts)
    allowed = MAX_EVICTION_RATIO_IN_WAVES if scenario.name == "noisy waves" else MAX_EVICTION_RATIO
    urgent = percentile(mine.urgent_waits_s, 0.99)
    tail = p99 / alone_p99
    bounds = [
        Bound(f"{where}: p99 of never share", f"{MAX_P99_RATIO}", tail, tail <= MAX_P99_RATIO),
        Bound(
            f"{where}: throughput of the oracle",
            f"{MIN_THROUGHPUT_RATIO}",
            throughput,
            throughput >= MIN_THROUGHPUT_RATIO,
        ),
        Bound(
            f"{where}: urgent start p99", f"{MAX_URGENT_P99_S} s", urgent, urgent < MAX_URGENT_P99_S
        ),
    ]
    if alone_p99 <= limit:
        bounds.append(Bound(f"{where}: p99 within the objective", f"{limit} ms", p99, p99 <= limit))
    if scenario.name in ("mild", "harsh", "noisy waves"):
        kept = evicted <= allowed
        bounds.append(Bound(f"{where}: evictions of starts", f"{allowed}", evicted, kept))
    naive_p99 = percentile(runs["naive"].latencies_ms, 0.99)
    if naive_p99 <= min(limit, MAX_P99_RATIO * alone_p99):
        ratio = mine.cpu_seconds / runs["naive"].cpu_seconds
        bounds.append(Bound(f"{where}: throughput of naive", "1", ratio, ratio >= 1.0))
    over = sum(run.overcommitted_workers for run in runs.values())
    bounds.append(Bound(f"{where}: workers overcommitted", "0", over, over == 0))
    return bounds


def run(only: str = "") -> Result:
    """Run every scenario under every policy."""
    rows: list[Any] = []
    bounds: list[Bound] = []
    for user in USERS:
        for scenario in SCENARIOS:
            if only and scenario.name != only:
                continue
            labs = {name: Lab(user, scenario, policy) for name, policy in POLICIES.items()}
            runs = {name: lab.run() for name, lab in labs.items()}
            (service,) = labs["ours"].document.services.values()
            limit = float(service.objective.latency_ms)
            rows += [_row(user, scenario, name, found, limit) for name, found in runs.items()]
            bounds += _bounds(user, scenario, runs, limit)
    columns = (
        "user", "scenario", "policy", "p50 ms", "p99 ms", "p99.9 ms", "misses %", "cpu s done",
        "grid s", "starts", "evicted", "wasted", "urgent p99 s",
    )  # fmt: skip
    return Result("decisions", columns, tuple(rows), tuple(bounds))
