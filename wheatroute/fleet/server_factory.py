"""Builds the servers of a plan: models by weight, zones in rotation, speeds at random. No I/O."""

from __future__ import annotations

from random import Random

from wheatroute.fleet import distributions, random_streams
from wheatroute.fleet.engine import Engine
from wheatroute.fleet.plan import FleetPlan, Tier
from wheatroute.fleet.servers import Placement, Server

CELL_SIZE = 4  # servers in a cell; their numbers are consecutive


class ServerFactory:
    """Builds servers; each server gets its own random stream."""

    def __init__(self, plan: FleetPlan, seed: int, engine: Engine) -> None:
        self._plan = plan
        self._seed = seed
        self._engine = engine

    def build_tier(self, depth: int) -> list[Server]:
        """Returns the initial servers of a tier."""
        rng = random_streams.stream(self._seed, "servers", depth)
        models = _models_by_weight(self._plan.tiers[depth])
        rng.shuffle(models)
        zones = len(self._plan.network.zones)
        return [
            self._build(Placement(depth, number, number % zones, model, number // CELL_SIZE), rng)
            for number, model in enumerate(models)
        ]

    def build_successor(self, server: Server, number: int) -> Server:
        """Returns a new server of the same model and zone with another number."""
        rng = random_streams.stream(self._seed, "successor", server.depth, server.number)
        placement = Placement(server.depth, number, server.zone, server.model, number // CELL_SIZE)
        return self._build(placement, rng)

    def _build(self, placement: Placement, rng: Random) -> Server:
        tier = self._plan.tiers[placement.depth]
        model = tier.models[placement.model]
        speed = distributions.distribution("lognormal", model.speed, model.speed_cv)(rng.random())
        own_rng = random_streams.stream(self._seed, "server", placement.depth, placement.number)
        server = Server(self._engine, placement, tier, model, speed, own_rng)
        if tier.reports is not None:
            server.start_reports(tier.reports.interval_s * rng.random())
        return server


def _models_by_weight(tier: Tier) -> list[int]:
    """Returns the index of a model for each server, in proportion to the models' weights at any tier size.

    Each server gets the model whose share of the servers built so far is furthest below the model's weight.
    """
    weights = sum(model.weight for model in tier.models)
    deficits = [0.0] * len(tier.models)
    chosen = []
    for _ in range(tier.servers):
        for number, model in enumerate(tier.models):
            deficits[number] += model.weight / weights
        most_behind = max(range(len(deficits)), key=lambda number: deficits[number])
        deficits[most_behind] -= 1.0
        chosen.append(most_behind)
    return chosen
