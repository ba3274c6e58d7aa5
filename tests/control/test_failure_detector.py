"""When the reports of edge nodes about a server make it suspected."""

from wheatroute.control.failure_detector import REPORT_VALID_S, FailureDetector

LAST_HEARTBEAT = 7.0


def test_two_nodes_must_report_a_server_however_often_one_of_them_does():
    detector = FailureDetector(heartbeat_s=10.0)
    for _ in range(3):
        detector.report(10.0, "a", {"s": 2.0})
    assert not detector.is_suspected(10.0, "s", LAST_HEARTBEAT, node_count=5)
    detector.report(10.1, "b", {"s": 1.0, "other": 1.0})
    assert detector.is_suspected(10.1, "s", LAST_HEARTBEAT, node_count=5) and not detector.is_suspected(
        10.1, "other", LAST_HEARTBEAT, node_count=5
    )


def test_one_report_is_sufficient_if_there_is_one_node():
    detector = FailureDetector(heartbeat_s=10.0)
    detector.report(10.0, "a", {"s": 2.0})
    assert detector.is_suspected(10.0, "s", LAST_HEARTBEAT, node_count=1)


def test_one_report_is_sufficient_if_a_heartbeat_is_late():
    detector = FailureDetector(heartbeat_s=1.2)
    detector.report(10.0, "a", {"s": 0.3})
    assert not detector.is_suspected(10.0, "s", 8.5, node_count=5) and detector.is_suspected(
        10.1, "s", 8.5, node_count=5
    )


def test_a_heartbeat_after_the_request_was_sent_refutes_a_report():
    detector = FailureDetector(heartbeat_s=10.0)
    detector.report(10.0, "a", {"s": 2.0})
    detector.report(10.0, "b", {"s": 0.9})
    assert detector.is_suspected(10.0, "s", 7.9, node_count=5) and not detector.is_suspected(
        10.0, "s", 8.1, node_count=5
    )


def test_a_withdrawn_or_expired_report_does_not_count():
    detector = FailureDetector(heartbeat_s=10.0)
    detector.report(10.0, "a", {"s": 2.0})
    detector.report(10.0, "b", {"s": 2.0})
    detector.report(10.2, "b", {})
    assert not detector.is_suspected(10.2, "s", LAST_HEARTBEAT, node_count=5)
    detector.report(10.0 + REPORT_VALID_S, "b", {"s": 4.0})
    assert not detector.is_suspected(10.1 + REPORT_VALID_S, "s", LAST_HEARTBEAT, node_count=5)
    detector.report(10.1 + REPORT_VALID_S, "a", {"s": 4.0})
    assert detector.is_suspected(10.1 + REPORT_VALID_S, "s", LAST_HEARTBEAT, node_count=5)
