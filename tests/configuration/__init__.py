"""Tests of the configuration and its settings."""
