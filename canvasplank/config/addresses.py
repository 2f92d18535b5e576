"""Addresses of the form ``host:port``."""

from __future__ import annotations


def parse_address(address: str) -> tuple[str, int]:
    """Split ``host:port``; the brackets of an IPv6 host are removed.  Raises ``ValueError``."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"{address!r} is not host:port")
    return host.strip("[]"), int(port)
