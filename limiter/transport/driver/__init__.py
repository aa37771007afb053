"""Passes events to the policy and executes its actions: open requests, their attempts and timers."""
