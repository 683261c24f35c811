"""Compare placement policies in virtual time; every run gives the same figures."""

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

MILD_INTERFERENCE: InterferenceTable = {
    "light": 0.05,
    "medium": 0.12,
    "heavy": 0.25,
    "urgent": 0.1,
    "new": 0.2,
}
HARSH_INTERFERENCE: InterferenceTable = {
    "light": 0.2,
    "medium": 1.0,
    "heavy": 4.0,
    "urgent": 0.3,
    "new": 5.0,
}
SHIFTED_INTERFERENCE: InterferenceTable = {"light": 2.0, "medium": 0.2, "heavy": 0.3, "urgent": 0.3}
HALFWAY_S = 150.0
WAVE_PERIOD_S = 60.0
NOISY_PART_S = 15.0


def constant(table: InterferenceTable) -> Any:
    """Return a function of time that always returns the given table."""
    return lambda t: table


def shifting(t: float) -> InterferenceTable:
    """Return a table that changes halfway through the run."""
    return HARSH_INTERFERENCE if t < HALFWAY_S else SHIFTED_INTERFERENCE


def waves(t: float) -> InterferenceTable:
    """Return a table whose medium class interferes strongly for a quarter of each minute."""
    noisy = t % WAVE_PERIOD_S < NOISY_PART_S
    return {**HARSH_INTERFERENCE, "medium": 3.0 if noisy else 0.5}


SCENARIOS = (
    Scenario("mild", constant(MILD_INTERFERENCE)),
    Scenario("harsh", constant(HARSH_INTERFERENCE)),
    Scenario("table shifts", shifting),
    Scenario("unseen class", constant(HARSH_INTERFERENCE)),
    Scenario(
        "load shift",
        constant(HARSH_INTERFERENCE),
        load=lambda t: BASE_LOAD if t < HALFWAY_S else 0.8,
    ),
    Scenario("noisy waves", waves),
    Scenario("failing workers", constant(HARSH_INTERFERENCE), failing_workers=3),
    Scenario(
        "wrong sizes",
        constant(HARSH_INTERFERENCE),
        cpu_usage_factor=lambda t: 2.0,
        run_time_factor=3.0,
    ),
    Scenario("cancel wave", constant(HARSH_INTERFERENCE), cancel_at_s=HALFWAY_S),
    Scenario("lost domain", constant(HARSH_INTERFERENCE), domain_lost_at_s=HALFWAY_S),
    Scenario("slow log", constant(HARSH_INTERFERENCE), log_delay_ms=4000),
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


def _result_row(
    user: str, scenario: Scenario, policy: str, measured: Measurements, objective_ms: float
) -> Any:
    misses = sum(1 for value in measured.latencies_ms if value > objective_ms) / len(
        measured.latencies_ms
    )
    return (
        user,
        scenario.name,
        policy,
        percentile(measured.latencies_ms, 0.5),
        percentile(measured.latencies_ms, 0.99),
        percentile(measured.latencies_ms, 0.999),
        misses * 100,
        measured.cpu_seconds,
        measured.grid_job_s,
        measured.starts,
        measured.evictions,
        measured.wasted_attempts,
        percentile(measured.urgent_waits_s, 0.99),
    )


def _bounds(
    user: str, scenario: Scenario, runs: dict[str, Measurements], objective_ms: float
) -> list[Bound]:
    product, unshared = runs["ours"], runs["never share"]
    run_name = f"{user}, {scenario.name}"
    p99_ms = percentile(product.latencies_ms, 0.99)
    unshared_p99_ms = percentile(unshared.latencies_ms, 0.99)
    throughput_ratio = product.cpu_seconds / max(1.0, runs["oracle"].cpu_seconds)
    eviction_ratio = product.evictions / max(1, product.starts)
    max_eviction_ratio = (
        MAX_EVICTION_RATIO_IN_WAVES if scenario.name == "noisy waves" else MAX_EVICTION_RATIO
    )
    urgent_p99_s = percentile(product.urgent_waits_s, 0.99)
    p99_ratio = p99_ms / unshared_p99_ms
    bounds = [
        Bound(
            f"{run_name}: p99 of never share",
            f"{MAX_P99_RATIO}",
            p99_ratio,
            p99_ratio <= MAX_P99_RATIO,
        ),
        Bound(
            f"{run_name}: throughput of the oracle",
            f"{MIN_THROUGHPUT_RATIO}",
            throughput_ratio,
            throughput_ratio >= MIN_THROUGHPUT_RATIO,
        ),
        Bound(
            f"{run_name}: urgent start p99",
            f"{MAX_URGENT_P99_S} s",
            urgent_p99_s,
            urgent_p99_s < MAX_URGENT_P99_S,
        ),
    ]
    if unshared_p99_ms <= objective_ms:
        bounds.append(
            Bound(
                f"{run_name}: p99 within the objective",
                f"{objective_ms} ms",
                p99_ms,
                p99_ms <= objective_ms,
            )
        )
    if scenario.name in ("mild", "harsh", "noisy waves"):
        kept = eviction_ratio <= max_eviction_ratio
        bounds.append(
            Bound(f"{run_name}: evictions of starts", f"{max_eviction_ratio}", eviction_ratio, kept)
        )
    naive_p99_ms = percentile(runs["naive"].latencies_ms, 0.99)
    if naive_p99_ms <= min(objective_ms, MAX_P99_RATIO * unshared_p99_ms):
        ratio = product.cpu_seconds / runs["naive"].cpu_seconds
        bounds.append(Bound(f"{run_name}: throughput of naive", "1", ratio, ratio >= 1.0))
    overcommitted = sum(run.overcommitted_workers for run in runs.values())
    bounds.append(
        Bound(f"{run_name}: workers overcommitted", "0", overcommitted, overcommitted == 0)
    )
    return bounds


def run(only: str = "") -> Result:
    """Run every scenario, or only the named one, under every policy."""
    rows: list[Any] = []
    bounds: list[Bound] = []
    for user in USERS:
        for scenario in SCENARIOS:
            if only and scenario.name != only:
                continue
            labs = {name: Lab(user, scenario, policy) for name, policy in POLICIES.items()}
            runs = {name: lab.run() for name, lab in labs.items()}
            (service,) = labs["ours"].document.services.values()
            objective_ms = float(service.objective.latency_ms)
            rows += [
                _result_row(user, scenario, name, measured, objective_ms)
                for name, measured in runs.items()
            ]
            bounds += _bounds(user, scenario, runs, objective_ms)
    columns = (
        "user", "scenario", "policy", "p50 ms", "p99 ms", "p99.9 ms", "misses %", "cpu s done",
        "grid s", "starts", "evicted", "wasted", "urgent p99 s",
    )  # fmt: skip
    return Result("decisions", columns, tuple(rows), tuple(bounds))
