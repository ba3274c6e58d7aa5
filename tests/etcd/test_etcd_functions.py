"""Single functions of the package, without I/O."""

import pytest

from wheatroute.etcd import membership, messages, server_keys


def test_membership_estimate():
    nodes = membership.Membership(b"nodes/", "b", 5)
    nodes.update(["a", "b", "c"], 0.0)
    assert nodes.estimate(0.0) == (3, 1)
    nodes.update(["b"], 1.0)
    assert (nodes.estimate(2.0), nodes.estimate(17.0), nodes.estimate(19.0)) == ((3, 1), (2, 0), (1, 0))


def test_messages_prefix_end():
    assert (messages.prefix_end(b"a/"), messages.prefix_end(b"a\xff"), messages.prefix_end(b"")) == (
        b"a0",
        b"b",
        b"\x00",
    )


def test_server_keys_decode():
    assert (
        server_keys._decode(b'{"addr": "10.1.0.18:8443", "cell": 3}')["cell"],
        server_keys._decode(b'{"addr": "10.1.0.18:8443"}')["state"],
    ) == (3, "in_service")
    with pytest.raises(ValueError) as error:
        server_keys._decode(b'{"addr": "10.1.0.18:8443", "state": "gone"}')
    assert str(error.value) == "\"state\" must be in_service or terminating, got 'gone'"
