"""Sets the number of test processes for `-n auto`."""

import os


def pytest_xdist_auto_num_workers(config):
    """Returns half of the number of cores: many tests start processes of their own and check timings.

    With one worker on each of eight cores such a test failed once, as an attempt was recorded half a second
    after its request's response. That the busy machine recorded it late is inferred, not traced.
    """
    return max(1, (os.cpu_count() or 1) // 2)
