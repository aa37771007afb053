"""Fixtures of the policy's tests."""

from __future__ import annotations

import pytest

from limiter.policy.customer import Customer
from tests.support.policy_driver import PolicyDriver, make_driver
from tests.support.policy_scenarios import make_sampled_customer, make_widely_shared_driver


@pytest.fixture
def driver() -> PolicyDriver:
    """A limiter with four servers, with the settings of the policy driver."""
    return make_driver()


@pytest.fixture
def customer(driver: PolicyDriver) -> Customer:
    """Customer 1 of `driver`, after one usage sample."""
    return make_sampled_customer(driver)


@pytest.fixture
def wide_driver() -> PolicyDriver:
    """A limiter whose share of a customer's burst is below one request."""
    return make_widely_shared_driver()
