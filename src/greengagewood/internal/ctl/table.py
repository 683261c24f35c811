"""Formatting of text tables."""

from __future__ import annotations

__all__ = ["format_table"]


def format_table(header: list[str], rows: list[list[str]]) -> str:
    """Return the rows below the header as lines of text, with aligned columns."""
    widths = [max(len(row[i]) for row in [header, *rows]) for i in range(len(header))]
    lines = []
    for row in [header, *rows]:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)
