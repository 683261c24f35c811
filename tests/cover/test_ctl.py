"""The operators' command line: help and following a job through logs."""

from __future__ import annotations

import sys
from pathlib import Path

import msgspec
import pytest

from greengagewood.internal.ctl.main import EXIT_FAILED, EXIT_OK, EXIT_USAGE, VERBS, main
from greengagewood.internal.ctl.trace import trace_job
from greengagewood.platform import program

JOB = "5c0e7a21d94b36f8"


def _call(monkeypatch: pytest.MonkeyPatch, *args: str) -> int:
    monkeypatch.setattr(sys, "argv", ["ggwctl", *args])
    with pytest.raises(SystemExit) as exit_info:
        main()
    assert isinstance(exit_info.value.code, int)
    return exit_info.value.code


def _line(time: str, event: str, **fields: object) -> str:
    return msgspec.json.encode({"time": time, "instance": "n1", "event": event, **fields}).decode()


class TestHelp:
    """Every program and every verb explains itself."""

    def test_the_program_names_every_verb(
        self, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert _call(monkeypatch, "--help") == EXIT_OK
        shown = capsys.readouterr().out
        assert all(f"  {name} " in shown for name in VERBS)

    @pytest.mark.parametrize("name", sorted(VERBS))
    def test_each_verb_shows_an_example(
        self, name: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert _call(monkeypatch, name, "--help") == EXIT_OK
        assert f"example: ggwctl {name}" in capsys.readouterr().out

    def test_a_wrong_call_shows_how_it_is_right(
        self, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert _call(monkeypatch, "trace", JOB) == EXIT_USAGE
        assert "usage: ggwctl trace JOB FILE..." in capsys.readouterr().err

    def test_a_daemon_has_help(
        self, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        monkeypatch.setattr(sys, "argv", ["ggw-entry", "--help"])
        with pytest.raises(SystemExit) as exit_info:
            program.main()
        assert exit_info.value.code == 0
        assert "--settings" in capsys.readouterr().out


class TestTrace:
    """What the logs of several instances say of one job."""

    def test_events_of_the_job_come_in_the_order_of_time(self) -> None:
        lines = [
            _line("2026-12-04T06:00:02Z", "start", task=[JOB, 0, 1, 3], run=7, outcome="accepted"),
            _line("2026-12-04T06:00:01Z", "request", job=JOB, status=200),
            _line("2026-12-04T06:00:03Z", "start", task=["0" * 16, 0, 0, 0], run=1),
        ]
        found = trace_job(lines, JOB)
        assert [event["event"] for event in found.events] == ["request", "start"]
        assert found.rows()[1][3:] == ["0/1/3", "run=7 outcome=accepted"]

    def test_text_before_the_json_is_passed_over(self) -> None:
        line = "  12.5 entry-1 " + _line("2026-12-04T06:00:01Z", "request", job=JOB)
        assert len(trace_job([line], JOB).events) == 1

    def test_what_is_no_log_line_is_counted(self) -> None:
        found = trace_job([f"Traceback {JOB}", f"{{{JOB}", "other"], JOB)
        assert found.unreadable == 2 and not found.events

    def test_a_job_that_no_file_names_is_a_failure(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        log = tmp_path / "entry.log"
        log.write_text(_line("2026-12-04T06:00:01Z", "request", job=JOB))
        assert _call(monkeypatch, "trace", JOB, str(log), "--output=json") == EXIT_OK
        assert _call(monkeypatch, "trace", "f" * 16, str(log)) == EXIT_FAILED
        assert _call(monkeypatch, "trace", JOB, str(tmp_path / "none.log")) == EXIT_USAGE
