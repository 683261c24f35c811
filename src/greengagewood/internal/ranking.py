"""Rendezvous hashing: the same ranking of candidates at everyone who knows the same names."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

__all__ = ["rendezvous_rank"]


def rendezvous_rank(key: str, names: Iterable[str]) -> list[str]:
    """Sort names by their weight for a key, heaviest first."""
    return sorted(
        names,
        key=lambda name: (xxhash.xxh64_intdigest(f"{key}\0{name}".encode()), name),
        reverse=True,
    )
