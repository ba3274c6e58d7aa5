"""Writes days for the simulator with random faults of every kind that it knows, whichever a site uses.

    python examples/days/all_kinds.py FOLDER [DAYS [SEED]]
    fleetbench run SITE FOLDER/all-kinds-01.toml --why "..."

Each day has planned work and faults at random moments, several at a time, and ends with one of the closings
or with none.
"""

import sys
from pathlib import Path
from random import Random

FAULTS_PER_DAY, PLANS_PER_DAY = 8, 4
FIRST_AT_S, LAST_AT_S = 2.0, 36.0  # from the start of traffic
CLOSINGS = ("power_off_all", "wipe_after_ack", "kill_all", "")
# By kind of fault: its fields, and the variants from which one is chosen at random.
FAULTS = {
    "burst": ("x = 2.5, for_s = 4", ("",)),
    "hot_key": ("share = 0.6, for_s = 5", ("",)),
    "hot_tenant": ("x = 6, for_s = 6", ("",)),
    "srv_crash": ("share = 0.17, for_s = 5", ("", "dark", "gone", "joined", "across", "rack")),
    "answer_lost": ("share = 0.5, x = 0.05, for_s = 4", ("", "reset")),
    "garble": ("share = 0.5, x = 0.04, for_s = 4", ("", "extra", "unframed", "early", "rot")),
    "node_kill": ("share = 0.2", ("", "power", "turn", "hard")),
    "node_freeze": ("share = 0.2, for_s = 2.5", ("", "turn", "leader meet", "leader race")),
    "node_slow": ("share = 0.2, x = 5, for_s = 5", ("", "leader")),
    "node_cut": ("share = 0.2, for_s = 4", ("", "all", "servers", "reset", "refuse")),
    "herd_kill": ("share = 0.6", ("", "power", "taken", "taken all")),
    "srv_slow": ("share = 0.2, x = 4, for_s = 5", ("",)),
    "srv_grey": (
        "share = 0.2, x = 0.4, for_s = 5",
        ("errors", "shed", "busy", "hang", "reset", "mute", "slow", "errors one_zone"),
    ),
    "srv_cut": ("share = 0.2, for_s = 4", ("", "fronts", "some", "one_way", "some lossy", "reset")),
    "replace_with_reuse": ("share = 0.17", ("", "drain", "dark")),
    "retry_abuse": ("share = 0.3, x = 3, for_s = 5", ("",)),
    "give_up": ("share = 0.2, for_s = 5", ("",)),
    "reset_conns": ("share = 0.3, x = 0.5", ("",)),
    "core_cut": (
        "count = 1, for_s = 3",
        (
            "",
            "one_way",
            "all",
            "both",
            "lure",
            "relieve",
            "seeds",
            "behind",
            "split",
            "near",
            "oldest",
            "leader race",
        ),
    ),
    "after_ack_kill": ("count = 1, for_s = 2", ("", "kill", "timed", "taken", "taken gone")),
    "after_ack_wipe": ("count = 1, for_s = 2", ("", "timed", "oldest")),
    "disk_slow": ("count = 1, x = 30, for_s = 4", ("", "leader")),
    "disk_stall": ("count = 1, for_s = 3", ("", "leader")),
    "disk_full": ("count = 1, for_s = 3", ("", "leader")),
    "clock_step": ("share = 0.4, x = 3000, for_s = 4", ("back", "ahead")),
    "ack_lost": ("x = 0.7, for_s = 6", ("",)),
    "seed_turnover": ("", ("",)),
    "replace_core": ("x = 1", ("", "planned", "oldest")),
}
PLANS = {
    "release": ("share = 0.5, gap_s = 1", ("",)),
    "scale_out": ("share = 0.3, gap_s = 2", ("",)),
    "scale_in": ("share = 0.17", ("", "spot", "reclaim")),
    "roll_term": ("share = 0.5, gap_s = 2", ("", "busy")),
    "hup": ("share = 0.5, gap_s = 2", ("",)),
    "config_change": ("", ("route", "weights", "timeout", "tenant", "quota", "quota down")),
    "config_race": ("count = 2, gap_s = 1", ("",)),
    "bad_config": ("count = 2, gap_s = 1", ("",)),
    "revoke": ("count = 1, gap_s = 1", ("",)),
}

Table = dict[str, tuple[str, tuple[str, ...]]]


def entries(table: Table, count: int, rng: Random) -> list[str]:
    """Returns random entries of a table as lines of a day, in order of time."""
    lines = []
    for at in sorted(rng.uniform(FIRST_AT_S, LAST_AT_S) for _ in range(count)):
        kind = rng.choice(sorted(table))
        fields, variants = table[kind]
        variant = rng.choice(variants)
        parts = [f"at = {at:.2f}", f'kind = "{kind}"', fields, f'how = "{variant}"' if variant else ""]
        lines.append("  { " + ", ".join(part for part in parts if part) + " },")
    return lines


def day(number: int, rng: Random) -> str:
    """Returns the text of one day."""
    closing = CLOSINGS[number % len(CLOSINGS)]
    return "\n".join(
        [
            "[[day]]",
            f'name = "all-kinds-{number:02}"',
            'slot = "trouble"',
            f"seed = {rng.randrange(10**6)}",
            "one = 0.86",
            "zero = 0.5",
            "goal = { floor = 0.1 }",
            "labels = []",
            "wall = 1.8",
            "light = true",
            *([f'closing = {{ kind = "{closing}", down_s = 1.0 }}'] if closing else []),
            "plan = [",
            *entries(PLANS, PLANS_PER_DAY, rng),
            "]",
            "faults = [",
            *entries(FAULTS, FAULTS_PER_DAY, rng),
            "]",
            "",
        ]
    )


def main() -> None:
    """Writes the days to the folder given on the command line."""
    folder = Path(sys.argv[1])
    count = int(sys.argv[2]) if len(sys.argv) > 2 else 20
    rng = Random(int(sys.argv[3]) if len(sys.argv) > 3 else 1)
    folder.mkdir(parents=True, exist_ok=True)
    for number in range(1, count + 1):
        (folder / f"all-kinds-{number:02}.toml").write_text(day(number, rng))


if __name__ == "__main__":
    main()
