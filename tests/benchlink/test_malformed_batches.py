"""Batches of the bench's link that are malformed."""

from io import BytesIO

from wheatroute.benchlink.host import serve


def test_the_link_names_what_is_malformed_and_answers_nothing(capsys):
    for line, told in ((b"nope\n", "not JSON"), (b'{"now":1}\n', '"nodes"'), (b'{"nodes":[]}\n', '"now"')):
        sink = BytesIO()
        assert serve(BytesIO(b'{"now":1.0,"nodes":[]}\n' + line), sink) == 2
        assert sink.getvalue() == b'{"nodes":[]}\n'
        said = capsys.readouterr().err
        assert said.startswith("line 2: ") and told in said and said.count("\n") == 1
