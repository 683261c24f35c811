"""One process of an entry instance: callers' jobs, and the cell if this instance owns it."""

from greengagewood.internal.entry.node import EntryInstance
from greengagewood.internal.entry.settings import EntrySettings

__all__ = ["EntryInstance", "EntrySettings"]
