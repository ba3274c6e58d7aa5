"""Tests of the workers' supervisor with fake processes."""

import structlog
import trio

from wheatroute.processor.supervisor import WorkerSupervisor


def test_a_crashed_worker_is_restarted_and_one_with_bad_settings_stops_the_supervisor():
    class FakeProcess:
        pid = 0

        def __init__(self, status):
            self.status, self.signals = status, []

        def wait(self):
            return self.status

        def poll(self):
            return self.status

        def send_signal(self, number):
            self.signals.append(number)

    statuses = [-9, 1, 2]
    started = []

    def start(command, pass_fds):
        started.append((command, pass_fds))
        return FakeProcess(statuses[len(started) - 1])

    supervisor = WorkerSupervisor([["worker"]], (7,), structlog.get_logger(), start)
    trio.run(supervisor.run)
    assert started == [(["worker"], (7,))] * 3 and supervisor.status == 2
