"""Tests that a signal does not change a process's exit status before it handles signals or when it ends."""

import subprocess
import sys

# Objects of a module are destroyed after the interpreter has restored the default actions of signals.
SIGNAL_AT_THE_END = """
import os, signal
from wheatroute.early_signals import ignore_signals, record_early_signals

class Last:
    def __del__(self, kill=os.kill, process=os.getpid(), number=signal.{name}):
        kill(process, number)

early = record_early_signals()
os.kill(os.getpid(), signal.SIGTERM)
assert early == [signal.SIGTERM]
last = Last()
ignore_signals()
"""


def exit_status(name):
    return subprocess.run([sys.executable, "-c", SIGNAL_AT_THE_END.format(name=name)]).returncode


def test_signals_before_a_receiver_is_open_and_after_it_is_closed_end_nothing():
    assert [exit_status(name) for name in ("SIGTERM", "SIGINT", "SIGHUP")] == [0, 0, 0]
