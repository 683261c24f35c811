"""What callers send, good and bad, over real sockets."""

import asyncio
import hashlib

import aiohttp
from aiohttp import web
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.common.system import auth, client, example_document, system


async def send_raw(url, data, half_close=False, wait_s=3.0):
    host, port = url.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    await writer.drain()
    if half_close:
        writer.write_eof()
    try:
        return await asyncio.wait_for(reader.read(65536), wait_s)
    except TimeoutError:
        return None
    finally:
        writer.close()


class TestRequests:
    async def test_the_answer_is_whole_and_the_callers_own(self):
        async with system() as found, client() as http:
            url = f"{found.url()}/quotazioni/7?bytes=300000"
            body = b"x" * 5000
            async with http.post(url, data=body, headers=auth(**{"X-Caller": "bob"})) as resp:
                answer = await resp.json()
                assert resp.status == 200
                assert answer["caller"] == "alice"
                assert answer["body_sha256"] == hashlib.sha256(body).hexdigest()
                assert len(answer["padding"]) == 300000

    async def test_unknown_callers_and_routes_are_refused_as_not_run(self):
        async with system() as found, client() as http:
            for path, headers, reason in (
                ("/quotazioni", {}, "unknown_caller"),
                ("/quotazioni", {"Authorization": "Bearer guess"}, "unknown_caller"),
                ("/elsewhere", auth(), "no_route"),
                ("/quotazionix", auth(), "no_route"),
            ):
                async with http.get(found.url() + path, headers=headers) as resp:
                    answer = await resp.json()
                    assert (answer["verdict"], answer["reason"]) == ("not_run", reason)
                    assert answer["retry"] is False

    async def test_an_oversize_body_is_refused_before_it_runs(self):
        document = example_document(services__quotazioni__limits__max_body_bytes=1000)
        async with system(document) as found, client() as http:

            async def chunks():
                for _ in range(50):
                    yield b"y" * 100

            for data in (b"x" * 1001, chunks()):
                url = f"{found.url()}/quotazioni"
                async with http.post(url, data=data, headers=auth()) as resp:
                    assert resp.status == 413
                    assert (await resp.json())["reason"] == "body_too_large"
            assert found.platform.backends["w1"].audit == []

    async def test_oversize_headers_slow_senders_and_garbage_leave_the_gateway_serving(self):
        async with system() as found, client() as http:
            url = found.url()
            start = b"GET /quotazioni HTTP/1.1\r\nHost: a\r\n"
            oversize = start + b"X-Long: " + b"z" * 40_000 + b"\r\n\r\n"
            assert b" 400 " in (await send_raw(url, oversize)).split(b"\r\n")[0]
            assert b" 400 " in (await send_raw(url, b"\x00\xff\x13garbage\r\n\r\n"))
            assert await send_raw(url, start, wait_s=5.0) == b""  # closed when quiet for too long
            assert await send_raw(url, start + b"\r\n", half_close=True) is not None
            async with http.get(f"{url}/quotazioni", headers=auth()) as resp:
                assert resp.status == 200

    async def test_a_backend_that_breaks_an_answer_off_is_not_passed_on_as_whole(self):
        async with system(workers=1) as found, client() as http:

            async def broken(req):
                resp = web.StreamResponse(
                    headers={
                        "X-Request-Id": req.headers["X-Request-Id"],
                        "Content-Length": "200000",
                    }
                )
                await resp.prepare(req)
                await resp.write(b"a" * 100_000)
                await asyncio.sleep(0.05)
                req.transport.abort()
                return resp

            await replace_handler(found, broken)
            try:
                async with http.get(f"{found.url()}/quotazioni", headers=auth()) as resp:
                    await resp.read()
                    raised = False
            except aiohttp.ClientError:
                raised = True
            assert raised


async def replace_handler(found, handler):
    """Serve the first backend server's port with another handler."""
    runner = found.platform._runners.pop(1)
    await runner.cleanup()
    app = web.Application()
    app.router.add_route("*", "/{p:.*}", handler)
    fresh = web.AppRunner(app)
    await fresh.setup()
    await web.TCPSite(fresh, f"{found.net}.1", 17200).start()
    found.platform._runners.append(fresh)


class TestJobs:
    async def test_a_job_runs_and_gives_its_results_only_to_its_caller(self):
        async with system() as found, client() as http:
            base = f"{found.url()}/v1/jobs"
            spec = {"class": "price-grid", "tasks": 5, "cpus": 2, "memory_mb": 100, "run_ms": 50}
            async with http.post(base, json=spec, headers=auth()) as resp:
                assert resp.status == 202, await resp.text()
                job = (await resp.json())["job"]
            await self.until_finished(http, f"{base}/{job}")
            async with http.get(f"{base}/{job}/result", headers=auth()) as resp:
                assert len((await resp.json())["results"]) == 5
            for method, path in (("GET", ""), ("GET", "/result"), ("POST", "/cancel")):
                url = f"{base}/{job}{path}"
                async with http.request(method, url, headers=auth("bob")) as resp:
                    assert resp.status == 404

    async def until_finished(self, http, url):
        for _ in range(100):
            async with http.get(f"{url}/wait?timeout_ms=2000", headers=auth()) as resp:
                answer = await resp.json()
                if answer.get("state") == "finished":
                    return
            await asyncio.sleep(0.1)
        raise AssertionError(answer)

    async def test_a_repeated_submission_is_one_job(self):
        async with system() as found, client() as http:
            base = f"{found.url()}/v1/jobs"
            spec = {"class": "validation", "tasks": 1, "cpus": 1, "memory_mb": 1, "run_ms": 10}
            names = []
            for _ in range(2):
                async with http.post(
                    base, json=spec, headers=auth(**{"Idempotency-Key": "k"})
                ) as resp:
                    names.append((await resp.json())["job"])
            assert names[0] == names[1]
            other = {**spec, "tasks": 2}
            async with http.post(
                base, json=other, headers=auth(**{"Idempotency-Key": "k"})
            ) as resp:
                assert (await resp.json())["reason"] == "key_body_differs"

    async def test_a_job_that_can_never_run_is_refused_with_the_reason(self):
        async with system() as found, client() as http:
            base = f"{found.url()}/v1/jobs"
            spec = {"class": "validation", "tasks": 1, "cpus": 1, "memory_mb": 1, "run_ms": 10}
            for change, reason in (
                ({"class": "unknown"}, "bad_request"),
                ({"cpus": 999}, "over_quota"),
                ({"tasks": 0}, "bad_request"),
                ({"priority": "high"}, "bad_request"),
            ):
                async with http.post(base, json={**spec, **change}, headers=auth()) as resp:
                    answer = await resp.json()
                    assert (answer["verdict"], answer["reason"]) == ("not_run", reason)
                    assert answer["retry"] is False

    async def test_any_body_gets_a_typed_answer(self):
        bodies = []

        @settings(max_examples=60, suppress_health_check=list(HealthCheck))
        @given(st.binary(max_size=300) | st.text(alphabet='{}[]":,0123a\\', max_size=80))
        def collect(body):
            bodies.append(body if isinstance(body, bytes) else body.encode())

        collect()
        bodies.append(b"[" * 60_000)
        async with system(roles=("keeper", "gateway")) as found, client() as http:
            for body in bodies:
                url = f"{found.url()}/v1/jobs"
                async with http.post(url, data=body, headers=auth()) as resp:
                    assert resp.status in (400, 413), body
                    assert (await resp.json())["verdict"] == "not_run"
