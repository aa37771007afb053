"""Network addresses as configurations and endpoint lists state them: `host:port`."""

from __future__ import annotations

import ipaddress

PORT_LIMIT = 65_536  # A port is a number below it: two bytes in the headers of TCP and UDP.

Address = tuple[str, int]  # The literal IP address of a host, and a port.


def parse_address(text: object) -> Address:
    """Return the address that `host:port` states.

    The host is a literal IP address, since there is no DNS where the limiter runs. An IPv6 address may stand
    in brackets.

    Raises:
        ValueError: the text is not `host:port`, or the host is not an IP address.
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
    return ValueError(f"{text!r} is not host:port")
