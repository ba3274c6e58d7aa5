"""Parses and formats IPv4 addresses with ports, as in settings and in the list of servers. No I/O."""

import re

NO_ADDRESS = ("", 0)  # used as the address of the list service if the node has no list service
_ADDRESS = re.compile(r"((?:[0-9]{1,3}\.){3}[0-9]{1,3}):([0-9]{1,5})\Z")


def parse_address(text: object) -> tuple[str, int]:
    """Parses "a.b.c.d:port"; raises ValueError for any other text.

    Host names are not accepted because resolving one would block the whole node.
    """
    found = _ADDRESS.match(text) if isinstance(text, str) else None
    if found is None or max(map(int, found[1].split("."))) > 255 or not 0 < int(found[2]) < 65536:
        raise ValueError(f"must be an IPv4 address and port, got {text!r}")
    return found[1], int(found[2])


def format_address(address: tuple[str, int]) -> str:
    """Formats an address as "a.b.c.d:port"."""
    return f"{address[0]}:{address[1]}"
