"""ggwctl check: examine a document, and compare it with another version."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import msgspec

from greengagewood.internal.ctl.output import EXIT_FAILED, EXIT_OK, EXIT_USAGE, print_error
from greengagewood.internal.document import Document
from greengagewood.internal.documentcheck import (
    Difference,
    Examination,
    examine,
    find_differences,
)
from greengagewood.internal.placement import Resources
from greengagewood.internal.yamlfile import FileError

__all__ = ["CheckedFile", "check_against_file", "examine_file", "read_text", "report_check"]


def read_text(path: str) -> str | None:
    """Return the text of a file, or None after an error message."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        print_error(f"{path}: {exc}")
        return None


@dataclass(frozen=True)
class CheckedFile:
    """Hold a file that `ggwctl check` has examined."""

    path: str
    text: str
    examination: Examination


def examine_file(path: str, worker_size: Resources | None) -> CheckedFile | None:
    """Examine a file; return None after an error message if it cannot be read."""
    text = read_text(path)
    return None if text is None else CheckedFile(path, text, examine(text, path, worker_size))


def check_against_file(
    path: str, against: str, worker_size: Resources | None, as_json: bool
) -> int:
    """Check a document and compare it with a file, without the platform."""
    checked, other = examine_file(path, worker_size), examine_file(against, None)
    if checked is None or other is None:
        return EXIT_USAGE
    if other.examination.document is None:
        for error in other.examination.errors:
            print_error(str(error))
        return EXIT_USAGE
    return report_check(checked, against, other.examination.document, as_json)


def report_check(checked: CheckedFile, against: str, old: Document | None, as_json: bool) -> int:
    """Print what was found, and the differences from `old` if there is one."""
    examination, document = checked.examination, checked.examination.document
    differences: tuple[Difference, ...] = ()
    warnings = examination.warnings
    if old is not None and document is not None:
        differences = find_differences(old, document, checked.text)
        if document.environment != old.environment:
            line = next(d.line for d in differences if d.key == "environment")
            problem = f"{against} is of another environment, so it cannot be replaced by this one"
            remedy = f"use {old.environment!r}"
            warnings += (
                FileError(checked.path, line, "environment", problem, document.environment, remedy),
            )
    if as_json:
        result = {
            "file": checked.path,
            "valid": document is not None,
            "errors": examination.errors,
            "warnings": warnings,
            "against": against,
            "differences": differences,
        }
        print(msgspec.json.encode(result).decode())
    else:
        for error in examination.errors:
            print(error)
        for warning in warnings:
            print(f"warning: {warning}")
        if document is not None:
            print(f"{len(differences)} keys differ from {against}" if old else "not compared")
        for difference in differences:
            print(f"  {checked.path}:{difference}")
    if document is None:
        return EXIT_USAGE
    return EXIT_FAILED if warnings else EXIT_OK
