"""Tests of the outcome of an attempt by its response headers. No sockets, no clock."""

from wheatroute.processor.response_outcome import response_outcome


def test_only_a_header_or_flag_proves_that_an_attempt_never_ran():
    assert (
        response_outcome({":status": b"503", "not-started": b"1"}).name,
        response_outcome({":status": b"404"}).name,
    ) == ("FULL", "SERVED")
    assert (
        response_outcome({":status": b"503"}, 32).name,
        response_outcome({":status": b"503"}).name,
    ) == ("UNCONNECTED", "ERROR")
