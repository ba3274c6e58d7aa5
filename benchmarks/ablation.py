"""Measures what each mechanism of serving contributes: simulated days without it against unchanged days.

A mechanism is disabled by a text substitution in a scratch copy of the sources, so that the product needs no
switches. Each substitution must apply exactly once. The days are run by the users' simulator, whose path is
given (BENCH); all runs of a day with the same seed differ only in the mechanism, and no processor time is
charged.

    python benchmarks/ablation.py BENCH SITE.toml:DAY ... --seed 3 --seed 4     a table, and JSON with --json
    python benchmarks/ablation.py --short --json           only checks that the substitutions apply
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
DEPENDENCIES = Path("target") / "deps"
CONFIDENCE_LEVEL = 0.95
SELECTION, ROUTING = "wheatroute/edge/selection.py", "wheatroute/edge/routing.py"
LATENCY_WEIGHTS, SERVER_LOAD = "wheatroute/edge/latency_weights.py", "wheatroute/edge/server_load.py"
INSTANCES, USAGE_REPORTER = "wheatroute/edge/instances.py", "wheatroute/edge/usage_reporter.py"


class Substitution(msgspec.Struct, frozen=True):
    """Replaces a text that occurs exactly once in a file."""

    path: str
    old: str
    new: str


class SubstitutionError(Exception):
    """The text of a substitution does not occur exactly once in its file."""


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
    """Returns a temporary folder beside the repository.

    The simulator gives its processes a private /tmp, so a folder in the real /tmp would be hidden from them.
    """
    return tempfile.TemporaryDirectory(dir=ROOT.parent, prefix="ablation-")


def apply_substitution(substitution: Substitution, root: Path) -> str:
    """Returns the text of a file without one mechanism.

    Raises `SubstitutionError` unless the substitution applies exactly once.
    """
    text = (root / substitution.path).read_text()
    if text.count(substitution.old) != 1:
        raise SubstitutionError(
            f"{substitution.path}: expected one occurrence, got {text.count(substitution.old)}: "
            f"{substitution.old!r}"
        )
    return text.replace(substitution.old, substitution.new)


def copy_without(substitution: Substitution | None, folder: Path) -> Path:
    """Clones the last commit into a folder and disables one mechanism; raises `SubstitutionError`."""
    subprocess.run(["git", "clone", "-q", str(ROOT), str(folder)], check=True)
    # Without this, each copy would have to install the dependencies.
    if (dependencies := ROOT / DEPENDENCIES).exists():
        shutil.copytree(dependencies, folder / DEPENDENCIES)
        (folder / DEPENDENCIES).touch()
    if substitution is not None:
        (folder / substitution.path).write_text(apply_substitution(substitution, folder))
    return folder


class Report(msgspec.Struct):
    """The fields of the simulator's report that are used: `G` is the day's score after prices."""

    G: float
    breaks: dict[str, int]


def run_day(bench: str, folder: Path, day: str, seed: int, why: str) -> float:
    """Runs one day; returns its score, 0 if it broke a rule. Raises `CalledProcessError` on failure."""
    site, _, name = day.rpartition(":")
    path = folder / f"{Path(site).stem}-{name}-{seed}.json"
    command = [bench, "run", str(Path(site).resolve()), name, "--seed", str(seed), "--no-cpu", "--jobs", "1"]
    command += ["--report", str(path), "--why", why]
    subprocess.run(command, cwd=folder, capture_output=True, text=True, check=True)
    report = msgspec.json.decode(path.read_bytes(), type=Report)
    return 0.0 if report.breaks else report.G


def keep_journal(folder: Path) -> None:
    """Copies the simulator's journal entries from a scratch copy into the repository's journal."""
    for entry in (folder / "journal").glob("*.json"):
        shutil.copy(entry, ROOT / "journal" / entry.name)


class Row(msgspec.Struct):
    """The score that a mechanism adds on one day.

    `worth` is the mean difference over the seeds, `within` half the width of its confidence interval.
    """

    mechanism: str
    day: str
    worth: float
    within: float | None
    seeds: int


def summarize(mechanism: str, day: str, differences: list[float]) -> Row:
    """Returns the row of a mechanism and a day; it has no confidence interval if there is a single seed."""
    within = None
    if len(differences) > 1:
        width = (
            NormalDist().inv_cdf(0.5 + CONFIDENCE_LEVEL / 2) * stdev(differences) / len(differences) ** 0.5
        )
        within = round(width, 4)
    name = Path(day).name.replace(".toml:", " ")
    return Row(mechanism, name, round(fmean(differences), 4), within, len(differences))


def measure(bench: str, days: list[str], seeds: list[int], names: list[str], jobs: int) -> list[Row]:
    """Runs all days and seeds without each mechanism; returns a row for each mechanism and day."""
    with scratch_folder() as scratch, ThreadPoolExecutor(jobs) as pool:
        folders: dict[str, Path] = {}
        for number, name in enumerate(["", *names]):
            folder = Path(scratch) / str(number)
            folders[name] = copy_without(MECHANISMS.get(name), folder)
        runs = {
            (name, day, seed): pool.submit(
                run_day, bench, folder, day, seed, f"Ablation: without {name or 'nothing'}."
            )
            for day in days
            for seed in seeds
            for name, folder in folders.items()
        }
        scores = {key: future.result() for key, future in runs.items()}
        for folder in folders.values():
            keep_journal(folder)
    return [
        summarize(name, day, [scores["", day, seed] - scores[name, day, seed] for seed in seeds])
        for name in names
        for day in days
    ]


def check_substitutions() -> int:
    """Checks all substitutions against the sources; returns their number.

    Raises `SubstitutionError` at the first one that does not apply.
    """
    for substitution in MECHANISMS.values():
        apply_substitution(substitution, ROOT)
    return len(MECHANISMS)


@click.command()
@click.argument("bench", required=False)
@click.argument("days", nargs=-1)
@click.option("--seed", "seeds", type=int, multiple=True, help="seed of the days; may be repeated")
@click.option(
    "--only", multiple=True, type=click.Choice(list(MECHANISMS)), help="only this mechanism; may be repeated"
)
@click.option("--jobs", default=1, show_default=True, help="days that run in parallel")
@click.option("--short", is_flag=True, help="only check the substitutions")
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
    """Runs DAYS (SITE.toml:DAY) in the simulator BENCH with each mechanism disabled."""
    applied = check_substitutions()
    if short:
        click.echo(json.dumps({"substitutions": applied}) if as_json else f"{applied} substitutions apply")
        return
    if bench is None or not days:
        raise click.UsageError("the path of the simulator and at least one day are required")
    rows = measure(bench, list(days), list(seeds) or [1], list(only) or list(MECHANISMS), jobs)
    click.echo("| mechanism | day | worth | within | seeds |\n| --- | --- | --- | --- | --- |")
    for row in rows:
        within = "-" if row.within is None else f"{row.within:.4f}"
        click.echo(f"| {row.mechanism} | {row.day} | {row.worth:+.4f} | {within} | {row.seeds} |")
    if as_json:
        click.echo(json.dumps([msgspec.to_builtins(row) for row in rows]))


if __name__ == "__main__":
    sys.exit(main())
