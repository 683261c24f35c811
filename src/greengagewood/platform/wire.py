"""Sessions, timeouts and JSON encoding that all HTTP calls to the platform share."""

from __future__ import annotations

from typing import Annotated, Any, TypeVar

import aiohttp
import msgspec
from msgspec import Meta

__all__ = [
    "CALL_PATH",
    "SKIPPED_HEADERS",
    "Integer",
    "Number",
    "call_timeout",
    "decode",
    "new_session",
    "transfer_timeout",
]

T = TypeVar("T")

# JSON numbers may have any number of digits, but a record of the cell stores 64 bits.
MAX_INTEGER = 2**53 - 1
Integer = Annotated[int, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Number = Annotated[float, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]

CALL_PATH = "/greengagewood/"
# A running machine accepts a connection within 20 ms; an unreachable machine never does.
CONNECT_TIMEOUT_S = 0.6
KEEP_ALIVE_S = 30.0
MAX_TRANSFER_S = 20.0  # a link of 1 Mbit/s carries the largest answer of the store in this time
SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding")


def new_session(limit_per_host: int) -> aiohttp.ClientSession:
    """Open a session that keeps idle connections for later calls."""
    connector = aiohttp.TCPConnector(
        limit=0, limit_per_host=limit_per_host, keepalive_timeout=KEEP_ALIVE_S
    )
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
    try:
        return msgspec.json.decode(body, type=model)
    except RecursionError as exc:
        raise ValueError("the body is nested too deeply") from exc


def encode(value: Any) -> bytes:
    """Encode a JSON body."""
    return msgspec.json.encode(value)
