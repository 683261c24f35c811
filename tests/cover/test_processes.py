"""The real programs as processes over loopback, under failures, audited as the demo is."""

import asyncio
import random
import signal
import time

import pytest
from devtools.callers import LoadCaller
from devtools.cluster import Cluster, ClusterPlan
from devtools.demo import CALLERS, Demo, audit, document, publish

PLAN = ClusterPlan(
    environment="padana",
    service="quotazioni",
    rack_by_domain={"pd-milano": "milano-r1", "pd-verona": "verona-r1", "pd-forli": "forli-r1"},
    workers_per_domain=2,
    instances_per_domain=2,
)


@pytest.fixture
def demo(tmp_path):
    cluster = Cluster(PLAN, tmp_path)
    found = Demo(cluster, cluster.write_control_settings())
    try:
        cluster.start()
        time.sleep(2)
        publish(found, document())
        cluster.wait_ready(20)
        yield found
    finally:
        cluster.stop()


def production(demo):
    return [i for i in demo.cluster.instances.values() if i.stage == "production"]


async def under_load(demo, seconds, disturb, fragile=()):
    gateways = [instance.url for instance in production(demo)]
    rng = random.Random(11)
    callers = [
        LoadCaller(name, gateways, set(fragile), random.Random(rng.random()))
        for name in CALLERS
        for _ in range(3)
    ]
    jobs = [caller.submit_jobs(4, 2.5, 6, 3000) for caller in callers[::3]]
    await asyncio.gather(*(c.send_requests(seconds, 0.05) for c in callers), *jobs, disturb())
    await asyncio.gather(*(caller.await_jobs(60) for caller in callers))
    return callers


def assert_in_order(demo, callers):
    found = audit(demo, callers)
    assert found.violations() == 0, found.notes[:10]
    assert not demo.problems, demo.problems[:10]
    assert found.requests > 0 and found.tasks > 0


class TestProcesses:
    def test_pauses_beyond_the_lease_lost_log_answers_and_a_partition(self, demo):
        """One instance is stopped for longer than a lease, another is cut off from the platform."""
        cluster = demo.cluster
        paused, cut = production(demo)[0], production(demo)[3]

        async def disturb():
            await asyncio.sleep(2)
            cluster.change_standin(log={"lose_answers": 0.3})
            cluster.send_signal(paused, signal.SIGSTOP)
            await asyncio.sleep(3)
            cluster.change_standin(cut_addresses=[cut.ip])
            await asyncio.sleep(14)
            cluster.send_signal(paused, signal.SIGCONT)
            await asyncio.sleep(3)
            cluster.change_standin(cut_addresses=[], log={})

        fragile = [paused.url, cut.url]
        callers = asyncio.run(under_load(demo, 24, disturb, fragile))
        assert_in_order(demo, callers)

    def test_every_instance_is_replaced_one_after_another(self, demo):
        cluster = demo.cluster

        async def disturb():
            for instance in production(demo):
                cluster.send_signal(instance, signal.SIGTERM)
                codes = await asyncio.to_thread(cluster.wait_for_exit, instance)
                assert set(codes.values()) == {0}
                cluster.start_instance(instance)
                await asyncio.sleep(1.5)

        callers = asyncio.run(under_load(demo, 40, disturb))
        assert_in_order(demo, callers)
