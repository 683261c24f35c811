"""What peers, the log and workers send, good and bad."""

import asyncio

import msgspec
import zmq
import zmq.asyncio
from hypothesis import given
from hypothesis import strategies as st

from greengagewood.internal.celllog import CellLog
from greengagewood.internal.confighistory import ConfigHistory
from greengagewood.internal.joblog import JobLog
from greengagewood.internal.keyclaims import KeyClaims
from greengagewood.internal.link import Frame, Link, LinkTimeout, Listener, seal, unseal
from greengagewood.internal.membership import Membership
from greengagewood.internal.messages import AnyMessage, Done, Failure, FetchConfig, Member, Version
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.records import (
    AnyRecord,
    ConfigPublished,
    JobCancelled,
    JobSubmitted,
    KeyClaimed,
    KeyReleased,
    decode_record,
    encode_record,
)
from greengagewood.internal.settings import Address, Keys

KEYS = Keys("k1", {"k1": "a-key-for-the-tests-only"})
OTHER = Keys("k1", {"k1": "another-key-of-the-tests"})
OLD = Keys("k0", {"k0": "an-old-key-of-the-tests-"})
ROTATING = Keys("k1", {"k1": "a-key-for-the-tests-only", "k0": "an-old-key-of-the-tests-"})


def counted(metrics, name):
    content, _ = metrics.render()
    lines = [line for line in content.decode().splitlines() if f"_{name}_total" in line]
    return {
        line.split("{")[1].split("}")[0]: float(line.split()[-1]) for line in lines if "{" in line
    }


def frame(sequence=1, message=None):
    return Frame("p", 1, sequence, sequence, message or FetchConfig())


class TestFrames:
    def test_a_sealed_frame_is_taken(self):
        assert unseal(KEYS, seal(KEYS, frame())) == frame()

    def test_a_wrong_or_unknown_key_is_named(self):
        assert unseal(KEYS, seal(OTHER, frame())) == "wrong_digest"
        assert unseal(KEYS, seal(OLD, frame())) == "unknown_key"

    def test_keys_can_be_rotated_while_both_are_accepted(self):
        assert unseal(ROTATING, seal(OLD, frame())) == frame()
        assert unseal(ROTATING, seal(KEYS, frame())) == frame()

    @given(st.lists(st.binary(max_size=40), max_size=5))
    def test_any_parts_are_dropped_with_a_reason(self, parts):
        assert isinstance(unseal(KEYS, parts), str)

    @given(st.binary(max_size=100))
    def test_any_signed_body_is_dropped_or_taken(self, body):
        parts = seal(KEYS, frame())
        from greengagewood.internal.link import _digest

        found = unseal(KEYS, [parts[0], _digest(KEYS.accepted["k1"], body), body])
        assert isinstance(found, str | Frame)

    @given(st.integers(0, 60), st.integers(1, 255))
    def test_a_changed_byte_is_noticed(self, at, flip):
        parts = seal(KEYS, frame())
        body = bytearray(parts[2])
        body[at % len(body)] ^= flip
        assert unseal(KEYS, [parts[0], parts[1], bytes(body)]) == "wrong_digest"


class TestListener:
    async def serve(self, port, metrics):
        async def handler(sender, message):
            if isinstance(message, FetchConfig):
                return Done()
            raise ValueError("no such thing")

        listener = Listener("l", Address("127.0.0.1", port), KEYS, handler, metrics)
        listener.start()
        return listener

    async def test_garbage_replays_and_failures_are_counted_and_survived(self):
        metrics = Metrics()
        listener = await self.serve(18801, metrics)
        raw = zmq.asyncio.Context.instance().socket(zmq.DEALER)
        raw.connect("tcp://127.0.0.1:18801")
        for parts in ([b"x"], [b"k1", b"y" * 16, b"z"], seal(OLD, frame()), seal(KEYS, frame())):
            await raw.send_multipart(parts)
        await raw.send_multipart(seal(KEYS, frame()))  # a replay
        assert unseal(KEYS, await raw.recv_multipart()).message == Done()
        link = Link("c", "127.0.0.1:18801", KEYS, Metrics())
        assert isinstance(await link.ask(Done(), 2.0), Failure)
        assert await link.ask(FetchConfig(), 2.0) == Done()
        dropped = counted(metrics, "link_dropped")
        reasons = {key.split('"')[1]: value for key, value in dropped.items()}
        assert reasons == {
            "malformed": 1,
            "wrong_digest": 1,
            "unknown_key": 1,
            "replayed": 1,
        }
        link.close()
        raw.close(0)
        await listener.stop()

    async def test_a_silent_peer_is_a_timeout(self):
        link = Link("c", "127.0.0.1:18802", KEYS, Metrics())
        try:
            await link.ask(FetchConfig(), 0.1)
            raised = False
        except LinkTimeout:
            raised = True
        assert raised
        link.close()
        await asyncio.sleep(0)


