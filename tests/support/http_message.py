"""Parsing of the heads of HTTP/1.1 messages, for the clients and the fake servers of tests."""

from __future__ import annotations


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Return the start line of a message head, and its header values by their names in lower case."""
    first_line, *header_lines = head.decode().split("\r\n")
    headers = {}
    for line in header_lines:
        if line:
            name, _, value = line.partition(": ")
            headers[name.lower()] = value
    return first_line, headers
