"""`python -m wheatroute.benchlink`: the decisions on standard input and output."""

import gc
import sys

from wheatroute.benchlink.host import serve

gc.disable()  # nothing made in a round refers back to itself; collection only adds pauses
try:
    status = serve(sys.stdin.buffer, sys.stdout.buffer)
except (BrokenPipeError, KeyboardInterrupt):
    status = 0
sys.exit(status)
