"""Mutants of the program, each of which breaks one promise that the checker must see broken."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from greengagewood.internal.cells.cell import Cell
from greengagewood.internal.entry.intake import BatchWriter
from greengagewood.internal.ports import Outcome

__all__ = ["MUTANTS"]


def _conclude_without_reads() -> None:
    """Take what follows from the time that has passed as confirmed, as before issue 32."""
    plan = Cell.plan

    def plan_as_if_confirmed(cell: Cell, now_ms: int, *rest: Any) -> Any:
        cell.note_confirmed(now_ms)
        return plan(cell, now_ms, *rest)

    Cell.plan = plan_as_if_confirmed  # type: ignore[method-assign, assignment]


def _refuse_what_is_stored() -> None:
    """Answer every tenth record that was stored as if it had been refused."""
    store_record = BatchWriter.store_record
    count = 0

    async def refuse_some(writer: BatchWriter, *args: Any) -> Outcome:
        nonlocal count
        outcome = await store_record(writer, *args)
        count += 1
        return Outcome.REFUSED if count % 10 == 0 else outcome

    BatchWriter.store_record = refuse_some  # type: ignore[method-assign, assignment]


def _accept_without_storing() -> None:
    """Acknowledge every tenth record without storing it."""
    store_record = BatchWriter.store_record
    count = 0

    async def skip_some(writer: BatchWriter, *args: Any) -> Outcome:
        nonlocal count
        count += 1
        return Outcome.DONE if count % 10 == 0 else await store_record(writer, *args)

    BatchWriter.store_record = skip_some  # type: ignore[method-assign, assignment]


MUTANTS: dict[str, Callable[[], None]] = {
    "none": lambda: None,
    "conclude_without_reads": _conclude_without_reads,
    "refuse_what_is_stored": _refuse_what_is_stored,
    "accept_without_storing": _accept_without_storing,
}
