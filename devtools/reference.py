"""Write the reference pages of settings and of the document from their models."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import msgspec
from msgspec import inspect

from greengagewood.internal.document import Document
from greengagewood.internal.settings import (
    ControlSettings,
    GatewaySettings,
    KeeperSettings,
    SchedulerSettings,
)

__all__ = ["PAGES", "main"]

FOLDER = Path("docs/operating")
UNITS = {"_ms": "milliseconds", "_mb": "megabytes", "_bytes": "bytes", "cpus": "processors"}


def _kind(found: inspect.Type) -> str:
    match found:
        case inspect.IntType():
            return "whole number" + _range(found)
        case inspect.FloatType():
            return "number" + _range(found)
        case inspect.StrType():
            return f"text like `{found.pattern}`" if found.pattern else "text"
        case inspect.BoolType():
            return "true or false"
        case inspect.EnumType():
            return " or ".join(f"`{member.value}`" for member in found.cls)
        case inspect.VarTupleType():
            return f"list of {_kind(found.item_type)}"
        case inspect.DictType():
            return f"mapping of names to {_kind(found.value_type)}"
        case inspect.StructType():
            return found.cls.__name__
    return type(found).__name__


def _range(found: Any) -> str:
    low = found.ge if found.ge is not None else found.gt
    high = found.le if found.le is not None else found.lt
    if low is None and high is None:
        return ""
    return f", {low if low is not None else ''} to {high if high is not None else ''}"


def _unit(name: str) -> str:
    return next((unit for end, unit in UNITS.items() if name.endswith(end)), "")


def _default(field: inspect.Field) -> str:
    if field.required:
        return "required"
    if isinstance(field.default, msgspec.Struct):
        return "see below"
    if field.default is msgspec.NODEFAULT:
        return "see below"
    return f"`{msgspec.json.encode(field.default).decode()}`"


def _inner(found: inspect.Type) -> list[inspect.StructType]:
    match found:
        case inspect.StructType():
            return [found]
        case inspect.VarTupleType():
            return _inner(found.item_type)
        case inspect.DictType():
            return _inner(found.value_type)
    return []


def _describe(model: type, seen: set[type]) -> list[str]:
    info = inspect.type_info(model)
    assert isinstance(info, inspect.StructType)
    if model in seen:
        return []
    seen.add(model)
    lines = [f"## {model.__name__}", "", model.__doc__ or "", ""]
    lines += ["| key | value | unit | default |", "| --- | --- | --- | --- |"]
    below: list[str] = []
    for field in info.fields:
        kind = _kind(field.type).replace("|", "\\|")
        lines.append(f"| `{field.name}` | {kind} | {_unit(field.name)} | {_default(field)} |")
        for inner in _inner(field.type):
            below += _describe(inner.cls, seen)
    return [*lines, "", *below]


def page(title: str, models: tuple[type, ...]) -> str:
    """Return a reference page of some models."""
    seen: set[type] = set()
    lines = [
        f"# {title}",
        "",
        "Made by `python -m devtools.reference`; a test keeps it in step.",
        "",
    ]
    for model in models:
        lines += _describe(model, seen)
    return "\n".join(lines).rstrip() + "\n"


PAGES = {
    "document.md": ("The operators' document", (Document,)),
    "settings.md": (
        "Settings files",
        (KeeperSettings, GatewaySettings, SchedulerSettings, ControlSettings),
    ),
}


def main() -> int:
    """Write the pages."""
    for name, (title, models) in PAGES.items():
        (FOLDER / name).write_text(page(title, models), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
