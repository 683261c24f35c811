"""Choose loopback networks that no other process on the machine uses."""

from __future__ import annotations

import os
import socket

__all__ = ["LOCK_PORT", "PLATFORM_PORT", "reserve_network"]

PLATFORM_PORT = 17100
LOCK_PORT = 17000
NETWORKS = tuple(octet for octet in range(1, 251) if octet != 99)  # test_link binds in 127.99
_locks: list[socket.socket] = []


def _lock_address(octet: int) -> tuple[str, int]:
    return f"127.{octet}.255.254", LOCK_PORT


def _platform_address(octet: int) -> tuple[str, int]:
    return f"127.{octet}.0.1", PLATFORM_PORT


def _try_bind(address: tuple[str, int]) -> socket.socket | None:
    """Bind an address without SO_REUSEADDR, so that it fails if any process uses the address."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        bound.bind(address)
    except OSError:
        bound.close()
        return None
    return bound


def reserve_network() -> int:
    """Reserve a network 127.N.0.0/16 until this process ends and return N.

    A process that holds a network keeps its lock port bound. The address of the stand-in platform
    is checked too, because a cluster may outlive the process that started it. Raise RuntimeError if
    every network is in use.
    """
    first = os.getpid() % len(NETWORKS)
    for octet in NETWORKS[first:] + NETWORKS[:first]:
        lock = _try_bind(_lock_address(octet))
        if lock is None:
            continue
        platform = _try_bind(_platform_address(octet))
        if platform is None:
            lock.close()
            continue
        platform.close()
        _locks.append(lock)
        return octet
    raise RuntimeError("every loopback network is in use")
