"""The program's file: what is wrong with it is told in one line each, and nothing of it is taken."""

import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from wheatroute.cli import main
from wheatroute.config import settings_file
from wheatroute.processor.worker_settings import derive_worker_settings

GOOD = Path(__file__).parent.parent.parent / "deploy" / "processor.toml"


def lines(tmp_path, *changes):
    text = GOOD.read_text()
    for old, new in changes:
        assert old in text, old
        text = text.replace(old, new, 1)
    path = tmp_path / "file.toml"
    path.write_text(text)
    with pytest.raises(settings_file.ConfigError) as caught:
        settings_file.read(str(path))
    return [line.removeprefix(f"{path}: ") for line in caught.value.lines]


def test_the_example_is_good_and_becomes_the_modules_terms():
    settings = derive_worker_settings(settings_file.read(str(GOOD)), 0)
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
def test_each_mistake_names_its_key_and_reason(tmp_path, change, key, reason):
    told = lines(tmp_path, change)
    assert any(line.startswith(key) and reason in line for line in told), told


def test_names_given_twice_and_several_mistakes_at_once_are_all_told(tmp_path):
    text = GOOD.read_text()
    pool = text[text.index("[[pools]]") : text.index("[[traffic_types]]")]
    assert lines(tmp_path, (pool, pool + pool)) == ["pools: the name 'shop' is used more than once"]
    assert len(lines(tmp_path, ("hard_stop", "hard_stopp"), ("workers = 1", "workers = 0"))) == 3


def test_what_is_no_toml_or_no_file_is_said(tmp_path):
    (tmp_path / "bad.toml").write_text("[pools")
    for path, reason in (
        (tmp_path / "bad.toml", "is not TOML"),
        (tmp_path / "none", "cannot be read"),
        (tmp_path, "cannot be read"),
    ):
        with pytest.raises(settings_file.ConfigError, match=reason):
            settings_file.read(str(path))


def test_the_command_line_checks_a_file_and_exits_with_2_for_a_bad_one(tmp_path):
    assert CliRunner().invoke(main, ["check", str(GOOD)]).exit_code == 0
    (tmp_path / "bad.toml").write_text("nodes = 0")
    result = CliRunner().invoke(main, ["check", str(tmp_path / "bad.toml")])
    assert result.exit_code == 2 and "nodes" in result.output


def test_the_platforms_node_imports_nothing_of_the_other_fronts():
    line = [sys.executable, "-c", "import sys, wheatroute.__main__; print(*sys.modules)"]
    told = subprocess.run(
        line, capture_output=True, text=True, check=True, cwd=GOOD.parent.parent
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
    assert "wheatroute.decide" in told and not others & set(told)
