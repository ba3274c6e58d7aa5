"""The settings file of an external processor (TOML), made from settings with the keys of the platform."""

from __future__ import annotations

import json
from dataclasses import dataclass

from wheatroute.rig.settings import Settings

# Values of `effect` in the file, by the value in the platform's settings.
EFFECTS = {"retryable": "pure", "dedup": "receipted", "fragile": "effectful"}
POOL = "shop"
MAX_ATTEMPTS = 4
# Keys of the platform's settings, by the key in the file.
RULE_KEYS = {
    "cold_time": "cold",
    "cold_share": "cold-share",
    "drain_grace": "drain-grace",
    "fall_span": "fall",
    "fall_multiple": "fall-multiple",
    "answer_slack": "answer-slack",
}
CLASS_KEYS = ("name", "group", "target-time", "hard-stop", "utility", "repeat-window")
NO_ADDRESS = "127.0.0.1:1"


@dataclass(frozen=True, kw_only=True)
class ProcessorInstance:
    """The settings that differ between processors.

    Versions apply to all processors, so the file from which a version is made has the defaults.
    """

    name: str = "any"
    number: int = 0
    workers: int = 1
    listen: str = NO_ADDRESS
    discovery_service: str = NO_ADDRESS


def processor_file(settings: Settings, node_count: int, instance: ProcessorInstance) -> str:
    """Returns the text of a processor's settings file.

    `node_count` is the total number of nodes and processors in the rig.
    """
    lines = [
        f"name = {json.dumps(instance.name)}",
        f"nodes = {node_count}",
        f"node = {instance.number}",
        *_pool(settings, instance),
    ]
    for request_class in settings["traffic-types"]:
        lines += _request_class(request_class)
    for tenant in settings["tenants"]:
        lines += _tenant(tenant)
    lines += _processor(instance)
    return "\n".join([*lines, ""])


def _pool(settings: Settings, instance: ProcessorInstance) -> list[str]:
    rules = settings["rules"]
    return [
        "[[pools]]",
        f"name = {json.dumps(POOL)}",
        f"list_service = {json.dumps(instance.discovery_service)}",
        f"zones = {json.dumps(settings.get('dcs', []))}",
        "[pools.rules]",
        *(f"{name} = {rules[key]}" for name, key in RULE_KEYS.items()),
    ]


def _request_class(table: Settings) -> list[str]:
    return [
        "[[traffic_types]]",
        f'paths = ["/{table["name"]}"]',
        f"effect = {json.dumps(EFFECTS[table['effect']])}",
        f"late_utility = {table['overdue-utility']}",
        *(f"{key.replace('-', '_')} = {json.dumps(table[key])}" for key in CLASS_KEYS if key in table),
    ]


def _tenant(table: Settings) -> list[str]:
    return ["[[customers]]", f"name = {json.dumps(table['name'])}", f"rate = {table['quota-rps']}"]


def _processor(instance: ProcessorInstance) -> list[str]:
    return [
        "[processor]",
        f"listen = {json.dumps(instance.listen)}",
        f"pool = {json.dumps(POOL)}",
        f"tries = {MAX_ATTEMPTS}",
        f"workers = {instance.workers}",
        "[processor.headers]",
        'request_id = "request-id"',
    ]
