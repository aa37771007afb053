"""The limiter process: startup, reload of the configuration, graceful shutdown."""
