"""Records and jobs that an owner did not expect: they affect nothing else."""

from __future__ import annotations

from greengagewood.internal.cells.ledger import Ledger
from greengagewood.internal.cells.ownership import OwnershipView
from greengagewood.internal.cells.runner import CellRunner, Ports
from greengagewood.internal.jobs.records import (
    Cancellation,
    Ownership,
    Progress,
    Submission,
    encode_record,
    key_of,
)
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.ports import LogEntry
from tests.common.desk import (
    LIMITS,
    make_submission,
)

JOB = "0" * 16
OTHER_JOB = "1" * 16


def _make_runner(ledger: Ledger) -> CellRunner:
    ports = Ports(None, None, None, None)  # type: ignore[arg-type]
    return CellRunner(
        ports,
        ledger,
        LIMITS,
        token=1,
        status_retention_ms=0,
        metrics=Metrics(),
        ownership=OwnershipView("n0", 5_000, 0),
        may_send_orders=lambda: True,
    )


def _entry(offset: int, record: Submission | Cancellation | Ownership | Progress) -> LogEntry:
    return LogEntry(offset, key_of(record), encode_record(record))


class TestRepeatedSubmissions:
    """A job that was stored at offset 4 by one append, and at 9 by another."""

    @staticmethod
    def _add_as_new_owner(settled_offset: int, claim_offset: int) -> bool:
        """Return whether a new owner rules out that an earlier one has started the job."""
        ledger = Ledger()
        submission = make_submission(JOB)
        ledger.apply(_entry(4, submission))
        ledger.apply(_entry(9, submission))
        claim = Ownership(2, "n0", settled_offset=settled_offset)
        ledger.apply(_entry(claim_offset, claim))
        ledger.next_offset = 12
        runner = _make_runner(ledger)
        runner._take_up_job(JOB, 0)
        return not runner.cell.book.jobs[JOB].maybe_inherited

    def test_an_earlier_owner_may_have_read_only_the_later_one(self) -> None:
        """Guards against a second run: such an owner settles offsets up to 9, and may start it."""
        assert not self._add_as_new_owner(settled_offset=9, claim_offset=11)

    def test_an_earlier_owner_may_have_read_only_the_first_one(self) -> None:
        """Guards against a second run: such an owner may have started it before the claim at 7."""
        assert not self._add_as_new_owner(settled_offset=4, claim_offset=7)

    def test_a_job_below_the_settled_offset_was_never_started(self) -> None:
        assert self._add_as_new_owner(settled_offset=10, claim_offset=11)
