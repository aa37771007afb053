"""Soak tests: seeded, some seconds long in CI, and longer by hand."""
