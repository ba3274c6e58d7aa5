"""Tests that a stream is split into complete events."""

import pytest

from wheatroute.edge.event_stream import EventSplitter


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\r"])
def test_only_complete_events_are_returned(end):
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a") == b""
    assert (splitter.incomplete, splitter.last_event_id) == (b"id: 1\ndata: a", None)
    assert splitter.feed(end + b"id:2\ndata: b") == b"id: 1\ndata: a" + end
    assert (splitter.incomplete, splitter.last_event_id) == (b"id:2\ndata: b", b"1")
    assert splitter.feed(end) == b"id:2\ndata: b" + end
    assert (splitter.incomplete, splitter.last_event_id) == (b"", b"2")


def test_bytes_pass_unchanged_however_they_are_split():
    stream = b"id: 1\r\ndata: a\r\n\r\n: comment\n\ndata: b\n\n"
    splitter = EventSplitter()
    assert b"".join(splitter.feed(bytes([byte])) for byte in stream) == stream
    assert splitter.last_event_id == b"1"
