"""Tests of load reports in response headers. No sockets, no clock."""

from wheatroute.processor.load_reports import ORCA_HEADER, read_load_report


def test_orca_reports_are_parsed_as_text_and_as_json():
    text = b"TEXT cpu_utilization=0.3,rps_fractional=12,named_metrics.inflight=4"
    assert read_load_report({ORCA_HEADER: text}) == {"busy": 0.3, "rate": 12.0, "held": 4.0}
    json = b'JSON {"eps": 2, "named_metrics": {"inflight": 1}}'
    assert read_load_report({ORCA_HEADER: json}) == {"error_rate": 2.0, "held": 1.0}
