"""One process of an entry instance: serves callers, and schedules the cell if it owns it."""

from greengagewood.internal.entry.node import EntryInstance
from greengagewood.internal.entry.settings import EntrySettings

__all__ = ["EntryInstance", "EntrySettings"]
