"""Many decision modules in one process and on one virtual clock, with stand-ins for all that they talk to."""
