"""Which servers leave, as any process of the installation was told: the core. Free of I/O.

Owns words about servers. A word names a server by its id and the start of its process, says whether that
leaves or came back, and has a turn, so that of two words the later one is known. A process whose own list is
silent or lies behind hears by the others' words of a drain, of a restart under the same id, and of an address
that is another's by now. It must never take a server out because some list does not name it: a wrong list at
one node would empty the others'.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

KEPT = 360.0  # times the stated time that a word stands in the store; who heard it keeps it with its list
MOST = 4096  # addresses that are remembered with who was there last

Word = dict[str, Any]  # id, started (ms), leaves, turn
Entry = dict[str, Any]  # a server as lists tell it


def order(word: Word) -> tuple[float, int]:
    """Of two words about one server, the one with the larger order stands."""
    return float(word["started"]), int(word["turn"])


def readable(word: Any) -> bool:
    """Whether a word has the form that this program knows."""
    return (
        isinstance(word, dict)
        and isinstance(word.get("id"), str)
        and isinstance(word.get("turn"), int)
        and isinstance(word.get("leaves"), bool)
        and isinstance(word.get("started"), int | float)
    )


class Leaving:
    """One process's. Own list's messages go through `listed`, others' words through `heard`."""

    def __init__(self, within: float) -> None:
        self._kept = KEPT * within
        self._own: dict[str, Entry] = {}  # the own list
        self._at: dict[str, tuple[str, float]] = {}  # by address: who was there last, with its start
        self._words: dict[str, Word] = {}  # as the store has them
        self._mine: dict[str, Word] = {}  # to tell, until the store has them
        self._returned: dict[str, Word] = {}  # that the own list took back, with the word that says so
        self._since: dict[str, tuple[tuple[float, int], float]] = {}  # by id: a word's order, first read when

    def listed(self, told: Any) -> Any:
        """The own list, or changes to it, with what others know put in."""
        if not isinstance(told, dict) or told.get("heard") or not isinstance(told.get("servers"), list):
            return told
        if told.get("full"):
            named = {one["id"] for one in told["servers"] if self._good(one)}
            self._own = {name: one for name, one in self._own.items() if name in named}
        for one in told["servers"]:
            if self._good(one):
                self._note(one)
        self._prune()
        return told | {"servers": [self._seen(one) if self._good(one) else one for one in told["servers"]]}

    def heard(self, words: Iterable[Any], now: float) -> list[Entry]:
        """Words in the store; returns the entries that change by them, as a list would tell them."""
        changed = []
        for word in filter(readable, words):
            name, known = word["id"], self._own.get(word["id"])
            before = known and self._seen(known)["state"]
            self._words[name] = word
            returned = self._returned.get(name)
            if word["leaves"] and returned and order(returned) >= order(word):
                self._mine[name] = returned  # whoever wrote this had not heard of the return
            if self._since.get(name, (None, 0.0))[0] != order(word):
                self._since[name] = order(word), now
            if known and self._seen(known)["state"] != before:
                changed.append(self._seen(known))
        return changed

    def news(self, now: float) -> tuple[list[Word], list[str]]:
        """Words to write into the store, and ids whose words nobody needs there any more."""
        tell = []
        for name, word in list(self._mine.items()):
            there = self._words.get(name)
            if there is not None and order(there) >= order(word):
                del self._mine[name]
            else:
                tell.append(word)
        old = [name for name, (_, since) in self._since.items() if now - since > self._kept]
        for name in old:
            del self._since[name]
        return tell, old

    # the own list

    @staticmethod
    def _good(one: Any) -> bool:
        return (
            isinstance(one, dict)
            and isinstance(one.get("id"), str)
            and isinstance(one.get("started_ms", 0), int | float)
        )

    def _note(self, one: Entry) -> None:
        """An entry of the own list, and what it means for others."""
        name, state, started = one["id"], one.get("state", "in_service"), one.get("started_ms", 0)
        before, place = self._own.get(name), one.get("addr")
        if state == "terminated":
            self._own.pop(name, None)
            return
        self._own[name] = one | {"state": state}
        was = before.get("started_ms", 0) if before is not None else 0
        if state != "in_service":
            if before is None or before["state"] == "in_service" or was != started:
                self._say(name, started, True)
        elif before is not None and was < started:
            self._say(name, was, True)
        elif before is not None and before["state"] != "in_service" and was == started:
            self._returned[name] = self._say(name, started, False)
        if isinstance(place, str):
            last = self._at.pop(place, None)
            if last is not None and last[0] != name and last[0] not in self._own:
                self._say(*last, True)
            self._at[place] = name, started

    def _say(self, name: str, started: float, leaves: bool) -> Word:
        known = [words[name] for words in (self._words, self._mine) if name in words]
        there = max(known, key=order, default=None)
        turn = there["turn"] if there is not None and there["started"] == started else 0
        if there is not None and there["started"] == started and there["leaves"] == leaves:
            turn -= 1  # it is said already
        word = {"id": name, "started": started, "leaves": leaves, "turn": turn + 1}
        if leaves if there is None else order(word) > order(there):
            self._mine[name] = word
        return word

    def _seen(self, one: Entry) -> Entry:
        """An entry as this process acts on it."""
        word, returned = self._words.get(one["id"]), self._returned.get(one["id"])
        state, started = one.get("state", "in_service"), one.get("started_ms", 0)
        if word is None or not word["leaves"] or state != "in_service" or word["started"] < started:
            return one
        if returned is not None and order(returned) >= order(word):
            return one
        return one | {"state": "terminating"}

    def _prune(self) -> None:
        """Guards against growing with every server that ever was."""
        while len(self._at) > MOST:
            del self._at[next(iter(self._at))]
        for kept in (self._words, self._returned):
            for name in [name for name in kept if name not in self._own and name not in self._since]:
                del kept[name]
