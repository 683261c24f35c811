"""Client of backend servers: one HTTP attempt, and what its outcome proves.

A backend server echoes `X-Request-Id`. It refuses a request that it has not run with status 503
and `X-Refused: not-run`, and marks every answer with `X-Leaving: 1` once it is leaving.

Connections of non-idempotent requests are never reused: on a reused one, a close by the server
cannot be told from a request that was taken and lost. aiohttp's own retry on reused connections is
off for the same reason.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDict

from greengagewood.internal.verdict import Reason, Verdict

__all__ = ["AttemptFailed", "BackendClient", "BackendResponse", "OutgoingRequest"]

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
    }
)
REQUEST_ID_HEADER = "X-Request-Id"
REFUSED_HEADER = "X-Refused"
LEAVING_HEADER = "X-Leaving"
CONNECT_TIMEOUT_S = 0.5
RETRY_BUFFER_BYTES = 64 * 1024


class AttemptFailed(Exception):
    """Report an attempt without a whole answer, and whether the request may have run."""

    def __init__(self, verdict: Verdict, reason: Reason, detail: str, leaving: bool = False):
        super().__init__(f"{reason}: {detail}")
        self.verdict = verdict
        self.reason = reason
        self.detail = detail
        self.leaving = leaving


@dataclass(frozen=True)
class OutgoingRequest:
    """Hold a request to send to a backend server."""

    id: str
    method: str
    path: str
    headers: CIMultiDict[str]
    body: bytes
    idempotent: bool


@dataclass
class BackendResponse:
    """Hold an answer's head, its first bytes, and the rest unless `rest` is None."""

    status: int
    headers: CIMultiDict[str]
    body_start: bytes
    body_rest: AsyncIterator[bytes] | None
    leaving: bool


class BackendClient:
    """Send requests to backend servers."""

    def __init__(self, source_ip: str) -> None:
        source = (source_ip, 0)
        no_limit = aiohttp.ClientTimeout(total=None)
        self._reusing = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=10, local_addr=source),
            auto_decompress=False,
            timeout=no_limit,
            skip_auto_headers=("User-Agent", "Content-Type", "Accept-Encoding", "Accept"),
        )
        self._fresh = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True, local_addr=source),
            auto_decompress=False,
            timeout=no_limit,
            skip_auto_headers=("User-Agent", "Content-Type", "Accept-Encoding", "Accept"),
        )
        for session in (self._reusing, self._fresh):
            session._retry_connection = False

    async def close(self) -> None:
        """Close every connection."""
        await self._reusing.close()
        await self._fresh.close()

    async def send(self, url: str, req: OutgoingRequest, timeout_s: float) -> BackendResponse:
        """Send a request once; raise AttemptFailed."""
        session = self._reusing if req.idempotent else self._fresh
        limit = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        try:
            resp = await session.request(
                req.method,
                url + req.path,
                headers=req.headers,
                data=req.body or None,
                timeout=limit,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise AttemptFailed(Verdict.NOT_RUN, Reason.BACKEND_UNREACHABLE, str(exc)) from exc
        except TimeoutError as exc:
            raise AttemptFailed(
                Verdict.MAY_HAVE_RUN, Reason.BACKEND_TIMEOUT, f"no answer in {timeout_s:.3f} s"
            ) from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise AttemptFailed(Verdict.MAY_HAVE_RUN, Reason.BACKEND_BROKE_OFF, repr(exc)) from exc
        return await self._check(resp, req)

    async def _check(self, resp: aiohttp.ClientResponse, req: OutgoingRequest) -> BackendResponse:
        leaving = resp.headers.get(LEAVING_HEADER) == "1"
        if resp.headers.get(REQUEST_ID_HEADER) != req.id:
            resp.close()
            raise AttemptFailed(
                Verdict.MAY_HAVE_RUN, Reason.BACKEND_MISMATCH, "answer to another request"
            )
        if resp.status == 503 and resp.headers.get(REFUSED_HEADER) == "not-run":
            resp.close()
            raise AttemptFailed(
                Verdict.NOT_RUN, Reason.BACKEND_REFUSED, "refused by the backend server", leaving
            )
        first, ended = await self._read_first(resp)
        headers = CIMultiDict(
            (name, value)
            for name, value in resp.headers.items()
            if name.lower() not in HOP_BY_HOP_HEADERS
        )
        for name in (REQUEST_ID_HEADER, LEAVING_HEADER, REFUSED_HEADER):
            headers.popall(name, None)
        if ended:
            return BackendResponse(resp.status, headers, first, None, leaving)
        length = resp.headers.get("Content-Length")
        if length is not None:
            headers["Content-Length"] = length
        return BackendResponse(resp.status, headers, first, _rest(resp), leaving)

    async def _read_first(self, resp: aiohttp.ClientResponse) -> tuple[bytes, bool]:
        """Read up to the buffer's size; a break within it can still be retried."""
        parts = bytearray()
        try:
            while len(parts) < RETRY_BUFFER_BYTES:
                chunk = await resp.content.read(RETRY_BUFFER_BYTES - len(parts))
                if not chunk:
                    return bytes(parts), True
                parts += chunk
        except TimeoutError as exc:
            resp.close()
            raise AttemptFailed(
                Verdict.MAY_HAVE_RUN, Reason.BACKEND_TIMEOUT, "answer not whole in time"
            ) from exc
        except (aiohttp.ClientError, OSError) as exc:
            resp.close()
            raise AttemptFailed(Verdict.MAY_HAVE_RUN, Reason.BACKEND_BROKE_OFF, repr(exc)) from exc
        except asyncio.CancelledError:
            resp.close()
            raise
        return bytes(parts), resp.content.at_eof()


async def _rest(resp: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    try:
        async for chunk in resp.content.iter_any():
            yield chunk
    finally:
        resp.close()
