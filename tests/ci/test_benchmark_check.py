"""CI's check of the benchmarks' short form, on small benchmarks made for the test."""

import subprocess
import sys
from pathlib import Path

import pytest

PROGRAM = Path(__file__).parent.parent.parent / ".ci" / "benchmarks.py"
GOOD = "import sys\nassert sys.argv[1:] == ['--short', '--json']\nprint('words')\nprint('{\"p50\": 1}')\n"


def run_check(folder, **benchmarks):
    (folder / "benchmarks").mkdir()
    for name, text in benchmarks.items():
        (folder / "benchmarks" / f"{name}.py").write_text(text)
    result = subprocess.run([sys.executable, str(PROGRAM)], cwd=folder, capture_output=True, text=True)
    return result.returncode, result.stdout


def test_each_benchmark_runs_in_its_short_form(tmp_path):
    status, output = run_check(tmp_path, one=GOOD, two=GOOD)
    assert status == 0 and "one.py: ok" in output and "two.py: ok" in output


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("raise KeyError('traffic_types')", "status 1"),
        ("print('1')", "no JSON object"),
        ("print('{}')", "no JSON object"),
        ("pass", "no JSON object"),
        ("print('{\"p50\": 1}')\nprint('later words')", "no JSON object"),
    ],
)
def test_a_benchmark_that_fails_or_prints_no_json_object_fails_the_check(tmp_path, text, reason):
    status, output = run_check(tmp_path, one=GOOD, two=text)
    assert status == 1 and "one.py: ok" in output and "two.py: " in output and reason in output


def test_the_output_of_a_failed_benchmark_is_shown(tmp_path):
    assert "KeyError: 'traffic_types'" in run_check(tmp_path, one="raise KeyError('traffic_types')")[1]
