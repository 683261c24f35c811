"""Rendezvous hashing: every process that knows the same names ranks them the same way."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

__all__ = ["rendezvous_rank"]


def rendezvous_rank(key: str, names: Iterable[str]) -> list[str]:
    """Return names in descending order of their hash with a key."""
    return sorted(
        names,
        key=lambda name: (xxhash.xxh64_intdigest(f"{key}\0{name}".encode()), name),
        reverse=True,
    )
