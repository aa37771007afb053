"""Tests of when an endpoint list must not be used because the agent of discovery has not confirmed it."""

from __future__ import annotations

import pytest

from limiter.transport.discovery.list_confirmation import ListConfirmation


class ConfirmationDriver:
    """Creates a list confirmation, and counts how often the list has expired."""

    def __init__(self) -> None:
        """Start with a confirmed list."""
        self.expiry_count = 0
        self.confirmation = ListConfirmation(self._record_expiry)

    def _record_expiry(self) -> None:
        self.expiry_count += 1


@pytest.fixture
def driver() -> ConfirmationDriver:
    """Return a driver of a confirmation."""
    return ConfirmationDriver()


@pytest.mark.parametrize("error", [TimeoutError(), ConnectionResetError(), ValueError()])
def test_stored_list_expires_once_with_the_first_failed_call(
    driver: ConfirmationDriver, error: Exception
) -> None:
    driver.confirmation.require_now()
    assert not driver.confirmation.is_list_usable
    driver.confirmation.record_failure(error)
    driver.confirmation.record_failure(error)
    assert driver.expiry_count == 1
    driver.confirmation.record_list()
    assert driver.confirmation.is_list_usable
    driver.confirmation.record_failure(error)  # The agent had sent what it held before it failed.
    assert driver.expiry_count == 1


def test_stored_list_is_used_while_no_agent_runs(driver: ConfirmationDriver) -> None:
    """A wrong address of discovery must not stop the service; a silent agent may hold changes."""
    driver.confirmation.require_now()
    driver.confirmation.record_failure(ConnectionRefusedError())
    assert driver.confirmation.is_list_usable
    driver.confirmation.record_failure(TimeoutError())
    assert not driver.confirmation.is_list_usable
    assert driver.expiry_count == 1
    driver.confirmation.record_failure(ConnectionRefusedError())
    assert not driver.confirmation.is_list_usable
