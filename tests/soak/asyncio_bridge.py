"""An asyncio loop that runs inside a trio task, on trio's clock.

Control nodes use asyncio and edge nodes trio. With trio's MockClock both share one virtual time, so a
complete router set runs in one process, without sockets and without waiting in real time.
"""

import asyncio
import heapq
from math import inf

import trio
from control.simulated_cluster import VirtualTimeLoop


class SharedClockLoop(VirtualTimeLoop):
    """An asyncio loop on trio's clock; its selector never blocks."""

    def __init__(self):
        super().__init__()
        self._selector.select = lambda timeout=None: []

    def time(self):
        return trio.current_time()


class AsyncioBridge:
    """Runs the asyncio loop whenever one of its callbacks or timers is due."""

    def __init__(self):
        self.loop = SharedClockLoop()
        self._wake_up = trio.Event()

    async def run(self):
        """Runs the loop until cancelled."""
        while True:
            due = self._run_due()
            with trio.move_on_at(due):
                await self._wake_up.wait()
            self._wake_up = trio.Event()

    def _run_due(self):
        """Runs all callbacks and timers that are due; returns the time of the next timer."""
        loop = self.loop
        asyncio._set_running_loop(loop)
        try:
            while loop._ready or self._next_timer() <= loop.time():
                loop._run_once()
        finally:
            asyncio._set_running_loop(None)
        return self._next_timer()

    def _next_timer(self):
        scheduled = self.loop._scheduled
        while scheduled and scheduled[0]._cancelled:
            heapq.heappop(scheduled)._scheduled = False
            self.loop._timer_cancelled_count -= 1
        return scheduled[0]._when if scheduled else inf

    async def call(self, coroutine):
        """Runs an asyncio coroutine for a trio task; raises ConnectionError if it is cancelled."""
        done = trio.Event()
        task = self.loop.create_task(coroutine)
        task.add_done_callback(lambda _: done.set())
        self._wake_up.set()
        try:
            await done.wait()
        finally:
            if not task.done():
                task.cancel()
                self._wake_up.set()
        if task.cancelled():
            raise ConnectionError
        return task.result()

    def close(self):
        """Cancels all tasks and closes the loop."""
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self._run_due()
        self.loop.close()
