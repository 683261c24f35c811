"""HTTP client for backend servers: send one attempt and classify its outcome.

A backend server echoes `X-Request-Id`. It rejects a request that it has not run with status 503
and `X-Refused: not-run`. Once it is leaving, it adds `X-Leaving: 1` to every response.

Connections for non-idempotent requests are never reused. When the server closes a reused
connection, the client cannot tell whether the server closed an idle connection or received the
request and lost it. aiohttp's own retry on reused connections is disabled for the same reason.
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
RETRY_BUFFER_BYTES = 64 * 1024  # a failure while these bytes are read can still be retried


class AttemptFailed(Exception):
    """Report that an attempt got no complete response, and whether the request may have run."""

    def __init__(self, verdict: Verdict, reason: Reason, detail: str, leaving: bool = False):
        super().__init__(f"{reason}: {detail}")
        self.verdict = verdict
        self.reason = reason
        self.detail = detail
        self.leaving = leaving


@dataclass(frozen=True)
class OutgoingRequest:
    """Represent a request to a backend server."""

    id: str
    method: str
    path: str
    headers: CIMultiDict[str]
    body: bytes
    idempotent: bool


@dataclass
class BackendResponse:
    """Represent a response whose body has been read up to the size of the retry buffer.

    `body_rest` yields what follows `body_start`; it is None if `body_start` is the whole body.
    """

    status: int
    headers: CIMultiDict[str]
    body_start: bytes
    body_rest: AsyncIterator[bytes] | None
    leaving: bool


class BackendClient:
    """Send requests to backend servers."""

    def __init__(self, source_ip: str) -> None:
        source_address = (source_ip, 0)
        no_timeout = aiohttp.ClientTimeout(total=None)
        self._pooled_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, keepalive_timeout=10, local_addr=source_address
            ),
            auto_decompress=False,
            timeout=no_timeout,
            skip_auto_headers=("User-Agent", "Content-Type", "Accept-Encoding", "Accept"),
        )
        self._single_use_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True, local_addr=source_address),
            auto_decompress=False,
            timeout=no_timeout,
            skip_auto_headers=("User-Agent", "Content-Type", "Accept-Encoding", "Accept"),
        )
        for session in (self._pooled_session, self._single_use_session):
            session._retry_connection = False

    async def close(self) -> None:
        """Close every connection."""
        await self._pooled_session.close()
        await self._single_use_session.close()

    async def send(self, url: str, req: OutgoingRequest, timeout_s: float) -> BackendResponse:
        """Send a request once and return its response; raise AttemptFailed."""
        session = self._pooled_session if req.idempotent else self._single_use_session
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        try:
            resp = await session.request(
                req.method,
                url + req.path,
                headers=req.headers,
                data=req.body or None,
                timeout=timeout,
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
        return await self._check_response(resp, req)

    async def _check_response(
        self, resp: aiohttp.ClientResponse, req: OutgoingRequest
    ) -> BackendResponse:
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
        body_start, is_complete = await self._read_body_start(resp)
        headers = CIMultiDict(
            (name, value)
            for name, value in resp.headers.items()
            if name.lower() not in HOP_BY_HOP_HEADERS
        )
        for name in (REQUEST_ID_HEADER, LEAVING_HEADER, REFUSED_HEADER):
            headers.popall(name, None)
        if is_complete:
            return BackendResponse(resp.status, headers, body_start, None, leaving)
        content_length = resp.headers.get("Content-Length")
        if content_length is not None:
            headers["Content-Length"] = content_length
        return BackendResponse(resp.status, headers, body_start, _iter_body_rest(resp), leaving)

    async def _read_body_start(self, resp: aiohttp.ClientResponse) -> tuple[bytes, bool]:
        """Read the body up to the buffer size, and return it and whether it is complete.

        Nothing has been passed on to the caller yet, so a failure here can still be retried.
        """
        body_start = bytearray()
        try:
            while len(body_start) < RETRY_BUFFER_BYTES:
                chunk = await resp.content.read(RETRY_BUFFER_BYTES - len(body_start))
                if not chunk:
                    return bytes(body_start), True
                body_start += chunk
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
        return bytes(body_start), resp.content.at_eof()


async def _iter_body_rest(resp: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    try:
        async for chunk in resp.content.iter_any():
            yield chunk
    finally:
        resp.close()
