"""Runs the link to the simulator on standard input and output (`python -m wheatroute.benchlink`)."""

import gc
import sys

from wheatroute.benchlink.host import serve

# Handling a batch creates no reference cycles, so the collector would only add pauses.
gc.disable()
try:
    status = serve(sys.stdin.buffer, sys.stdout.buffer)
except (BrokenPipeError, KeyboardInterrupt):
    status = 0
sys.exit(status)
