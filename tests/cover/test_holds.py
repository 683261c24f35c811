"""The measurement of what holds an owner's event loop."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from greengagewood.internal import holds
from greengagewood.internal.clock import reset_clocks, set_clocks
from greengagewood.internal.holds import REPORT_INTERVAL_MS, WARNING_MS, LoopHolds
from greengagewood.internal.metrics import Metrics


class _Clock:
    now_ms = 0


@pytest.fixture
def clock() -> Iterator[_Clock]:
    clock = _Clock()
    set_clocks(lambda: clock.now_ms * 1_000_000, lambda: clock.now_ms * 1_000_000)
    yield clock
    reset_clocks()


@pytest.fixture
def warnings(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, object]]:
    logged: list[dict[str, object]] = []
    monkeypatch.setattr(holds._log, "warning", lambda event, **fields: logged.append(fields))
    return logged


def _hold(loop_holds: LoopHolds, clock: _Clock, step: str, held_ms: int) -> None:
    with loop_holds.measure(step):
        clock.now_ms += held_ms


class TestLoopHolds:
    """Guard against an owner that stalls without a sign of what held its loop."""

    def test_the_longest_step_of_a_second_is_reported_once(
        self, clock: _Clock, warnings: list[dict[str, object]]
    ) -> None:
        metrics = Metrics()
        loop_holds = LoopHolds(metrics)
        for held_ms in (WARNING_MS, 3 * WARNING_MS, WARNING_MS):
            _hold(loop_holds, clock, f"step{held_ms}", held_ms)
        assert warnings == []
        clock.now_ms += REPORT_INTERVAL_MS
        for _ in range(5):
            _hold(loop_holds, clock, "next", 0)
        assert warnings == [{"step": f"step{3 * WARNING_MS}", "held_ms": 3 * WARNING_MS}]
        text = metrics.render()[0].decode()
        assert f'loop_held_seconds_count{{step="step{3 * WARNING_MS}"}} 1' in text

    def test_a_step_that_raises_is_measured(
        self, clock: _Clock, warnings: list[dict[str, object]]
    ) -> None:
        loop_holds = LoopHolds(Metrics())
        with pytest.raises(ValueError, match="bad"), loop_holds.measure("plan"):
            clock.now_ms += REPORT_INTERVAL_MS
            raise ValueError("bad")
        assert warnings == [{"step": "plan", "held_ms": REPORT_INTERVAL_MS}]

    def test_short_steps_give_no_warning(
        self, clock: _Clock, warnings: list[dict[str, object]]
    ) -> None:
        loop_holds = LoopHolds(Metrics())
        for _ in range(3 * REPORT_INTERVAL_MS // WARNING_MS):
            _hold(loop_holds, clock, "plan", WARNING_MS - 1)
        assert warnings == []
