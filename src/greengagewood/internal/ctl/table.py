"""Lay rows out as a table of text."""

from __future__ import annotations

__all__ = ["table"]


def table(head: list[str], rows: list[list[str]]) -> str:
    """Return the rows under their head, columns aligned."""
    widths = [max(len(row[i]) for row in [head, *rows]) for i in range(len(head))]
    lines = []
    for row in [head, *rows]:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)
