"""Unit tests of the simulator's link: no sockets, no clock."""

import pytest

from wheatroute.benchlink import host


def test_a_batch_is_parsed_and_needs_a_time():
    assert host._parse_batch(b'{"now":1.5,"nodes":[]}')["now"] == 1.5
    with pytest.raises(host.MalformedError) as error:
        host._parse_batch(b'{"nodes":[]}')
    assert str(error.value) == '"now" must be a number of seconds'
