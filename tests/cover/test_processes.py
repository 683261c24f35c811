"""The programs run as real processes over loopback while faults are injected.

Afterwards the audit of the demo must find no lost, repeated or mixed-up request or task.
"""

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
    started = Demo(cluster, cluster.write_control_settings())
    try:
        cluster.start()
        time.sleep(2)
        publish(started, document())
        cluster.wait_ready(20)
        yield started
    finally:
        cluster.stop()


def production_instances(demo):
    return [i for i in demo.cluster.instances.values() if i.stage == "production"]


async def run_under_load(demo, seconds, inject_faults, faulty_gateways=()):
    """Send requests and jobs while faults are injected, and return the callers.

    Only at `faulty_gateways` may a connection break or a request end as may_have_run.
    """
    gateways = [instance.url for instance in production_instances(demo)]
    rng = random.Random(11)
    callers = [
        LoadCaller(name, gateways, set(faulty_gateways), random.Random(rng.random()))
        for name in CALLERS
        for _ in range(3)
    ]
    jobs = [caller.submit_jobs(4, 2.5, 6, 3000) for caller in callers[::3]]
    await asyncio.gather(*(c.send_requests(seconds, 0.05) for c in callers), *jobs, inject_faults())
    await asyncio.gather(*(caller.await_jobs(60) for caller in callers))
    return callers


def assert_no_offences(demo, callers):
    report = audit(demo, callers)
    assert report.violations() == 0, report.notes[:10]
    assert not demo.problems, demo.problems[:10]
    assert report.requests > 0 and report.tasks > 0


class TestProcesses:
    def test_a_long_pause_lost_log_replies_and_a_partition_lose_nothing(self, demo):
        """Guard against lost or repeated work when the log and two instances are faulty.

        The log loses 30% of its replies to appends, one instance is paused for longer than a lease,
        and another one is cut off from the platform.
        """
        cluster = demo.cluster
        paused, cut_off = production_instances(demo)[0], production_instances(demo)[3]

        async def inject_faults():
            await asyncio.sleep(2)
            cluster.change_standin(log={"lose_answers": 0.3})
            cluster.send_signal(paused, signal.SIGSTOP)
            await asyncio.sleep(3)
            cluster.change_standin(cut_addresses=[cut_off.ip])
            await asyncio.sleep(14)
            cluster.send_signal(paused, signal.SIGCONT)
            await asyncio.sleep(3)
            cluster.change_standin(cut_addresses=[], log={})

        faulty_gateways = [paused.url, cut_off.url]
        callers = asyncio.run(run_under_load(demo, 24, inject_faults, faulty_gateways))
        assert_no_offences(demo, callers)

    def test_every_instance_is_replaced_one_after_another(self, demo):
        """Guard against requests that are lost or cut off during a rolling restart."""
        cluster = demo.cluster

        async def replace_instances():
            for instance in production_instances(demo):
                cluster.send_signal(instance, signal.SIGTERM)
                codes = await asyncio.to_thread(cluster.wait_for_exit, instance)
                assert set(codes.values()) == {0}
                cluster.start_instance(instance)
                await asyncio.sleep(1.5)

        callers = asyncio.run(run_under_load(demo, 40, replace_instances))
        assert_no_offences(demo, callers)
