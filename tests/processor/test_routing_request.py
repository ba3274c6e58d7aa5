"""Tests of reading requests from headers. No sockets, no clock."""

from wheatroute.balancing.interface import Idempotency
from wheatroute.balancing.settings import RequestClass
from wheatroute.config.processor import HeaderNames
from wheatroute.processor.routing_request import RequestReader, parse_timeout


def test_timeouts_accept_the_units_of_grpc():
    assert (parse_timeout("480m"), parse_timeout("1500u"), parse_timeout("250")) == (0.48, 0.0015, 0.25)


def test_tenant_names_may_contain_non_ascii_characters():
    reader = RequestReader(
        HeaderNames(request_id="id", customer="tenant"),
        [RequestClass(idempotency=Idempotency.IDEMPOTENT, deadline=1.0, paths=["/"])],
        {"Zoë": 0, "Zo": 1},
    )
    for name, number in (("Zoë".encode(), 0), (b"Zo\xeb", 0), (b"Zo", 1), (b"Zoe", -1)):
        headers = [(":path", b"/x"), (":method", b"GET"), ("id", b"1"), ("tenant", name)]
        assert reader.read(headers).tenant == number
