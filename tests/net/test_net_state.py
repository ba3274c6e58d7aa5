"""Send rules, numbers and states of servers, the client limit and the shutdown, without sockets."""

from types import SimpleNamespace
from unittest import mock

import trio

from wheatroute.balancing.interface import DeduplicationGroup, Idempotency, ServerState
from wheatroute.balancing.settings import DecisionSettings, RequestClass
from wheatroute.net import server_numbers
from wheatroute.net.client_registry import ClientRegistry
from wheatroute.net.clock import now
from wheatroute.net.exchange import Attempt, Exchange, Response
from wheatroute.net.log import CloseReason
from wheatroute.net.send_rules import SendRules
from wheatroute.net.server_numbers import ServerNumbers
from wheatroute.net.server_table import ServerTable
from wheatroute.net.shutdown import ShutdownState

TIMEOUT_S = 5.0
RETRY_WINDOW_S = 1.0


def request_class(idempotency, group=DeduplicationGroup.ALL, retry_window=RETRY_WINDOW_S, deadline=0.5):
    return RequestClass(
        idempotency=idempotency, deduplication_group=group, retry_window=retry_window, deadline=deadline
    )


def make_rules(idempotency=Idempotency.IDEMPOTENT, **changes):
    """Returns rules for one request class, the server table, and the exchanges whose clients have gone."""
    settings = DecisionSettings(
        warmup_s=10.0,
        overload_window_s=0.4,
        tick=0.005,
        request_classes=[request_class(idempotency, **changes)],
    )
    servers, gone = ServerTable(), []
    return SendRules(settings, servers, gone.append), servers, gone


def make_exchange(*ages_s):
    """Returns an exchange with an attempt per age, and the last attempt; all but the last may have run."""
    exchange = Exchange(b"GET", b"/view", b"1", b"", b"")
    exchange.deadline = now() + TIMEOUT_S
    for number, age_s in enumerate(ages_s or (0.0,)):
        exchange.attempts.append(Attempt(0, number, now() - age_s, TIMEOUT_S))
        exchange.attempts[-1].may_have_run = number < len(ages_s) - 1
    return exchange, exchange.attempts[-1]


def in_trio(test):
    """Runs a test inside trio, which provides its clock."""

    def run():
        async def call():
            test()

        trio.run(call)

    run.__name__ = test.__name__
    return run


@in_trio
def test_an_attempt_may_be_sent_until_it_or_its_exchange_has_ended():
    rules, _, _ = make_rules()
    exchange, attempt = make_exchange()
    assert rules.may_send(exchange, attempt)
    exchange.complete(Response(200))
    assert not rules.may_send(exchange, attempt)
    exchange, attempt = make_exchange()
    exchange.deadline = now() - 0.1
    assert not rules.may_send(exchange, attempt)
    exchange, attempt = make_exchange()
    attempt.is_withdrawn = True
    assert not rules.may_send(exchange, attempt)
    exchange, attempt = make_exchange()
    attempt.scope.cancel()
    assert not rules.may_send(exchange, attempt)


@in_trio
def test_an_attempt_is_not_sent_to_a_server_that_has_changed_since_it_was_decided():
    for change in (
        lambda servers: servers.set_address(0, ("127.0.0.1", 2)),
        lambda servers: servers.set_state(0, ServerState.DRAINING, 0.0),
        lambda servers: servers.set_state(0, ServerState.LIVE, now()),
    ):
        rules, servers, _ = make_rules()
        servers.set_address(0, ("127.0.0.1", 1))
        servers.set_state(0, ServerState.LIVE, 0.0)
        exchange, attempt = make_exchange()
        attempt.server_generation = servers.generation(0)
        assert rules.may_send(exchange, attempt)
        change(servers)
        assert not rules.may_send(exchange, attempt)


@in_trio
def test_an_old_decision_is_not_sent_to_a_server_that_is_warming_up():
    rules, servers, _ = make_rules()
    servers.set_state(0, ServerState.LIVE, now() - 5.0)
    assert rules.may_send(*make_exchange(0.05))
    assert not rules.may_send(*make_exchange(0.2))  # more than a quarter of 0.4 s has passed
    servers.set_state(1, ServerState.LIVE, now() - 11.0)
    exchange, attempt = make_exchange(0.2)
    attempt.server = 1
    assert rules.may_send(exchange, attempt)  # it has warmed up


@in_trio
def test_a_further_attempt_depends_on_whether_the_request_may_run_twice():
    for effect, first_age_s, is_allowed in (
        (Idempotency.IDEMPOTENT, 3.0, True),
        (Idempotency.KEYED, 0.5, True),
        (Idempotency.KEYED, RETRY_WINDOW_S, False),
        (Idempotency.NON_IDEMPOTENT, 0.0, False),
    ):
        rules, _, _ = make_rules(effect)
        assert rules.may_send(*make_exchange(first_age_s, 0.0)) == is_allowed, (effect, first_age_s)
        exchange, attempt = make_exchange(first_age_s, 0.0)
        exchange.attempts[0].may_have_run = False
        assert rules.may_send(exchange, attempt)


