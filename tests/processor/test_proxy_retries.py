"""Attempts of one request, each asked for by itself."""

from async_scenarios import scenario, until
from processor_harness import (
    AMEND,
    PLACE,
    VIEW,
    balancer_of,
    list_servers,
    open_request,
    route,
    running_worker,
    server_entry,
    server_tables,
)


@scenario
async def test_no_second_decision_for_an_order_whose_first_may_have_run(tmp_path):
    async with running_worker(tmp_path) as (worker, channel):
        async with open_request(channel, "order", PLACE) as request:
            assert isinstance(await request.decision(), str)
            assert await route(channel, "order", PLACE, 2) == 502  # while the first is out
        assert await route(channel, "order", PLACE, 2) == 502  # its stream ended with no word of the server
        assert await route(channel, "order", PLACE) == 502  # nor does it help to call it a first try
        await until(lambda: sum(balancer_of(worker).servers.in_flight) == 0)
        assert worker.dispatcher.decision_count == 1


@scenario
async def test_an_order_that_provably_never_ran_goes_to_another_server(tmp_path):
    async with running_worker(tmp_path) as (worker, channel):
        async with open_request(channel, "order", PLACE) as request:
            first = await request.decision()
            await request.respond(503, not_started="1")
        second = await route(channel, "order", PLACE, 2)
        assert isinstance(second, str) and second != first


@scenario
async def test_a_keyed_request_is_tried_again_in_its_group_only_and_a_safe_one_anywhere_else(tmp_path):
    async with running_worker(tmp_path) as (_, channel):
        for n in range(10):
            async with open_request(channel, f"amend{n}", AMEND) as request:
                first = int((await request.decision())[-4:])
            again = await route(channel, f"amend{n}", AMEND, 2)
            assert int(again[-4:]) == first ^ 1  # the other of its cell
            assert await route(channel, f"amend{n}", AMEND, 3) == 502  # both have had it
            async with open_request(channel, f"view{n}", VIEW) as request:
                first = await request.decision()
            assert await route(channel, f"view{n}", VIEW, 2) not in (first, 503)


@scenario
async def test_after_a_restart_a_further_try_may_have_run(tmp_path):
    async with running_worker(tmp_path) as (worker, channel):
        assert await route(channel, "order", PLACE, 2) == 502
        assert await route(channel, "amend", AMEND, 2) == 502  # which cell had it is not known any more
        assert isinstance(await route(channel, "view", VIEW, 2), str)
    everywhere = {'group = "cell"': 'group = "all"'}
    async with running_worker(tmp_path, **everywhere) as (worker, channel):
        assert isinstance(await route(channel, "amend", AMEND, 2), str)
    short = everywhere | {"repeat_window = 5.0": "repeat_window = 0.5"}
    async with running_worker(tmp_path, **short) as (worker, channel):
        assert await route(channel, "amend", AMEND, 2) == 502  # its window may be over


@scenario
async def test_one_id_from_two_proxies_at_once_is_a_conflict(tmp_path):
    async with running_worker(tmp_path, pool=server_tables(1, s0="terminating")) as (worker, channel):
        async with open_request(channel, "same", PLACE):
            await until(lambda: balancer_of(worker)._state.requests)
            assert await route(channel, "same", PLACE) == 409
        async with open_request(channel, "other", VIEW):
            await until(lambda: worker.dispatcher.request_count == 3)
            assert await route(channel, "other", PLACE) == 409  # nor as another request class


@scenario
async def test_a_refused_id_may_be_asked_for_again_as_often_as_it_takes(tmp_path):
    async with running_worker(tmp_path, pool=server_tables(1, s0="terminating")) as (worker, channel):
        for n in range(6):  # more than its tries
            assert await route(channel, "order", PLACE, n + 1, timeout_s=0.05) == 503
        list_servers(worker, 2, server_entry())
        assert await route(channel, "order", PLACE, 7) == "127.0.0.1:7000"
