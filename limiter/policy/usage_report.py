"""What this limiter reports to the counter of one customer's use, and the last total that it read there.

Types: limiter/model. Times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

_MASK_64 = 2**64 - 1


def counter_key(customer: int, epoch: int, slot_length: float = 0.0) -> int:
    """Return the key under which all limiters count a customer's use in an epoch: a splitmix64 hash.

    Args:
        customer: The customer's number.
        epoch: The number of the epoch.
        slot_length: Milliseconds of an epoch that is a slot; slots have keys of their own. 0 for other
            epochs.
    """
    hashed = customer * 0x9E3779B97F4A7C15 + epoch * 0xD1B54A32D192ED03 + 1
    hashed = (hashed + round(slot_length) * 0x8CB92BA72F3D8DD7) & _MASK_64
    hashed = ((hashed ^ (hashed >> 30)) * 0xBF58476D1CE4E5B9) & _MASK_64
    hashed = ((hashed ^ (hashed >> 27)) * 0x94D049BB133111EB) & _MASK_64
    return hashed ^ (hashed >> 31)


@dataclass(frozen=True, slots=True)
class CounterEpoch:
    """A span of time over which the use of a customer is counted under one key.

    Attributes:
        index: Its number since the clock's zero.
        length: Milliseconds that it lasts.
        start: Time at which it begins.
    """

    index: int
    length: float
    start: float


@dataclass(slots=True, eq=False)
class UsageReport:
    """The units of one customer on their way to the counter.

    Attributes:
        unreported_units: Units forwarded from here and not yet added to the counter.
        unconfirmed_units: Units of calls that were never answered, so that they may or may not have been
            added.
        units_in_call: Units of the call in flight; None while there is none.
        reserved_units: Units that the call in flight reports ahead, for requests that are held for its reply.
        epoch: The epoch that was counted last; None before the first call.
        key: The key of that epoch.
        is_slot_epoch: Whether that epoch is a slot, decided by one total and within the time of half a burst.
        total: The last total of the epoch, of all limiters.
        last_total_at: Time of `total`; None before the first one.
        sample_due_since: Since when a sample has been wanted; None while there is none to wait for.
        next_call_at: Time before which no further call is made.
        call_started_at: Time at which the last call was made.
        consecutive_failed_calls: Calls without a total, in a row.
    """

    unreported_units: float = 0.0
    unconfirmed_units: float = 0.0
    units_in_call: float | None = None
    reserved_units: float = 0.0
    epoch: CounterEpoch | None = None
    key: int | None = None
    is_slot_epoch: bool = False
    total: float = 0.0
    last_total_at: float | None = None
    sample_due_since: float | None = None
    next_call_at: float = 0.0
    call_started_at: float = 0.0
    consecutive_failed_calls: int = 0

    @property
    def is_call_in_flight(self) -> bool:
        """Whether a call is in flight: there is never a second one for the same customer."""
        return self.units_in_call is not None

    def add_unreported(self, units: float) -> None:
        """Add units that were forwarded, or take back units that were reported ahead, if negative."""
        self.unreported_units += units

    def set_unreported(self, units: float) -> None:
        """Report just these units in the next call: in a slot only what asks for the reply counts."""
        self.unreported_units = units

    def reserve(self, units: float) -> None:
        """Note that the call in flight reports these units ahead, for a request held for its reply."""
        self.reserved_units += units

    def release_reservation(self) -> None:
        """Forget the units reported ahead: the requests that were held are decided on."""
        self.reserved_units = 0.0

    def mark_sample_due(self, now: float) -> None:
        """Note that a sample is wanted from now on, unless one has been wanted already."""
        if self.sample_due_since is None:
            self.sample_due_since = now

    def delay_next_call(self, until: float) -> None:
        """Make no further call before this time."""
        self.next_call_at = until

    def set_epoch_kind(self, *, is_slot: bool) -> None:
        """Note whether the next call counts a slot."""
        self.is_slot_epoch = is_slot

    def start_epoch(self, epoch: CounterEpoch, key: int) -> None:
        """Count under another key from now on: nothing is known of its total yet."""
        self.epoch = epoch
        self.key = key
        self.total = 0.0
        self.unconfirmed_units = 0.0

    def start_call(self, now: float) -> float:
        """Begin a call that adds all unreported units.

        Returns:
            The units that it adds.
        """
        units = self.unreported_units
        self.unreported_units = 0.0
        self.units_in_call = units
        self.call_started_at = now
        return units

    def end_call(self) -> float:
        """End the call in flight.

        Returns:
            The units that it added, if it was served.
        """
        units = self.units_in_call or 0.0
        self.units_in_call = None
        return units

    def mark_call_failed(self, units: float, *, is_uncertain: bool) -> None:
        """Note that a call with these units failed.

        Args:
            units: The units of the call.
            is_uncertain: Whether they may have been added all the same.
        """
        self.consecutive_failed_calls += 1
        if is_uncertain:
            self.unconfirmed_units += units
        else:
            self.unreported_units += units

    def requeue_unconfirmed_units(self) -> None:
        """Report the unconfirmed units again: the last total shows that they were not added."""
        self.unreported_units += self.unconfirmed_units

    def record_total(self, now: float, total: float) -> None:
        """Take in a total that the counter replied with."""
        self.total = total
        self.last_total_at = now
        self.unconfirmed_units = 0.0
        self.consecutive_failed_calls = 0
        self.sample_due_since = None
