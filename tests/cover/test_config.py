"""One configuration is in force everywhere, and never an older one."""

import asyncio
from unittest import mock

import aiohttp
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagewood.internal.confighistory import ConfigHistory
from greengagewood.internal.ctl.publish import Publisher
from greengagewood.internal.document import digest_of
from greengagewood.internal.native.logservice import LogService
from greengagewood.internal.records import ConfigPublished
from greengagewood.internal.settings import Address
from greengagewood.internal.standin.log import LogFaults
from tests.common.system import example_document, system

TEXTS = [
    example_document(services__quotazioni__limits__timeout_ms=timeout)
    for timeout in range(100, 104)
]


def published(text, based_on, operator="a"):
    return ConfigPublished(digest_of(text), text, based_on, operator, 0)


def naive_replay(records):
    """Return the accepted offset, the obvious way."""
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
    def test_every_reader_accepts_the_same_whatever_it_hears_on_the_way(self, made, rng):
        records = [published(text, based_on) for text, based_on in made]
        readers = [ConfigHistory("padana") for _ in range(2)]
        for offset, record in enumerate(records, 1):
            for reader in readers:
                before = reader.accepted_offset
                reader.replay(offset, record)
                other = rng.choice(readers)
                if other.accepted is not None and rng.random() < 0.5:
                    found = other.accepted
                    reader.adopt(found.offset, found.digest, found.text)
                assert reader.accepted_offset >= before
        for reader in readers:
            assert reader.accepted_offset == naive_replay(records)

    def test_a_reader_whose_beginning_is_forgotten_judges_after_a_snapshot(self):
        late = ConfigHistory("padana")
        late.lose_sync()
        assert late.replay(9, published(TEXTS[1], 5)) == "kept"
        assert late.replay(10, published(TEXTS[2], 5)) == "kept"
        assert late.adopt(5, digest_of(TEXTS[0]), TEXTS[0]) == "accepted"
        assert late.accepted_offset == 9

    def test_other_documents_are_not_accepted(self):
        history = ConfigHistory("padana")
        assert history.replay(1, ConfigPublished("x", TEXTS[0], 0, "a", 0)) == "wrong_digest"
        other = TEXTS[0].replace("environment: padana", "environment: elsewhere")
        assert history.replay(1, published(other, 0)) == "other_environment"
        assert history.replay(1, published("a: 1", 0)) == "invalid"


class TestOperators:
    async def test_of_two_who_race_one_wins_and_the_other_is_told(self):
        async with system(roles=("keeper",), instances=2) as found:
            async with aiohttp.ClientSession() as session:
                log = LogService(session, Address(f"{found.net}.1", 17100))
                outcomes = await asyncio.gather(
                    *(
                        Publisher(log, "padana").publish("production", text, name, 5.0)
                        for name, text in (("anna", TEXTS[1]), ("bert", TEXTS[2]))
                    )
                )
            won = [o for o in outcomes if o.is_ok()]
            lost = [o for o in outcomes if o.is_err()]
            assert len(won) == len(lost) == 1
            winner = won[0].ok_value
            assert winner.digest[:12] in lost[0].err_value
            keepers = [d["keeper"] for d in found.daemons.values()]
            await found.until(
                lambda: all(k._config_history.accepted_offset == winner.offset for k in keepers),
                "in force",
            )

    async def test_a_lost_answer_of_the_log_does_not_publish_twice(self):
        async with system(roles=("keeper",)) as found, aiohttp.ClientSession() as session:
            log = LogService(session, Address(f"{found.net}.1", 17100))
            found.platform.log.faults = LogFaults(lose_answers=0.7)
            outcome = await Publisher(log, "padana").publish("production", TEXTS[1], "a", 20.0)
            assert outcome.is_ok()
            found.platform.log.faults = LogFaults()
            history, _ = await Publisher(log, "padana").history("production")
            assert history.accepted.digest == digest_of(TEXTS[1])


class TestSpread:
    async def test_an_instance_that_boots_while_the_log_is_away_learns_from_a_peer(self):
        async with system(roles=("keeper",), instances=3) as found:
            late = found.daemons["i3"]["keeper"]
            found.running.remove(late)
            await late.stop()
            found.platform.log.faults = LogFaults(down=True)
            fresh = found._daemons("i3")["keeper"]
            await fresh.start()
            found.running.append(fresh)
            await found.until(
                lambda: fresh._config_history.accepted_offset == 1, "learned from a peer"
            )

    async def test_a_node_whose_log_reading_is_cut_off_follows_its_peers(self):
        async with system(roles=("keeper",), instances=3) as found:
            found.platform._cut_from_log = frozenset({found.address("i2", 1).ip})
            found.publish(TEXTS[1], based_on=1)
            cut = found.daemons["i2"]["keeper"]
            await found.until(
                lambda: cut._config_history.accepted_offset == 2, "in force at the cut node", 9.0
            )

    async def test_comparing_by_time_would_be_caught(self):
        """The broken variant: whichever was published later is taken."""

        def by_time(self, offset, record):
            if self.accepted is not None and record.at_ms < 1:
                return "older"
            return self._accept(offset, record.digest, record.text)

        with mock.patch.object(ConfigHistory, "replay", by_time):
            reader = ConfigHistory("padana")
            for offset, record in enumerate([published(TEXTS[0], 0), published(TEXTS[1], 0)], 1):
                reader.replay(offset, ConfigPublished(*[*_fields(record)[:4], 5]))
            assert reader.accepted_offset != naive_replay(
                [published(TEXTS[0], 0), published(TEXTS[1], 0)]
            )


def _fields(record):
    return (record.digest, record.text, record.based_on, record.operator, record.at_ms)
