"""Run the tests except those that KNOWN-RED.txt lists, and print the entries of that file.

Each entry is one line: TEST | COMMAND | SEED | WHAT WAS SEEN | ISSUE
"""

from __future__ import annotations

import os
import sys
from pathlib import Path

import pytest

__all__ = ["main", "parse_known_red"]

FIELD_COUNT = 5


def parse_known_red(text: str) -> list[list[str]]:
    """Parse the entries of KNOWN-RED.txt; raise ValueError on one that is incomplete."""
    entries = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        fields = [part.strip() for part in line.split("|")]
        if len(fields) != FIELD_COUNT or not all(fields):
            raise ValueError(f"KNOWN-RED.txt: {line!r} does not have {FIELD_COUNT} fields")
        entries.append(fields)
    return entries


def main() -> int:
    """Run pytest with the given arguments and return its exit code."""
    args = sys.argv[1:]
    paths = ["tests/cover"]
    if "--profile=long" in args:
        args.remove("--profile=long")
        os.environ["GGW_TEST_PROFILE"] = "long"
        paths.append("tests/nocover")
    if any(not arg.startswith("-") and Path(arg.split("::")[0]).exists() for arg in args):
        paths = []
    entries = parse_known_red(Path("KNOWN-RED.txt").read_text(encoding="utf-8"))
    for test, command, seed, observed, issue in entries:
        print(f"known red: {test}: {observed} (seed {seed}, issue {issue}, run `{command}`)")
    # A test that is named runs even if it is known to fail.
    deselections = [f"--deselect={entry[0]}" for entry in entries if entry[0] not in args]
    return int(pytest.main([*paths, *deselections, "-q", "-p", "no:cacheprovider", *args]))


if __name__ == "__main__":
    sys.exit(main())
