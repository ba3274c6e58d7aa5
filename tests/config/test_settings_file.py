"""Tests of the settings file: every error is reported in one line, and a file with errors is rejected."""

import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from wheatroute.cli import main
from wheatroute.config import settings_file
from wheatroute.processor.worker_settings import derive_worker_settings

EXAMPLE = Path(__file__).parent.parent.parent / "deploy" / "processor.toml"


def error_lines(tmp_path, *changes):
    """Returns the errors of the example with the changes (old text, new text), without the path."""
    text = EXAMPLE.read_text()
    for old, new in changes:
        assert old in text, old
        text = text.replace(old, new, 1)
    path = tmp_path / "file.toml"
    path.write_text(text)
    with pytest.raises(settings_file.ConfigError) as caught:
        settings_file.read(str(path))
    return [line.removeprefix(f"{path}: ") for line in caught.value.lines]


def test_the_example_is_valid_and_yields_worker_settings():
    settings = derive_worker_settings(settings_file.read(str(EXAMPLE)), 0)
    assert settings.decision.nodes >= 1 and settings.initial_list["servers"]


@pytest.mark.parametrize(
    "change, key, reason",
    [
        (("hard_stop", "hard_stopp"), "traffic_types[0].hard_stopp", "is not a key of this table"),
        (("hard_stop = ", "hard_stop = -"), "traffic_types[0].hard_stop", "greater than 0"),
        (("workers = 1", 'workers = "one"'), "processor.workers", "valid integer"),
        (('pool = "', 'pool = "no'), "", "there is no pool named"),
        (('effect = "pure"', 'effect = "pur"'), "traffic_types[0].effect", "'pure', 'receipted'"),
        (('listen = "', 'listen = "somewhere'), "processor.listen", "must be an IPv4 address and port"),
        (("[[pools]]", "[[pools]]\nconnection_price = -1.0"), "pools[0].connection_price", "greater than"),
        (("[[pools]]", "[[pools]]\nrules = 3"), "pools[0].rules", "instance of Rules"),
        (("[[pools]]", "[[pools]]\netcd = 3"), "pools[0].etcd", "instance of Etcd"),
    ],
)
def test_each_error_names_its_key_and_reason(tmp_path, change, key, reason):
    lines = error_lines(tmp_path, change)
    assert any(line.startswith(key) and reason in line for line in lines), lines


def test_duplicate_names_and_several_errors_are_all_reported(tmp_path):
    text = EXAMPLE.read_text()
    pool = text[text.index("[[pools]]") : text.index("[[traffic_types]]")]
    assert error_lines(tmp_path, (pool, pool + pool)) == ["pools: the name 'shop' is used more than once"]
    assert len(error_lines(tmp_path, ("hard_stop", "hard_stopp"), ("workers = 1", "workers = 0"))) == 3


def test_invalid_toml_and_unreadable_files_are_reported(tmp_path):
    (tmp_path / "bad.toml").write_text("[pools")
    for path, reason in (
        (tmp_path / "bad.toml", "is not TOML"),
        (tmp_path / "none", "cannot be read"),
        (tmp_path, "cannot be read"),
    ):
        with pytest.raises(settings_file.ConfigError, match=reason):
            settings_file.read(str(path))


def test_the_check_command_exits_with_2_for_an_invalid_file(tmp_path):
    assert CliRunner().invoke(main, ["check", str(EXAMPLE)]).exit_code == 0
    (tmp_path / "bad.toml").write_text("nodes = 0")
    result = CliRunner().invoke(main, ["check", str(tmp_path / "bad.toml")])
    assert result.exit_code == 2 and "nodes" in result.output


def test_the_platforms_node_imports_no_modules_of_other_programs():
    command = [sys.executable, "-c", "import sys, wheatroute.__main__; print(*sys.modules)"]
    modules = subprocess.run(
        command, capture_output=True, text=True, check=True, cwd=EXAMPLE.parent.parent
    ).stdout.split()
    others = {
        "h2",
        "hpack",
        "google.protobuf",
        "pydantic",
        "click",
        "envoy",
        "wheatroute.grpc",
        "wheatroute.processor",
        "wheatroute.etcd",
        "wheatroute.config",
    }
    others |= {
        "rich",
        "httpx",
        "litestar",
        "lmdb",
        "msgspec",
        "wheatroute.cluster",
        "wheatroute.control",
        "wheatroute.edge",
        "wheatroute.replication",
    }
    assert "wheatroute.decide" in modules and not others & set(modules)
