"""Tests stored records of runs: compatibility with an earlier version, and lossless encoding and decoding."""

from wheatroute.fleet.experiment import Run
from wheatroute.fleet.records import RUNS_FILE, decode_record, read_records, stored_lines
from wheatroute.fleet.rules import Rule, Violation
from wheatroute.fleet.runner import simulate_run

FLEET = {
    "length": 2.0,
    "nodes": 1,
    "kinds": [{"name": "look", "work": 0.02, "law": "none", "relay_noise": 0.0}],
    "customers": [{"name": "one", "portion": 1.0}],
    "tiers": [{"name": "only", "servers": 1}],
    "network": {"list_delay": 0.0, "list_spread": 0.0},
    "callers": {"recorded": [1.0, 1.01, 1.02, 1.03]},
    "rules": {"fall_multiple": 0.001},
    "faults": [{"kind": "crash", "at": 0.1, "length": 0.2, "part": 1.0}],
}
RUN = Run(run_id="1f", point={"callers.load": 0.3}, policy="random", seed=2, fleet=FLEET)
# the record of this run as stored by an earlier version, in which the fields were named like their keys
LINE = (
    b'{"run":"1f","point":{"callers.load":0.3},"policy":"random","seed":2,"figures":{"commands":4,'
    b'"utility":1.0,"handled":1.0,"bounced":0.0,"terminated":0.0,"left":0.0,"late":0.0,"by_kind":[1.0],'
    b'"by_customer":[1.0],"p50":0.0752305934861397,"p95":0.07607589093731804,"p99":0.07607589093731804,'
    b'"tries":1.0,"collapses":0,"breaks":[0,0,0,1],"worst_cold":87.95316493967118,"events":86},'
    b'"broken":[[4,1001.0305,"node (-1, 0) request 3 attempt 0 to (0, 0): 0.08 s of work in 1.0 s, '
    b'budget 0.00"]],"by_second":[1.0,1.0],"delays":"HISTFAAAACh4nJNpmSzMwMDAyQABzFCaEURcm7yEwf4DRGB1'
    b'IZM4UyoQAwCHCgZH"}'
)
VIOLATION = Violation(
    Rule.NO_WARMUP_OVERLOAD,
    1001.0305,
    "node (-1, 0) request 3 attempt 0 to (0, 0): 0.08 s of work in 1.0 s, budget 0.00",
)


def test_a_line_of_an_earlier_version_is_read_and_written_the_same():
    record = decode_record(LINE)
    assert (record.run_id, record.figures.requests, record.figures.tries) == ("1f", 4, 1.0)
    assert record.violations == [VIOLATION]
    assert record.encode() == LINE


def test_the_same_run_is_stored_under_the_same_keys():
    record, stored = simulate_run(RUN), decode_record(LINE)
    assert (record.violations, record.value_by_second) == (stored.violations, stored.value_by_second)
    assert record.encode().count(b'":') == LINE.count(b'":')


def test_lines_are_read_by_run_and_a_truncated_line_is_skipped(tmp_path):
    other = simulate_run(Run(run_id="0a", point={}, policy="random", seed=1, fleet=FLEET))
    (tmp_path / RUNS_FILE).write_bytes(other.encode() + b"\n" + LINE + b"\n" + LINE[:40])
    assert list(stored_lines(tmp_path)) == ["0a", "1f"]
    assert read_records(tmp_path) == [other, decode_record(LINE)]
