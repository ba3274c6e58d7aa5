"""Single functions of the stand-ins, without sockets or a clock."""

from wheatroute.standin import etcd_store, http2_client


def test_etcd_store_in_range():
    assert (
        etcd_store.in_range(b"a", b"a", b""),
        etcd_store.in_range(b"b", b"a", b"b"),
        etcd_store.in_range(b"z", b"a", bytes(1)),
    ) == (True, False, True)


def test_http2_client_encode_frame():
    assert (
        http2_client.encode_frame(http2_client.PING, 0, 0, b"12345678").hex()
        == "0000080600000000003132333435363738"
    )
