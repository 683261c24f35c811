"""Test that a request with an idempotency key runs at most once, whichever gateways receive it."""

import asyncio
import itertools
import time
from collections import Counter

import aiohttp
import pytest

from greengagewood.internal import dispatch, keyed
from greengagewood.internal.keyclaims import KeyClaims
from greengagewood.internal.records import KeyClaimed, KeyReleased
from greengagewood.internal.standin.log import LogFaults
from greengagewood.internal.verdict import Verdict
from tests.common.system import auth, client, example_document, system

ROLES = ("keeper", "gateway")
RETRY_LIMIT_S = 20.0


async def post(http, cluster, instance, key, marker, body=b"order", caller="alice"):
    headers = auth(caller, **{"X-Marker": marker})
    if key:
        headers["Idempotency-Key"] = key
    url = f"{cluster.url(instance)}/quotazioni/orders"
    async with http.post(url, data=body, headers=headers) as resp:
        return resp.status, await resp.json()


def runs(cluster):
    executions = (e for b in cluster.platform.backends.values() for e in b.audit)
    return Counter(e.marker for e in executions if e.method == "POST")


class TestKeys:
    async def test_a_retry_through_another_gateway_gets_the_first_answer(self):
        async with system(instances=2, roles=ROLES) as cluster, client() as http:
            first = await post(http, cluster, "i1", "k", "m1")
            second = await post(http, cluster, "i2", "k", "m2")
            assert first[0] == second[0] == 200
            assert second[1]["marker"] == "m1"
            assert runs(cluster) == {"m1": 1}

    async def test_retries_at_the_same_time_run_once(self):
        async with (
            system(instances=3, roles=ROLES, base_latency_ms=100) as cluster,
            client() as http,
        ):
            sent = [post(http, cluster, f"i{n % 3 + 1}", "k", f"m{n}") for n in range(9)]
            answers = await asyncio.gather(*sent)
            assert {status for status, _ in answers} == {200}
            assert len({answer["marker"] for _, answer in answers}) == 1
            assert sum(runs(cluster).values()) == 1

    async def test_a_retry_during_the_first_attempt_waits_for_its_answer(self):
        async with (
            system(instances=2, roles=ROLES, base_latency_ms=400) as cluster,
            client() as http,
        ):
            first = asyncio.create_task(post(http, cluster, "i1", "k", "m1"))
            await asyncio.sleep(0.15)
            second = await post(http, cluster, "i2", "k", "m2")
            assert second[1]["marker"] == "m1"
            assert (await first)[0] == 200

    async def test_a_retry_after_the_holder_stopped_is_told_that_it_may_have_run(self):
        """A gateway must not run a request again because the key's holder does not answer."""
        async with (
            system(instances=2, roles=ROLES, base_latency_ms=2000) as cluster,
            client() as http,
        ):
            first = asyncio.create_task(post(http, cluster, "i1", "k", "m1"))
            await asyncio.sleep(0.3)
            gateway = cluster.daemons["i1"]["gateway"]
            cluster.running.remove(gateway)
            await gateway._listener.stop()  # other gateways cannot ask it for answers any more
            status, answer = await post(http, cluster, "i2", "k", "m2")
            assert (status, answer["verdict"]) == (409, "may_have_run")
            assert answer["reason"] in ("key_holder_gone", "key_in_use")
            assert sum(runs(cluster).values()) <= 1
            await asyncio.gather(first, return_exceptions=True)
            await gateway.stop()

    async def test_a_key_is_scoped_to_its_caller_and_refused_with_a_different_body(self):
        async with system(roles=ROLES) as cluster, client() as http:
            assert (await post(http, cluster, "i1", "k", "m1"))[0] == 200
            assert (await post(http, cluster, "i1", "k", "m2", caller="bob"))[0] == 200
            status, answer = await post(http, cluster, "i1", "k", "m3", body=b"another")
            assert (status, answer["reason"]) == (422, "key_body_differs")
            assert runs(cluster) == {"m1": 1, "m2": 1}

    async def test_while_the_log_is_down_a_keyed_request_is_refused_as_not_run(self):
        """A refusal must not block the key: a retry must run once the log is available again."""
        async with system(roles=ROLES) as cluster, client() as http:
            cluster.platform.log.faults = LogFaults(down=True)
            answers = [await post(http, cluster, "i1", f"k{n}", f"m{n}") for n in range(3)]
            for status, answer in answers:
                assert (status, answer["verdict"]) == (503, "not_run")
                assert answer["retry_after_ms"] > 0
            assert (await post(http, cluster, "i1", "", "unkeyed"))[0] == 200
            cluster.platform.log.faults = LogFaults()
            for _ in range(50):
                status, answer = await post(http, cluster, "i1", "k0", "again")
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            assert answer["marker"] == "again"
            assert runs(cluster) == {"unkeyed": 1, "again": 1}

    async def test_a_request_runs_once_if_the_log_loses_append_answers(self):
        """A claim may be in the log although its append failed; a retry must not run it again."""
        async with system(instances=2, roles=ROLES) as cluster, client() as http:
            cluster.platform.log.faults = LogFaults(lose_answers=0.5)
            statuses = []
            for n in range(20):
                # How many appends fit into one attempt depends on the machine's load, so the
                # number of attempts is not limited.
                deadline_s = time.monotonic() + RETRY_LIMIT_S
                for attempt in itertools.count():
                    instance = f"i{attempt % 2 + 1}"
                    status, _ = await post(http, cluster, instance, f"k{n}", f"m{n}.{attempt}")
                    if status == 200 or time.monotonic() >= deadline_s:
                        break
                    await asyncio.sleep(0.1)
                statuses.append(status)
            assert statuses == [200] * 20
            per_key = Counter(marker.partition(".")[0] for marker in runs(cluster).elements())
            assert per_key == {f"m{n}": 1 for n in range(20)}


