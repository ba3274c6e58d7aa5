"""What asynchronous tests share: a test that runs in trio, and waiting for something to be so."""

import trio


def story(tell):
    """Runs an async test; fixtures are passed on by position."""
    if tell.__code__.co_argcount:

        def run(tmp_path):
            trio.run(tell, tmp_path)
    else:

        def run():
            trio.run(tell)

    run.__name__ = tell.__name__
    return run


async def until(what):
    """Waits until `what()` holds; the test's own time limit ends it if it never does."""
    while not what():
        await trio.sleep(0.002)
