"""The events that the driver passes to the decision module, and their order."""

import structlog
from balancer_host import decision_settings

from wheatroute.balancing.interface import Event
from wheatroute.net.balancer_driver import BalancerDriver
from wheatroute.net.clock import now


def test_two_settings_updates_in_one_batch_keep_their_order_and_precede_all_other_events():
    driver = BalancerDriver(decision_settings(answer_slack_s=0.02), "1", structlog.get_logger())
    seen = []
    driver._balancer.handle_events = lambda now, events, writer: seen.extend(events)
    driver.add_event(Event.LIST_FAILED)
    driver.update_settings(decision_settings(answer_slack_s=0.02, max_attempts=1), True)
    driver.update_settings(decision_settings(answer_slack_s=0.02, max_attempts=3), False)
    driver.handle_events(now())
    assert [event[1].max_attempts for event in seen[:2]] == [1, 3] and seen[2] == (Event.LIST_FAILED,)
