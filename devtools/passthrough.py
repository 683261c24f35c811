"""A minimal aiohttp proxy, as the baseline of the gateway benchmark.

Arguments: LISTEN_IP PORT BACKEND_URL...
"""

from __future__ import annotations

import itertools
import sys

import aiohttp
import uvloop
from aiohttp import web

__all__ = ["main"]


async def build() -> web.Application:
    """Return an application that forwards requests to the backend servers in turn."""
    backend_urls = itertools.cycle(sys.argv[3:])
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    async def handle(req: web.Request) -> web.Response:
        body = await req.read()
        url = next(backend_urls) + req.raw_path
        headers = {"X-Request-Id": "p", "X-Caller": "p"}
        async with session.request(req.method, url, data=body or None, headers=headers) as resp:
            resp_body = await resp.read()
            return web.Response(status=resp.status, body=resp_body, content_type=resp.content_type)

    app = web.Application()
    app.router.add_route("*", "/{p:.*}", handle)
    return app


def main() -> None:
    """Serve until killed."""
    uvloop.install()
    web.run_app(build(), host=sys.argv[1], port=int(sys.argv[2]), access_log=None, print=None)


if __name__ == "__main__":
    main()
