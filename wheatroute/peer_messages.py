"""Messages between nodes about the load of servers, as text. No I/O.

A message is a prefix and four characters for each server: three for a short name, which every node makes
from the server's address by itself, and one for the load, in hundredths up to 92 of them. A message is
never longer than what the network of nodes takes, and one that can't be decoded counts as empty.
"""

from collections.abc import Iterable, Mapping
from zlib import crc32

PREFIX = "h"
MAX_MESSAGE_BYTES = 256
ENTRY_LENGTH = 4  # characters for a server
LOAD_UNIT = 0.01
_FIRST_CHARACTER, _BASE = 33, 93  # printable characters of one byte, but for the last two


def short_name(address: str) -> str:
    """Three characters that stand for a server's address at every node: its CRC-32 to the base 93."""
    rest, name = crc32(address.encode()), ""
    for _ in range(ENTRY_LENGTH - 1):
        rest, digit = divmod(rest, _BASE)
        name += chr(_FIRST_CHARACTER + digit)
    return name


def encode_loads(loads: Iterable[tuple[str, float]]) -> list[str]:
    """As few messages as hold the loads by address."""
    entries = []
    for address, load in loads:
        digit = min(_BASE - 1, max(0, round(load / LOAD_UNIT)))
        entries.append(short_name(address) + chr(_FIRST_CHARACTER + digit))
    size = (MAX_MESSAGE_BYTES - len(PREFIX)) // ENTRY_LENGTH
    return [PREFIX + "".join(entries[i : i + size]) for i in range(0, len(entries), size)]


def decode_loads(text: str, numbers: Mapping[str, int]) -> dict[int, float]:
    """The loads in a message by server number; `numbers` has the known servers by short name."""
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
    """Server numbers by short name; servers that share one are in no message."""

    def __init__(self) -> None:
        self.numbers: dict[str, int] = {}
        self._ambiguous: set[str] = set()

    def add(self, address: str, server: int) -> None:
        """Adds a server; the same one may be added again."""
        name = short_name(address)
        if self.numbers.get(name, server) != server:
            self._ambiguous.add(name)
        if name in self._ambiguous:
            self.numbers.pop(name, None)
        else:
            self.numbers[name] = server
