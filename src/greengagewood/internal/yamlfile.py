"""Load a YAML file into a model; errors say the file, the line, the key and a remedy."""

from __future__ import annotations

import functools
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import yaml
from result import Err, Ok, Result

__all__ = ["FileError", "Locator", "decode_yaml", "load_yaml", "locate"]

T = TypeVar("T")

_ERROR_PATH = re.compile(r" - at `(?:key in )?\$?([^`]*)`")
_PATH_KEY = re.compile(r"\.([^.\[\]]+)|\[(\d+|\.\.\.)\]")


class FileError(msgspec.Struct, frozen=True):
    """Describe one error in a file."""

    file: str
    line: int
    key: str
    problem: str
    value: str
    remedy: str

    def __str__(self) -> str:
        found = f" (found {self.value})" if self.value else ""
        return f"{self.file}:{self.line}: {self.key}: {self.problem}{found}; {self.remedy}"


def _split_path(path: str) -> list[str]:
    return [name or index for name, index in _PATH_KEY.findall(path)]


def _find_node(node: yaml.Node | None, path_keys: list[str]) -> yaml.Node | None:
    """Return the node at a path, or the deepest one above it that exists."""
    for path_key in path_keys:
        child: yaml.Node | None = None
        if isinstance(node, yaml.MappingNode):
            child = next((v for k, v in node.value if k.value == path_key), None)
        elif isinstance(node, yaml.SequenceNode) and path_key.isdigit():
            child = node.value[int(path_key)] if int(path_key) < len(node.value) else None
        if child is None:
            return node
        node = child
    return node


def _find_key_node(node: yaml.Node | None, name: str) -> yaml.Node | None:
    if isinstance(node, yaml.MappingNode):
        return next((k for k, _ in node.value if k.value == name), node)
    return node


class Locator:
    """Find the lines of keys in a YAML text, which is parsed at the first use only."""

    def __init__(self, text: str) -> None:
        self._text = text

    @functools.cached_property
    def _root(self) -> yaml.Node | None:
        try:
            return yaml.compose(self._text, Loader=yaml.SafeLoader)
        except yaml.YAMLError:
            return None

    def locate(self, path: str) -> tuple[int, str]:
        """Return the line and the value at a path.

        If the path does not exist, the line is that of its deepest existing parent, or 1. The value
        is empty unless it is a scalar.
        """
        keys = _split_path(path if path.startswith((".", "[")) else f".{path}")
        node = _find_node(self._root, keys)
        if node is None:
            return 1, ""
        value = node.value if isinstance(node, yaml.ScalarNode) else ""
        return node.start_mark.line + 1, repr(value) if value else ""

    def repeated_keys(self) -> Iterator[tuple[int, str]]:
        """Return the line and the path of each key that its mapping has had before."""
        visited: set[int] = set()  # an alias repeats a node, which may even contain itself

        def walk(node: yaml.Node, path: str) -> Iterator[tuple[int, str]]:
            if id(node) in visited:
                return
            visited.add(id(node))
            if isinstance(node, yaml.SequenceNode):
                for index, item in enumerate(node.value):
                    yield from walk(item, f"{path}[{index}]")
            elif isinstance(node, yaml.MappingNode):
                seen: set[str] = set()
                for key, value in node.value:
                    name = key.value if isinstance(key, yaml.ScalarNode) else ""
                    if name in seen:
                        yield key.start_mark.line + 1, f"{path}.{name}".lstrip(".")
                    seen.add(name)
                    yield from walk(value, f"{path}.{name}")

        if self._root is not None:
            yield from walk(self._root, "")


def locate(text: str, path: str) -> tuple[int, str]:
    """Return the line and the value at a path of a YAML text, as `Locator` does."""
    return Locator(text).locate(path)


def _fill_in_keys(raw: Any, model: Any, path: str) -> str:
    """Replace each `[...]` of an error's path, which stands for a key of a mapping, by the key.

    msgspec does not name the key, so the mapping is validated again with one key at a time.
    """
    while "[...]" in path:
        before, _, after = path.partition("[...]")
        key = _invalid_key(raw, model, _split_path(before))
        if key is None:
            return path
        path = f"{before}.{key}{after}"
    return path


def _invalid_key(raw: Any, model: Any, path_keys: list[str]) -> str | None:
    mapping = raw
    for path_key in path_keys:
        mapping = mapping[int(path_key)] if isinstance(mapping, list) else mapping.get(path_key)
    if not isinstance(mapping, dict):
        return None
    entries = dict(mapping)
    try:
        for key, value in entries.items():
            mapping.clear()
            mapping[key] = value
            if not _converts(raw, model):
                return str(key)
    finally:
        mapping.clear()
        mapping.update(entries)
    return None


def _converts(raw: Any, model: Any) -> bool:
    try:
        msgspec.convert(raw, model)
    except msgspec.ValidationError:
        return False
    return True


def _validation_error(
    file: str, text: str, raw: Any, model: Any, exc: msgspec.ValidationError
) -> FileError:
    message = str(exc)
    match = _ERROR_PATH.search(message)
    path = _fill_in_keys(raw, model, match.group(1) if match else "")
    problem = _ERROR_PATH.sub("", message)
    field_match = re.search(r"(?:field|unknown field) `([^`]+)`", problem)
    key = (path + ("." + field_match.group(1) if field_match else "")).lstrip(".") or "the document"
    line, value = locate(text, path or ".")
    if field_match and "unknown" in problem:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        key_node = _find_key_node(_find_node(root, _split_path(path)), field_match.group(1))
        line = key_node.start_mark.line + 1 if key_node is not None else line
        return FileError(file, line, key, "unknown key", "", "remove it or correct its spelling")
    if field_match and "missing required" in problem:
        return FileError(file, line, key, "missing", "", f"add the key {field_match.group(1)!r}")
    return FileError(file, line, key, problem, value, "correct the value")


def decode_yaml(text: str, model: type[T], file: str) -> Result[T, FileError]:
    """Parse a YAML text and validate it against a model."""
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
        return Err(_validation_error(file, text, raw, model, exc))


def load_yaml(path: str | Path, model: type[T]) -> Result[T, FileError]:
    """Read a YAML file and validate it against a model."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        remedy = "name a readable UTF-8 file"
        return Err(FileError(str(path), 1, "the file", str(exc), "", remedy))
    return decode_yaml(text, model, str(path))
