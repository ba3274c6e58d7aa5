"""What each mechanism of serving is worth: days played without it, beside days with nothing changed.

Owns the list of mechanisms, each as text substitutions that must apply exactly once to a scratch copy, so the
product carries no switches. The days are played by the users' bench, whose path is given; all plays of a day
have the same seed, with no processor time charged, so that the difference is the mechanism's.

    python benchmarks/ablation.py BENCH SITE.toml:DAY ... --seed 3 --seed 4     a table, and JSON with --json
    python benchmarks/ablation.py --short --json                        the substitutions alone, on a copy
"""

import json
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import NormalDist, fmean, stdev

import click
import msgspec

ROOT = Path(__file__).resolve().parent.parent
BUILT = Path("target") / "deps"
CONFIDENCE = 0.95
SELECTION, ROUTING = "wheatroute/edge/selection.py", "wheatroute/edge/routing.py"
LATENCY_WEIGHTS, SERVER_LOAD = "wheatroute/edge/latency_weights.py", "wheatroute/edge/server_load.py"
INSTANCES, USAGE_REPORTER = "wheatroute/edge/instances.py", "wheatroute/edge/usage_reporter.py"


class Substitution(msgspec.Struct, frozen=True):
    """A text of one file that stands there exactly once, and what takes its place."""

    path: str
    old: str
    new: str


class SubstitutionError(Exception):
    """A text that should stand in a file once doesn't."""


MECHANISMS: dict[str, Substitution] = {
    "keyed draw": Substitution(
        SELECTION,
        "drawn = self._rng.random() if key is None else _hash_fraction(key, server.id)",
        "drawn = self._rng.random()",
    ),
    "redraw off congested servers": Substitution(
        SELECTION, "waits[server.id] if waits[server.id] > max_wait else 0.0", "0.0"
    ),
    "inverse split": Substitution(
        LATENCY_WEIGHTS,
        "clamped_weights([self.relative_latency(server_id, now) for server_id in server_ids])",
        "[1.0 for _ in server_ids]",
    ),
    "steady band of the split": Substitution(
        LATENCY_WEIGHTS,
        "return 1.0 if DEAD_BAND_MIN_RATIO < expected < DEAD_BAND_MAX_RATIO else expected",
        "return expected",
    ),
    "warmup weight": Substitution(SELECTION, "WARMUP_WEIGHT_FACTOR = 0.5 ", "WARMUP_WEIGHT_FACTOR = 1.0 "),
    "prefix cache index": Substitution(SELECTION, "CACHE_TTL_FACTOR = 6.0 ", "CACHE_TTL_FACTOR = 0.0 "),
    "cost of repeated prefills": Substitution(
        SELECTION, "OTHER_MISS_COST = 3.0\n", "OTHER_MISS_COST = 1.0\n"
    ),
    "ranks by size": Substitution(
        ROUTING, "sum(prefill_tokens >= bound for bound in PROMPT_SIZE_BOUNDS)", "0"
    ),
    "load of other nodes": Substitution(SERVER_LOAD, "self._remote = loads", "self._remote = {}"),
    "hedge": Substitution(
        ROUTING,
        "return route.idempotent and route.retries > 1 and route.priority == self._hedged_priority",
        "return False",
    ),
    "unresponsive servers": Substitution(
        SELECTION, "has_timed_out or server.has_unacknowledged_bytes(now) or ", ""
    ),
    "unacknowledged bytes": Substitution(
        SELECTION, "has_timed_out or server.has_unacknowledged_bytes(now)", "has_timed_out"
    ),
    "ejection by error rate": Substitution(INSTANCES, "MAX_ERROR_RATE = 0.3 ", "MAX_ERROR_RATE = 1.1 "),
    "failure detection by several nodes": Substitution(
        USAGE_REPORTER,
        "reported = unresponsive if unresponsive or self._has_reported_unresponsive else None",
        "reported = None",
    ),
}


def scratch_folder() -> tempfile.TemporaryDirectory[str]:
    """Beside the repository: the bench gives its processes a /tmp of their own, which hides what is there."""
    return tempfile.TemporaryDirectory(dir=ROOT.parent, prefix="ablation-")


def without(substitution: Substitution, root: Path) -> str:
    """The text of a file without one mechanism; raises SubstitutionError if that doesn't apply once."""
    text = (root / substitution.path).read_text()
    if text.count(substitution.old) != 1:
        raise SubstitutionError(
            f"{substitution.path}: {text.count(substitution.old)} times {substitution.old!r}"
        )
    return text.replace(substitution.old, substitution.new)


