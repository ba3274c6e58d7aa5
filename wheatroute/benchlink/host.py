"""The server side of the simulator's link: one batch of events per input line, one reply line per batch.

A batch has events for any number of nodes; each node has its own `Instance`. `serve` does blocking I/O.
"""

import sys
from typing import Any, BinaryIO

import orjson

from wheatroute.benchlink.instance import Instance


class MalformedError(Exception):
    """An input line does not follow the link's message format."""


class Host:
    """Holds the instances of this process, by node; they share only the server lists registered by number."""

    def __init__(self) -> None:
        self._instances: dict[str, Instance] = {}
        self._lists: dict[int, list[dict[str, Any]]] = {}

    def handle_batch(self, batch: dict[str, Any]) -> dict[str, Any]:
        """Returns the reply to a batch; raises `MalformedError` if an event lacks a required field.

        If an instance raises another exception, its node's decisions are a single "fault" message; the other
        nodes are handled as usual.
        """
        now, replies = batch["now"], []
        for entry in batch["nodes"]:
            name, events = entry["node"], entry["events"]
            try:
                decisions = self._handle_events(name, now, events)
            except (KeyError, TypeError, AttributeError) as error:
                if _well_formed(events):
                    decisions = [_fault_entry(error)]
                else:
                    raise MalformedError(f"event with a missing or invalid field: {error}") from error
            except Exception as error:
                # Reported in the reply, so that the operators see it.
                decisions = [_fault_entry(error)]
            if decisions:
                replies.append({"node": name, "decisions": decisions})
        return {"nodes": replies}

    def _handle_events(self, name: str, now: float, events: list[dict[str, Any]]) -> list[dict[str, Any]]:
        decisions: list[dict[str, Any]] = []
        instance = self._instances.get(name)
        for message in events:
            kind = message["m"]
            if kind == "new-instance":
                instance = Instance(message["rng-seed"], message["boot-info"])
                self._instances[name] = instance
                decisions = []
            elif kind == "exit":
                # The node lost its state, including events that came earlier in this batch.
                self._instances.pop(name, None)
                instance = None
            elif kind == "register":
                self._lists[message["roster-id"]] = message["hosts"]
            elif instance is None:
                continue
            elif kind == "targets":
                form = message["form"]
                hosts = [] if form == "broken" else self._lists[message["roster-id"]]
                instance.targets(form, hosts)
            elif kind in _HANDLERS:
                _HANDLERS[kind](instance, message)
        if instance is not None:
            decisions = instance.handle_events(now)
        return decisions


# Methods that handle messages, by the kind of message ("m").
_HANDLERS = {
    "ask": Instance.ask,
    "returned": Instance.returned,
    "established": Instance.established,
    "left": Instance.left,
    "echo": Instance.echo,
    "wakeup": Instance.wakeup,
    "whisper": Instance.whisper,
}
# Keys that a message must have, by kind.
_REQUIRED_KEYS = {
    "new-instance": ("rng-seed", "boot-info"),
    "register": ("roster-id", "hosts"),
    "targets": ("form",),
    "ask": ("call", "band"),
    "returned": ("call", "server", "result"),
    "established": ("call", "server"),
    "left": ("call",),
    "echo": ("server", "result"),
}


def _well_formed(events: Any) -> bool:
    """Returns whether all events have their required keys; if so, an exception is a fault of the instance."""
    return isinstance(events, list) and all(
        isinstance(one, dict) and "m" in one and all(name in one for name in _REQUIRED_KEYS.get(one["m"], ()))
        for one in events
    )


def _fault_entry(error: Exception) -> dict[str, str]:
    """Returns a "fault" message with the error and the line that raised it."""
    frame = error.__traceback__
    while frame is not None and frame.tb_next is not None:
        frame = frame.tb_next
    location = f" at line {frame.tb_lineno} of {frame.tb_frame.f_code.co_name}" if frame else ""
    return {"m": "fault", "msg": f"{type(error).__name__}: {error}{location}"}


def _parse_batch(line: bytes) -> dict[str, Any]:
    """Parses and checks one input line; raises `MalformedError`."""
    try:
        batch = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise MalformedError(f"not JSON: {error}") from error
    if not isinstance(batch, dict):
        raise MalformedError("a batch must be a JSON object")
    if isinstance(batch.get("now"), bool) or not isinstance(batch.get("now"), int | float):
        raise MalformedError('"now" must be a number of seconds')
    if not isinstance(batch.get("nodes"), list):
        raise MalformedError('"nodes" must be a list')
    for entry in batch["nodes"]:
        if not (
            isinstance(entry, dict)
            and isinstance(entry.get("node"), str)
            and isinstance(entry.get("events"), list)
        ):
            raise MalformedError('each entry of "nodes" must have a string "node" and a list "events"')
    return batch


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answers batches until the input ends; returns the exit status, 2 after a malformed line."""
    host = Host()
    for line_number, line in enumerate(source, 1):
        if not line.strip():
            continue
        try:
            reply = orjson.dumps(host.handle_batch(_parse_batch(line)))
        except MalformedError as error:
            print(f"line {line_number}: {error}", file=sys.stderr)
            return 2
        sink.write(reply + b"\n")
        sink.flush()
    return 0
