"""The bench's link: reads a batch a line, hands each instance its events, writes one reply a batch.

`serve` does the I/O, which blocks.
"""

import sys
from typing import Any, BinaryIO

import orjson

from wheatroute.benchlink.instance import Instance


class MalformedError(Exception):
    """A line does not have the shape of the wire."""


class Host:
    """The instances of this process; they share only the numbered lists of the wire."""

    def __init__(self) -> None:
        self._instances: dict[str, Instance] = {}
        self._lists: dict[int, list[dict[str, Any]]] = {}

    def answer(self, batch: dict[str, Any]) -> dict[str, Any]:
        """The reply to a batch; raises `MalformedError`."""
        now, replies = batch["now"], []
        for entry in batch["nodes"]:
            name, events = entry["node"], entry["events"]
            try:
                decisions = self._handle_events(name, now, events)
            except (KeyError, TypeError, AttributeError) as error:
                if _well_formed(events):
                    decisions = [_fault(error)]
                else:
                    raise MalformedError(f"event without its fields: {error}") from error
            except Exception as error:  # in the reply, so that the operators see it
                decisions = [_fault(error)]
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
                # what it held is void, also what came earlier in this batch
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


_HANDLERS = {
    "ask": Instance.ask,
    "returned": Instance.returned,
    "established": Instance.established,
    "left": Instance.left,
    "echo": Instance.echo,
    "wakeup": Instance.wakeup,
    "whisper": Instance.whisper,
}
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
    return isinstance(events, list) and all(
        isinstance(one, dict) and "m" in one and all(name in one for name in _REQUIRED_KEYS.get(one["m"], ()))
        for one in events
    )


def _fault(error: Exception) -> dict[str, str]:
    step = error.__traceback__
    while step is not None and step.tb_next is not None:
        step = step.tb_next
    location = f" at line {step.tb_lineno} of {step.tb_frame.f_code.co_name}" if step else ""
    return {"m": "fault", "msg": f"{type(error).__name__}: {error}{location}"}


def _batch(line: bytes) -> dict[str, Any]:
    """One line as a batch."""
    try:
        batch = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise MalformedError(f"not JSON: {error}") from error
    if not isinstance(batch, dict):
        raise MalformedError("not an object")
    if isinstance(batch.get("now"), bool) or not isinstance(batch.get("now"), int | float):
        raise MalformedError('no clock in "now"')
    if not isinstance(batch.get("nodes"), list):
        raise MalformedError('no list in "nodes"')
    for entry in batch["nodes"]:
        if not (
            isinstance(entry, dict)
            and isinstance(entry.get("node"), str)
            and isinstance(entry.get("events"), list)
        ):
            raise MalformedError('an entry of "nodes" lacks "node" or "events"')
    return batch


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answers batches until the input ends; returns the exit status."""
    host = Host()
    for count, line in enumerate(source, 1):
        if not line.strip():
            continue
        try:
            reply = orjson.dumps(host.answer(_batch(line)))
        except MalformedError as error:
            print(f"line {count}: {error}", file=sys.stderr)
            return 2
        sink.write(reply + b"\n")
        sink.flush()
    return 0
