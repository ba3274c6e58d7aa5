"""Encodes and decodes the text messages with loads of servers that nodes exchange. No I/O.

A message is a prefix followed by four characters for each server. Three are a short name, which every node
derives from the server's address (the node on sockets derives it from the server's id); one is the load, from
0 to 92 hundredths. A message is never longer than the nodes' network allows (`MAX_MESSAGE_BYTES`). A message
that cannot be decoded is treated as empty.
"""

from collections.abc import Iterable, Mapping
from zlib import crc32

PREFIX = "h"
MAX_MESSAGE_BYTES = 256
ENTRY_LENGTH = 4  # characters per server
LOAD_UNIT = 0.01  # step in which loads are encoded; for what a load is, see `CommandWriter.send_loads`
# Digits are the characters from "!" to "}": printable single-byte characters.
_FIRST_CHARACTER, _BASE = 33, 93


def short_name(address: str) -> str:
    """Returns the short name of a server's address: the last three base-93 digits of its CRC-32.

    The result is the same on every node.
    """
    rest, name = crc32(address.encode()), ""
    for _ in range(ENTRY_LENGTH - 1):
        rest, digit = divmod(rest, _BASE)
        name += chr(_FIRST_CHARACTER + digit)
    return name


def encode_loads(loads: Iterable[tuple[str, float]]) -> list[str]:
    """Returns the messages, as few as possible, for pairs of server address and load.

    A load outside 0 to 0.92 is clamped.
    """
    entries = []
    for address, load in loads:
        digit = min(_BASE - 1, max(0, round(load / LOAD_UNIT)))
        entries.append(short_name(address) + chr(_FIRST_CHARACTER + digit))
    size = (MAX_MESSAGE_BYTES - len(PREFIX)) // ENTRY_LENGTH
    return [PREFIX + "".join(entries[i : i + size]) for i in range(0, len(entries), size)]


def decode_loads(text: str, numbers: Mapping[str, int]) -> dict[int, float]:
    """Returns the loads in a message by server number; `numbers` maps short names to known servers."""
    body = text[len(PREFIX) :]
    if not text.startswith(PREFIX) or len(body) % ENTRY_LENGTH or len(text) > MAX_MESSAGE_BYTES:
        return {}
    loads = {}
    for i in range(0, len(body), ENTRY_LENGTH):
        server = numbers.get(body[i : i + ENTRY_LENGTH - 1])
        digit = ord(body[i + ENTRY_LENGTH - 1]) - _FIRST_CHARACTER
        if server is not None and 0 <= digit < _BASE:
            loads[server] = digit * LOAD_UNIT
    return loads


class ShortNames:
    """Maps short names to server numbers; a name that several servers share is left out."""

    def __init__(self) -> None:
        self.numbers: dict[str, int] = {}
        self._ambiguous: set[str] = set()

    def add(self, address: str, server: int) -> None:
        """Adds a server; adding the same one again has no effect."""
        name = short_name(address)
        if self.numbers.get(name, server) != server:
            self._ambiguous.add(name)
        if name in self._ambiguous:
            self.numbers.pop(name, None)
        else:
            self.numbers[name] = server