@in_trio
def test_nothing_is_sent_for_a_client_that_has_left_and_the_driver_is_notified():
    rules, _, gone = make_rules()
    exchange, attempt = make_exchange()
    exchange.is_client_gone = lambda: True
    assert not rules.may_send(exchange, attempt) and gone == [exchange]


@in_trio
def test_only_requests_that_are_not_safe_to_retry_everywhere_can_become_unretryable():
    for effect, changes, can_strand in (
        (Idempotency.IDEMPOTENT, {}, False),
        (Idempotency.NON_IDEMPOTENT, {}, True),
        (Idempotency.KEYED, {}, False),
        (Idempotency.KEYED, {"group": DeduplicationGroup.ZONE}, True),
        (Idempotency.KEYED, {"retry_window": 0.4}, True),
    ):
        rules, _, _ = make_rules(effect, **changes)
        assert rules.can_strand(make_exchange()[0]) == can_strand, (effect, changes)


def test_a_server_is_in_use_while_something_to_it_is_in_flight():
    servers = ServerTable()
    assert not servers.is_in_use(0)
    servers.begin(0)
    servers.begin(0)
    servers.end(0)
    assert servers.is_in_use(0)
    servers.end(0)
    assert not servers.is_in_use(0)


def test_the_first_address_and_state_of_a_server_do_not_count_as_a_change():
    servers = ServerTable()
    assert not servers.set_address(0, ("127.0.0.1", 1)) and not servers.set_address(0, ("127.0.0.1", 1))
    servers.set_state(0, ServerState.LIVE, 1.0)
    servers.set_state(0, ServerState.LIVE, 1.0)
    assert servers.generation(0) == 0
    assert servers.set_address(0, ("127.0.0.1", 2)) and servers.generation(0) == 1
    servers.forget(0)
    assert servers.generation(0) == 0 and servers.started_at(0) == 0.0


def test_a_number_is_reused_only_after_a_delay_and_once_its_server_is_not_in_use():
    numbers = ServerNumbers()
    assert [numbers.assign(name) for name in ("a", "b", "a")] == [(0, False), (1, False), (0, False)]
    numbers.mark_removed("a")
    numbers.free_unused(lambda number: True)
    assert numbers.assign("c") == (2, False)  # REUSE_AFTER_S has not passed
    with mock.patch.object(server_numbers, "REUSE_AFTER_S", -1.0):
        numbers.free_unused(lambda number: False)
        assert numbers.assign("d") == (3, False)  # in use
        numbers.free_unused(lambda number: True)
    assert numbers.assign("e") == (0, True) and numbers.by_id == {"b": 1, "c": 2, "d": 3, "e": 0}


def test_a_full_list_removes_the_servers_that_it_does_not_have():
    numbers = ServerNumbers()
    for name in ("a", "b"):
        numbers.assign(name)
    numbers.mark_all_removed()
    numbers.mark_present("b")
    assert numbers.removed == [0]


def make_client(message_count, opened_at=0.0):
    connection = SimpleNamespace(message_count=message_count, opened_at=opened_at)
    client = SimpleNamespace(connection=connection, is_close_requested=False)

    class Client(SimpleNamespace):
        __hash__ = object.__hash__

        def request_close(self):
            self.is_close_requested = True

    return Client(**vars(client))


def test_a_silent_client_is_closed_before_the_longest_idle_one():
    clients = ClientRegistry(20, ShutdownState())
    idle, idle_later, silent, new = (
        make_client(1),
        make_client(1),
        make_client(0),
        make_client(0, opened_at=float("inf")),
    )
    for client in (idle, idle_later, new, silent):
        clients.add(client)
    clients.close_idle_client()
    assert silent.is_close_requested and not idle.is_close_requested
    clients.close_idle_client()
    assert idle.is_close_requested and not (idle_later.is_close_requested or new.is_close_requested)


def test_a_tenth_of_the_connections_is_reserved_for_clients_that_are_rejected():
    shutdown = ShutdownState()
    clients = ClientRegistry(40, shutdown)
    assert (clients.max_open, clients.max_clients, ClientRegistry(10, shutdown).max_clients) == (40, 36, 8)
    for _ in range(36):
        clients.add(make_client(1))
    assert clients.close_reason() == CloseReason.NO_CAPACITY and not clients.must_announce_close
    clients.add(make_client(1))
    assert clients.must_announce_close
    shutdown.is_stopping = True
    assert clients.close_reason() == CloseReason.STOPPING


@in_trio
def test_a_shutdown_ends_before_the_node_is_killed():
    for max_deadline_s, remaining_s in ((1.0, 1.3), (3.0, 3.3), (60.0, 3.3)):
        shutdown = ShutdownState()
        assert abs(shutdown.begin(max_deadline_s) - remaining_s) < 1e-9
        assert abs(shutdown.answer_by - trio.current_time() - remaining_s) < 0.1
