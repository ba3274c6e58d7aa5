"""An asyncio loop that runs inside a trio task, on trio's clock.

Control nodes use asyncio and edge nodes trio. With trio's MockClock both live in one virtual time, so a whole
router set plays in one process, without sockets and without waiting.
"""

import asyncio
import heapq
from math import inf

import trio
from control.virtual_cluster import VirtualLoop


class SharedLoop(VirtualLoop):
    """Its clock is trio's, and it never waits by itself."""

    def __init__(self):
        super().__init__()
        self._selector.select = lambda timeout=None: []

    def time(self):
        return trio.current_time()


class Bridge:
    """Runs the loop whenever something of it is due."""

    def __init__(self):
        self.loop = SharedLoop()
        self._woken = trio.Event()

    async def run(self):
        """For ever."""
        while True:
            due = self._play()
            with trio.move_on_at(due):
                await self._woken.wait()
            self._woken = trio.Event()

    def _play(self):
        """Runs all that is due; returns when the next timer is."""
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
        """Runs a coroutine of asyncio to its end, for a task of trio; cancelled with it."""
        done = trio.Event()
        task = self.loop.create_task(coroutine)
        task.add_done_callback(lambda _: done.set())
        self._woken.set()
        try:
            await done.wait()
        finally:
            if not task.done():
                task.cancel()
                self._woken.set()
        if task.cancelled():
            raise ConnectionError
        return task.result()

    def close(self):
        """Ends all that runs."""
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self._play()
        self.loop.close()