def copy_with(substitution: Substitution | None, folder: Path) -> Path:
    """A scratch copy of the last commit without one mechanism; raises SubstitutionError if that fails."""
    subprocess.run(["git", "clone", "-q", str(ROOT), str(folder)], check=True)
    if (built := ROOT / BUILT).exists():  # else each copy is built anew
        shutil.copytree(built, folder / BUILT)
        (folder / BUILT).touch()
    if substitution is not None:
        (folder / substitution.path).write_text(without(substitution, folder))
    return folder


class Report(msgspec.Struct):
    """What is used of the bench's report: `G` is the day's worth after prices."""

    G: float
    breaks: dict[str, int]


def play(bench: str, folder: Path, day: str, seed: int, why: str) -> float:
    """The worth of one day, 0 if it broke a rule; raises CalledProcessError if it wasn't played."""
    site, _, name = day.rpartition(":")
    path = folder / f"{Path(site).stem}-{name}-{seed}.json"
    command = [bench, "run", str(Path(site).resolve()), name, "--seed", str(seed), "--no-cpu", "--jobs", "1"]
    command += ["--report", str(path), "--why", why]
    subprocess.run(command, cwd=folder, capture_output=True, text=True, check=True)
    report = msgspec.json.decode(path.read_bytes(), type=Report)
    return 0.0 if report.breaks else report.G


def keep_journal(folder: Path) -> None:
    """The bench's entries of a scratch copy go in with the repository's own."""
    for entry in (folder / "journal").glob("*.json"):
        shutil.copy(entry, ROOT / "journal" / entry.name)


class Row(msgspec.Struct):
    """What a mechanism is worth on one day: the mean difference over seeds, and half its interval's width."""

    mechanism: str
    day: str
    worth: float
    within: float | None
    seeds: int


def row(mechanism: str, day: str, differences: list[float]) -> Row:
    """Over the seeds; no interval from a single one."""
    within = None
    if len(differences) > 1:
        width = NormalDist().inv_cdf(0.5 + CONFIDENCE / 2) * stdev(differences) / len(differences) ** 0.5
        within = round(width, 4)
    name = Path(day).name.replace(".toml:", " ")
    return Row(mechanism, name, round(fmean(differences), 4), within, len(differences))


def measure(bench: str, days: list[str], seeds: list[int], names: list[str], jobs: int) -> list[Row]:
    """All mechanisms on all days and seeds."""
    with scratch_folder() as scratch, ThreadPoolExecutor(jobs) as pool:
        folders: dict[str, Path] = {}
        for number, name in enumerate(["", *names]):
            folder = Path(scratch) / str(number)
            folders[name] = copy_with(MECHANISMS.get(name), folder)
        plays = {
            (name, day, seed): pool.submit(
                play, bench, folder, day, seed, f"Ablation: without {name or 'nothing'}."
            )
            for day in days
            for seed in seeds
            for name, folder in folders.items()
        }
        worth = {key: future.result() for key, future in plays.items()}
        for folder in folders.values():
            keep_journal(folder)
    return [
        row(name, day, [worth["", day, seed] - worth[name, day, seed] for seed in seeds])
        for name in names
        for day in days
    ]


def check_substitutions() -> int:
    """How many apply to the sources as they are; raises SubstitutionError at the first that doesn't."""
    for substitution in MECHANISMS.values():
        without(substitution, ROOT)
    return len(MECHANISMS)


@click.command()
@click.argument("bench", required=False)
@click.argument("days", nargs=-1)
@click.option("--seed", "seeds", type=int, multiple=True, help="of the days; several")
@click.option("--only", multiple=True, type=click.Choice(list(MECHANISMS)), help="of the mechanisms")
@click.option("--jobs", default=1, show_default=True, help="plays at once")
@click.option("--short", is_flag=True, help="the substitutions alone")
@click.option("--json", "as_json", is_flag=True, help="one JSON object as the last line")
def main(
    bench: str | None,
    days: tuple[str, ...],
    seeds: tuple[int, ...],
    only: tuple[str, ...],
    jobs: int,
    short: bool,
    as_json: bool,
) -> None:
    """Plays DAYS (SITE.toml:DAY) by BENCH with each mechanism off."""
    applied = check_substitutions()
    if short:
        click.echo(json.dumps({"substitutions": applied}) if as_json else f"{applied} substitutions apply")
        return
    if bench is None or not days:
        raise click.UsageError("a bench and a day at least")
    rows = measure(bench, list(days), list(seeds) or [1], list(only) or list(MECHANISMS), jobs)
    click.echo("| mechanism | day | worth | within | seeds |\n| --- | --- | --- | --- | --- |")
    for one in rows:
        within = "-" if one.within is None else f"{one.within:.4f}"
        click.echo(f"| {one.mechanism} | {one.day} | {one.worth:+.4f} | {within} | {one.seeds} |")
    if as_json:
        click.echo(json.dumps([msgspec.to_builtins(one) for one in rows]))


if __name__ == "__main__":
    sys.exit(main())
