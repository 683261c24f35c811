"""Sessions, timeouts and JSON encoding that all HTTP calls to the platform share."""

from __future__ import annotations

import time
from typing import Any, TypeVar

import aiohttp
import msgspec
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ConnectionKey

__all__ = [
    "CALL_PATH",
    "SKIPPED_HEADERS",
    "call_timeout",
    "decode",
    "new_session",
    "transfer_timeout",
]

T = TypeVar("T")

CALL_PATH = "/greengagewood/"
# A running machine accepts a connection within 20 ms; an unreachable machine never does.
CONNECT_TIMEOUT_S = 0.6
KEEP_ALIVE_S = 30.0
ANSWERED_LATELY_S = 0.5  # a connection that was used within this time is not taken for silent
MAX_TRANSFER_S = 20.0  # a link of 1 Mbit/s carries the largest answer of the store in this time
SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding")


class _Connector(aiohttp.TCPConnector):
    """Keep idle connections for later calls, but not those that may be silent.

    Connections may go silent without a reset. After a call without an answer, idle ones to the same
    address are closed, as each later call would else wait for an answer on one of them.
    """

    def _release(
        self, key: ConnectionKey, protocol: ResponseHandler, *, should_close: bool = False
    ) -> None:
        super()._release(key, protocol, should_close=should_close)
        if not should_close:
            return
        now_s = time.monotonic()
        for idle, released_s in self._conns.get(key, ()):
            if now_s - released_s >= ANSWERED_LATELY_S:
                idle.close()  # no call is sent on it any more


def new_session(limit_per_host: int) -> aiohttp.ClientSession:
    """Open a session that keeps idle connections for later calls."""
    connector = _Connector(limit=0, limit_per_host=limit_per_host, keepalive_timeout=KEEP_ALIVE_S)
    return aiohttp.ClientSession(
        connector=connector,
        skip_auto_headers=SKIPPED_HEADERS,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def call_timeout(total_s: float) -> aiohttp.ClientTimeout:
    """Return the timeouts of one call."""
    return aiohttp.ClientTimeout(total=total_s, sock_connect=min(total_s, CONNECT_TIMEOUT_S))


def transfer_timeout(silence_s: float) -> aiohttp.ClientTimeout:
    """Return the timeouts of a call whose answer may be large: it may take long, but not pause."""
    return aiohttp.ClientTimeout(
        total=MAX_TRANSFER_S, sock_connect=CONNECT_TIMEOUT_S, sock_read=silence_s
    )


def decode(body: bytes, model: type[T]) -> T:
    """Decode a JSON body; raise ValueError."""
    return msgspec.json.decode(body, type=model)


def encode(value: Any) -> bytes:
    """Encode a JSON body."""
    return msgspec.json.encode(value)
