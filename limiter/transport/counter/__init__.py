"""The client of the shared counter, over RESP2."""
