"""Tests that an attempt reports one outcome, which shows whether the server may have executed the request."""

from __future__ import annotations

import pytest

from limiter.model.events import Outcome
from limiter.transport.servers.attempt import Attempt
from tests.support.attempt_request import make_attempt_request


class AttemptRecorder:
    """Creates an attempt, acts as its connection, and records the outcomes that it reports.

    Attributes:
        attempt: the attempt under test.
        outcomes: the outcomes that it has reported; never more than one.
        abandon_count: how many times the attempt has closed its connection.
    """

    def __init__(self) -> None:
        """Create an attempt that has not been sent yet."""
        self.outcomes: list[Outcome] = []
        self.abandon_count = 0
        self.attempt = Attempt(0, b"s-0", make_attempt_request(), self._on_ended)

    def abandon_attempt(self) -> None:
        """Count a call by which the attempt closes its connection."""
        self.abandon_count += 1

    def _on_ended(self, _attempt: Attempt, outcome: Outcome, _body: bytes, _content_type: bytes) -> None:
        self.outcomes.append(outcome)


def test_attempt_reports_only_its_first_outcome() -> None:
    """A reset or timeout after the response must not be reported as a second outcome."""
    recorder = AttemptRecorder()
    recorder.attempt.end(Outcome.OK)
    recorder.attempt.end(Outcome.RESET)
    recorder.attempt.abandon()
    recorder.attempt.end_on_connection_failure(is_stale=True)
    assert recorder.outcomes == [Outcome.OK]
    assert recorder.attempt.has_ended


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.CANCELLED])
@pytest.mark.parametrize("is_written", [True, False])
def test_attempt_abandoned_before_it_is_fully_written_reports_connect_failed(
    outcome: Outcome, is_written: bool
) -> None:
    """A server cannot execute a request whose last byte was never written, so another attempt is safe."""
    recorder = AttemptRecorder()
    recorder.attempt.record_write_start(recorder)
    if is_written:
        recorder.attempt.record_write_end()
    recorder.attempt.abandon(outcome)
    assert recorder.outcomes == [outcome if is_written else Outcome.CONNECT_FAILED]
    assert recorder.abandon_count == 1


@pytest.mark.parametrize(("is_written", "outcome"), [(True, Outcome.RESET), (False, Outcome.CONNECT_FAILED)])
def test_lost_connection_is_reported_as_reset_only_if_the_request_was_fully_written(
    is_written: bool, outcome: Outcome
) -> None:
    """RESET means that the server may have executed the request; CONNECT_FAILED means that it has not."""
    recorder = AttemptRecorder()
    recorder.attempt.record_write_start(recorder)
    if is_written:
        recorder.attempt.record_write_end()
    recorder.attempt.end_on_connection_failure(is_stale=False)
    assert recorder.outcomes == [outcome]
    assert recorder.abandon_count == 0


def test_cancelling_unsent_attempts_does_not_end_one_whose_write_has_started() -> None:
    """The server may already execute the request, so its response has to be awaited."""
    recorder = AttemptRecorder()
    recorder.attempt.record_write_start(recorder)
    recorder.attempt.cancel_unsent(Outcome.CANCELLED)
    assert recorder.outcomes == []
    assert not recorder.attempt.has_ended


def test_client_of_an_attempt_without_a_disconnection_callback_counts_as_connected() -> None:
    assert not AttemptRecorder().attempt.is_client_disconnected()
    attempt = Attempt(0, b"s-0", make_attempt_request(), lambda *_: None, lambda: True)
    assert attempt.is_client_disconnected()
