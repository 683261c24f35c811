"""The check of a document before it is published: errors, warnings and differences."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path
from unittest import mock

import msgspec
import pytest
from absl import flags
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagewood.internal import documentcheck, keeper, scheduler
from greengagewood.internal.access import AccessTable
from greengagewood.internal.ctl import main as ctl
from greengagewood.internal.document import Document, parse_document
from greengagewood.internal.documentcheck import examine, find_differences
from greengagewood.internal.placement import Resources
from greengagewood.internal.settings import Address, ControlSettings
from greengagewood.internal.standin.log import LogFaults
from greengagewood.internal.yamlfile import Locator
from tests.common.system import example_document, system

PADANA = Path("examples/padana.yaml").read_text(encoding="utf-8")
PADANA_DOCUMENT = parse_document(PADANA).unwrap()
ONE_TEAM = {"mercato": {"cpus": 90, "memory_mb": 90_000}}  # that of the callers of the tests


def _changed(old: str, new: str, text: str = PADANA) -> str:
    assert old in text
    return text.replace(old, new)


def _document(**changes: object) -> Document:
    return parse_document(example_document(**changes)).unwrap()


def _compare_with_access_table(routes: list[str], path: str) -> None:
    """Compare what is reported of one service a route with the service that gateways choose."""
    service = PADANA_DOCUMENT.services["quotazioni"]
    services = {
        f"s{n}": msgspec.structs.replace(service, routes=(route,))
        for n, route in enumerate(dict.fromkeys(routes))
    }
    document = msgspec.structs.replace(PADANA_DOCUMENT, services=services)
    table = AccessTable(document)
    problems = {w.key.split(".")[1]: w.problem for w in documentcheck._check_routes(document)}
    found = table.find_service(path)
    if found is not None and found[0] in problems:
        assert path == services[found[0]].routes[0]
        assert "takes every path below" in problems[found[0]]
    for name in services.keys() - problems.keys():
        own = table.find_service(services[name].routes[0])
        assert own is not None and own[0] == name


class TestExamine:
    """Warnings name the line and a remedy, and keep nobody from publishing."""

    @pytest.mark.parametrize("name", ["padana", "nl-west"])
    def test_the_examples_have_no_warnings(self, name: str) -> None:
        examination = examine(Path(f"examples/{name}.yaml").read_text(encoding="utf-8"))
        assert examination.document is not None
        assert not examination.errors and not examination.warnings

    @pytest.mark.parametrize(
        ("old", "new", "line_part", "key", "problem"),
        [
            # Entries that can never match.
            ("pd-forli]", "pd-forli, pd-roma]", "pd-roma", "failure_domains[3]", "has no cell"),
            ("[forli-r1]", "[forli-r1, forli-r1]", "forli-r1", "cells.forli-1.racks[1]", "twice"),
            (
                "[/quotazioni]",
                "[/quotazioni, /quotazioni/]",
                "routes",
                "services.quotazioni.routes[0]",
                "takes every path below '/quotazioni'",
            ),
            (
                "[/quotazioni]",
                "[/quotazioni, /quotazioni]",
                "routes",
                "services.quotazioni.routes[1]",
                "takes every path",
            ),
            ("[/quotazioni]", "[/uova%20fresche]", "%20", "services.quotazioni.routes[0]", "none"),
            (
                "[GET, HEAD",
                "[get, HEAD",
                "get",
                "services.quotazioni.idempotent_methods[0]",
                "no m",
            ),
            (
                "[GET, HEAD",
                "[HEAD, HEAD",
                "HEAD",
                "services.quotazioni.idempotent_methods[1]",
                "twice",
            ),
            ("team: statistica", "team: mercato", "600", "teams.statistica", "no caller"),
            ("cpus: 600", "cpus: 2", "cpus: 2", "teams.statistica", "less than any task"),
            (
                "memory_mb: 3000000",
                "memory_mb: 3000000, accelerators: 2",
                "accelerators: 2",
                "teams.statistica.accelerators",
                "no accelerator",
            ),
            (
                "{max_attempts: 3}",
                "{max_tasks: 20000}",
                "20000",
                "batch_classes.validation.max_tasks",
                "more than 10000 tasks",
            ),
            (
                "  validation: {max_attempts: 3}",
                "  price-grid: {max_attempts: 3}",
                "max_attempts: 3",
                "batch_classes.price-grid",
                "listed again",
            ),
            # Limits that contradict each other.
            (
                "latency_ms: 250",
                "latency_ms: 2500",
                "2500",
                "services.quotazioni.objective.latency_ms",
                "longer than limits.timeout_ms (2000)",
            ),
            (
                "keyed_hold_ms: 500",
                "keyed_hold_ms: 2000",
                "timeout_ms: 2000",
                "services.quotazioni.limits.timeout_ms",
                "a held request cannot run",
            ),
            (
                "connections: 64",
                "connections: 4",
                "connections: 4",
                "services.quotazioni.connections",
                "less than slots",
            ),
            (
                "task_lease_ms: 10000",
                "task_lease_ms: 2000",
                "task_lease_ms",
                "leases.task_lease_ms",
                "not longer than command_window_ms",
            ),
            (
                "task_lease_ms: 10000",
                "task_lease_ms: 3000",
                "task_lease_ms",
                "leases.task_lease_ms",
                "not longer than suspect_after_ms",
            ),
            (
                "suspect_after_ms: 3000",
                "suspect_after_ms: 900",
                "900",
                "leases.suspect_after_ms",
                "less than two heartbeats",
            ),
            (
                "weights:",
                "log: {keeps_ms: 10000, results_keep_ms: 30000}\nweights:",
                "30000",
                "log.results_keep_ms",
                "ended jobs are dropped",
            ),
        ],
    )
    def test_a_warning_names_the_line_the_key_and_a_remedy(
        self, old: str, new: str, line_part: str, key: str, problem: str
    ) -> None:
        text = _changed(old, new)
        examination = examine(text, "d.yaml")
        assert examination.document is not None and not examination.errors
        warning = next(w for w in examination.warnings if w.key == key and problem in w.problem)
        assert line_part in text.splitlines()[warning.line - 1]
        assert warning.file == "d.yaml" and warning.remedy

    @pytest.mark.parametrize(
        ("old", "new", "key", "problem"),
        [
            ("failure_domain: pd-forli", "failure_domain: pd-roma", "cells.forli-1", "not a fail"),
            ("team: statistica", "team: nobody", "callers.cooperativa.team", "not a team"),
            ("owner_license_ms: 4500", "owner_license_ms: 2500", "leases.owner", "shorter than"),
        ],
    )
    def test_what_keepers_refuse_is_an_error(
        self, old: str, new: str, key: str, problem: str
    ) -> None:
        """An error must not be weakened to a warning, which lets the document be published."""
        examination = examine(_changed(old, new))
        assert examination.document is None and not examination.warnings
        assert any(e.key.startswith(key) and problem in e.problem for e in examination.errors)

    @given(st.text(max_size=100))
    def test_the_errors_are_those_of_the_parser(self, text: str) -> None:
        """`ggwctl check` and the keepers must agree on what is valid."""
        parsed = parse_document(text, "d.yaml")
        assert examine(text, "d.yaml").errors == tuple(parsed.err_value if parsed.is_err() else ())

    def test_a_reserve_is_compared_with_the_size_of_a_worker_if_it_is_known(self) -> None:
        keys = [w.key for w in examine(PADANA, worker_size=Resources(8, 64_000, 0)).warnings]
        assert keys == ["services.quotazioni.reserve.cpus"]
        assert not examine(PADANA, worker_size=Resources(16, 64_000, 0)).warnings

    def test_classes_and_services_without_callers_are_reported(self) -> None:
        keys = {w.key for w in examine(example_document(callers={})).warnings}
        assert {"services.quotazioni", "batch_classes.validation", "teams.mercato"} <= keys

    @given(
        st.lists(st.sampled_from(["/", "//", "/a", "/a/", "/a//", "/a/b", "/b"]), min_size=1),
        st.lists(st.sampled_from(["/", "a", "b"]), max_size=6).map("".join),
    )
    def test_a_route_that_is_reported_as_shadowed_decides_no_path(
        self, routes: list[str], rest: str
    ) -> None:
        """A warning must agree with how gateways choose a service for a path."""
        _compare_with_access_table(routes, "/" + rest)

    def test_a_check_without_routes_is_detected(self) -> None:
        """Check that a broken variant, which reports no route, is detected."""

        def check_routes(document: Document) -> Iterator[object]:
            return iter(())

        with (
            mock.patch.object(documentcheck, "_check_routes", check_routes),
            pytest.raises(AssertionError),
        ):
            _compare_with_access_table(["/a/", "/a//"], "/a")

    def test_the_limits_are_those_of_the_programs(self) -> None:
        """The check must not go by figures that the programs no longer use."""
        assert keeper.HEARTBEAT_INTERVAL_S * 1000 == documentcheck.HEARTBEAT_INTERVAL_MS
        assert scheduler.JOB_RETENTION_FACTOR == documentcheck.JOB_RETENTION_FACTOR


class TestLocator:
    """Repeated keys are found in any YAML text."""

    def test_a_node_that_contains_itself_is_visited_once(self) -> None:
        assert list(Locator("a: &x {b: *x, c: 1, c: 2}").repeated_keys()) == [(1, "a.c")]

    def test_aliases_of_aliases_are_visited_once(self) -> None:
        """A text of a few lines must not take exponential time."""
        lines = ["a0: &a0 {k: 1, k: 2}"]
        lines += [f"a{n}: &a{n} [*a{n - 1}, *a{n - 1}, *a{n - 1}]" for n in range(1, 40)]
        assert len(list(Locator("\n".join(lines)).repeated_keys())) == 1

    @given(st.text(max_size=100))
    def test_any_text_is_accepted(self, text: str) -> None:
        list(Locator(text).repeated_keys())


class TestDifferences:
    """The comparison lists each key whose value differs, defaults included."""

    def test_old_and_new_values_are_listed_by_key(self) -> None:
        text = _changed("slots: 8", "slots: 16")
        text = _changed("  feed-replay: {max_attempts: 3, checkpoints: false}\n", "", text)
        text = _changed("pd-forli]", "pd-forli, pd-roma]", text)
        old, new = parse_document(PADANA).unwrap(), parse_document(text).unwrap()
        found = {d.key: (d.old, d.new) for d in find_differences(old, new, text)}
        assert found.keys() == {
            "services.quotazioni.slots",
            "batch_classes.feed-replay",
            "failure_domains",
        }
        assert found["services.quotazioni.slots"] == (8, 16)
        assert found["batch_classes.feed-replay"][0]["max_attempts"] == 3
        assert found["batch_classes.feed-replay"][1] is None
        slots = next(d for d in find_differences(old, new, text) if d.key.endswith("slots"))
        assert "slots: 16" in text.splitlines()[slots.line - 1]
        assert str(slots).endswith("services.quotazioni.slots: 8 -> 16")

    def test_a_default_that_is_written_out_is_no_difference(self) -> None:
        text = _changed("weights:", "log: {keeps_ms: 86400000}\nweights:")
        old, new = parse_document(PADANA).unwrap(), parse_document(text).unwrap()
        assert not find_differences(old, new, text)

    @settings(max_examples=20)
    @given(st.integers(1, 1000), st.integers(1, 1000))
    def test_applying_the_differences_gives_the_new_document(self, slots: int, queue: int) -> None:
        """No difference may be missing or belong to another key."""
        old = _document()
        text = example_document(
            services__quotazioni__slots=slots,
            services__quotazioni__limits={"queue": queue},
            teams={"mercato": {"cpus": 9, "memory_mb": 9}},
        )
        new = parse_document(text).unwrap()
        raw = msgspec.to_builtins(old)
        for difference in find_differences(old, new, text):
            *parents, last = difference.key.split(".")
            target = raw
            for name in parents:
                target = target[name]
            if difference.new is None:
                del target[last]
            else:
                target[last] = difference.new
        assert msgspec.convert(raw, Document, strict=False) == new


def _run_ggwctl(monkeypatch: pytest.MonkeyPatch, *args: str) -> int:
    monkeypatch.setattr(sys, "argv", ["ggwctl", *args])
    with pytest.raises(SystemExit) as exit_info:
        ctl.main()
    assert isinstance(exit_info.value.code, int)
    return exit_info.value.code


class TestCommand:
    """`ggwctl check` and `validate` share the validator; the exit code tells what was found."""

    def test_exit_codes(
        self,
        tmp_path: Path,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        against = "--against=examples/padana.yaml"
        path = tmp_path / "d.yaml"
        path.write_text(_changed("slots: 8", "slots: 16"))
        assert _run_ggwctl(monkeypatch, "check", str(path), against) == ctl.EXIT_OK
        assert "slots: 8 -> 16" in capsys.readouterr().out
        path.write_text(_changed("slots: 8", "slots: 128"))
        assert _run_ggwctl(monkeypatch, "check", str(path), against) == ctl.EXIT_FAILED
        assert f"warning: {path}:24: services.quotazioni.connections" in capsys.readouterr().out
        assert _run_ggwctl(monkeypatch, "validate", str(path)) == ctl.EXIT_OK
        assert "warning: " in capsys.readouterr().err
        path.write_text(_changed("slots: 8", "slots: many"))
        for command in ("check", "validate"):
            assert _run_ggwctl(monkeypatch, command, str(path), against) == ctl.EXIT_USAGE
            output = capsys.readouterr()
            assert f"{path}:23: services.quotazioni.slots" in output.out + output.err
        missing = str(tmp_path / "none.yaml")
        assert _run_ggwctl(monkeypatch, "check", missing, against) == ctl.EXIT_USAGE
        path.write_text(PADANA)
        assert (
            _run_ggwctl(monkeypatch, "check", str(path), f"--against={missing}") == ctl.EXIT_USAGE
        )
        for size in ("8", "8,x", "1,2,3,4", "-1,2"):
            code = _run_ggwctl(monkeypatch, "check", str(path), against, f"--worker={size}")
            assert code == ctl.EXIT_USAGE
        capsys.readouterr()
        code = _run_ggwctl(monkeypatch, "check", str(path), against, "--worker=8,64000")
        assert code == ctl.EXIT_FAILED and "reserve.cpus" in capsys.readouterr().out

    def test_the_json_output_has_every_finding(
        self,
        tmp_path: Path,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        path = tmp_path / "d.yaml"
        path.write_text(_changed("environment: padana", "environment: altrove"))
        code = _run_ggwctl(
            monkeypatch, "check", str(path), "--against=examples/padana.yaml", "--output=json"
        )
        assert code == ctl.EXIT_FAILED
        result = msgspec.json.decode(capsys.readouterr().out)
        assert result["valid"] and not result["errors"]
        assert [w["key"] for w in result["warnings"]] == ["environment"]
        assert result["differences"] == [
            {"key": "environment", "line": 3, "old": "padana", "new": "altrove"}
        ]

    async def test_a_document_is_compared_with_the_version_in_force(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = tmp_path / "d.yaml"
        path.write_text(example_document(services__quotazioni__slots=16, teams=ONE_TEAM))
        async with system(example_document(teams=ONE_TEAM), roles=("keeper",)) as cluster:
            values = flags.FlagValues()
            ctl._define_flags(values)
            args = values(["ggwctl", "check", str(path), "--timeout=1"])[1:]
            cfg = ControlSettings(environment="padana", platform=Address(f"{cluster.net}.1", 17100))
            assert await ctl._run(cfg, values, args) == ctl.EXIT_OK
            output = capsys.readouterr().out
            assert "version in force in production" in output and "slots: 8 -> 16" in output
            cluster.platform.log.faults = LogFaults(down=True)
            assert await ctl._run(cfg, values, args) == ctl.EXIT_UNREACHABLE
            assert "not compared" in capsys.readouterr().out
