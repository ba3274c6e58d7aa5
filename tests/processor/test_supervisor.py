"""The supervisor of workers, with processes that are stand-ins."""

import structlog
import trio

from wheatroute.processor.supervisor import WorkerSupervisor


def test_a_supervisor_starts_a_crashed_worker_anew_and_stops_for_one_that_cannot_start():
    class Child:
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

    def start(request, pass_fds):
        started.append((request, pass_fds))
        return Child(statuses[len(started) - 1])

    supervisor = WorkerSupervisor([["worker"]], (7,), structlog.get_logger(), start)
    trio.run(supervisor.run)
    assert started == [(["worker"], (7,))] * 3 and supervisor.status == 2
