"""Tests the recent usage that is sent once to each new primary."""

from wheatroute.cluster.messages import UsageResponse
from wheatroute.edge.quota_leases import QuotaLeases
from wheatroute.edge.recent_usage import RecentUsageReporter


def reporter():
    quotas = QuotaLeases(8.0)
    quotas.refund("t", 100.0)
    quotas.record_demand("t", 60.0, 1.0)
    assert quotas.try_use("t", 60.0)
    return quotas, RecentUsageReporter(quotas, started_at=0.0)


def response(epoch):
    return UsageResponse({}, {}, 1, epoch)


def test_the_first_report_to_a_primary_has_the_recent_usage_and_later_ones_do_not():
    quotas, recent = reporter()
    assert recent.is_due("a")
    assert not recent.has_primary_changed("a")
    report = recent.make_report("edge-1", "a", {}, 1.0)
    assert report.recent_usage_span_s == 1.0
    # 60 of 100 tokens were used, 40 are still leased, and 100 were refunded before.
    assert sum(report.tenants["t"].recent_usage) == 0
    recent.record_response("a", report, response(epoch=1))
    assert not recent.is_due("a")
    later = recent.make_report("edge-1", "a", {"t": quotas.demand("t", 5.0, 0.0, 1.0)}, 1.0)
    assert later.recent_usage_span_s is None
    assert later.tenants["t"].recent_usage == ()


def test_another_primary_or_a_new_leadership_gets_the_recent_usage_again():
    _, recent = reporter()
    report = recent.make_report("edge-1", "a", {}, 1.0)
    recent.record_response("a", report, response(epoch=1))
    assert recent.has_primary_changed("b")
    later = recent.make_report("edge-1", "a", {}, 2.0)
    recent.record_response("a", later, response(epoch=1))
    assert not recent.is_due("a")
    recent.record_response("a", later, response(epoch=2))
    assert recent.is_due("a")


def test_the_span_is_at_most_the_window():
    _, recent = reporter()
    assert recent.make_report("edge-1", "a", {}, 100.0).recent_usage_span_s == 8.0
