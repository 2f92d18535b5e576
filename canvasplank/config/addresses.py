"""Addresses of the form ``host:port``."""

from __future__ import annotations


def parse_address(address: str) -> tuple[str, int]:
    """Host and port of ``host:port``, an IPv6 host without its brackets; raises ``ValueError``."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"{address!r} is not host:port")
    return host.strip("[]"), int(port)
