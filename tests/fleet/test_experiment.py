"""Tests experiments: stored runs, resuming, any number of workers, reports and traces."""

import pytest
from click.testing import CliRunner

from wheatroute.cli import main
from wheatroute.fleet import plan, scenarios
from wheatroute.fleet.experiment import read_experiment, set_by_path
from wheatroute.fleet.policies import decision_maker_factory
from wheatroute.fleet.records import RUNS_FILE
from wheatroute.fleet.runner import run_experiment
from wheatroute.fleet.world import World

FILE = """
name = "tiny"
policies = ["design", "random"]
seeds = 2
[[sweeps]]
key = "callers.load"
values = [0.3, 0.6]
[fleet]
length = 3.0
nodes = 2
tiers = [{ name = "only", servers = 4 }, { name = "next", servers = 4 }]
"""


@pytest.fixture
def file(tmp_path):
    path = tmp_path / "tiny.toml"
    path.write_text(FILE)
    return path


def test_any_number_of_workers_stores_the_same_bytes(file, tmp_path):
    experiment = read_experiment(str(file))
    assert run_experiment(experiment, tmp_path / "one", 1) == 8
    assert run_experiment(experiment, tmp_path / "three", 3) == 8
    one, three = ((tmp_path / name / RUNS_FILE).read_bytes() for name in ("one", "three"))
    assert one == three and len(one.splitlines()) == 8


def test_an_interrupted_experiment_is_resumed(file, tmp_path):
    experiment = read_experiment(str(file))
    run_experiment(experiment, tmp_path / "whole", 1)
    whole = (tmp_path / "whole" / RUNS_FILE).read_bytes()
    interrupted = tmp_path / "interrupted"
    interrupted.mkdir()
    (interrupted / RUNS_FILE).write_bytes(whole[: len(whole) // 2])  # ends in the middle of a line
    simulated = run_experiment(experiment, interrupted, 1)
    assert 3 <= simulated <= 5 and (interrupted / RUNS_FILE).read_bytes() == whole


def test_the_command_line_runs_reports_and_traces_an_experiment(file, tmp_path):
    run = CliRunner().invoke(main, ["fleet", "run", str(file), "--workers", "1"])
    assert run.exit_code == 0 and "8 runs played, 8 kept" in run.output
    reported = CliRunner().invoke(main, ["fleet", "report", str(tmp_path / "tiny")])
    markdown = (tmp_path / "tiny" / "report.md").read_text()
    assert reported.exit_code == 0 and "## callers.load 0.6" in markdown and "| random |" in markdown
    assert (tmp_path / "tiny" / "sweep_0.svg").exists()
    traced = CliRunner().invoke(main, ["fleet", "trace", str(file), "--command", "3"])
    assert (
        traced.exit_code == 0 and "attempt 0 to server" in traced.output and "node of server" in traced.output
    )


@pytest.mark.parametrize(
    "old, new, message",
    [
        ('"random"', '"randomly"', "unknown policy 'randomly'; known policies: design"),
        ('"callers.load"', '"tiers.7.servers"', "'tiers.7.servers' is not a path in the plan"),
        ("nodes = 2", "nodes = 0", "nodes: Input should be greater"),
        ("[fleet]", "[fleet", "Expected"),
    ],
)
def test_an_invalid_file_is_reported(file, old, new, message):
    file.write_text(FILE.replace(old, new))
    run = CliRunner().invoke(main, ["fleet", "run", str(file)])
    assert run.exit_code == 2 and message in run.output


def test_tracing_does_not_change_a_run():
    fleet = plan.parse_plan({**scenarios.scenario_plan("crash", 8), "length": 8.0})
    plain, traced = (World(fleet, 1, decision_maker_factory("design")) for _ in range(2))
    traced.trace.request_index = 40
    assert plain.run().engine.call_count == traced.run().engine.call_count and traced.trace.lines


def test_values_are_set_by_path():
    tables = {"callers": {"load": 0.5}, "tiers": [{"servers": 3}]}
    set_by_path(tables, "callers.load", 0.7)
    set_by_path(tables, "tiers.0.servers", 9)
    assert tables == {"callers": {"load": 0.7}, "tiers": [{"servers": 9}]}
