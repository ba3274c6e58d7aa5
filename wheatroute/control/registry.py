"""The registry of servers, maintained from their heartbeats. A state machine without I/O.

Only the primary keeps it; a new primary starts from the instances and the departures that the previous one
shared, if it has received them, and rebuilds the rest from heartbeats. Until a primary has listened for
`SETTLING_HEARTBEATS` heartbeat intervals, a server from which it has received no heartbeat counts as unknown,
not as removed.

States of an instance: READY -> UNRESPONSIVE, by missed heartbeats or suspicion; READY or UNRESPONSIVE ->
DRAINING, by the server's word; any of the three -> REMOVED, by its DELETE or by its silence. What a server
has said of its end is final: DRAINING leads to REMOVED only, and then no heartbeat brings the server back,
since an incarnation that drains or deregisters always ends. Silence says nothing final: a heartbeat makes an
UNRESPONSIVE server READY again, and also one that was REMOVED for its silence alone. All times are in seconds
of the monotonic clock.
"""

from __future__ import annotations

from typing import Any

import msgspec

from wheatroute.cluster.messages import Instance, InstanceState, RegistryVersion
from wheatroute.cluster.settings import SettingsError, split_address
from wheatroute.control.instance_events import InstanceCause, InstanceEvent

UNRESPONSIVE_HEARTBEATS = 2.3  # heartbeat intervals without a heartbeat until a server is unresponsive
REMOVED_HEARTBEATS = 8.0  # heartbeat intervals without a heartbeat until a server is removed
# heartbeat intervals that a new primary listens before it reports unknown servers as removed
SETTLING_HEARTBEATS = 3.0
REMOVED_RETENTION_S = 120.0  # time for which a removed server is remembered
# If more time passes between two checks for missed heartbeats, this process counts as stalled: heartbeats may
# have arrived that it has not read, so none counts as missed.
STALL_THRESHOLD_S = 1.0
DEFAULT_MAX_BYTES = 4 << 20  # memory of all instances
INSTANCE_BYTES, TEXT_BYTES = 400, 56  # memory of an instance, and of each text, without the characters


class MalformedHeartbeatError(Exception):
    """A heartbeat can't be read, or edge nodes couldn't apply what it says."""


class HeartbeatModel(msgspec.Struct, frozen=True):
    """A model that a server has loaded."""

    name: str
    generation: int = 0


class ServerHeartbeat(msgspec.Struct, frozen=True):
    """The JSON body of a server's heartbeat; field names are the JSON keys.

    `seq` grows with each heartbeat of an incarnation; a heartbeat whose `seq` is smaller than that of an
    earlier one is ignored as outdated.
    With any other `state` than "ready", the server drains. `cold_ms` is the remaining warm-up time.
    """

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


class RegistryFullError(Exception):
    """There is no memory for another server, or for a longer description of one."""


class _Entry:
    """An instance with the sequence number and the time of its last heartbeat."""

    __slots__ = ("instance", "seq", "last_heartbeat", "is_unconfirmed", "has_departed", "is_ignored")

    def __init__(self, instance: Instance, seq: int, last_heartbeat: float) -> None:
        self.instance, self.seq, self.last_heartbeat = instance, seq, last_heartbeat
        # whether it was restored from the previous primary's registry and has sent no heartbeat since
        self.is_unconfirmed = False
        # whether the server itself has announced its end, by a heartbeat or by its DELETE
        self.has_departed = instance.state == InstanceState.DRAINING
        self.is_ignored = False  # whether a heartbeat was ignored since the server was removed


def decode_heartbeat(body: bytes) -> ServerHeartbeat:
    """Decodes the JSON body of a heartbeat.

    Raises MalformedHeartbeatError also if its address or its numbers could not be sent to edge nodes, each of
    which would fail at them.
    """
    try:
        heartbeat = msgspec.json.decode(body, type=ServerHeartbeat, strict=False)
        msgspec.msgpack.encode(heartbeat)
        split_address(heartbeat.addr)
    except (msgspec.DecodeError, OverflowError, RecursionError, SettingsError) as error:
        raise MalformedHeartbeatError(str(error)) from error
    return heartbeat


