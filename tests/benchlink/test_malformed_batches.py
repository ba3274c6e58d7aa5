"""Malformed batches on the simulator's link."""

from io import BytesIO

from wheatroute.benchlink.host import serve


def test_a_malformed_line_is_reported_and_gets_no_reply(capsys):
    for line, reason in ((b"nope\n", "not JSON"), (b'{"now":1}\n', '"nodes"'), (b'{"nodes":[]}\n', '"now"')):
        sink = BytesIO()
        assert serve(BytesIO(b'{"now":1.0,"nodes":[]}\n' + line), sink) == 2
        assert sink.getvalue() == b'{"nodes":[]}\n'
        error_output = capsys.readouterr().err
        assert error_output.startswith("line 2: ") and reason in error_output
        assert error_output.count("\n") == 1
