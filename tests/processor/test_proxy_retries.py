"""Tests of retries by the proxy, which sends each attempt as a separate request with the same id."""

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
async def test_a_non_idempotent_request_that_may_have_run_gets_no_second_decision(tmp_path):
    async with running_worker(tmp_path) as (worker, channel):
        async with open_request(channel, "order", PLACE) as request:
            assert isinstance(await request.decision(), str)
            # The first attempt is in flight.
            assert await route(channel, "order", PLACE, 2) == 502
        # The first attempt's stream has ended without a response of the server.
        assert await route(channel, "order", PLACE, 2) == 502
        # A repeat that claims to be the first attempt is rejected as well.
        assert await route(channel, "order", PLACE) == 502
        await until(lambda: sum(balancer_of(worker).servers.in_flight) == 0)
        assert worker.dispatcher.decision_count == 1


@scenario
async def test_a_non_idempotent_request_that_provably_never_ran_is_sent_to_another_server(tmp_path):
    async with running_worker(tmp_path) as (worker, channel):
        async with open_request(channel, "order", PLACE) as request:
            first = await request.decision()
            await request.respond(503, not_started="1")
        second = await route(channel, "order", PLACE, 2)
        assert isinstance(second, str) and second != first


@scenario
async def test_a_keyed_request_is_retried_only_in_its_group_and_an_idempotent_one_on_any_other_server(
    tmp_path,
):
    async with running_worker(tmp_path) as (_, channel):
        for n in range(10):
            async with open_request(channel, f"amend{n}", AMEND) as request:
                first = int((await request.decision())[-4:])
            second = await route(channel, f"amend{n}", AMEND, 2)
            # The retry is sent to the other server of the first one's cell.
            assert int(second[-4:]) == first ^ 1
            # Both servers of the cell have had an attempt.
            assert await route(channel, f"amend{n}", AMEND, 3) == 502
            async with open_request(channel, f"view{n}", VIEW) as request:
                first = await request.decision()
            assert await route(channel, f"view{n}", VIEW, 2) not in (first, 503)


@scenario
async def test_after_a_restart_an_earlier_attempt_may_have_run(tmp_path):
    async with running_worker(tmp_path) as (worker, channel):
        assert await route(channel, "order", PLACE, 2) == 502
        # The cell of the first attempt is no longer known.
        assert await route(channel, "amend", AMEND, 2) == 502
        assert isinstance(await route(channel, "view", VIEW, 2), str)
    all_servers = {'group = "cell"': 'group = "all"'}
    async with running_worker(tmp_path, **all_servers) as (worker, channel):
        assert isinstance(await route(channel, "amend", AMEND, 2), str)
    short_window = all_servers | {"repeat_window = 5.0": "repeat_window = 0.5"}
    async with running_worker(tmp_path, **short_window) as (worker, channel):
        # The retry window may have passed.
        assert await route(channel, "amend", AMEND, 2) == 502


@scenario
async def test_one_id_from_two_proxies_at_once_is_a_conflict(tmp_path):
    async with running_worker(tmp_path, pool=server_tables(1, s0="terminating")) as (worker, channel):
        async with open_request(channel, "same", PLACE):
            await until(lambda: balancer_of(worker)._state.requests)
            assert await route(channel, "same", PLACE) == 409
        async with open_request(channel, "other", VIEW):
            await until(lambda: worker.dispatcher.request_count == 3)
            # The same id in another request class conflicts as well.
            assert await route(channel, "other", PLACE) == 409


@scenario
async def test_a_rejected_id_may_be_sent_again_any_number_of_times(tmp_path):
    async with running_worker(tmp_path, pool=server_tables(1, s0="terminating")) as (worker, channel):
        # The id is sent more often than the maximum number of attempts (4) allows.
        for n in range(6):
            assert await route(channel, "order", PLACE, n + 1, timeout_s=0.05) == 503
        list_servers(worker, 2, server_entry())
        assert await route(channel, "order", PLACE, 7) == "127.0.0.1:7000"
