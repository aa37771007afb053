"""The configuration file: reading, checking and reloading it."""
