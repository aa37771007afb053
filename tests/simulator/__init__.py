"""Tests of the simulator's wire format and adapter."""
