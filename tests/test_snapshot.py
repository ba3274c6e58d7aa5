"""Tests of snapshots on disk and of statistics restored from them."""

import os
import signal
import subprocess
import sys
import time
from random import Random

import orjson
import pytest
from balancer_host import BalancerHost, slow_servers

from wheatroute import snapshot, stored_statistics
from wheatroute.balancing.interface import AttemptOutcome, ServerState


def test_each_reason_why_a_snapshot_is_unusable_is_reported():
    good = snapshot.encode({"revision": 4, "servers": ["a"] * 50}, 1000.0)
    assert snapshot.decode(good, 1010.0, 60.0)["revision"] == 4
    rng = Random(1)
    for _ in range(300):  # one bit is changed anywhere in the snapshot
        at = rng.randrange(len(good))
        changed = good[:at] + bytes((good[at] ^ (1 << rng.randrange(8)),)) + good[at + 1 :]
        with pytest.raises(snapshot.SnapshotError):
            snapshot.decode(changed, 1010.0, 60.0)
    for cut in range(0, len(good), 7):
        with pytest.raises(snapshot.SnapshotError):
            snapshot.decode(good[:cut], 1010.0, 60.0)
    for data, now, reason in (
        (good, 1070.0, "70 s old"),
        (good, 900.0, "from the future"),
        (b"", 1.0, "not a snapshot"),
        (good + b"x", 1010.0, "modified"),
        (good.replace(b"t 1", b"t 2", 1), 1010.0, "version 2"),
    ):
        with pytest.raises(snapshot.SnapshotError, match=reason):
            snapshot.decode(data, now, 60.0)


WRITER = """
import sys
from wheatroute import snapshot
n = int(sys.argv[2])
while True:
    n += 1
    snapshot.write(sys.argv[1], snapshot.encode({"n": n, "servers": [n] * 20000}, float(n)))
    print(n, flush=True)
"""


def test_kill_9_while_writing_leaves_the_old_snapshot_or_the_new_one(tmp_path):
    path, rng, last = str(tmp_path / "snapshot"), Random(5), 0
    for _ in range(12):  # 12 writers are killed; the benchmark kills a hundred
        child = subprocess.Popen([sys.executable, "-c", WRITER, path, str(last)], stdout=subprocess.PIPE)
        child.stdout.readline()
        time.sleep(rng.random() * 0.02)  # so that the kill comes at a random point of a write
        child.send_signal(signal.SIGKILL)
        written = [int(line) for line in child.stdout.read().split()]
        child.wait()
        document = snapshot.read(path, 1e9, 1e9)
        assert document["servers"] == [document["n"]] * 20000 and document["n"] >= max(written, default=last)
        last = document["n"]


def test_a_full_disk_or_a_missing_directory_leaves_the_old_snapshot(tmp_path):
    path = str(tmp_path / "snapshot")
    snapshot.write(path, snapshot.encode({"n": 1}, 0.0))
    os.mkdir(f"{path}.new")  # makes the temporary file unwritable
    with pytest.raises(OSError):
        snapshot.write(path, snapshot.encode({"n": 2}, 0.0))
    assert snapshot.read(path, 1.0, 10.0)["n"] == 1
    with pytest.raises(OSError):
        snapshot.write(str(tmp_path / "none" / "snapshot"), b"")
    with pytest.raises(snapshot.SnapshotError, match="cannot be read"):
        snapshot.read(str(tmp_path / "none"), 1.0, 1.0)


def test_statistics_are_restored_with_their_age_and_without_invalid_values():
    names = {f"s{n}": n for n in range(4)}
    before = BalancerHost(answer=slow_servers(2)).run(6.0, 40)
    statistics = stored_statistics.export_statistics(before.balancer, names, before.now)
    assert statistics["s2"]["latency"] > 2 * statistics["s1"]["latency"]
    after = BalancerHost(answer=slow_servers(2)).step()
    statistics["s1"] |= {"latency": float("nan")}
    statistics["s0"] |= {"age": -5.0}
    statistics["s9"] = statistics["s2"]
    restored = stored_statistics.restore_statistics(after.balancer, statistics, names, after.now, 3.0)
    assert restored == 2  # s2 and s3
    after.run(0.9, 200)
    fresh = BalancerHost(answer=slow_servers(2)).run(0.9, 200)
    assert after.attempts_to(2) < 0.8 * fresh.attempts_to(2)


def test_an_ejection_outlasts_a_restart_until_its_trial():
    names = {f"s{n}": n for n in range(4)}
    before = BalancerHost(answer=lambda server, attempt: None if server == 0 else (0, 0.1)).run(4.0, 40)
    assert before.balancer.servers.ejected_until[0]
    statistics = stored_statistics.export_statistics(before.balancer, names, before.now)
    after = BalancerHost().step()
    stored_statistics.restore_statistics(after.balancer, statistics, names, after.now, 0.1)
    after.step(0.3)
    assert after.balancer.servers.ejected_until[0] and 0 not in after.balancer._components.subset.servers
    after.run(8.0, 40)
    assert not after.balancer.servers.ejected_until[0]  # its trial has shown that it works
    after.list_servers([BalancerHost.list_entry(1, ServerState.REMOVED)])


# Statistics as an earlier version of the program wrote them.
STORED_STATISTICS = (
    b'{"s0":{"latency":6.307638195705031,"weight":4.90992800745259,"age":0.024999999999977263,'
    b'"errors":0,"barred_for":0.0,"penalty":0},'
    b'"s1":{"latency":0.6300980515870442,"weight":4.999999999999998,"age":0.0,'
    b'"errors":0.0,"barred_for":0.0,"penalty":0},'
    b'"s2":{"latency":2.496651344670325,"weight":4.999574647041349,"age":0.07499999999993179,'
    b'"errors":0.0,"barred_for":0.0,"penalty":0}}'
)


def test_statistics_are_stored_under_the_keys_of_earlier_versions():
    names = {f"s{n}": n for n in range(3)}
    answers = [None, (AttemptOutcome.SERVED, 0.1), (AttemptOutcome.SERVED, 0.4)]
    host = BalancerHost(servers=3, answer=lambda server, attempt: answers[server]).run(6.0, 40)
    exported = stored_statistics.export_statistics(host.balancer, names, host.now)
    assert orjson.dumps(exported) == STORED_STATISTICS
