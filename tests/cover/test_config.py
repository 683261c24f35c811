"""Test that all keepers accept the same configuration and never go back to an older one."""

import asyncio
from unittest import mock

import aiohttp
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagewood.internal.confighistory import ConfigHistory
from greengagewood.internal.ctl.publish import Publisher
from greengagewood.internal.document import document_digest
from greengagewood.internal.native.logservice import LogService, LogUnavailable, StreamBatch
from greengagewood.internal.records import (
    ConfigPublished,
    EvacuationOrdered,
    StoredRecord,
    encode_record,
)
from greengagewood.internal.settings import Address
from greengagewood.internal.standin.log import LogFaults
from tests.common.system import example_document, system

TEXTS = [
    example_document(services__quotazioni__limits__timeout_ms=timeout)
    for timeout in range(100, 104)
]


def make_record(text, based_on, operator="a"):
    return ConfigPublished(document_digest(text), text, based_on, operator, 0)


def last_accepted_offset(records):
    """Return the offset accepted last, by a plain loop over all records."""
    accepted = 0
    for offset, record in enumerate(records, 1):
        if record.based_on == accepted:
            accepted = offset
    return accepted


class TestHistory:
    @settings(max_examples=30)
    @given(
        st.lists(st.tuples(st.sampled_from(TEXTS), st.integers(0, 6)), max_size=6),
        st.randoms(use_true_random=False),
    )
    def test_readers_accept_the_same_record_whatever_they_adopt_from_peers(
        self, texts_and_bases, rng
    ):
        """Adopting a peer's configuration at any time must not change which record is accepted."""
        records = [make_record(text, based_on) for text, based_on in texts_and_bases]
        readers = [ConfigHistory("padana") for _ in range(2)]
        for offset, record in enumerate(records, 1):
            for reader in readers:
                before = reader.accepted_offset
                reader.replay(offset, record)
                other = rng.choice(readers)
                if other.accepted is not None and rng.random() < 0.5:
                    adopted = other.accepted
                    reader.adopt(adopted.offset, adopted.digest, adopted.text)
                assert reader.accepted_offset >= before
        for reader in readers:
            assert reader.accepted_offset == last_accepted_offset(records)

    def test_a_reader_that_missed_records_replays_the_rest_after_a_snapshot(self):
        """A reader must not decide about records that it read before it knows what was accepted."""
        reader = ConfigHistory("padana")
        reader.lose_sync()
        assert reader.replay(9, make_record(TEXTS[1], 5)) == "kept"
        assert reader.replay(10, make_record(TEXTS[2], 5)) == "kept"
        assert reader.adopt(5, document_digest(TEXTS[0]), TEXTS[0]) == "accepted"
        assert reader.accepted_offset == 9

    def test_documents_that_are_invalid_or_of_another_environment_are_not_accepted(self):
        history = ConfigHistory("padana")
        assert history.replay(1, ConfigPublished("x", TEXTS[0], 0, "a", 0)) == "wrong_digest"
        other = TEXTS[0].replace("environment: padana", "environment: elsewhere")
        assert history.replay(1, make_record(other, 0)) == "other_environment"
        assert history.replay(1, make_record("a: 1", 0)) == "invalid"


class TestPublisher:
    async def test_of_two_concurrent_operators_one_succeeds_and_the_other_gets_an_error(self):
        async with system(roles=("keeper",), instances=2) as cluster:
            async with aiohttp.ClientSession() as session:
                log = LogService(session, Address(f"{cluster.net}.1", 17100))
                outcomes = await asyncio.gather(
                    *(
                        Publisher(log, "padana").publish("production", text, name, 5.0)
                        for name, text in (("anna", TEXTS[1]), ("bert", TEXTS[2]))
                    )
                )
            successes = [o for o in outcomes if o.is_ok()]
            failures = [o for o in outcomes if o.is_err()]
            assert len(successes) == len(failures) == 1
            winner = successes[0].ok_value
            assert winner.digest[:12] in failures[0].err_value
            keepers = [d["keeper"] for d in cluster.daemons.values()]
            await cluster.until(
                lambda: all(k._config_history.accepted_offset == winner.offset for k in keepers),
                "in force",
            )

    async def test_publishing_succeeds_if_the_log_loses_append_answers(self):
        """A second copy of the record, from a retried append, must not be accepted as well."""
        async with system(roles=("keeper",)) as cluster, aiohttp.ClientSession() as session:
            log = LogService(session, Address(f"{cluster.net}.1", 17100))
            cluster.platform.log.faults = LogFaults(lose_answers=0.7)
            outcome = await Publisher(log, "padana").publish("production", TEXTS[1], "a", 20.0)
            assert outcome.is_ok()
            cluster.platform.log.faults = LogFaults()
            history, _ = await Publisher(log, "padana").history("production")
            assert history.accepted.digest == document_digest(TEXTS[1])


