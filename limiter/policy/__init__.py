"""Decision logic of the limiter. It performs no I/O. See docs/design.md."""
