"""The settings file that the rig writes for an external processor."""

import tomllib

from wheatroute.rig.processor_file import ProcessorInstance, processor_file
from wheatroute.rig.settings import DEFAULT_SETTINGS


def test_the_file_has_the_settings_under_the_processors_keys():
    instance = ProcessorInstance(name="p0", number=2, workers=3, listen="h:1", discovery_service="h:2")
    document = tomllib.loads(processor_file(DEFAULT_SETTINGS | {"dcs": ["a"]}, 4, instance))
    assert (document["name"], document["node"], document["nodes"]) == ("p0", 2, 4)
    (pool,) = document["pools"]
    assert (pool["list_service"], pool["zones"], pool["rules"]["cold_time"]) == ("h:2", ["a"], 9.0)
    assert [table["effect"] for table in document["traffic_types"]] == ["pure", "receipted", "effectful"]
    assert document["traffic_types"][2] == {
        "paths": ["/buy"],
        "effect": "effectful",
        "late_utility": 0.3,
        "name": "buy",
        "group": "all",
        "target_time": 1.0,
        "hard_stop": 2.0,
        "utility": 10.0,
        "repeat_window": 2.0,
    }
    assert document["customers"] == [{"name": "shop", "rate": 1000.0}]
    assert document["processor"] == {
        "listen": "h:1",
        "pool": "shop",
        "tries": 4,
        "workers": 3,
        "headers": {"request_id": "request-id"},
    }
