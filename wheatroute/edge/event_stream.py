"""Splits the bytes of an event stream (text/event-stream, WHATWG HTML 9.2) into complete events. No I/O."""

from __future__ import annotations

import re

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventSplitter:
    """Splits a byte stream into complete events, and buffers an incomplete one."""

    def __init__(self) -> None:
        self._incomplete = b""
        self.last_event_id: bytes | None = None  # last id among the complete events

    def feed(self, data: bytes) -> bytes:
        """Adds bytes; returns the unchanged bytes of all events that are complete now."""
        self._incomplete += data
        end = 0
        for match in _EVENT_END.finditer(self._incomplete):
            end = match.end()
        complete, self._incomplete = self._incomplete[:end], self._incomplete[end:]
        for match in _EVENT_ID.finditer(complete):
            self.last_event_id = match[1]
        return complete

    @property
    def incomplete(self) -> bytes:
        """Buffered bytes of an event whose end was not received yet."""
        return self._incomplete
