"""Experiments with fleets that are too large to run as real processes on one machine.

Either many policy engines run on one virtual clock, or one limiter process runs among emulated peers.

Run as `python -m scale`. The limiter does not depend on this package.
"""
