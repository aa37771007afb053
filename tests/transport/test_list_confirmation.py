"""Tests of when an endpoint list must not be used because the agent of discovery has not confirmed it."""

from __future__ import annotations

import asyncio

import pytest

from limiter.transport.discovery.list_confirmation import ListConfirmation

LONG_SECONDS = 1000.0


class ConfirmationDriver:
    """Creates a list confirmation, and counts how often the list has expired."""

    def __init__(self) -> None:
        """Start with a confirmed list."""
        self.expiry_count = 0
        self.confirmation = ListConfirmation(self._record_expiry)

    def _record_expiry(self) -> None:
        self.expiry_count += 1

    async def end_pending(self) -> None:
        """Require a list from another agent, and let the time for it pass."""
        self.confirmation.require_within(0.0)
        await asyncio.sleep(0.001)


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


async def test_list_expires_if_another_agent_does_not_respond_in_time(driver: ConfirmationDriver) -> None:
    await driver.end_pending()
    assert driver.expiry_count == 1
    assert not driver.confirmation.is_list_usable


async def test_list_is_kept_if_no_other_agent_runs(driver: ConfirmationDriver) -> None:
    driver.confirmation.require_within(0.0)
    driver.confirmation.record_failure(ConnectionRefusedError())
    await asyncio.sleep(0.001)
    assert driver.confirmation.is_list_usable
    driver.confirmation.record_failure(TimeoutError())
    assert not driver.confirmation.is_list_usable


async def test_list_is_usable_while_the_time_for_another_agent_has_not_passed(
    driver: ConfirmationDriver,
) -> None:
    driver.confirmation.require_within(LONG_SECONDS)
    driver.confirmation.record_failure(TimeoutError())
    assert driver.confirmation.is_list_usable
    driver.confirmation.record_list()
    await driver.end_pending()
    assert driver.expiry_count == 1


async def test_further_agents_do_not_postpone_the_expiry(driver: ConfirmationDriver) -> None:
    """Configurations may follow each other quickly; the changes of the first new agent bind the limiter."""
    driver.confirmation.require_within(0.0)
    driver.confirmation.require_within(LONG_SECONDS)
    await asyncio.sleep(0.001)
    assert driver.expiry_count == 1
