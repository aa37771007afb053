"""Experiments at sizes that no machine holds.

Many policy engines run on one virtual clock, or one limiter process runs among emulated peers.

Run as `python -m scale`. Nothing of the limiter needs this package.
"""
