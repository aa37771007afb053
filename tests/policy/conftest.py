"""Fixtures of the tests of the policy engine."""

from __future__ import annotations

import pytest

from limiter.policy.customer import Customer
from tests.support.policy_driver import PolicyDriver, make_driver
from tests.support.policy_scenarios import make_sampled_customer, make_widely_shared_driver


@pytest.fixture
def driver() -> PolicyDriver:
    """Return the driver of a limiter with four servers and the default settings."""
    return make_driver()


@pytest.fixture
def customer(driver: PolicyDriver) -> Customer:
    """Return customer 1 of `driver` after one usage sample."""
    return make_sampled_customer(driver)


@pytest.fixture
def widely_shared_driver() -> PolicyDriver:
    """Return the driver of a limiter whose share of a customer's burst is below one request."""
    return make_widely_shared_driver()