class _ShortLog:
    """A log that returns at most some records of a stream, and none from `gap` on."""

    def __init__(self, records, gap=None):
        self.records = records
        self.gap = gap

    async def read(self, cursors, wait_ms, max_records):
        (stream, cursor), *_ = cursors.items()
        end = len(self.records) + 1
        upto = min(cursor + max_records, end, end if self.gap is None else self.gap)
        stored = (
            StoredRecord(offset, str(offset), encode_record(self.records[offset - 1]))
            for offset in range(cursor, upto)
        )
        return {stream: StreamBatch(1, end, tuple(stored))}


class TestPublisherReads:
    """Guard against an older document or order that is taken for the newest one."""

    @pytest.mark.parametrize("count", [999, 1_000, 1_001, 2_500])
    async def test_all_records_are_read_however_many_answers_they_fill(self, count):
        orders = [EvacuationOrdered("pd-forli", i % 2 == 0, "a", i) for i in range(count)]
        state = await Publisher(_ShortLog(orders), "padana").read("production")
        assert state.orders.newest("pd-forli").offset == count

    async def test_an_empty_answer_before_the_end_of_the_stream_is_no_end(self):
        orders = [EvacuationOrdered("pd-forli", i % 2 == 0, "a", i) for i in range(9)]
        with pytest.raises(LogUnavailable):
            await Publisher(_ShortLog(orders, gap=5), "padana").read("production")


class TestPropagation:
    async def test_a_keeper_that_starts_while_the_log_is_down_fetches_from_a_peer(self):
        async with system(roles=("keeper",), instances=3) as cluster:
            stopped = cluster.daemons["i3"]["keeper"]
            cluster.running.remove(stopped)
            await stopped.stop()
            cluster.platform.log.faults = LogFaults(down=True)
            restarted = cluster._daemons("i3")["keeper"]
            await restarted.start()
            cluster.running.append(restarted)
            await cluster.until(
                lambda: restarted._config_history.accepted_offset == 1, "fetched from a peer"
            )

    async def test_a_keeper_that_is_cut_off_from_the_log_fetches_from_its_peers(self):
        async with system(roles=("keeper",), instances=3) as cluster:
            cluster.platform._cut_from_log = frozenset({cluster.address("i2", 1).ip})
            cluster.publish(TEXTS[1], based_on=1)
            cut = cluster.daemons["i2"]["keeper"]
            await cluster.until(
                lambda: cut._config_history.accepted_offset == 2,
                "in force at the keeper that is cut off",
                9.0,
            )

    async def test_a_replay_that_compares_times_is_detected(self):
        """Check that a broken variant, which accepts whatever was published later, is detected."""

        def replay_by_time(self, offset, record):
            if self.accepted is not None and record.at_ms < 1:
                return "older"
            return self._accept(offset, record.digest, record.text)

        with mock.patch.object(ConfigHistory, "replay", replay_by_time):
            reader = ConfigHistory("padana")
            for offset, record in enumerate(
                [make_record(TEXTS[0], 0), make_record(TEXTS[1], 0)], 1
            ):
                reader.replay(offset, ConfigPublished(*[*_fields(record)[:4], 5]))
            assert reader.accepted_offset != last_accepted_offset(
                [make_record(TEXTS[0], 0), make_record(TEXTS[1], 0)]
            )


def _fields(record):
    return (record.digest, record.text, record.based_on, record.operator, record.at_ms)
