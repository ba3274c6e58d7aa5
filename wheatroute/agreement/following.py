"""A node's part in the agreement: asks the place, applies what it may act on, judges when others are ready.

Owns the pace of questions and the look at the clock that comes before anything is decided after a wait. It
must never tell the others that it acts on something before it does, nor leave a lapsed confirmation unnoticed
for longer than one pass of the event loop.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol

import trio

from wheatroute.agreement.adapter import AdaptedVersion
from wheatroute.agreement.leaving import Leaving
from wheatroute.agreement.member import Acts, Member
from wheatroute.agreement.places import MOST, Place, PlaceError, opened, taken
from wheatroute.agreement.versions import HistoryError

ASKS = 10.0  # questions in the time that a confirmation lasts
LONGEST = 1.0  # seconds between two questions, however long confirmations last
PATIENCE = 0.4  # of the time that a confirmation lasts, for one question

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def clock() -> float:
    """Seconds; goes on while the machine sleeps, where the system has such a clock."""
    return time.clock_gettime(_CLOCK)


class Adapts(Protocol):
    """What is needed of a process's versions."""

    def check(self, number: int, content: Any) -> str: ...

    def adapt(self, acts: Acts) -> AdaptedVersion: ...


def looks_after(rank: int, pause: float) -> float:
    """Seconds until a process looks at all rows again: the first often, the others in case those are gone.

    Guards against as many readings of all rows as there are processes, each time.
    """
    return pause * min(rank, ASKS / 2)


class Following(trio.abc.Instrument):
    """One process's. `apply(adapted, binding)` has the front act on something, at once."""

    def __init__(
        self,
        place: Place,
        member: Member,
        adapter: Adapts,
        apply: Callable[[AdaptedVersion, bool], None],
        settle: Callable[[], None],
        listed: Callable[[], tuple[str, int]],
        log: Any,
        leaving: Leaving | None = None,
        heed: Callable[[list[dict[str, Any]]], None] = lambda servers: None,
    ) -> None:
        self._listed, self._leaving, self._hear = listed, leaving, heed
        self._look_at = 0.0
        self._place, self._member, self._adapter, self._log = place, member, adapter, log
        self._apply, self._settle = apply, settle
        self._due = -1.0  # when the present confirmation ends; before that the clock needs no thought
        self._pause = min(LONGEST, member.lasts / ASKS)
        self._patience = PATIENCE * member.lasts
        self._said = ""
        self._skipped: set[str] = set()  # rows and words of others that cannot be read, said once each
        self._asking = trio.Lock()  # a question is on its way, the own row with it
        self.left = False  # it counts no more
        self._heed()

    @property
    def member(self) -> Member:
        return self._member

    # before every pass of the event loop

    def after_io_wait(self, timeout: float) -> None:
        """Guards against deciding first and looking at the clock after, in a process that stood still."""
        if clock() >= self._due and not self._member.acts.careful:
            self._heed()

    def _heed(self) -> bool:
        """Acts on what the member may act on now; tells whether that changed."""
        before, acts = self._member.acts, self._member.may(clock())
        self._due = self._member.until
        if acts == before and self._said:
            return False
        # what only loosens leaves requests the rules that they were taken under
        looser = (
            not acts.careful
            and acts.joint in (before.joint, 0)
            and acts.in_force in (before.in_force, before.joint)
        )
        self._apply(self._adapter.adapt(acts), not looser)
        self._member.acting(acts)
        self._say(acts)
        return True

    def _say(self, acts: Acts) -> None:
        phase = "careful" if acts.careful else "joint" if acts.joint else "in force"
        self._said = phase
        self._log.info(
            "settings",
            phase=phase,
            version=acts.in_force,
            joint=acts.joint,
            record=self._member.history.head,
            trouble=self._member.trouble,
        )

    # questions

    async def run(self) -> None:
        trio.lowlevel.add_instrument(self)
        async with opened(self._place):
            await self._follow()

    async def _follow(self) -> None:
        while True:
            changed = False
            try:
                async with self._asking:
                    if self.left:
                        return
                    with trio.fail_after(self._patience):
                        changed = await self._ask(clock())
            except (PlaceError, HistoryError, trio.TooSlowError) as trouble:
                self._fail(str(trouble) or "the place does not answer")
            except Exception:
                # guards against a mistake here ending the node: it goes on, careful
                self._log.exception("fault")
                self._fail("a mistake in the program, see the log")
            if not changed:
                await trio.sleep(self._pause)

    async def _ask(self, sent: float) -> bool:
        member, history = self._member, self._member.history
        member.listed = self._listed()
        records = await self._place.ask(member.key, member.row(time.time()), history.head, history.mark)
        # through a relay it counts from when that one asked, if it did so before
        sent = min(sent, getattr(self._place, "asked_at", sent))
        member.answered(sent, records, len(records) < MOST)
        for name in sorted(getattr(self._place, "skipped", set()) - self._skipped):
            self._skipped.add(name)
            self._log.warning("settings-skipped", name=name)
        for number in member.unchecked():
            version = history.versions[number]
            trouble = self._adapter.check(number, version.content)
            member.checked(number, trouble)
            if trouble:
                self._log.warning("settings-refused", version=number, trouble=trouble)
        changed = self._heed()
        if changed:
            self._settle()
        if self._leaving is not None:
            await self._about_servers(self._leaving)
        return await self._judge() or changed or bool(records)

    async def _about_servers(self, leaving: Leaving) -> None:
        """What others say of servers is acted on, and what this process was told is said."""
        changed = leaving.heard(taken(self._place), clock())
        if changed:
            self._hear(changed)
            said = ",".join(f"{one['id']}:{one['state']}" for one in changed)
            self._log.info("servers-heard", servers=said)
        tell, old = leaving.news(clock())
        if tell or old:
            await self._place.tell(tell, old)

    def _fail(self, trouble: str) -> None:
        if trouble != self._member.trouble:
            self._log.warning("settings-unconfirmed", trouble=trouble, record=self._member.history.head)
        self._member.failed(trouble)

    async def _judge(self) -> bool:
        member = self._member
        if not member.history.pending or clock() < self._look_at:
            return False
        began = clock()
        rows = await self._place.rows()
        rank = member.rank(rows)
        self._look_at = began + looks_after(rank, self._pause)
        record = member.judge(began, clock(), rows)
        if record is None:
            return False
        # one after the other: the first one adds it, the others see that it is there
        await trio.sleep(min(1.0, rank * self._pause / ASKS))
        added = await self._place.add(record)
        if added:
            self._log.info(
                "settings-judged",
                kind=record["kind"],
                version=record["version"],
                reason=record.get("reason", ""),
            )
            await self._place.drop(member.gone(began, rows))
        return True

    async def leave(self) -> None:
        """A process that stops does not count any more from here on: it acts no more.

        Guards against a question that is still on its way: it would write the row again behind the removal.
        """
        self.left = True
        with trio.move_on_after(self._patience):
            try:
                async with self._asking:
                    await self._place.drop([self._member.key])
            except PlaceError as trouble:
                self._log.warning("settings-unconfirmed", trouble=str(trouble))
