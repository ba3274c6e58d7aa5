"""What asynchronous tests share: a scenario that runs in trio, and waiting for something to be so."""

import trio


def scenario(test):
    """Runs an async test; fixtures are passed on by position."""
    if test.__code__.co_argcount:

        def run(tmp_path):
            trio.run(test, tmp_path)
    else:

        def run():
            trio.run(test)

    run.__name__ = test.__name__
    return run


async def until(condition):
    """Waits until `condition()` holds; the test's own time limit ends it if it never does."""
    while not condition():
        await trio.sleep(0.002)