class Registry:
    """All servers that a primary knows in its epoch, with a version that grows with each change."""

    def __init__(
        self, epoch: int, heartbeat_s: float, now: float, max_bytes: int = DEFAULT_MAX_BYTES
    ) -> None:
        self._epoch = epoch
        self._max_bytes = max_bytes
        self._held_bytes = 0  # memory of all instances, see `_memory`
        self._heartbeat_s = heartbeat_s
        self._entries: dict[str, _Entry] = {}
        self._change_count = 0
        # Lowest version from which a difference is complete. A node with an older one gets the full registry:
        # since then an instance was forgotten, or missing ones began to count as removed.
        self._oldest_difference_base = 0
        self._was_settled = False  # whether this primary was settled at the last check for missed heartbeats
        self._listening_since = now
        self._last_check = now
        self._events: list[InstanceEvent] = []

    def take_events(self) -> list[InstanceEvent]:
        """Returns what happened to servers since the last call."""
        events, self._events = self._events, []
        return events

    @property
    def version(self) -> RegistryVersion:
        """The present version; its number grows with each change."""
        return RegistryVersion(self._epoch, self._change_count)

    def expect_heartbeats(self, heartbeat_s: float) -> None:
        """Sets the interval at which servers send heartbeats, in seconds."""
        self._heartbeat_s = heartbeat_s

    def is_settled(self, now: float) -> bool:
        """Whether this primary has listened long enough that an unknown server counts as removed."""
        return now - self._listening_since > SETTLING_HEARTBEATS * self._heartbeat_s

    def restore(self, now: float, instances: tuple[Instance, ...]) -> None:
        """Restores the instances that the previous primary shared.

        An instance that sends no heartbeat within `SETTLING_HEARTBEATS` intervals is removed, until it sends
        one.
        """
        for instance in instances:
            entry = _Entry(self._with_new_version(instance), -1, now)
            entry.is_unconfirmed = True
            self._entries[instance.id] = entry
            self._held_bytes += _memory(instance)

    def live_instances(self) -> tuple[Instance, ...]:
        """All instances that are not removed."""
        return tuple(
            entry.instance
            for entry in self._entries.values()
            if entry.instance.state != InstanceState.REMOVED
        )

    def restore_departures(self, now: float, ages_s: dict[str, float]) -> None:
        """Restores the servers whose departure the previous primary shared; no heartbeat brings them back.

        `ages_s` are the seconds since each departure, by server.
        """
        for identity, age_s in ages_s.items():
            self._add_departure(now - age_s, _departed_instance(identity))

    def departure_ages(self, now: float) -> dict[str, float]:
        """The seconds since the departure of each server that announced its end and is removed, by its id."""
        return {
            identity: now - entry.last_heartbeat
            for identity, entry in self._entries.items()
            if entry.has_departed and entry.instance.state == InstanceState.REMOVED
        }

    def _add_departure(self, now: float, removed: Instance) -> None:
        """Records a server of which nothing is known but that it departed at `now`."""
        entry = _Entry(self._with_new_version(removed), 0, now)
        entry.has_departed = True
        self._entries[removed.id] = entry
        self._held_bytes += _memory(removed)

    def heartbeat(self, now: float, identity: str, heartbeat: ServerHeartbeat) -> bool:
        """Applies a heartbeat; returns whether it changed anything that edge nodes must know.

        Raises RegistryFullError.
        """
        entry = self._entries.get(identity)
        if entry is not None:
            if entry.has_departed and entry.instance.state == InstanceState.REMOVED:
                self._record_ignored(entry)
                return False
            if heartbeat.seq < entry.seq:
                return False
            entry.seq, entry.last_heartbeat, entry.is_unconfirmed = heartbeat.seq, now, False
        state = InstanceState.READY if heartbeat.state == "ready" else InstanceState.DRAINING
        if entry is not None and entry.has_departed:
            state = InstanceState.DRAINING
        reported = Instance(
            id=identity,
            service=heartbeat.backend,
            address=heartbeat.addr,
            zone=heartbeat.zone,
            slots=heartbeat.slots,
            state=state,
            changed=0,
            warmup_remaining_ms=heartbeat.cold_ms,
            models=tuple(model.name for model in heartbeat.models),
        )
        if entry is None:
            self._reserve(_memory(reported))
            self._entries[identity] = _Entry(self._with_new_version(reported), heartbeat.seq, now)
            self._record_event(None, reported, InstanceCause.HEARTBEAT)
            return True
        if _is_unchanged(entry.instance, reported):
            return False
        self._reserve(_memory(reported) - _memory(entry.instance))
        self._record_event(entry.instance.state, reported, InstanceCause.HEARTBEAT)
        entry.instance = self._with_new_version(reported)
        entry.has_departed = state == InstanceState.DRAINING
        return True

    def _reserve(self, growth_bytes: int) -> None:
        """Counts the memory of an instance; raises RegistryFullError if there is no room for it."""
        self._require_room(growth_bytes)
        self._held_bytes += growth_bytes

    def _require_room(self, growth_bytes: int) -> None:
        """Raises RegistryFullError if there is no room for so much more memory."""
        if growth_bytes > 0 and self._held_bytes + growth_bytes > self._max_bytes:
            raise RegistryFullError("there is no memory for more servers")

    def remove(self, now: float, identity: str) -> bool:
        """Removes a server that deregisters; returns False if its departure was known before.

        The departure of one that was removed for its silence is news as well: the other control nodes must
        know that it is final. An unknown server is recorded as removed, so that a late heartbeat doesn't
        register it; raises RegistryFullError if there is no room for that.
        """
        entry = self._entries.get(identity)
        if entry is None:
            removed = _departed_instance(identity)
            self._require_room(_memory(removed))
            self._add_departure(now, removed)
            self._record_event(None, removed, InstanceCause.DEREGISTERED)
            return True
        if entry.has_departed and entry.instance.state == InstanceState.REMOVED:
            return False
        entry.has_departed = True
        if not self._set_state(entry, InstanceState.REMOVED, now, InstanceCause.DEREGISTERED):
            entry.instance = self._with_new_version(entry.instance)
        return True

    def last_heartbeat(self, identity: str) -> float | None:
        """The time of a ready server's last heartbeat; None for any other server."""
        entry = self._entries.get(identity)
        return (
            entry.last_heartbeat
            if entry is not None and entry.instance.state == InstanceState.READY
            else None
        )

    def mark_unresponsive(self, identity: str) -> None:
        """Marks a ready server as unresponsive because it is suspected, even if it missed no heartbeat."""
        entry = self._entries[identity]
        entry.instance = self._with_new_version(
            msgspec.structs.replace(entry.instance, state=InstanceState.UNRESPONSIVE)
        )

    def restart_listening(self, now: float) -> None:
        """Counts silence from now on only: until now, this process could not receive or read heartbeats."""
        self._listening_since = now
        self._was_settled = False
        for entry in self._entries.values():
            entry.last_heartbeat = now

    def apply_missed_heartbeats(self, now: float) -> bool:
        """Updates servers that missed heartbeats; returns whether edge nodes must be told of a change."""
        is_stalled, self._last_check = now - self._last_check > STALL_THRESHOLD_S, now
        if is_stalled:
            self.restart_listening(now)
            return False
        changed = self._note_settled(now)
        for identity, entry in list(self._entries.items()):
            missed = (now - entry.last_heartbeat) / self._heartbeat_s
            if entry.instance.state == InstanceState.REMOVED:
                if now - entry.last_heartbeat > REMOVED_RETENTION_S:
                    self._oldest_difference_base = max(self._oldest_difference_base, entry.instance.changed)
                    self._held_bytes -= _memory(entry.instance)
                    del self._entries[identity]
            elif missed > (SETTLING_HEARTBEATS if entry.is_unconfirmed else REMOVED_HEARTBEATS):
                cause = InstanceCause.UNCONFIRMED if entry.is_unconfirmed else InstanceCause.MISSED_HEARTBEATS
                changed |= self._set_state(entry, InstanceState.REMOVED, now, cause)
            elif missed > UNRESPONSIVE_HEARTBEATS and entry.instance.state == InstanceState.READY:
                changed |= self._set_state(
                    entry, InstanceState.UNRESPONSIVE, entry.last_heartbeat, InstanceCause.MISSED_HEARTBEATS
                )
        return changed

    def _note_settled(self, now: float) -> bool:
        """Returns whether this primary became settled; from then on every edge node gets the full registry.

        An edge node drops the servers that are missing from a full registry only if the primary is settled.
        One that got the full registry before would keep them, as later differences don't name them.
        """
        if self._was_settled or not self.is_settled(now):
            return False
        self._was_settled = True
        self._change_count += 1
        self._oldest_difference_base = self._change_count
        return True

    def changes(self, since: RegistryVersion) -> tuple[tuple[Instance, ...], bool]:
        """Returns the instances that changed since a version, and whether they are the full registry.

        The full registry is returned if the version is of another epoch, is above the present one, or is too
        old for a complete difference.
        """
        instances = [entry.instance for entry in self._entries.values()]
        if (
            since.epoch != self._epoch
            or since.number < self._oldest_difference_base
            or since.number > self._change_count
        ):
            return tuple(instances), True
        return tuple(one for one in instances if one.changed > since.number), False

    def _with_new_version(self, instance: Instance) -> Instance:
        self._change_count += 1
        return msgspec.structs.replace(instance, changed=self._change_count)

    def _record_event(self, previous: InstanceState | None, instance: Instance, cause: InstanceCause) -> None:
        if previous != instance.state:
            self._events.append(InstanceEvent(instance.id, previous, instance.state, cause))

    def _record_ignored(self, entry: _Entry) -> None:
        """Records the first heartbeat that is ignored since the server was removed."""
        if not entry.is_ignored:
            entry.is_ignored = True
            state = entry.instance.state
            self._events.append(
                InstanceEvent(entry.instance.id, state, state, InstanceCause.HEARTBEAT_IGNORED)
            )

    def _set_state(
        self, entry: _Entry, state: InstanceState, last_heartbeat: float, cause: InstanceCause
    ) -> bool:
        entry.last_heartbeat = last_heartbeat
        if entry.instance.state == state:
            return False
        self._record_event(entry.instance.state, msgspec.structs.replace(entry.instance, state=state), cause)
        entry.instance = self._with_new_version(msgspec.structs.replace(entry.instance, state=state))
        return True


def _departed_instance(identity: str) -> Instance:
    """A removed server of which only the id is known."""
    return Instance(
        id=identity, service="", address="", zone="", slots=0, state=InstanceState.REMOVED, changed=0
    )


def _memory(instance: Instance) -> int:
    """Approximate memory of an instance with the texts that its server has chosen."""
    texts = (instance.id, instance.service, instance.address, instance.zone, *instance.models)
    return INSTANCE_BYTES + sum(TEXT_BYTES + len(text) for text in texts)


def _is_unchanged(present: Instance, reported: Instance) -> bool:
    """Whether a heartbeat reports nothing new; a decrease of the remaining warm-up time is not a change."""
    warmup_ms = (
        reported.warmup_remaining_ms
        if (reported.warmup_remaining_ms > 0) != (present.warmup_remaining_ms > 0)
        else present.warmup_remaining_ms
    )
    aligned: Any = msgspec.structs.replace(reported, changed=present.changed, warmup_remaining_ms=warmup_ms)
    return bool(aligned == present)
