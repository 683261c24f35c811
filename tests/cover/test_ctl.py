"""ggwctl: its usage texts, and tracing a job through log files."""

from __future__ import annotations

import sys
from pathlib import Path

import msgspec
import pytest

from greengagewood.internal.ctl.main import COMMANDS, EXIT_FAILED, EXIT_OK, EXIT_USAGE, main
from greengagewood.internal.ctl.trace import trace_job
from greengagewood.platform import program

JOB = "5c0e7a21d94b36f8"


def _run_ggwctl(monkeypatch: pytest.MonkeyPatch, *args: str) -> int:
    monkeypatch.setattr(sys, "argv", ["ggwctl", *args])
    with pytest.raises(SystemExit) as exit_info:
        main()
    assert isinstance(exit_info.value.code, int)
    return exit_info.value.code


def _log_line(time: str, event: str, **fields: object) -> str:
    return msgspec.json.encode({"time": time, "instance": "n1", "event": event, **fields}).decode()


class TestHelp:
    """Every program and every command of ggwctl prints its usage."""

    def test_usage_lists_every_command(
        self, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert _run_ggwctl(monkeypatch, "--help") == EXIT_OK
        output = capsys.readouterr().out
        assert all(f"  {name} " in output for name in COMMANDS)

    @pytest.mark.parametrize("name", sorted(COMMANDS))
    def test_usage_of_each_command_has_an_example(
        self, name: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert _run_ggwctl(monkeypatch, name, "--help") == EXIT_OK
        assert f"example: ggwctl {name}" in capsys.readouterr().out

    def test_missing_arguments_print_the_usage(
        self, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert _run_ggwctl(monkeypatch, "trace", JOB) == EXIT_USAGE
        assert "usage: ggwctl trace JOB FILE..." in capsys.readouterr().err

    def test_a_daemon_prints_its_flags(
        self, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        monkeypatch.setattr(sys, "argv", ["ggw-entry", "--help"])
        with pytest.raises(SystemExit) as exit_info:
            program.main()
        assert exit_info.value.code == 0
        assert "--settings" in capsys.readouterr().out


class TestTrace:
    """Events of one job are collected from the logs of several instances."""

    def test_events_of_the_job_are_sorted_by_time(self) -> None:
        lines = [
            _log_line(
                "2026-12-04T06:00:02Z", "start", task=[JOB, 0, 1, 3], run=7, outcome="accepted"
            ),
            _log_line("2026-12-04T06:00:01Z", "request", job=JOB, status=200),
            _log_line("2026-12-04T06:00:03Z", "start", task=["0" * 16, 0, 0, 0], run=1),
        ]
        trace = trace_job(lines, JOB)
        assert [event["event"] for event in trace.events] == ["request", "start"]
        assert trace.table_rows()[1][3:] == ["0/1/3", "run=7 outcome=accepted"]

    def test_text_before_the_json_is_skipped(self) -> None:
        line = "  12.5 entry-1 " + _log_line("2026-12-04T06:00:01Z", "request", job=JOB)
        assert len(trace_job([line], JOB).events) == 1

    def test_lines_that_are_not_log_events_are_counted(self) -> None:
        trace = trace_job([f"Traceback {JOB}", f"{{{JOB}", "other"], JOB)
        assert trace.unparsed_lines == 2 and not trace.events

    def test_exit_code_tells_whether_events_were_found(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        log_path = tmp_path / "entry.log"
        log_path.write_text(_log_line("2026-12-04T06:00:01Z", "request", job=JOB))
        assert _run_ggwctl(monkeypatch, "trace", JOB, str(log_path), "--output=json") == EXIT_OK
        assert _run_ggwctl(monkeypatch, "trace", "f" * 16, str(log_path)) == EXIT_FAILED
        assert _run_ggwctl(monkeypatch, "trace", JOB, str(tmp_path / "none.log")) == EXIT_USAGE
