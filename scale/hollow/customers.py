"""Customers and their first requests (those that are not retries), which are drawn before the run."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from scale.hollow.plan import FloatRange, HollowExperiment, PlanParameters, UsageParameters
from scale.hollow.quota import Quota

Floats = NDArray[np.float64]
Integers = NDArray[np.int64]


@dataclass(slots=True)
class Customer:
    """A customer and its set of limiters, whose numbers are consecutive modulo the number of limiters."""

    plan: int  # index of the plan
    limiter_set_start: int
    limiter_set_size: int
    quota: Quota
    used_limiters: frozenset[int] = frozenset()  # limiters that its first requests are sent to


@dataclass(slots=True)
class Arrivals:
    """All first requests in order of time. Each list has one entry per request."""

    times: list[float]
    customers: list[int]
    limiters: list[int]
    classes: list[int]  # indices of request classes
    work_amounts_ms: list[float]  # ms of one core
    client_timeouts: list[float]  # ms


def draw_customers(experiment: HollowExperiment) -> tuple[list[Customer], Arrivals]:
    """Draw customers for each plan until it has its share of the request rate, and draw their requests."""
    rng = np.random.default_rng([experiment.seed, 1])
    customers: list[Customer] = []
    times: list[Floats] = []
    limiters: list[Integers] = []
    total_request_rate = experiment.limiters * experiment.clients.request_rate_per_limiter
    rate_per_share = total_request_rate / sum(plan.request_share for plan in experiment.plans)
    for plan_number, plan in enumerate(experiment.plans):
        drawn_request_rate = 0.0
        while drawn_request_rate < plan.request_share * rate_per_share:
            customer, customer_times, customer_limiters = _draw_customer(rng, experiment, plan_number, plan)
            drawn_request_rate += 1000 * len(customer_times) / experiment.duration
            customers.append(customer)
            times.append(customer_times)
            limiters.append(customer_limiters)
    return customers, _draw_arrivals(rng, experiment, times, limiters)


def _draw_customer(
    rng: np.random.Generator, experiment: HollowExperiment, plan_number: int, plan: PlanParameters
) -> tuple[Customer, Floats, Integers]:
    """Draw a customer of the plan with that number; return it with the times and limiters of its requests."""
    times = _draw_request_times(rng, experiment.usage, plan.rate / 1000, experiment.duration)
    low, high = experiment.clients.limiters_per_customer
    size = min(experiment.limiters, int(rng.integers(low, high + 1)))
    start = int(rng.integers(experiment.limiters))
    limiters = (start + _draw_set_members(rng, experiment, times, size)) % experiment.limiters
    customer = Customer(plan_number, start, size, Quota(plan), frozenset(limiters.tolist()))
    return customer, times, limiters


def _draw_arrivals(
    rng: np.random.Generator, experiment: HollowExperiment, times: list[Floats], limiters: list[Integers]
) -> Arrivals:
    """Merge the requests of all customers in order of time; draw the class, work and timeout of each."""
    all_times = np.concatenate(times)
    customers = np.repeat(np.arange(len(times)), [len(customer_times) for customer_times in times])
    order = np.argsort(all_times, kind="stable")
    count = len(all_times)
    shares = np.array([request_class.request_share for request_class in experiment.classes])
    classes = rng.choice(len(shares), count, p=shares / shares.sum())
    mean_work_amounts_ms = np.array([request_class.mean_work_ms for request_class in experiment.classes])
    work_amounts_ms = rng.exponential(1.0, count) * mean_work_amounts_ms[classes]
    deadlines = np.array([request_class.deadline for request_class in experiment.classes])
    client_timeouts = rng.uniform(*experiment.clients.client_timeout_fraction, count) * deadlines[classes]
    return Arrivals(
        times=all_times[order].tolist(),
        customers=customers[order].tolist(),
        limiters=np.concatenate(limiters)[order].tolist(),
        classes=classes.tolist(),
        work_amounts_ms=work_amounts_ms.tolist(),
        client_timeouts=client_timeouts.tolist(),
    )


def _draw_request_times(
    rng: np.random.Generator, usage: UsageParameters, units_per_ms: float, duration: float
) -> Floats:
    """Draw the times of a customer's requests, in order; `units_per_ms` is the rate of its plan."""

    def draw_poisson_times(rate_factor: FloatRange, begin: float, end: float) -> Floats:
        mean = units_per_ms * rng.uniform(*rate_factor) * (end - begin)
        return np.asarray(rng.uniform(begin, end, rng.poisson(mean)))

    profile = rng.random()
    if profile < usage.full_share:
        return np.sort(draw_poisson_times(usage.full_usage, 0.0, duration))
    if profile < usage.full_share + usage.heavy_share:
        return np.sort(draw_poisson_times(usage.heavy_usage, 0.0, duration))
    times_by_part = [draw_poisson_times(usage.calm_usage, 0.0, duration)]
    if profile < usage.full_share + usage.heavy_share + usage.spiky_share:
        begin = rng.uniform(0.0, usage.spike_interval[1])
        while begin < duration:
            end = min(duration, begin + rng.uniform(*usage.spike_duration))
            times_by_part.append(draw_poisson_times(usage.spike_usage, begin, end))
            begin += rng.uniform(*usage.spike_interval)
    return np.sort(np.concatenate(times_by_part))


def _draw_set_members(
    rng: np.random.Generator, experiment: HollowExperiment, times: Floats, size: int
) -> Integers:
    """Draw for each request of a customer to which limiter of its set, counted from 0, it is sent."""
    clients = experiment.clients
    if rng.random() < clients.single_limiter_share:
        return np.full(len(times), rng.integers(size))
    weights = np.arange(1.0, size + 1) ** -rng.uniform(*clients.skew)
    weights /= weights.sum()
    members = np.zeros(len(times), dtype=np.int64)
    begin = 0.0
    while begin < experiment.duration:
        end = begin + rng.uniform(*clients.rank_change_interval)
        low, high = np.searchsorted(times, (begin, end))
        member_of_rank = rng.permutation(size)
        members[low:high] = member_of_rank[rng.choice(size, high - low, p=weights)]
        begin = end
    return members
