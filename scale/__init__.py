"""Experiments at sizes that no machine holds whole: modules on one clock, or one process in a played world.

Run as `python -m scale`. Nothing of the limiter needs this package.
"""
