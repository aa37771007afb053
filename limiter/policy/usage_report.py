"""The usage of one customer that this limiter reports to the counter, and the last total that it has read.

Types are defined in limiter/model. Times are in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

_MASK_64 = 2**64 - 1


def counter_key(customer: int, epoch: int, slot_length: float = 0.0) -> int:
    """Return the counter key, a splitmix64 hash, of a customer's usage through all limiters in an epoch.

    Args:
        customer: The customer's number.
        epoch: The number of the epoch.
        slot_length: Length in milliseconds of an epoch that is a slot, so that slots have separate keys; 0
            for other epochs.
    """
    hashed = customer * 0x9E3779B97F4A7C15 + epoch * 0xD1B54A32D192ED03 + 1
    hashed = (hashed + round(slot_length) * 0x8CB92BA72F3D8DD7) & _MASK_64
    hashed = ((hashed ^ (hashed >> 30)) * 0xBF58476D1CE4E5B9) & _MASK_64
    hashed = ((hashed ^ (hashed >> 27)) * 0x94D049BB133111EB) & _MASK_64
    return hashed ^ (hashed >> 31)


@dataclass(frozen=True, slots=True)
class CounterEpoch:
    """A period in which a customer's usage is counted under one key.

    Attributes:
        index: The epoch's number, counted from time 0 of the clock.
        length: Its length in milliseconds.
        start: Time at which it starts.
    """

    index: int
    length: float
    start: float


@dataclass(slots=True, eq=False)
class UsageReport:
    """The units of one customer that still have to be added to the counter, and the state of its calls.

    Attributes:
        unreported_units: Units that this limiter has forwarded and has not yet sent to the counter.
        unconfirmed_units: Units of calls that timed out, which may or may not have been added.
        units_in_call: Units of the call in flight; None while there is none.
        reserved_units: Units that the call in flight reports in advance, for requests that are held for its
            reply.
        epoch: The epoch of the last call; None before the first call.
        key: The counter key of that epoch; None before the first call.
        is_slot_epoch: Whether that epoch is a slot: it lasts as long as half a burst takes to refill, and its
            total alone decides on the requests in it.
        last_total_units: The last total read in the epoch, over all limiters.
        last_total_at: Time of `last_total_units`; None before the first one.
        sample_due_since: Time since which a sample has been due; None while none is due.
        next_call_at: Time before which no further call is made.
        call_started_at: Time at which the last call was made.
        consecutive_failed_calls: Number of calls without a total since the last total.
    """

    unreported_units: float = 0.0
    unconfirmed_units: float = 0.0
    units_in_call: float | None = None
    reserved_units: float = 0.0
    epoch: CounterEpoch | None = None
    key: int | None = None
    is_slot_epoch: bool = False
    last_total_units: float = 0.0
    last_total_at: float | None = None
    sample_due_since: float | None = None
    next_call_at: float = 0.0
    call_started_at: float = 0.0
    consecutive_failed_calls: int = 0

    @property
    def is_call_in_flight(self) -> bool:
        """Whether a call is in flight; a customer has at most one at a time."""
        return self.units_in_call is not None

    def add_unreported(self, units: float) -> None:
        """Add forwarded units to report, or cancel units that were reported in advance if negative."""
        self.unreported_units += units

    def set_unreported(self, units: float) -> None:
        """Report only these units in the next call; a slot counts only requests that need its total."""
        self.unreported_units = units

    def reserve(self, units: float) -> None:
        """Record units that the call in flight reports in advance, for a request held for its reply."""
        self.reserved_units += units

    def release_reservation(self) -> None:
        """Reset the units reported in advance, once the requests that were held can be decided."""
        self.reserved_units = 0.0

    def mark_sample_due(self, now: float) -> None:
        """Record that a sample is due from now on, unless one is already due."""
        if self.sample_due_since is None:
            self.sample_due_since = now

    def delay_next_call(self, until: float) -> None:
        """Set the time before which no further call is made."""
        self.next_call_at = until

    def set_epoch_kind(self, *, is_slot: bool) -> None:
        """Set whether the next call belongs to a slot."""
        self.is_slot_epoch = is_slot

    def start_epoch(self, epoch: CounterEpoch, key: int) -> None:
        """Start counting under the key of another epoch, whose total is not known yet."""
        self.epoch = epoch
        self.key = key
        self.last_total_units = 0.0
        self.unconfirmed_units = 0.0

    def start_call(self, now: float) -> float:
        """Start a call that reports all unreported units.

        Returns:
            The units that the call reports.
        """
        units = self.unreported_units
        self.unreported_units = 0.0
        self.units_in_call = units
        self.call_started_at = now
        return units

    def end_call(self) -> float:
        """Record the end of the call in flight.

        Returns:
            The units that the call reported, which were added to the counter if it succeeded.
        """
        units = self.units_in_call or 0.0
        self.units_in_call = None
        return units

    def mark_call_failed(self, units: float, *, is_uncertain: bool) -> None:
        """Record a failed call; its units become unreported again unless they may have been added.

        Args:
            units: The units that the call reported.
            is_uncertain: Whether the counter may have added the units despite the failure.
        """
        self.consecutive_failed_calls += 1
        if is_uncertain:
            self.unconfirmed_units += units
        else:
            self.unreported_units += units

    def requeue_unconfirmed_units(self) -> None:
        """Mark the unconfirmed units as unreported, because the last total shows that they were not added."""
        self.unreported_units += self.unconfirmed_units

    def record_total(self, now: float, total_units: float) -> None:
        """Record a total that the counter returned, and reset the failure count and the due sample."""
        self.last_total_units = total_units
        self.last_total_at = now
        self.unconfirmed_units = 0.0
        self.consecutive_failed_calls = 0
        self.sample_due_since = None
