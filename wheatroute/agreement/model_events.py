"""The events that the model checker explores. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from wheatroute.agreement.member import Member
from wheatroute.agreement.model_world import Bounds, Process, WorldState
from wheatroute.agreement.records import parse_header
from wheatroute.agreement.versions import History

EMPTY_CONTENT: dict[str, Any] = {"settings": {}}

MemberFactory = Callable[[str, str, float, float], Member]


class WorldEvents:
    """Generates the events within the bounds; see `ModelChecker` for the injected faults."""

    def __init__(
        self, bounds: Bounds, make_member: MemberFactory, overwrites: bool, reads_first: bool
    ) -> None:
        self._bounds, self._make_member = bounds, make_member
        self._overwrites, self._reads_first = overwrites, reads_first

    def new_process(self, i: int, incarnation: int) -> Process:
        """Returns a process that has just started."""
        member = self._make_member(f"n{i}", str(incarnation), 1.0, 0.0)
        member.confirmation_ttl_s = self._bounds.ttl_steps
        return Process(member, incarnation=incarnation)

    def successors(self, world: WorldState) -> list[tuple[str, WorldState]]:
        """Returns a description of every event that may happen next, with the state after it."""
        events = [event for i in range(len(world.processes)) for event in self._process_events(world, i)]
        if world.puts < self._bounds.puts:
            events.append((f"version {world.puts + 1} is put", self._put(world)))
        if world.now < self._bounds.clock_steps:
            events.append((f"clock step {world.now + 1}", self._step_clock(world)))
        return events

    def _process_events(self, world: WorldState, i: int) -> Iterator[tuple[str, WorldState]]:
        process = world.processes[i]
        # An exchange may start while the previous one is in flight; then the response of that one is lost.
        if process.to_append is None:
            yield f"n{i} sends its status", self._send(world, i)
        if process.sent_at is not None:
            yield f"n{i} receives its response", self._receive(world, i)
        if process.has_new_response and process.member.history.pending and i < self._bounds.deciders:
            yield f"n{i} reads the statuses", self._read_statuses(world, i)
        if process.to_append is not None:
            header = parse_header(process.to_append)
            yield f"n{i} appends {header.kind} {header.version}", self._append(world, i)
        if world.restarts < self._bounds.restarts:
            yield f"n{i} restarts", self._restart(world, i)

    @staticmethod
    def _step_clock(world: WorldState) -> WorldState:
        after = world.copy(-1)
        after.now += 1
        return after

    def _send(self, world: WorldState, i: int) -> WorldState:
        after = world.copy(i)
        process = after.processes[i]
        process.sent_at, process.has_new_response = world.now, False
        if self._reads_first:
            self._apply_records(after, process, i)
        else:
            after.statuses[process.member.key] = process.member.next_status(0.0)
        return after

    def _receive(self, world: WorldState, i: int) -> WorldState:
        after = world.copy(i)
        process = after.processes[i]
        if self._reads_first:
            after.statuses[process.member.key] = process.member.next_status(0.0)
        else:
            self._apply_records(after, process, i)
        process.sent_at, process.has_new_response = None, True
        return after

    def _apply_records(self, world: WorldState, process: Process, i: int) -> None:
        member = process.member
        new = list(world.records[member.history.head :])
        if new:
            member.history = member.history.copy()
        assert process.sent_at is not None
        member.confirm(process.sent_at, new)
        for version in member.unchecked_versions():
            member.record_check(version, "unusable" if (i, version) in self._bounds.rejections else "")
        member.set_effective(member.permitted(world.now))

    @staticmethod
    def _read_statuses(world: WorldState, i: int) -> WorldState:
        after = world.copy(i)
        process = after.processes[i]
        process.has_new_response = False
        process.to_append = process.member.next_decision(world.now, world.now, list(world.statuses.values()))
        return after

    def _append(self, world: WorldState, i: int) -> WorldState:
        after = world.copy(i)
        process = after.processes[i]
        assert process.to_append is not None
        number = parse_header(process.to_append).number
        assert isinstance(number, int)
        if number == len(world.records) + 1:
            after.records = (*world.records, process.to_append)
        elif self._overwrites:
            after.records = (*world.records[: number - 1], process.to_append)
        process.to_append = None
        return after

    def _restart(self, world: WorldState, i: int) -> WorldState:
        after = world.copy(i)
        after.restarts += 1
        after.processes[i] = self.new_process(i, world.processes[i].incarnation + 1)
        return after

    @staticmethod
    def _put(world: WorldState) -> WorldState:
        after = world.copy(-1)
        after.puts += 1
        history = History()
        for record in world.records:
            history.apply(record)
        after.records = (*world.records, history.put_record(EMPTY_CONTENT, f"put{after.puts}", "", 0.0, ""))
        return after
