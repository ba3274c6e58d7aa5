"""A hot tenant must not exceed its limit when two primaries are lost within three seconds.

Control nodes share the levels of the tenants' buckets, so that the next primary grants nothing twice. A
follower knows no tenants until it leads and has committed the configuration. Two bugs let the tenant exceed
its limit:

- A new primary restored the levels after `view-changed` (at 15.6756 s, "epoch": 5, "leading": true) but
before
  `configuration-committed` ("version": 24), which came 6 ms later, into buckets that did not exist yet:
  `quota-levels-restored` had "levels": {} for epochs 3 and 5. So each new primary started with 0.4 of a burst
  that had been used up.
- Isolated edge nodes computed their share of the reserve from the node count of a primary that had led for a
  few milliseconds: 2 instead of 63.

2,234,654 tokens were used in eight seconds in which 2,207,590 are allowed; the scenario here reached 1.09
times the allowed tokens.
"""

import trio
from soak.simulated_fleet import SimulatedFleet, SimulatedTenant, run_fleet

EDGES = 63
RUN_S = 20.0
SEEDS = (1, 4)
RATE, BURST = 191_632.0, 301_270.0  # tokens per second, tokens; 2,207,590 are allowed in eight seconds


async def lose_two_primaries(fleet):
    """Wipes one primary and kills the next, which restarts first; connections to both time out meanwhile."""
    fleet.is_silent_on_exit = True
    await trio.sleep_until(12.53)
    first = await fleet.primary()
    first.wipe()
    await trio.sleep_until(15.2)
    second = await fleet.primary()
    second.kill()
    await trio.sleep_until(16.0)
    await fleet.on_control(second.start())
    await trio.sleep_until(16.48)
    await fleet.on_control(first.start())


def test_a_hot_tenant_stays_within_its_limit_when_two_primaries_are_lost():
    for seed in SEEDS:
        hot = SimulatedTenant("hot", RATE, BURST, hot=[(10.5, 21.0, 6.0)])
        calm = SimulatedTenant("calm", 60_000.0, 90_000.0)
        fleet = SimulatedFleet(seed, [hot, calm], EDGES)
        assert run_fleet(fleet, lose_two_primaries, RUN_S) == []
        # The hot tenant still gets most of its rate.
        assert sum(tokens for at, tokens in hot.usage if 10.5 <= at < RUN_S) > 0.8 * RATE * (RUN_S - 10.5)
