"""Writes days for the bench in which each pair of the core's troubles overlaps once, in drawn variants.

    python examples/days/core_pairs.py FOLDER [SEED]
    fleetbench run SITE FOLDER/core-pairs-01.toml --why "..."

Changes of the configuration go on all day; each day ends with one of the three closings in turn.
"""

import sys
from itertools import combinations
from pathlib import Path
from random import Random

PAIRS_A_DAY = 4
SPACING = 9.0  # seconds from one pair to the next
FIRST = 3.0  # seconds from the start of traffic
LONGEST_LAG = 1.2  # seconds from a pair's first trouble to its second
CLOSINGS = ("power_off_all", "wipe_after_ack", "kill_all")
# what is written for each trouble, and the variants that one is drawn from
TROUBLES = {
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


def entry(at: float, kind: str, chance: Random) -> str:
    """One trouble as a line of a day."""
    fields, variants = TROUBLES[kind]
    how = chance.choice(variants)
    parts = [f"at = {at:.2f}", f'kind = "{kind}"', fields, f'how = "{how}"' if how else ""]
    return "  { " + ", ".join(part for part in parts if part) + " },"


def day(number: int, pairs: list[tuple[str, str]], chance: Random) -> str:
    """The text of one day."""
    lines = []
    for place, pair in enumerate(pairs):
        first, second = chance.sample(pair, 2)
        at = FIRST + SPACING * place
        lines += [entry(at, first, chance), entry(at + LONGEST_LAG * chance.random(), second, chance)]
    closing = CLOSINGS[number % len(CLOSINGS)]
    return "\n".join(
        [
            "[[day]]",
            f'name = "core-pairs-{number:02}"',
            'slot = "trouble"',
            f"seed = {chance.randrange(10**6)}",
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
    """Writes all days into the folder that is named."""
    folder, chance = Path(sys.argv[1]), Random(int(sys.argv[2]) if len(sys.argv) > 2 else 1)
    folder.mkdir(parents=True, exist_ok=True)
    pairs = list(combinations(sorted(TROUBLES), 2))
    chance.shuffle(pairs)
    for number, start in enumerate(range(0, len(pairs), PAIRS_A_DAY), 1):
        text = day(number, pairs[start : start + PAIRS_A_DAY], chance)
        (folder / f"core-pairs-{number:02}.toml").write_text(text)


if __name__ == "__main__":
    main()
