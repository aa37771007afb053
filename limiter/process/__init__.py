"""The limiter as a process: start, reload of the configuration, graceful shutdown."""
