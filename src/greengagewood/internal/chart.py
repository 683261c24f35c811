"""State charts that the code interprets.

A chart is a YAML file: where it may begin, its states, and for each state the events that it takes
and where each leads. It is validated and compiled to one dictionary when the module that uses it
is imported, so a step is one dictionary look-up. General state-machine libraries were weighed in
docs/design/state-charts.md; a step there costs 200 times as much, and a request takes several.

An event that the current state does not take raises `IllegalTransition`: it is an error of the
program or of a peer, never ignored.
"""

from __future__ import annotations

from importlib import resources
from typing import Any

import yaml

__all__ = ["Chart", "ChartError", "IllegalTransition", "load_chart"]


class ChartError(ValueError):
    """Report a chart file that is not a valid chart."""


class IllegalTransition(Exception):
    """Report an event that the current state does not take."""

    def __init__(self, chart: str, state: str, event: str) -> None:
        super().__init__(f"chart {chart!r}: state {state!r} does not take event {event!r}")
        self.chart = chart
        self.state = state
        self.event = event


class Chart:
    """Hold a compiled chart."""

    def __init__(
        self, name: str, initial: tuple[str, ...], states: dict[str, dict[str, str]]
    ) -> None:
        self.name = name
        self.initial = initial
        self.states = frozenset(states)
        self.final = frozenset(state for state, events in states.items() if not events)
        self.transitions = {
            (state, event): target
            for state, events in states.items()
            for event, target in events.items()
        }

    def next(self, state: str, event: str) -> str:
        """Return the state that follows; raise IllegalTransition if there is none."""
        target = self.transitions.get((state, event))
        if target is None:
            raise IllegalTransition(self.name, state, event)
        return target

    def takes(self, state: str, event: str) -> bool:
        """Tell whether the state takes the event."""
        return (state, event) in self.transitions


def parse_chart(text: str) -> Chart:
    """Validate the text of a chart file and compile it; raise ChartError."""
    raw: Any = yaml.safe_load(text)
    if not isinstance(raw, dict) or set(raw) != {"name", "initial", "states"}:
        raise ChartError("a chart has exactly the keys name, initial and states")
    states = {name: dict(events or {}) for name, events in raw["states"].items()}
    initial = tuple(raw["initial"])
    for state in initial:
        if state not in states:
            raise ChartError(f"initial state {state!r} is not among the states")
    for state, events in states.items():
        for event, target in events.items():
            if target not in states:
                raise ChartError(f"{state}.{event} leads to {target!r}, which is not a state")
    _check_reachable(initial, states)
    return Chart(raw["name"], initial, states)


def _check_reachable(initial: tuple[str, ...], states: dict[str, dict[str, str]]) -> None:
    seen = set(initial)
    front = list(initial)
    while front:
        for target in states[front.pop()].values():
            if target not in seen:
                seen.add(target)
                front.append(target)
    lost = sorted(set(states) - seen)
    if lost:
        raise ChartError(f"states {lost} cannot be reached from {list(initial)}")


def load_chart(name: str) -> Chart:
    """Load the chart file of this name that ships with the package."""
    path = resources.files("greengagewood.internal") / "charts" / f"{name}.yaml"
    return parse_chart(path.read_text(encoding="utf-8"))
