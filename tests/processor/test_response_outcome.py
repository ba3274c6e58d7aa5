"""Outcomes of attempts by the headers of their responses; no sockets, no clock."""

from wheatroute.processor.response_outcome import response_outcome


def test_only_a_mark_proves_that_an_attempt_never_ran():
    assert (
        response_outcome({":status": b"503", "not-started": b"1"}).name,
        response_outcome({":status": b"404"}).name,
    ) == ("FULL", "SERVED")
    assert (
        response_outcome({":status": b"503"}, 32).name,
        response_outcome({":status": b"503"}).name,
    ) == ("UNCONNECTED", "ERROR")
