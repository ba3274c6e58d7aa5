"""Which servers there are, by their heartbeats; a state machine without I/O.

It is kept by the primary alone and built anew from heartbeats by the next one: until a primary has listened
for some heartbeats, a server that it hasn't heard from is unknown and not gone.
"""

from __future__ import annotations

from typing import Any

import msgspec

from wheatroute.cluster.messages import Instance, InstanceState, RegistryVersion

SILENT_BEATS = 2.3  # heartbeats missing until a server counts as silent
GONE_BEATS = 8.0  # and until it counts as gone
SETTLING_BEATS = 3.0  # that a new primary listens before it calls unknown servers gone
KEEP_GONE = 120.0  # seconds that a server which left is remembered
STALLED = 1.0  # seconds between two ticks that make up for no missing heartbeat


class HeartbeatModel(msgspec.Struct, frozen=True):
    """One model of a server."""

    name: str
    generation: int = 0


class Heartbeat(msgspec.Struct, frozen=True):
    """What a server says of itself."""

    backend: str
    addr: str
    zone: str = ""
    generation: str = ""
    slots: int = 1
    state: str = "ready"
    cold_ms: float = 0.0
    seq: int = 0
    phase: str = "both"
    models: tuple[HeartbeatModel, ...] = ()


class _Entry:
    """One incarnation, with what is needed to judge its next heartbeat."""

    __slots__ = ("instance", "seq", "heard", "unconfirmed")

    def __init__(self, instance: Instance, seq: int, heard: float) -> None:
        self.instance, self.seq, self.heard = instance, seq, heard
        self.unconfirmed = False  # only the primary before has heard it


def decode_heartbeat(body: bytes) -> Heartbeat:
    """The heartbeat of a JSON body; raises msgspec.DecodeError."""
    return msgspec.json.decode(body, type=Heartbeat, strict=False)


class Registry:
    """All servers that one primary has heard from, in one epoch."""

    def __init__(self, epoch: int, heartbeat_s: float, now: float) -> None:
        self._epoch = epoch
        self._heartbeat_s = heartbeat_s
        self._entries: dict[str, _Entry] = {}
        self._number = 0
        self._pruned = 0  # the newest change of what is no longer remembered
        self._since = now
        self._ticked = now

    @property
    def version(self) -> RegistryVersion:
        """Rises with each change."""
        return RegistryVersion(self._epoch, self._number)

    def expect_heartbeats(self, heartbeat_s: float) -> None:
        """Servers send a heartbeat so often, in seconds."""
        self._heartbeat_s = heartbeat_s

    def settled(self, now: float) -> bool:
        """Whether a server that isn't listed can be called gone."""
        return now - self._since > SETTLING_BEATS * self._heartbeat_s

    def remember(self, now: float, instances: tuple[Instance, ...]) -> None:
        """Starts from what the primary before told; who isn't heard from soon is gone."""
        for instance in instances:
            entry = _Entry(self._changed(instance), -1, now)
            entry.unconfirmed = True
            self._entries[instance.id] = entry

    def known(self) -> tuple[Instance, ...]:
        """All that haven't left."""
        return tuple(
            entry.instance
            for entry in self._entries.values()
            if entry.instance.state != InstanceState.REMOVED
        )

    def heartbeat(self, now: float, identity: str, beat: Heartbeat) -> bool:
        """Takes a heartbeat in; true if something that others must know has changed."""
        entry = self._entries.get(identity)
        if entry is not None:
            if beat.seq < entry.seq or entry.instance.state == InstanceState.REMOVED:
                return False
            entry.seq, entry.heard, entry.unconfirmed = beat.seq, now, False
        state = InstanceState.READY if beat.state == "ready" else InstanceState.DRAINING
        if entry is not None and entry.instance.state == InstanceState.DRAINING:
            state = InstanceState.DRAINING
        told = Instance(
            id=identity,
            service=beat.backend,
            address=beat.addr,
            zone=beat.zone,
            slots=beat.slots,
            state=state,
            changed=0,
            warmup_remaining_ms=beat.cold_ms,
            models=tuple(model.name for model in beat.models),
        )
        if entry is None:
            self._entries[identity] = _Entry(self._changed(told), beat.seq, now)
            return True
        if _same(entry.instance, told):
            return False
        entry.instance = self._changed(told)
        return True

    def leave(self, now: float, identity: str) -> bool:
        """A server says that it ends; true if that was not known."""
        entry = self._entries.get(identity)
        if entry is None:
            gone = Instance(
                id=identity, service="", address="", zone="", slots=0, state=InstanceState.REMOVED, changed=0
            )
            self._entries[identity] = _Entry(self._changed(gone), 0, now)
            return True
        return self._move(entry, InstanceState.REMOVED, now)

    def heard(self, identity: str) -> float | None:
        """When a server that is ready was heard last; None for any other."""
        entry = self._entries.get(identity)
        return entry.heard if entry is not None and entry.instance.state == InstanceState.READY else None

    def suspect(self, identity: str) -> None:
        """Edge nodes get no answer of a server: it counts as silent before its heartbeats are missed."""
        entry = self._entries[identity]
        self._move(entry, InstanceState.UNRESPONSIVE, entry.heard)

    def tick(self, now: float) -> bool:
        """Time has passed; true if a server became silent or gone."""
        stalled, self._ticked = now - self._ticked > STALLED, now
        if stalled:
            # nobody is blamed for heartbeats that this process could not read
            self._since = now
            for entry in self._entries.values():
                entry.heard = now
            return False
        changed = False
        for identity, entry in list(self._entries.items()):
            silent = (now - entry.heard) / self._heartbeat_s
            if entry.instance.state == InstanceState.REMOVED:
                if now - entry.heard > KEEP_GONE:
                    self._pruned = max(self._pruned, entry.instance.changed)
                    del self._entries[identity]
            elif silent > (SETTLING_BEATS if entry.unconfirmed else GONE_BEATS):
                changed |= self._move(entry, InstanceState.REMOVED, now)
            elif silent > SILENT_BEATS and entry.instance.state == InstanceState.READY:
                changed |= self._move(entry, InstanceState.UNRESPONSIVE, entry.heard)
        return changed

    def changes(self, known: RegistryVersion) -> tuple[tuple[Instance, ...], bool]:
        """What has changed since a version, and whether that is all there is."""
        instances = [entry.instance for entry in self._entries.values()]
        if known.epoch != self._epoch or known.number < self._pruned or known.number > self._number:
            return tuple(instances), True
        return tuple(one for one in instances if one.changed > known.number), False

    def _changed(self, instance: Instance) -> Instance:
        self._number += 1
        return msgspec.structs.replace(instance, changed=self._number)

    def _move(self, entry: _Entry, state: InstanceState, heard: float) -> bool:
        entry.heard = heard
        if entry.instance.state == state:
            return False
        entry.instance = self._changed(msgspec.structs.replace(entry.instance, state=state))
        return True


def _same(present: Instance, told: Instance) -> bool:
    """Whether a heartbeat says nothing new; how cold a server still is runs down by itself."""
    cold = (
        told.warmup_remaining_ms
        if (told.warmup_remaining_ms > 0) != (present.warmup_remaining_ms > 0)
        else present.warmup_remaining_ms
    )
    aligned: Any = msgspec.structs.replace(told, changed=present.changed, warmup_remaining_ms=cold)
    return bool(aligned == present)
