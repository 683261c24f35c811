"""Test valid and invalid requests of callers to a gateway, over real sockets."""

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
    async def test_the_answer_is_complete_and_belongs_to_the_caller(self):
        async with system() as cluster, client() as http:
            url = f"{cluster.url()}/quotazioni/7?bytes=300000"
            body = b"x" * 5000
            async with http.post(url, data=body, headers=auth(**{"X-Caller": "bob"})) as resp:
                answer = await resp.json()
                assert resp.status == 200
                assert answer["caller"] == "alice"
                assert answer["body_sha256"] == hashlib.sha256(body).hexdigest()
                assert len(answer["padding"]) == 300000

    async def test_unknown_callers_and_routes_are_refused_as_not_run(self):
        async with system() as cluster, client() as http:
            for path, headers, reason in (
                ("/quotazioni", {}, "unknown_caller"),
                ("/quotazioni", {"Authorization": "Bearer guess"}, "unknown_caller"),
                ("/elsewhere", auth(), "no_route"),
                ("/quotazionix", auth(), "no_route"),
            ):
                async with http.get(cluster.url() + path, headers=headers) as resp:
                    answer = await resp.json()
                    assert (answer["verdict"], answer["reason"]) == ("not_run", reason)
                    assert answer["retry"] is False

    async def test_an_oversized_body_is_refused_before_the_request_runs(self):
        document = example_document(services__quotazioni__limits__max_body_bytes=1000)
        async with system(document) as cluster, client() as http:

            async def chunks():
                for _ in range(50):
                    yield b"y" * 100

            for data in (b"x" * 1001, chunks()):
                url = f"{cluster.url()}/quotazioni"
                async with http.post(url, data=data, headers=auth()) as resp:
                    assert resp.status == 413
                    assert (await resp.json())["reason"] == "body_too_large"
            assert cluster.platform.backends["w1"].audit == []

    async def test_the_gateway_keeps_serving_after_oversized_headers_slow_senders_and_garbage(self):
        async with system() as cluster, client() as http:
            url = cluster.url()
            incomplete_head = b"GET /quotazioni HTTP/1.1\r\nHost: a\r\n"
            oversized = incomplete_head + b"X-Long: " + b"z" * 40_000 + b"\r\n\r\n"
            assert b" 400 " in (await send_raw(url, oversized)).split(b"\r\n")[0]
            assert b" 400 " in (await send_raw(url, b"\x00\xff\x13garbage\r\n\r\n"))
            assert await send_raw(url, incomplete_head, wait_s=5.0) == b""  # closed as idle
            assert await send_raw(url, incomplete_head + b"\r\n", half_close=True) is not None
            async with http.get(f"{url}/quotazioni", headers=auth()) as resp:
                assert resp.status == 200

    async def test_an_answer_that_a_backend_server_aborts_is_not_forwarded_as_complete(self):
        async with system(workers=1) as cluster, client() as http:

            async def abort_in_body(req):
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

            await replace_handler(cluster, abort_in_body)
            try:
                async with http.get(f"{cluster.url()}/quotazioni", headers=auth()) as resp:
                    await resp.read()
                    raised = False
            except aiohttp.ClientError:
                raised = True
            assert raised


async def replace_handler(cluster, handler):
    """Replace the first backend server by one that answers with `handler`."""
    runner = cluster.platform._runners.pop(1)
    await runner.cleanup()
    app = web.Application()
    app.router.add_route("*", "/{p:.*}", handler)
    new_runner = web.AppRunner(app)
    await new_runner.setup()
    await web.TCPSite(new_runner, f"{cluster.net}.1", 17200).start()
    cluster.platform._runners.append(new_runner)


class TestJobs:
    async def test_a_job_runs_and_only_its_caller_gets_the_results(self):
        async with system() as cluster, client() as http:
            base = f"{cluster.url()}/v1/jobs"
            spec = {"class": "price-grid", "tasks": 5, "cpus": 2, "memory_mb": 100, "run_ms": 50}
            async with http.post(base, json=spec, headers=auth()) as resp:
                assert resp.status == 202, await resp.text()
                job = (await resp.json())["job"]
            await self.wait_until_finished(http, f"{base}/{job}")
            async with http.get(f"{base}/{job}/result", headers=auth()) as resp:
                assert len((await resp.json())["results"]) == 5
            for method, path in (("GET", ""), ("GET", "/result"), ("POST", "/cancel")):
                url = f"{base}/{job}{path}"
                async with http.request(method, url, headers=auth("bob")) as resp:
                    assert resp.status == 404

    async def wait_until_finished(self, http, url):
        for _ in range(100):
            async with http.get(f"{url}/wait?timeout_ms=2000", headers=auth()) as resp:
                answer = await resp.json()
                if answer.get("state") == "finished":
                    return
            await asyncio.sleep(0.1)
        raise AssertionError(answer)

    async def test_a_repeated_submission_creates_one_job(self):
        async with system() as cluster, client() as http:
            base = f"{cluster.url()}/v1/jobs"
            spec = {"class": "validation", "tasks": 1, "cpus": 1, "memory_mb": 1, "run_ms": 10}
            job_names = []
            for _ in range(2):
                async with http.post(
                    base, json=spec, headers=auth(**{"Idempotency-Key": "k"})
                ) as resp:
                    job_names.append((await resp.json())["job"])
            assert job_names[0] == job_names[1]
            other_spec = {**spec, "tasks": 2}
            async with http.post(
                base, json=other_spec, headers=auth(**{"Idempotency-Key": "k"})
            ) as resp:
                assert (await resp.json())["reason"] == "key_body_differs"

    async def test_a_job_that_can_never_run_is_refused_with_the_reason(self):
        async with system() as cluster, client() as http:
            base = f"{cluster.url()}/v1/jobs"
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

    async def test_any_body_gets_an_answer_with_a_verdict(self):
        bodies = []

        @settings(max_examples=60, suppress_health_check=list(HealthCheck))
        @given(st.binary(max_size=300) | st.text(alphabet='{}[]":,0123a\\', max_size=80))
        def collect(body):
            bodies.append(body if isinstance(body, bytes) else body.encode())

        collect()
        bodies.append(b"[" * 60_000)
        async with system(roles=("keeper", "gateway")) as cluster, client() as http:
            for body in bodies:
                url = f"{cluster.url()}/v1/jobs"
                async with http.post(url, data=body, headers=auth()) as resp:
                    assert resp.status in (400, 413), body
                    assert (await resp.json())["verdict"] == "not_run"
