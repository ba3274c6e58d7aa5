"""IPv4 addresses with ports, as settings and the list of servers write them. No I/O."""

import re

NO_ADDRESS = ("", 0)  # where there is no list service
_ADDRESS = re.compile(r"((?:[0-9]{1,3}\.){3}[0-9]{1,3}):([0-9]{1,5})\Z")


def parse_address(text: object) -> tuple[str, int]:
    """Parses "a.b.c.d:port"; raises ValueError otherwise.

    Host names are not accepted: looking one up would block the whole node.
    """
    found = _ADDRESS.match(text) if isinstance(text, str) else None
    if found is None or max(map(int, found[1].split("."))) > 255 or not 0 < int(found[2]) < 65536:
        raise ValueError(f"no IPv4 address and port in {text!r}")
    return found[1], int(found[2])


def format_address(address: tuple[str, int]) -> str:
    """Formats an address as "a.b.c.d:port"."""
    return f"{address[0]}:{address[1]}"
