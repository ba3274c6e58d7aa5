"""What CI does with KNOWN-RED.txt, on a small project of its own."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

PROGRAM = Path(__file__).parent.parent.parent / ".ci" / "known_red.py"
TESTS = """
def test_good(): pass
def test_bad(): assert not "bad"
def test_worse(): assert not "worse"
"""
BAD = "test_it.py::test_bad | a fault | 40"
WORSE = "test_it.py::test_worse | another | 40"
GOOD = "test_it.py::test_good | it was red | 40"


def ran(folder, listed, tests=TESTS, arguments=()):
    (folder / "test_it.py").write_text(tests)
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    environment = {name: value for name, value in os.environ.items() if not name.startswith("PYTEST")}
    got = subprocess.run(
        [sys.executable, str(PROGRAM), *arguments],
        cwd=folder,
        env=environment,
        capture_output=True,
        text=True,
    )
    return got.returncode, got.stdout


@pytest.mark.parametrize("listed", [None, "", "\n \n"])
def test_without_lines_it_changes_nothing(tmp_path, listed):
    status, said = ran(tmp_path, listed)
    assert status == 1 and "2 failed, 1 passed" in said and "known red" not in said
    status, said = ran(tmp_path, listed, "def test_good(): pass")
    assert status == 0 and "1 passed" in said


def test_listed_tests_are_run_apart_and_printed_with_their_result(tmp_path):
    status, said = ran(tmp_path, f"{BAD}\n{WORSE}\n")
    assert status == 0 and "1 passed, 2 deselected" in said
    assert "test_it.py::test_bad: fails as said (a fault; issue 40)" in said
    assert "test_it.py::test_worse: fails as said (another; issue 40)" in said


def test_one_that_is_not_listed_fails_it_all_the_same(tmp_path):
    status, said = ran(tmp_path, BAD)
    assert status == 1 and "1 failed, 1 passed, 1 deselected" in said


def test_one_that_passes_again_is_named(tmp_path):
    status, said = ran(tmp_path, f"{BAD}\n{WORSE}\n{GOOD}", TESTS + "def test_fine(): pass\n")
    assert status == 0 and "test_it.py::test_good: PASSES AGAIN" in said
    assert "test_it.py::test_bad: fails as said" in said


@pytest.mark.parametrize(
    "listed",
    [
        "\n".join([BAD, WORSE, GOOD, BAD.replace("bad", "other")]),
        "test_it.py::test_none | a fault | 40",
        "test_it.py | a fault | 40",
        "test_it.py::test_bad",
        "test_it.py::test_bad | a fault |",
        f"{BAD}\n{BAD}",
    ],
)
def test_a_fourth_line_and_what_names_no_test_fail_it(tmp_path, listed):
    status, said = ran(tmp_path, listed)
    assert status == 1 and said.startswith("KNOWN-RED.txt: ") and "passed" not in said


def test_arguments_are_for_the_run_of_all_other_tests(tmp_path):
    status, said = ran(tmp_path, BAD, arguments=("-k", "good or bad"))
    assert status == 0 and "1 passed, 2 deselected" in said and "test_bad: fails as said" in said
