"""Test the validation of documents and settings: errors name file, line, key, value and remedy."""

import subprocess
import sys
from pathlib import Path

import pytest
import yaml
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from greengagewood.internal.document import parse_document
from greengagewood.internal.settings import GatewaySettings, KeeperSettings
from greengagewood.internal.yamlfile import decode_yaml

PADANA_DOCUMENT = Path("examples/padana.yaml").read_text(encoding="utf-8")

GATEWAY_SETTINGS = """\
environment: padana
instance: i1
failure_domain: pd-milano
keys: {current: k1, accepted: {k1: a-key-for-the-tests-only}}
admin: {ip: 127.0.0.1, port: 1000}
platform: {ip: 127.0.0.1, port: 1001}
listen: {ip: 127.0.0.1, port: 1002}
peer: {ip: 127.0.0.1, port: 1003}
keeper: {ip: 127.0.0.1, port: 1004}
"""


def first_error(text, file="d.yaml"):
    parsed = parse_document(text, file)
    assert isinstance(parsed, Err)
    return str(parsed.err_value[0])


class TestDocument:
    @pytest.mark.parametrize("name", ["padana", "nl-west"])
    def test_the_examples_are_valid(self, name):
        text = Path(f"examples/{name}.yaml").read_text(encoding="utf-8")
        assert isinstance(parse_document(text), Ok)

    @pytest.mark.parametrize(
        ("old", "new", "line_part", "expected"),
        [
            ("slots: 8", "slots: many", "slots: many", "services.quotazioni.slots"),
            ("slots: 8", "slotz: 8", "slotz: 8", "services.quotazioni.slotz: unknown key"),
            ("target: 0.995", "target: 1.5", "target: 1.5", "objective.target"),
            ("weights: {tail_latency: 1", "weights: {tail_latency: -1", "-1", "tail_latency"),
            ("team: statistica", "team: nobody", "team: nobody", "callers.cooperativa.team"),
            ("[forli-r1]}", "[forli-r1, forli-r1]}", "forli-r1", ""),
        ],
    )
    def test_an_error_names_the_line_the_key_and_a_remedy(self, old, new, line_part, expected):
        text = PADANA_DOCUMENT.replace(old, new, 1)
        parsed = parse_document(text, "d.yaml")
        if not expected:
            assert isinstance(parsed, Ok)
            return
        error = first_error(text)
        assert expected in error
        line_number = int(error.split(":")[1])
        assert line_part in text.splitlines()[line_number - 1]
        assert "; " in error

    def test_a_rack_in_two_cells_is_refused(self):
        text = PADANA_DOCUMENT.replace(
            "verona-1: {failure_domain: pd-verona", "verona-1: {failure_domain: pd-milano"
        ).replace("racks: [verona-r1]", "racks: [milano-r1]")
        assert "is in cell 'milano-1' too" in first_error(text)

    def test_an_error_names_a_missing_key(self):
        text = PADANA_DOCUMENT.replace("environment: padana\n", "")
        assert "environment: missing" in first_error(text)

    def test_a_document_above_the_size_limit_is_refused(self):
        assert "larger than" in first_error("a: " + "x" * 300_000)

    @given(st.text(max_size=200))
    def test_any_text_is_refused_or_parsed(self, text):
        parse_document(text)

    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
            lambda values: st.lists(values, max_size=3)
            | st.dictionaries(
                st.sampled_from(["environment", "cells", "services", "teams", "x"]),
                values,
                max_size=4,
            ),
            max_leaves=10,
        )
    )
    def test_any_yaml_is_refused_or_parsed(self, value):
        parse_document(yaml.safe_dump(value))


class TestSettings:
    def test_valid_settings_are_accepted(self):
        assert isinstance(decode_yaml(GATEWAY_SETTINGS, GatewaySettings, "g.yaml"), Ok)

    @pytest.mark.parametrize(
        ("old", "new", "expected"),
        [
            ("keeper:", "keepr:", "g.yaml:9: keepr: unknown key"),
            ("keeper: {ip: 127.0.0.1, port: 1004}\n", "", "g.yaml:1: keeper: missing"),
            ("port: 1002", "port: 1002s", "g.yaml:7: listen.port: Expected `int`"),
            ("port: 1003", "port: 99999", "g.yaml:8: peer.port"),
            ("ip: 127.0.0.1, port: 1004", "ip: keeper.local, port: 1004", "not an IP number"),
            ("current: k1", "current: k2", "'k2' is not among accepted"),
            ("a-key-for-the-tests-only", "short", "g.yaml:4: keys.accepted.k1"),
            ("instance: i1", "instance: i1\nlog_level: LOUD", "g.yaml:3: log_level"),
            ("instance: i1", "instance: i1\ndrain_grace_ms: 5s", "drain_grace_ms: Expected `int`"),
            ("instance: i1", "instance: i1\nspeed: 1", "g.yaml:3: speed: unknown key"),
        ],
    )
    def test_an_error_names_the_line_the_key_and_a_remedy(self, old, new, expected):
        decoded = decode_yaml(GATEWAY_SETTINGS.replace(old, new, 1), GatewaySettings, "g.yaml")
        assert isinstance(decoded, Err)
        assert expected in str(decoded.err_value)
        assert "; " in str(decoded.err_value)

    @given(st.text(max_size=100))
    def test_any_text_is_refused_or_parsed(self, text):
        decode_yaml(text, KeeperSettings, "k.yaml")


class TestPrograms:
    @pytest.mark.parametrize("program", ["ggw-gateway", "ggw-keeper", "ggw-scheduler"])
    def test_usage_errors_print_one_line_and_exit_with_2(self, program, tmp_path):
        path = tmp_path / "s.yaml"
        path.write_text("environment: padana\nport: 1\n", encoding="utf-8")
        executable = Path(sys.executable).parent / program
        for args in ([], [f"--settings={path}"], ["--settings=/nowhere.yaml"], ["--bogus=1"]):
            finished = subprocess.run(
                [str(executable), *args], capture_output=True, text=True, timeout=30
            )
            assert finished.returncode == 2
            assert len(finished.stderr.strip().splitlines()) == 1, finished.stderr
            assert finished.stdout == ""
