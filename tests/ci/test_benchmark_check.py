"""What CI does with the short form of each benchmark, on small ones of its own."""

import subprocess
import sys
from pathlib import Path

import pytest

PROGRAM = Path(__file__).parent.parent.parent / ".ci" / "benchmarks.py"
GOOD = "import sys\nassert sys.argv[1:] == ['--short', '--json']\nprint('words')\nprint('{\"p50\": 1}')\n"


def checked(folder, **benchmarks):
    (folder / "benchmarks").mkdir()
    for name, text in benchmarks.items():
        (folder / "benchmarks" / f"{name}.py").write_text(text)
    got = subprocess.run([sys.executable, str(PROGRAM)], cwd=folder, capture_output=True, text=True)
    return got.returncode, got.stdout


def test_each_is_started_in_its_short_form(tmp_path):
    status, said = checked(tmp_path, one=GOOD, two=GOOD)
    assert status == 0 and "one.py: ok" in said and "two.py: ok" in said


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("raise KeyError('traffic_types')", "status 1"),
        ("print('1')", "no JSON object"),
        ("print('{}')", "no JSON object"),
        ("pass", "no JSON object"),
        ("print('{\"p50\": 1}')\nprint('later words')", "no JSON object"),
    ],
)
def test_one_that_breaks_or_says_nothing_fails_the_check_and_is_named(tmp_path, text, named):
    status, said = checked(tmp_path, one=GOOD, two=text)
    assert status == 1 and "one.py: ok" in said and "two.py: " in said and named in said


def test_what_a_broken_one_printed_is_shown(tmp_path):
    assert "KeyError: 'traffic_types'" in checked(tmp_path, one="raise KeyError('traffic_types')")[1]
