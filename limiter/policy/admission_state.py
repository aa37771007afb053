"""Admission state of one open request. This module uses no types of limiter/model."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class AdmissionState:
    """The state of an open request that only admission control modifies.

    Attributes:
        within_quota: Whether the customer's quota covered the request's units.
        is_random_draw_done: Whether the admission probability was already applied when the request arrived.
        reserved_units: Units that were reported to the counter before the decision on the request.
        report_weight: Number of requests that the report of this request's units stands for; 0 if the units
            are not reported after the decision, for example because they were reported before it.
    """

    within_quota: bool = False
    is_random_draw_done: bool = False
    reserved_units: float = 0.0
    report_weight: float = 1.0

    def record_quota_check(self, *, within_quota: bool) -> None:
        """Record whether the quota covers the request's units."""
        self.within_quota = within_quota

    def mark_random_draw_done(self) -> None:
        """Record that the admission probability was applied, so that it is not applied again after a hold."""
        self.is_random_draw_done = True

    def set_report_weight(self, weight: float) -> None:
        """Set how many requests the report of this request's units stands for."""
        self.report_weight = weight

    def reserve_units(self, units: float) -> None:
        """Record units that are reported to the counter before the decision."""
        self.reserved_units = units

    def release_reservation(self) -> None:
        """Clear the reservation once its units are accounted for elsewhere or withdrawn."""
        self.reserved_units = 0.0
