"""Write the reference pages of the settings and of the document from their models."""

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
UNITS_BY_SUFFIX = {
    "_ms": "milliseconds",
    "_mb": "megabytes",
    "_bytes": "bytes",
    "cpus": "processors",
}


def _describe_type(field_type: inspect.Type) -> str:
    match field_type:
        case inspect.IntType():
            return "whole number" + _range(field_type)
        case inspect.FloatType():
            return "number" + _range(field_type)
        case inspect.StrType():
            return f"text like `{field_type.pattern}`" if field_type.pattern else "text"
        case inspect.BoolType():
            return "true or false"
        case inspect.EnumType():
            return " or ".join(f"`{member.value}`" for member in field_type.cls)
        case inspect.VarTupleType():
            return f"list of {_describe_type(field_type.item_type)}"
        case inspect.DictType():
            return f"mapping of names to {_describe_type(field_type.value_type)}"
        case inspect.StructType():
            return field_type.cls.__name__
    return type(field_type).__name__


def _range(number_type: Any) -> str:
    low = number_type.ge if number_type.ge is not None else number_type.gt
    high = number_type.le if number_type.le is not None else number_type.lt
    if low is None and high is None:
        return ""
    return f", {low if low is not None else ''} to {high if high is not None else ''}"


def _unit(name: str) -> str:
    return next((unit for suffix, unit in UNITS_BY_SUFFIX.items() if name.endswith(suffix)), "")


def _default(field: inspect.Field) -> str:
    if field.required:
        return "required"
    if isinstance(field.default, msgspec.Struct):
        return "see below"
    if field.default is msgspec.NODEFAULT:
        return "see below"
    return f"`{msgspec.json.encode(field.default).decode()}`"


def _inner_structs(field_type: inspect.Type) -> list[inspect.StructType]:
    match field_type:
        case inspect.StructType():
            return [field_type]
        case inspect.VarTupleType():
            return _inner_structs(field_type.item_type)
        case inspect.DictType():
            return _inner_structs(field_type.value_type)
    return []


def _describe_model(model: type, described: set[type]) -> list[str]:
    info = inspect.type_info(model)
    assert isinstance(info, inspect.StructType)
    if model in described:
        return []
    described.add(model)
    lines = [f"## {model.__name__}", "", model.__doc__ or "", ""]
    lines += ["| key | value | unit | default |", "| --- | --- | --- | --- |"]
    inner_sections: list[str] = []
    for field in info.fields:
        type_text = _describe_type(field.type).replace("|", "\\|")
        lines.append(f"| `{field.name}` | {type_text} | {_unit(field.name)} | {_default(field)} |")
        for inner in _inner_structs(field.type):
            inner_sections += _describe_model(inner.cls, described)
    return [*lines, "", *inner_sections]


def page(title: str, models: tuple[type, ...]) -> str:
    """Return the reference page of the given models."""
    described: set[type] = set()
    lines = [
        f"# {title}",
        "",
        "Made by `python -m devtools.reference`; a test keeps it in step.",
        "",
    ]
    for model in models:
        lines += _describe_model(model, described)
    return "\n".join(lines).rstrip() + "\n"


PAGES = {
    "document.md": ("The operators' document", (Document,)),
    "settings.md": (
        "Settings files",
        (KeeperSettings, GatewaySettings, SchedulerSettings, ControlSettings),
    ),
}


def main() -> int:
    """Write every reference page."""
    for name, (title, models) in PAGES.items():
        (FOLDER / name).write_text(page(title, models), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
