"""Tests which signals a supervisor sends to processes, without processes."""

import signal
import time

import pytest
import structlog

from wheatroute.rollout.supervisor import Supervisor
from wheatroute.rollout.supervisor_settings import SupervisorSettings

READY_TIMEOUT_S, DRAIN_TIMEOUT_S = 10.0, 20.0


class RecordedProcess:
    """A process that records the signals it gets, and runs until `is_alive` is cleared."""

    def __init__(self, program, age_s):
        self.program, self.incarnation = program, f"{program}-1"
        self.since = time.monotonic() - age_s
        self.is_alive, self.signals = True, []

    def signal(self, number):
        self.signals.append(number)


@pytest.fixture
def supervisor(tmp_path):
    settings = SupervisorSettings(
        name="n0",
        file="node.json",
        programs={"old": ["old"], "new": ["new"]},
        first="old",
        state=str(tmp_path / "state"),
        directory=str(tmp_path / "store"),
        patience=READY_TIMEOUT_S,
        leaves=DRAIN_TIMEOUT_S,
    )
    supervisor = Supervisor(settings, structlog.get_logger())
    supervisor.serving = RecordedProcess("old", age_s=100.0)
    return supervisor


# Lost: a candidate that was not ready in time was killed with clients' requests in flight.
def test_a_candidate_that_is_not_ready_in_time_drains_before_it_is_killed(supervisor):
    late = supervisor.candidate = RecordedProcess("new", age_s=READY_TIMEOUT_S + 1.0)
    supervisor._take_turn([])
    assert late.signals == [signal.SIGTERM]
    assert supervisor.candidate is None and supervisor.draining == [late]
    supervisor._take_turn([])
    assert late.signals == [signal.SIGTERM]
    late.since -= DRAIN_TIMEOUT_S + 1.0
    supervisor._take_turn([])
    assert late.signals == [signal.SIGTERM, signal.SIGKILL]
    late.is_alive = False
    supervisor._take_turn([])
    assert not supervisor.draining and supervisor._ended_keys
    assert not supervisor.serving.signals
