"""Parses network addresses in the form `host:port`, which configurations and endpoint lists use."""

from __future__ import annotations

import ipaddress

PORT_LIMIT = 65_536  # Every port is below this number: TCP and UDP headers have two bytes for a port.

Address = tuple[str, int]  # The IP address of a host, as text, and a port.


def parse_address(text: object) -> Address:
    """Parse an address of the form `host:port`.

    The host must be an IP address, since there is no DNS where the limiter runs. An IPv6 address may be
    enclosed in brackets.

    Raises:
        ValueError: The text does not have the form `host:port`, or the host is not an IP address.
    """
    if not isinstance(text, str):
        raise _malformed_address(text)
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not (port.isascii() and port.isdigit() and int(port) < PORT_LIMIT):
        raise _malformed_address(text)
    ipaddress.ip_address(host)
    return host, int(port)


def _malformed_address(text: object) -> ValueError:
    return ValueError(f"{text!r} is not host:port with an IP address as host and a port below 65536")
