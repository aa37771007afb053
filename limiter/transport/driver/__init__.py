"""Carries the policy's actions out and hands it events: the requests in hand and their attempts."""
