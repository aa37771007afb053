"""Network transport and timers of the limiter process; all decisions are made by `limiter.policy`."""
