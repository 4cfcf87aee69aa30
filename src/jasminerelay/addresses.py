"""Addresses of the form IP:port."""

import ipaddress

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


def split_address(address: str) -> tuple[str, int]:
    """Splits "IP:port" into its parts.

    Raises:
        ValueError: if the address does not have this form.
    """
    if not (address.isascii() and address.isprintable()):
        # A scope of an IPv6 address may hold anything, as a NUL, with which a
        # socket fails.
        raise ValueError(f"the address has odd characters: {address[:80]!r}")
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    ipaddress.ip_address(host)
    if not (port.isascii() and port.isdigit()) or len(port) > MAX_PORT_DIGITS:
        raise ValueError(f"the address has no valid port: {address[:80]!r}")
    number = int(port)
    if number > MAX_PORT:
        raise ValueError(f"port {number} is out of range")
    return host, number
