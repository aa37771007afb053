"""Customers: what each asks and through whom, drawn ahead, and the true state of its quota.

Written from the page on the bench ('This kind of system'): a store of units that starts full, fills at the
rate and holds the burst at most; a number of attempts out at once; or both.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import numpy as np

from .plan import HollowExperiment, Range, Use
from .plan import Plan as PlanFigures

Floats = np.ndarray[Any, np.dtype[np.float64]]


class Quota:
    """A customer's quota as one that sees everything knows it."""

    __slots__ = ("at", "burst", "max_open", "out", "rate", "store")

    def __init__(self, plan: PlanFigures) -> None:
        self.rate = 0.0 if plan.max_open else plan.rate / 1000
        self.burst = self.store = plan.burst
        self.max_open = plan.max_open
        self.at, self.out = 0.0, 0

    def _fill(self, now: float) -> None:
        self.store = min(self.burst, self.store + self.rate * (now - self.at))
        self.at = now

    def take(self, now: float, units: float) -> bool:
        """Whether a try that is first sent on now is inside; then it takes its units."""
        self._fill(now)
        if (self.rate and self.store < units) or (self.max_open and self.out >= self.max_open):
            return False
        self.store -= units
        return True

    def has_room(self, now: float) -> bool:
        """Whether half of it or more is unused."""
        self._fill(now)
        return (not self.rate or 2 * self.store >= self.burst) and 2 * self.out <= self.max_open


@dataclass(slots=True)
class Customer:
    plan: int
    first: int  # limiter
    size: int  # limiters in a row, counted round
    quota: Quota
    askers: frozenset[int] = frozenset()  # limiters that first tries come in through


@dataclass(slots=True)
class Arrivals:
    """First tries in order of time; one entry of each list a try."""

    times: list[float]
    customers: list[int]
    limiters: list[int]
    classes: list[int]
    works: list[float]  # ms of one core
    patience: list[float]  # ms


def draw(experiment: HollowExperiment) -> tuple[list[Customer], Arrivals]:
    """Customers until they ask what is wanted, plan by plan, and all their first tries."""
    e, c = experiment, experiment.clients
    rng = np.random.default_rng([e.seed, 1])
    customers: list[Customer] = []
    times: list[Floats] = []
    limiters: list[Any] = []
    wanted = e.limiters * c.requests_per_limiter / sum(plan.share for plan in e.plans)
    for number, plan in enumerate(e.plans):
        asked = 0.0
        while asked < plan.share * wanted:
            when = _times(rng, e.use, plan.rate / 1000, e.duration)
            asked += 1000 * len(when) / e.duration
            size = min(e.limiters, int(rng.integers(c.set_size[0], c.set_size[1] + 1)))
            first = int(rng.integers(e.limiters))
            through = (first + _members(rng, experiment, when, size)) % e.limiters
            askers = frozenset(through.tolist())
            customers.append(Customer(number, first, size, Quota(plan), askers))
            times.append(when)
            limiters.append(through)
    when = np.concatenate(times)
    who = np.repeat(np.arange(len(times)), [len(t) for t in times])
    order = np.argsort(when, kind="stable")
    shares = np.array([k.share for k in e.classes])
    classes = rng.choice(len(shares), len(when), p=shares / shares.sum())
    works = rng.exponential(1.0, len(when)) * np.array([k.work for k in e.classes])[classes]
    patience = rng.uniform(*c.patience, len(when)) * np.array([k.deadline for k in e.classes])[classes]
    return customers, Arrivals(
        when[order].tolist(),
        who[order].tolist(),
        np.concatenate(limiters)[order].tolist(),
        classes.tolist(),
        works.tolist(),
        patience.tolist(),
    )


def _times(rng: np.random.Generator, use: Use, rate: float, duration: float) -> Floats:
    """Arrivals of one customer, in order; `rate` of its plan in units a millisecond."""

    def poisson(times: Range, begin: float, end: float) -> Floats:
        mean = rate * rng.uniform(*times) * (end - begin)
        return np.asarray(rng.uniform(begin, end, rng.poisson(mean)))

    kind = rng.random()
    if kind < use.full:
        return np.sort(poisson(use.full_use, 0.0, duration))
    if kind < use.full + use.heavy:
        return np.sort(poisson(use.heavy_use, 0.0, duration))
    parts = [poisson(use.calm, 0.0, duration)]
    if kind < use.full + use.heavy + use.spiky:
        at = rng.uniform(0.0, use.spike_every[1])
        while at < duration:
            parts.append(poisson(use.spike_use, at, min(duration, at + rng.uniform(*use.spike))))
            at += rng.uniform(*use.spike_every)
    return np.sort(np.concatenate(parts))


def _members(rng: np.random.Generator, e: HollowExperiment, when: Floats, size: int) -> Any:
    """Which limiter of its set, from 0, each request comes in through."""
    if rng.random() < e.clients.single:
        return np.full(len(when), rng.integers(size))
    weights = np.arange(1.0, size + 1) ** -rng.uniform(*e.clients.skew)
    weights /= weights.sum()
    through = np.zeros(len(when), dtype=np.int64)
    begin = 0.0
    while begin < e.duration:
        end = begin + rng.uniform(*e.clients.shift)
        low, high = np.searchsorted(when, (begin, end))
        ranked = rng.permutation(size)  # the member of each rank
        through[low:high] = ranked[rng.choice(size, high - low, p=weights)]
        begin = end
    return through
