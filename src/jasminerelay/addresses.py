"""Addresses of the form IP:port."""

import ipaddress


def split_address(address: str) -> tuple[str, int]:
    """Splits "IP:port" into its parts.

    Raises:
        ValueError: if the address does not have this form.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    ipaddress.ip_address(host)
    number = int(port)
    if not 0 <= number <= 65535:
        raise ValueError(f"port {number} is out of range")
    return host, number
