"""What single functions of the bench's link give; no sockets, no clock."""

import pytest

from wheatroute.benchlink import host


def test_host_batch():
    assert host._batch(b'{"now":1.5,"nodes":[]}')["now"] == 1.5
    with pytest.raises(host.MalformedError) as error:
        host._batch(b'{"nodes":[]}')
    assert str(error.value) == 'no clock in "now"'
