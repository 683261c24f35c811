"""Documentation pages match the code, and the charts and KNOWN-RED.txt are valid."""

import re
from pathlib import Path

import pytest
from devtools import capacity_page
from devtools.reference import FOLDER, PAGES, page
from devtools.run_tests import parse_known_red

from greengagewood.internal.chart import ChartError, IllegalTransition, load_chart, parse_chart


class TestReference:
    @pytest.mark.parametrize("name", sorted(PAGES))
    def test_the_page_matches_the_models(self, name):
        title, models = PAGES[name]
        assert (FOLDER / name).read_text(encoding="utf-8") == page(title, models)


class TestCapacity:
    def test_the_page_matches_the_results(self):
        assert capacity_page.PAGE.read_text(encoding="utf-8") == capacity_page.page()


class TestDesignPages:
    @pytest.mark.parametrize(("name", "least"), [("cancellation", 40), ("absence", 15)])
    def test_every_test_that_the_page_names_exists(self, name, least):
        """Guards against a road or a conclusion whose test was renamed or removed."""
        page_text = Path(f"docs/design/{name}.md").read_text(encoding="utf-8")
        names = set(re.findall(r"`(test_\w+|Test\w+)`", page_text))
        assert len(names) > least
        sources = "".join(p.read_text(encoding="utf-8") for p in Path("tests/cover").glob("*.py"))
        defined = set(re.findall(r"(?:def|class) (test_\w+|Test\w+)", sources))
        assert names - defined == set()


class TestCharts:
    @pytest.mark.parametrize("name", ["task", "cell"])
    def test_only_listed_transitions_are_accepted(self, name):
        chart = load_chart(name)
        events = {event for _, event in chart.transitions}
        for state in chart.states:
            for event in events:
                if (state, event) in chart.transitions:
                    assert chart.next(state, event) in chart.states
                else:
                    with pytest.raises(IllegalTransition):
                        chart.next(state, event)

    @pytest.mark.parametrize(
        "text",
        [
            "name: x",
            "{name: x, initial: [a], states: {b: {}}}",
            "{name: x, initial: [a], states: {a: {go: c}}}",
            "{name: x, initial: [a], states: {a: {}, b: {}}}",
        ],
    )
    def test_an_invalid_chart_is_rejected(self, text):
        with pytest.raises(ChartError):
            parse_chart(text)


class TestKnownRed:
    def test_an_entry_without_every_field_is_rejected(self):
        with pytest.raises(ValueError, match="fields"):
            parse_known_red("tests/x.py::y | ./dev test")

    def test_every_entry_names_an_existing_test_file(self):
        for entry in parse_known_red(Path("KNOWN-RED.txt").read_text(encoding="utf-8")):
            assert Path(entry[0].split("::")[0]).exists()


ROOT = Path(__file__).parents[2]
EVENTS = re.compile(r'(?:_log\.\w+|on_event)\(\s*"(\w+)"')
METRICS = {"total": re.compile(r'metrics\.count\(\s*"(\w+)"')}
METRICS["seconds"] = re.compile(r'metrics\.observe\(\s*"(\w+)"')
GAUGES = re.compile(r'metrics\.gauge\(\s*"(\w+)"')


def _entry_sources() -> str:
    """Return the source code that an entry instance runs, as one text."""
    folders = ("internal/cells", "internal/entry", "platform")
    paths = [p for f in folders for p in (ROOT / "src" / "greengagewood" / f).glob("*.py")]
    return "\n".join(path.read_text(encoding="utf-8") for path in paths)


class TestOperations:
    """The operations page lists every log event and metric, for tracing a failure to its cause."""

    PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")

    def test_every_log_event_is_on_the_page(self) -> None:
        events = set(EVENTS.findall(_entry_sources()))
        assert len(events) > 20
        assert sorted(event for event in events if f"`{event}`" not in self.PAGE) == []

    def test_every_metric_is_on_the_page(self) -> None:
        source = _entry_sources()
        names = {
            f"{name}_{suffix}"
            for suffix, pattern in METRICS.items()
            for name in pattern.findall(source)
        } | set(GAUGES.findall(source))
        assert len(names) > 5
        assert sorted(name for name in names if f"`{name}`" not in self.PAGE) == []