class TestRecords:
    @given(st.binary(max_size=200))
    def test_any_bytes_are_dropped_or_decoded(self, body):
        decode_record(body)

    @given(st.from_type(JobSubmitted) | st.from_type(KeyClaimed))
    def test_a_record_survives_encoding(self, record):
        assert decode_record(encode_record(record)) == record

    def test_deep_nesting_is_dropped(self):
        assert decode_record(b"[" * 100_000) is None

    @given(st.lists(st.from_type(AnyRecord), max_size=12))
    def test_any_records_in_any_order_leave_the_state_consistent(self, records):
        cell = CellLog("c")
        epoch = 0
        for offset, record in enumerate(records, 1):
            cell.replay(offset, record)
            assert cell.epoch >= epoch
            epoch = cell.epoch
        keys, jobs, history = KeyClaims(), JobLog(), ConfigHistory("padana")
        for offset, record in enumerate(records, 1):
            if isinstance(record, KeyClaimed | KeyReleased):
                keys.replay(record)
            elif isinstance(record, JobSubmitted | JobCancelled):
                jobs.replay(record)
            elif isinstance(record, ConfigPublished):
                assert history.replay(offset, record) != "accepted"


class TestMembership:
    def member(self, name="b", boot=1, number=1, **changes):
        values = {
            "instance": name,
            "failure_domain": "d",
            "boot": boot,
            "heartbeat_number": number,
            "leaving": False,
            "keeper_address": "",
            "gateway_address": "",
            "scheduler_address": "",
            "config": Version(0, ""),
        }
        return Member(**{**values, **changes})

    def test_an_older_beat_or_boot_is_not_news(self):
        found = Membership(self.member("a"), 0)
        assert found.merge(self.member(boot=2, number=5), 0, 100)
        assert not found.merge(self.member(boot=2, number=5), 0, 200)
        assert not found.merge(self.member(boot=1, number=9), 0, 200)
        assert found.peers["b"].last_heard_ms == 100

    def test_hearsay_is_as_old_as_it_was_when_it_was_told(self):
        found = Membership(self.member("a"), 0)
        found.update_self(self.member("a", number=2), 10_000)
        found.merge(self.member(), 4000, 10_000)
        assert [m.instance for m in found.alive(10_000, 3000)] == ["a"]

    def test_a_confirmation_counts_from_when_the_beat_was_sent(self):
        found = Membership(self.member("a"), 0)
        found.confirm(self.member(number=2), sent_ms=1000, now_ms=60_000)
        assert found.peers["b"].confirmed_ms == 1000

    def test_a_restart_voids_the_confirmation(self):
        found = Membership(self.member("a"), 0)
        found.confirm(self.member(boot=1), 1000, 1001)
        found.merge(self.member(boot=2), 0, 1002)
        assert found.peers["b"].confirmed_ms is None

    def test_others_cannot_speak_for_oneself(self):
        found = Membership(self.member("a"), 0)
        assert not found.merge(self.member("a", boot=99), 0, 1)

    @given(st.lists(st.tuples(st.from_type(Member), st.integers(-10, 10**6)), max_size=6))
    def test_any_members_are_survived(self, told):
        found = Membership(self.member("a"), 0)
        for member, age_ms in told:
            found.merge(member, age_ms, 10)
        found.remove_silent(10**7)
        assert set(found.peers) == {"a"}


def test_every_message_survives_msgpack():
    decoder = msgspec.msgpack.Decoder(AnyMessage)
    assert decoder.decode(msgspec.msgpack.encode(Done())) == Done()
