"""What single functions of the stand-ins give; no sockets, no clock."""

from wheatroute.standin import etcd_store, lean


def test_etcd_within():
    assert (
        etcd_store.within(b"a", b"a", b""),
        etcd_store.within(b"b", b"a", b"b"),
        etcd_store.within(b"z", b"a", bytes(1)),
    ) == (True, False, True)


def test_lean_frame():
    assert lean.frame(lean.PING, 0, 0, b"12345678").hex() == "0000080600000000003132333435363738"