class TestUnkeyed:
    async def test_an_attempt_that_may_have_run_is_not_repeated(self):
        document = example_document(services__quotazioni__limits__timeout_ms=300)
        async with system(document, roles=ROLES, base_latency_ms=1000) as cluster, client() as http:
            status, answer = await post(http, cluster, "i1", "", "m1")
            assert (status, answer["verdict"]) == (504, "may_have_run")
            assert answer["retry"] is False
            assert sum(runs(cluster).values()) <= 1

    async def test_an_idempotent_request_is_retried_at_another_backend_server(self):
        async with system(roles=ROLES, workers=3) as cluster, client() as http:

            async def broken(req):
                req.transport.abort()
                raise aiohttp.web.HTTPInternalServerError

            cluster.platform.backends["w1"].serve = broken
            runner = cluster.platform._runners[1]
            await runner.cleanup()  # connections to the first backend server are refused
            for _ in range(10):
                async with http.get(f"{cluster.url()}/quotazioni", headers=auth()) as resp:
                    assert resp.status == 200


class TestMutants:
    """Check that the tests above fail for deliberately broken variants of the request path."""

    @pytest.mark.parametrize(
        ("target", "name", "value", "check"),
        [
            (
                dispatch.AttemptFailed,
                "verdict",
                Verdict.NOT_RUN,
                TestUnkeyed.test_an_attempt_that_may_have_run_is_not_repeated,
            ),
            (
                keyed.KeyedRequests,
                "_claim",
                None,
                TestKeys.test_a_retry_through_another_gateway_gets_the_first_answer,
            ),
            (
                KeyClaims,
                "replay",
                lambda self, record: self._claims.__setitem__(record.key, record),
                TestKeys.test_retries_at_the_same_time_run_once,
            ),
        ],
        ids=["everything counts as not run", "keys are not claimed", "the last claim wins"],
    )
    async def test_a_mutant_is_detected(self, monkeypatch, target, name, value, check):
        if name == "verdict":
            value = property(lambda self: Verdict.NOT_RUN, lambda self, given: None)
        if name == "_claim":

            async def value(self, key, attempt, digest, outage, deadline_ms):
                return keyed.ClaimReply("i1", 0, attempt, digest, True)

        monkeypatch.setattr(target, name, value, raising=False)
        with pytest.raises(AssertionError):
            await check(None)


class TestKeyClaims:
    def make_claim(self, attempt):
        return KeyClaimed("k", attempt, "i1", 1, "d", 0)

    def test_the_first_claim_holds_until_its_holder_releases_it(self):
        claims = KeyClaims()
        claims.replay(self.make_claim("a"))
        claims.replay(self.make_claim("b"))
        assert claims.holding_claim("k").attempt == "a"
        claims.replay(KeyReleased("k", "b"))
        assert claims.holding_claim("k").attempt == "a"
        claims.replay(KeyReleased("k", "a"))
        claims.replay(self.make_claim("b"))
        assert claims.holding_claim("k").attempt == "b"
