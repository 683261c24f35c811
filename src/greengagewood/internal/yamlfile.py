"""Load a YAML file into a checked model, with errors that name file, line, key and remedy."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import yaml
from result import Err, Ok, Result

__all__ = ["FileError", "decode_yaml", "load_yaml"]

T = TypeVar("T")

_PATH = re.compile(r" - at `(?:key in )?\$?([^`]*)`")
_STEP = re.compile(r"\.([^.\[\]]+)|\[(\d+|\.\.\.)\]")


class FileError(msgspec.Struct, frozen=True):
    """Describe one thing that is wrong with a file."""

    file: str
    line: int
    key: str
    problem: str
    value: str
    remedy: str

    def __str__(self) -> str:
        found = f" (found {self.value})" if self.value else ""
        return f"{self.file}:{self.line}: {self.key}: {self.problem}{found}; {self.remedy}"


def _steps(path: str) -> list[str]:
    return [name or index for name, index in _STEP.findall(path)]


def _find(node: yaml.Node | None, steps: list[str]) -> yaml.Node | None:
    """Follow the steps of a path as far as the document goes."""
    for step in steps:
        child: yaml.Node | None = None
        if isinstance(node, yaml.MappingNode):
            child = next((v for k, v in node.value if k.value == step), None)
        elif isinstance(node, yaml.SequenceNode) and step.isdigit():
            child = node.value[int(step)] if int(step) < len(node.value) else None
        if child is None:
            return node
        node = child
    return node


def _find_key(node: yaml.Node | None, name: str) -> yaml.Node | None:
    if isinstance(node, yaml.MappingNode):
        return next((k for k, _ in node.value if k.value == name), node)
    return node


def locate(text: str, path: str) -> tuple[int, str]:
    """Return the line and the value at a path of a YAML text, as far as they can be found."""
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.YAMLError:
        return 1, ""
    node = _find(root, _steps(path if path.startswith((".", "[")) else f".{path}"))
    if node is None:
        return 1, ""
    value = node.value if isinstance(node, yaml.ScalarNode) else ""
    return node.start_mark.line + 1, repr(value) if value else ""


def _name_unnamed(raw: Any, model: Any, path: str) -> str:
    """Replace each `[...]` of an error's path, a key of a mapping, by the key's name.

    msgspec does not name the key, so the mapping is tried again with one key at a time.
    """
    while "[...]" in path:
        before, _, after = path.partition("[...]")
        key = _offending_key(raw, model, _steps(before))
        if key is None:
            return path
        path = f"{before}.{key}{after}"
    return path


def _offending_key(raw: Any, model: Any, steps: list[str]) -> str | None:
    mapping = raw
    for step in steps:
        mapping = mapping[int(step)] if isinstance(mapping, list) else mapping.get(step)
    if not isinstance(mapping, dict):
        return None
    whole = dict(mapping)
    try:
        for key, value in whole.items():
            mapping.clear()
            mapping[key] = value
            if not _converts(raw, model):
                return str(key)
    finally:
        mapping.clear()
        mapping.update(whole)
    return None


def _converts(raw: Any, model: Any) -> bool:
    try:
        msgspec.convert(raw, model)
    except msgspec.ValidationError:
        return False
    return True


def _from_validation(
    file: str, text: str, raw: Any, model: Any, exc: msgspec.ValidationError
) -> FileError:
    message = str(exc)
    match = _PATH.search(message)
    path = _name_unnamed(raw, model, match.group(1) if match else "")
    problem = _PATH.sub("", message)
    field = re.search(r"(?:field|unknown field) `([^`]+)`", problem)
    key = (path + ("." + field.group(1) if field else "")).lstrip(".") or "the document"
    line, value = locate(text, path or ".")
    if field and "unknown" in problem:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        spot = _find_key(_find(root, _steps(path)), field.group(1))
        line = spot.start_mark.line + 1 if spot is not None else line
        return FileError(file, line, key, "unknown key", "", "remove it or correct its spelling")
    if field and "missing required" in problem:
        return FileError(file, line, key, "missing", "", f"add the key {field.group(1)!r}")
    return FileError(file, line, key, problem, value, "correct the value")


def decode_yaml(text: str, model: type[T], file: str) -> Result[T, FileError]:
    """Check a YAML text against a model."""
    try:
        raw: Any = yaml.safe_load(text)
    except yaml.YAMLError as exc:
        mark = getattr(exc, "problem_mark", None)
        line = mark.line + 1 if mark is not None else 1
        problem = str(getattr(exc, "problem", exc))
        return Err(FileError(file, line, "the document", problem, "", "make it valid YAML"))
    except (RecursionError, ValueError) as exc:
        return Err(FileError(file, 1, "the document", str(exc), "", "make it valid YAML"))
    try:
        return Ok(msgspec.convert(raw, model))
    except msgspec.ValidationError as exc:
        return Err(_from_validation(file, text, raw, model, exc))


def load_yaml(path: str | Path, model: type[T]) -> Result[T, FileError]:
    """Read a file and check it against a model."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        remedy = "name a readable UTF-8 file"
        return Err(FileError(str(path), 1, "the file", str(exc), "", remedy))
    return decode_yaml(text, model, str(path))
