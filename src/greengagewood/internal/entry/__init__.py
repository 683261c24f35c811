"""An entry instance: serves callers, and schedules the cell while it owns the cell."""

from greengagewood.internal.entry.node import CancelResult, EntryInstance
from greengagewood.internal.entry.settings import EntrySettings

__all__ = ["CancelResult", "EntryInstance", "EntrySettings"]
