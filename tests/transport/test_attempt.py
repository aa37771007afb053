"""The life of an attempt: it ends once, and its outcome says whether the server may have run it."""

from __future__ import annotations

import pytest

from limiter.model.events import Outcome
from limiter.transport.servers.attempt import Attempt


class RecordedAttempt:
    """An attempt that has not begun, and the outcomes that it reports.

    Attributes:
        attempt: the attempt under test.
        outcomes: what it has reported; never more than one.
        abandoned: number of times that it had its connection closed.
    """

    def __init__(self) -> None:
        """Make an attempt that this object carries from `record_write_start` on."""
        self.outcomes: list[Outcome] = []
        self.abandoned = 0
        self.attempt = Attempt(0, b"s-0", b"GET / HTTP/1.1\r\n\r\n", self._on_ended)

    def abandon_attempt(self) -> None:
        """Count a closed connection."""
        self.abandoned += 1

    def _on_ended(self, _attempt: Attempt, outcome: Outcome, _body: bytes, _content_type: bytes) -> None:
        self.outcomes.append(outcome)


def test_an_attempt_reports_its_first_end_only() -> None:
    recorded = RecordedAttempt()
    recorded.attempt.end(Outcome.OK)
    recorded.attempt.end(Outcome.RESET)
    recorded.attempt.abandon()
    recorded.attempt.end_on_connection_failure(is_stale=True)
    assert recorded.outcomes == [Outcome.OK]
    assert recorded.attempt.has_ended


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.CANCELLED])
@pytest.mark.parametrize("is_written", [True, False])
def test_an_attempt_abandoned_before_its_last_byte_was_written_cannot_have_run(
    outcome: Outcome, is_written: bool
) -> None:
    recorded = RecordedAttempt()
    recorded.attempt.record_write_start(recorded)
    if is_written:
        recorded.attempt.record_write_end()
    recorded.attempt.abandon(outcome)
    assert recorded.outcomes == [outcome if is_written else Outcome.CONNECT_FAILED]
    assert recorded.abandoned == 1


@pytest.mark.parametrize(("is_written", "outcome"), [(True, Outcome.RESET), (False, Outcome.CONNECT_FAILED)])
def test_a_lost_connection_resets_only_what_was_written(is_written: bool, outcome: Outcome) -> None:
    recorded = RecordedAttempt()
    recorded.attempt.record_write_start(recorded)
    if is_written:
        recorded.attempt.record_write_end()
    recorded.attempt.end_on_connection_failure(is_stale=False)
    assert recorded.outcomes == [outcome]
    assert recorded.abandoned == 0


def test_an_attempt_without_a_dial_is_not_cancelled_as_unsent() -> None:
    recorded = RecordedAttempt()
    recorded.attempt.record_write_start(recorded)
    recorded.attempt.cancel_unsent(Outcome.CANCELLED)
    assert recorded.outcomes == []
    assert not recorded.attempt.has_ended


def test_only_an_attempt_that_asks_for_it_knows_of_a_disconnected_client() -> None:
    assert not RecordedAttempt().attempt.is_client_disconnected()
    attempt = Attempt(0, b"s-0", b"", lambda *_: None, lambda: True)
    assert attempt.is_client_disconnected()
