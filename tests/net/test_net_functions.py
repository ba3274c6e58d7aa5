"""Results of single functions, without sockets or clocks."""

import pytest

from wheatroute.net import addresses, exchange, load_reports, request_parser
from wheatroute.net.response_reader import ServerResponse


def test_parse_address():
    assert addresses.parse_address("10.0.0.4:8443") == ("10.0.0.4", 8443)
    with pytest.raises(ValueError) as error:
        addresses.parse_address("somewhere:80")
    assert str(error.value) == "must be an IPv4 address and port, got 'somewhere:80'"


def test_parse_timeout():
    assert (request_parser.parse_timeout(b"480m"), request_parser.parse_timeout(b"1500u")) == (0.48, 0.0015)


def test_parse_work_hint():
    assert (
        exchange.parse_work_hint(b"0.25"),
        exchange.parse_work_hint(b"-1"),
        exchange.parse_work_hint(b"much"),
        exchange.parse_work_hint(b"1e999"),
    ) == (0.25, 0.0, 0.0, 0.0)


def test_outcome_of_a_response():
    assert (
        ServerResponse(503, {b"not-started": b"1"}, b"").outcome.name,
        ServerResponse(503, {}, b"").outcome.name,
        ServerResponse(404, {}, b"").outcome.name,
    ) == ("FULL", "ERROR", "UNKNOWN")


def test_parse_load_report():
    assert load_reports.parse_load_report("TEXT inflight=7, queue=2, util=0.61, novel=x") == (
        {"held": 7.0, "queued": 2.0, "busy": 0.61},
        "novel=x",
    )
