"""Writes days for the simulator in which each pair of faults of the core nodes overlaps once.

    python examples/days/core_pairs.py FOLDER [SEED]
    fleetbench run SITE FOLDER/core-pairs-01.toml --why "..."

The variants of the faults are random. The configuration changes throughout each day, and each day ends with
one of the three closings in turn.
"""

import sys
from itertools import combinations
from pathlib import Path
from random import Random

PAIRS_PER_DAY = 4
PAIR_INTERVAL_S = 9.0  # from one pair to the next
FIRST_AT_S = 3.0  # from the start of traffic
MAX_LAG_S = 1.2  # from the first fault of a pair to the second
CLOSINGS = ("power_off_all", "wipe_after_ack", "kill_all")
# By kind of fault: its fields, and the variants from which one is chosen at random.
FAULTS = {
    "node_kill": (
        'on = "core", count = 1, for_s = 2.5',
        ("leader", "leader meet", "leader race drain", "hard"),
    ),
    "node_freeze": ('on = "core", count = 1, for_s = 2.5', ("leader", "leader meet", "")),
    "core_cut": ("count = 1, for_s = 3", ("", "one_way", "one_way leader race", "both", "leader meet drain")),
    "disk_slow": ("count = 1, x = 30, for_s = 4", ("leader", "")),
    "disk_stall": ("count = 1, for_s = 3", ("leader", "leader meet", "")),
    "disk_full": ("count = 1, for_s = 3", ("leader", "")),
    "after_ack_kill": ("count = 1, for_s = 2", ("", "kill", "timed")),
    "after_ack_wipe": ("count = 1, for_s = 2", ("", "timed")),
    "replace_core": ("x = 1", ("", "planned")),
    "herd_kill": ('on = "core", for_s = 0.8', ("", "power")),
    "seed_turnover": ("", ("",)),
    "clock_step": ("share = 0.5, x = 3000, for_s = 3", ("back", "ahead")),
    "hup": ("share = 1.0, gap_s = 1", ("",)),
    "roll_term": ('on = "core", share = 1.0, gap_s = 2', ("",)),
}


def entry(at: float, kind: str, rng: Random) -> str:
    """Returns a fault as a line of a day."""
    fields, variants = FAULTS[kind]
    variant = rng.choice(variants)
    parts = [f"at = {at:.2f}", f'kind = "{kind}"', fields, f'how = "{variant}"' if variant else ""]
    return "  { " + ", ".join(part for part in parts if part) + " },"


def day(number: int, pairs: list[tuple[str, str]], rng: Random) -> str:
    """Returns the text of one day."""
    lines = []
    for index, pair in enumerate(pairs):
        first, second = rng.sample(pair, 2)
        at = FIRST_AT_S + PAIR_INTERVAL_S * index
        lines += [entry(at, first, rng), entry(at + MAX_LAG_S * rng.random(), second, rng)]
    closing = CLOSINGS[number % len(CLOSINGS)]
    return "\n".join(
        [
            "[[day]]",
            f'name = "core-pairs-{number:02}"',
            'slot = "trouble"',
            f"seed = {rng.randrange(10**6)}",
            "one = 0.86",
            "zero = 0.5",
            "goal = { floor = 0.3 }",
            "labels = []",
            "wall = 1.8",
            "light = true",
            f'closing = {{ kind = "{closing}", down_s = 1.0 }}',
            "plan = [",
            '  { at = 1, kind = "config_storm", gap_s = 1.7, for_s = 38 },',
            '  { at = 6, kind = "config_race", count = 4, gap_s = 7 },',
            "]",
            "faults = [",
            *lines,
            "]",
            "",
        ]
    )


def main() -> None:
    """Writes all days to the folder given on the command line."""
    folder, rng = Path(sys.argv[1]), Random(int(sys.argv[2]) if len(sys.argv) > 2 else 1)
    folder.mkdir(parents=True, exist_ok=True)
    pairs = list(combinations(sorted(FAULTS), 2))
    rng.shuffle(pairs)
    for number, start in enumerate(range(0, len(pairs), PAIRS_PER_DAY), 1):
        text = day(number, pairs[start : start + PAIRS_PER_DAY], rng)
        (folder / f"core-pairs-{number:02}.toml").write_text(text)


if __name__ == "__main__":
    main()
