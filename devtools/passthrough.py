"""A bare pass-through on aiohttp, to measure the gateway against: LISTEN_IP PORT BACKEND_URL..."""

from __future__ import annotations

import itertools
import sys

import aiohttp
import uvloop
from aiohttp import web

__all__ = ["main"]


async def build() -> web.Application:
    """Return an application that hands every request to the next backend server."""
    targets = itertools.cycle(sys.argv[3:])
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    async def handle(req: web.Request) -> web.Response:
        body = await req.read()
        url = next(targets) + req.raw_path
        headers = {"X-Request-Id": "p", "X-Caller": "p"}
        async with session.request(req.method, url, data=body or None, headers=headers) as resp:
            answer = await resp.read()
            return web.Response(status=resp.status, body=answer, content_type=resp.content_type)

    app = web.Application()
    app.router.add_route("*", "/{p:.*}", handle)
    return app


def main() -> None:
    """Serve until killed."""
    uvloop.install()
    web.run_app(build(), host=sys.argv[1], port=int(sys.argv[2]), access_log=None, print=None)


if __name__ == "__main__":
    main()
