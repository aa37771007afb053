"""One limiter as a real process before stand-ins on loopback, and the decision module's cost by itself."""
