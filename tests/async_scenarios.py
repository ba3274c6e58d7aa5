"""Helpers for asynchronous tests: running a test in trio, and waiting for a condition."""

import trio


def scenario(test):
    """Runs an async test in trio; the fixture `tmp_path` is passed if the test has a parameter."""
    if test.__code__.co_argcount:

        def run(tmp_path):
            trio.run(test, tmp_path)
    else:

        def run():
            trio.run(test)

    run.__name__ = test.__name__
    return run


async def until(condition):
    """Waits until `condition()` holds; relies on the test's own timeout if it never does."""
    while not condition():
        await trio.sleep(0.002)
