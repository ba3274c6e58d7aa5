"""Single functions of the package, without sockets or a clock."""

import pytest

from wheatroute.grpc import messages


def test_messages_assembler():
    assembler = messages.Assembler()
    assert (
        assembler.feed(messages.frame_message(b"ab") + messages.frame_message(b"") + b"\x00\x00"),
        assembler.feed(b"\x00\x00\x01c"),
        assembler.is_between_messages,
    ) == ([b"ab", b""], [b"c"], True)


def test_messages_parse_timeout():
    assert (messages.parse_timeout(b"250m"), messages.parse_timeout(b"2S")) == (0.25, 2.0)
    with pytest.raises(messages.CallError) as caught:
        messages.parse_timeout(b"-1S")
    assert str(caught.value) == "INVALID_ARGUMENT: no usable grpc-timeout"


def test_messages_encode_timeout():
    assert (
        messages.encode_timeout(0.25),
        messages.encode_timeout(1000000.0),
        messages.encode_timeout(-1.0),
    ) == (b"250000u", b"1000000S", b"1n")


def test_messages_decode_status_message():
    assert messages.decode_status_message(messages.encode_status_message("100% früh")) == "100% früh"
