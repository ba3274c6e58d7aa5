"""What nodes tell one another, as text: which server holds how much.

Owns the form of a message and the short names of servers in it. It is free of I/O and decides nothing; it
must never be longer than what the network of nodes takes, and what it cannot read counts as nothing told.

A message is a mark and four characters for each server: three for its name, which every node makes from the
server's address by itself, and one for the figure, in hundredths up to 92 of them.
"""

from collections.abc import Iterable, Mapping
from zlib import crc32

MARK = "h"
LONGEST = 256  # bytes
PIECE = 4  # characters for a server
UNIT = 0.01  # of the figures
_LOW, _BASE = 33, 93  # printable characters of one byte, but for the last two


def short(name: str) -> str:
    """Three characters that stand for a server's address at every node."""
    rest, out = crc32(name.encode()), ""
    for _ in range(PIECE - 1):
        rest, place = divmod(rest, _BASE)
        out += chr(_LOW + place)
    return out


def pack(figures: Iterable[tuple[str, float]]) -> list[str]:
    """As few messages as hold them all."""
    pieces = [short(name) + chr(_LOW + min(_BASE - 1, max(0, round(held / UNIT)))) for name, held in figures]
    most = (LONGEST - len(MARK)) // PIECE
    return [MARK + "".join(pieces[i : i + most]) for i in range(0, len(pieces), most)]


def unpack(text: str, known: Mapping[str, int]) -> dict[int, float]:
    """What a message tells of the servers known here by their short names."""
    body = text[len(MARK) :]
    if not text.startswith(MARK) or len(body) % PIECE or len(text) > LONGEST:
        return {}
    out = {}
    for i in range(0, len(body), PIECE):
        server, held = known.get(body[i : i + PIECE - 1]), ord(body[i + PIECE - 1]) - _LOW
        if server is not None and 0 <= held < _BASE:
            out[server] = held * UNIT
    return out


class Known:
    """Servers by their short names; two that have the same one are not told of."""

    def __init__(self) -> None:
        self.names: dict[str, int] = {}
        self._alike: set[str] = set()

    def add(self, name: str, server: int) -> None:
        key = short(name)
        if self.names.get(key, server) != server:
            self._alike.add(key)
        if key in self._alike:
            self.names.pop(key, None)
        else:
            self.names[key] = server
