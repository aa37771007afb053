"""What admission notes of one open request. It uses none of the types in limiter/model."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class AdmissionState:
    """The part of an open request that admission owns.

    Attributes:
        within_quota: Whether the quota held the request's units.
        is_random_draw_done: Whether the admission probability was applied at entry already.
        reserved_units: Units that were reported ahead of the decision on the request.
        report_weight: Number of requests for which its units are reported; 0 where they were reported ahead.
    """

    within_quota: bool = False
    is_random_draw_done: bool = False
    reserved_units: float = 0.0
    report_weight: float = 1.0

    def record_quota_check(self, *, within_quota: bool) -> None:
        """Note whether the quota holds the request's units."""
        self.within_quota = within_quota

    def mark_random_draw_done(self) -> None:
        """Note that the admission probability is applied: it is not applied again after a wait."""
        self.is_random_draw_done = True

    def set_report_weight(self, weight: float) -> None:
        """Report the request's units for so many requests like it."""
        self.report_weight = weight

    def reserve_units(self, units: float) -> None:
        """Note units that are reported ahead of the decision."""
        self.reserved_units = units

    def release_reservation(self) -> None:
        """Forget the units reported ahead: they are accounted for elsewhere or taken back."""
        self.reserved_units = 0.0
