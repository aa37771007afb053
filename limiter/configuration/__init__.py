"""Reads, validates and reloads the configuration file."""
