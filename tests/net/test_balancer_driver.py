"""What the driver hands to the decision module, and in which order."""

import structlog
from balancer_host import decision_settings

from wheatroute.balancing.interface import Event
from wheatroute.net.balancer_driver import BalancerDriver
from wheatroute.net.clock import now


def test_of_two_updates_in_one_batch_the_later_one_counts_and_both_come_before_all_else():
    driver = BalancerDriver(decision_settings(answer_slack_s=0.02), "1", structlog.get_logger())
    seen = []
    driver._balancer.handle_events = lambda now, events, writer: seen.extend(events)
    driver.add_event(Event.LIST_FAILED)
    driver.update_settings(decision_settings(answer_slack_s=0.02, max_attempts=1), True)
    driver.update_settings(decision_settings(answer_slack_s=0.02, max_attempts=3), False)
    driver.handle_events(now())
    assert [event[1].max_attempts for event in seen[:2]] == [1, 3] and seen[2] == (Event.LIST_FAILED,)
