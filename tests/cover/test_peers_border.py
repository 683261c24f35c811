"""Test how input from peers and from the log is handled, valid or not."""

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
from greengagewood.internal.link import Frame, Link, LinkTimeout, Listener, sign_frame, verify_frame
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
OTHER_KEYS = Keys("k1", {"k1": "another-key-of-the-tests"})
OLD_KEYS = Keys("k0", {"k0": "an-old-key-of-the-tests-"})
ROTATING_KEYS = Keys("k1", {"k1": "a-key-for-the-tests-only", "k0": "an-old-key-of-the-tests-"})


def counts_by_label(metrics, name):
    content, _ = metrics.render()
    lines = [line for line in content.decode().splitlines() if f"_{name}_total" in line]
    return {
        line.split("{")[1].split("}")[0]: float(line.split()[-1]) for line in lines if "{" in line
    }


def frame(sequence=1, message=None):
    return Frame("p", 1, sequence, sequence, message or FetchConfig())


class TestFrames:
    def test_a_sealed_frame_is_accepted(self):
        assert verify_frame(KEYS, sign_frame(KEYS, frame())) == frame()

    def test_a_wrong_or_unknown_key_is_reported(self):
        assert verify_frame(KEYS, sign_frame(OTHER_KEYS, frame())) == "wrong_digest"
        assert verify_frame(KEYS, sign_frame(OLD_KEYS, frame())) == "unknown_key"

    def test_keys_can_be_rotated_while_both_are_accepted(self):
        assert verify_frame(ROTATING_KEYS, sign_frame(OLD_KEYS, frame())) == frame()
        assert verify_frame(ROTATING_KEYS, sign_frame(KEYS, frame())) == frame()

    @given(st.lists(st.binary(max_size=40), max_size=5))
    def test_arbitrary_parts_are_dropped_with_a_reason(self, parts):
        assert isinstance(verify_frame(KEYS, parts), str)

    @given(st.binary(max_size=100))
    def test_an_arbitrary_signed_body_is_dropped_or_decoded(self, body):
        parts = sign_frame(KEYS, frame())
        from greengagewood.internal.link import _digest

        frame_or_reason = verify_frame(KEYS, [parts[0], _digest(KEYS.accepted["k1"], body), body])
        assert isinstance(frame_or_reason, str | Frame)

    @given(st.integers(0, 60), st.integers(1, 255))
    def test_a_changed_byte_is_detected(self, at, flip):
        parts = sign_frame(KEYS, frame())
        body = bytearray(parts[2])
        body[at % len(body)] ^= flip
        assert verify_frame(KEYS, [parts[0], parts[1], bytes(body)]) == "wrong_digest"


class TestListener:
    async def serve(self, port, metrics):
        async def handler(sender, message):
            if isinstance(message, FetchConfig):
                return Done()
            raise ValueError("unexpected message")

        listener = Listener("l", Address("127.0.0.1", port), KEYS, handler, metrics)
        listener.start()
        return listener

    async def test_malformed_and_replayed_frames_and_failing_messages_are_counted(self):
        """None of them may stop the listener, which must still answer afterwards."""
        metrics = Metrics()
        listener = await self.serve(18801, metrics)
        raw = zmq.asyncio.Context.instance().socket(zmq.DEALER)
        raw.connect("tcp://127.0.0.1:18801")
        for parts in (
            [b"x"],
            [b"k1", b"y" * 16, b"z"],
            sign_frame(OLD_KEYS, frame()),
            sign_frame(KEYS, frame()),
        ):
            await raw.send_multipart(parts)
        await raw.send_multipart(sign_frame(KEYS, frame()))  # replays the frame before
        assert verify_frame(KEYS, await raw.recv_multipart()).message == Done()
        link = Link("c", "127.0.0.1:18801", KEYS, Metrics())
        assert isinstance(await link.request(Done(), 2.0), Failure)
        assert await link.request(FetchConfig(), 2.0) == Done()
        dropped = counts_by_label(metrics, "link_dropped")
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

    async def test_a_peer_that_does_not_answer_causes_a_timeout(self):
        link = Link("c", "127.0.0.1:18802", KEYS, Metrics())
        try:
            await link.request(FetchConfig(), 0.1)
            raised = False
        except LinkTimeout:
            raised = True
        assert raised
        link.close()
        await asyncio.sleep(0)


class TestRecords:
    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_are_dropped_or_decoded(self, body):
        decode_record(body)

    @given(st.from_type(JobSubmitted) | st.from_type(KeyClaimed))
    def test_a_record_is_unchanged_by_encoding(self, record):
        assert decode_record(encode_record(record)) == record

    def test_deep_nesting_is_dropped(self):
        assert decode_record(b"[" * 100_000) is None

    @given(st.lists(st.from_type(AnyRecord), max_size=12))
    def test_arbitrary_records_in_any_order_leave_the_state_consistent(self, records):
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

    def test_an_older_heartbeat_number_or_boot_is_ignored(self):
        membership = Membership(self.member("a"), 0)
        assert membership.merge(self.member(boot=2, number=5), 0, 100)
        assert not membership.merge(self.member(boot=2, number=5), 0, 200)
        assert not membership.merge(self.member(boot=1, number=9), 0, 200)
        assert membership.peers["b"].last_heard_ms == 100

    def test_a_forwarded_description_keeps_its_age(self):
        """A member must not appear alive because another one has just forwarded its description."""
        membership = Membership(self.member("a"), 0)
        membership.update_self(self.member("a", number=2), 10_000)
        membership.merge(self.member(), 4000, 10_000)
        assert [m.instance for m in membership.alive(10_000, 3000)] == ["a"]

    def test_a_confirmation_counts_from_when_the_heartbeat_was_sent(self):
        membership = Membership(self.member("a"), 0)
        membership.confirm(self.member(number=2), sent_ms=1000, now_ms=60_000)
        assert membership.peers["b"].confirmed_ms == 1000

    def test_a_restart_clears_the_confirmation(self):
        membership = Membership(self.member("a"), 0)
        membership.confirm(self.member(boot=1), 1000, 1001)
        membership.merge(self.member(boot=2), 0, 1002)
        assert membership.peers["b"].confirmed_ms is None

    def test_a_peer_cannot_replace_the_description_of_this_instance(self):
        membership = Membership(self.member("a"), 0)
        assert not membership.merge(self.member("a", boot=99), 0, 1)

    @given(st.lists(st.tuples(st.from_type(Member), st.integers(-10, 10**6)), max_size=6))
    def test_arbitrary_members_are_handled(self, descriptions):
        membership = Membership(self.member("a"), 0)
        for member, age_ms in descriptions:
            membership.merge(member, age_ms, 10)
        membership.remove_silent(10**7)
        assert set(membership.peers) == {"a"}


def test_a_message_is_unchanged_by_encoding():
    decoder = msgspec.msgpack.Decoder(AnyMessage)
    assert decoder.decode(msgspec.msgpack.encode(Done())) == Done()
