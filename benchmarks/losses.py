"""Breaks down the score that simulated days lost, from the simulator's `--report` files and the nodes' logs.

What each part of the score and each price takes away adds up to the total loss of a day. The loss in the part
"whole day" is divided by kind of request and by how requests ended; a rest stays unexplained, as larger
requests are worth more and a report does not contain their sizes.

    python benchmarks/losses.py RUN.json [RUN.txt] ...   reports, and the outputs of the same runs with --log
    python benchmarks/losses.py --short --json           a built-in example; one JSON object as the last line
"""

import json
import re
from collections import Counter
from pathlib import Path

import click
import msgspec

LATE_LINE = re.compile(r"^\s*(-?[\d.]+) \S+ (\{.*\"event\": \"request-late\".*\})$")
SIZE_BOUNDS = (1_000, 4_000, 16_000)  # uncached prompt tokens that separate the groups of late requests
SLOT_S = 4.0  # length of the time slots in which late requests are counted
MAX_ROWS = 12  # printed for each table
MIN_LOSS = 0.0005  # part of the score; smaller losses are not printed


class Group(msgspec.Struct):
    """The counts of a report for one kind of request."""

    name: str
    n: int
    in_aim: int
    late: int
    refused: int
    failed: int
    not_owed: int
    worth: float

    @property
    def owed(self) -> int:
        """The number of requests that were owed a response, at least 1."""
        return max(1, self.n - self.not_owed)

    def lost(self) -> dict[str, float]:
        """Returns the share of this kind's score that was lost, by how requests ended.

        The loss by late responses is what remains of the total loss, since they still earn something; so the
        parts sum to the loss of the kind.
        """
        whole = 1.0 - self.worth
        unserved = {"refused": self.refused / self.owed, "failed": self.failed / self.owed}
        late = whole - sum(unserved.values())
        return {"late": late, **unserved}


class Part(msgspec.Struct, array_like=True):
    """A part of the day's score: its weight, and the fraction of it that was earned."""

    name: str
    weight: float
    earned: float


class Price(msgspec.Struct, array_like=True):
    """A price: the amount that was used, and what it takes from the day's score."""

    name: str
    amount: float
    taken: float


class Report(msgspec.Struct):
    """The fields of a report that are used; `G` is the day's score after prices."""

    G: float
    parts: list[Part]
    prices: list[Price]
    classes: list[Group]


class LateRequest(msgspec.Struct, frozen=True):
    """A request whose first token came later than its route's target."""

    at_s: float
    route: str
    server: str
    uncached_tokens: int
    running: int


def late_requests(lines: list[str]) -> list[LateRequest]:
    """Returns the late requests that edge nodes logged."""
    late = []
    for line in lines:
        if match := LATE_LINE.match(line):
            fields = json.loads(match[2])
            late.append(
                LateRequest(
                    float(match[1]), fields["route"], fields["server"], fields["unread"], fields["running"]
                )
            )
    return late


def total_loss(report: Report) -> dict[str, float]:
    """Returns what each part of the score and each price takes; the sum is 1 - G, except for rounding."""
    taken = {part.name: part.weight * (1.0 - part.earned) for part in report.parts}
    taken |= {f"price of {price.name}": price.taken for price in report.prices}
    taken["not explained"] = 1.0 - report.G - sum(taken.values())
    return taken


def loss_by_kind(report: Report) -> dict[str, float]:
    """Returns the loss in the part "whole day", by kind of request and by how requests ended.

    Kinds are weighted by their numbers of requests, as a report does not contain what a kind is worth.
    """
    (whole,) = [part for part in report.parts if part.name == "whole day"]
    asked = sum(kind.owed for kind in report.classes)
    taken = {
        f"{kind.name}, {how}": whole.weight * share * kind.owed / asked
        for kind in report.classes
        for how, share in kind.lost().items()
    }
    taken["worth of kinds and sizes, not told"] = whole.weight * (1.0 - whole.earned) - sum(taken.values())
    return taken


def size_group(uncached_tokens: int) -> str:
    """Returns the size group of a request with this many uncached prompt tokens."""
    bounds = [0, *SIZE_BOUNDS]
    group = sum(uncached_tokens >= bound for bound in SIZE_BOUNDS)
    return f"{bounds[group]:,} tokens and more"


def late_tables(late: list[LateRequest]) -> dict[str, Counter[str]]:
    """Counts late requests by route and size, by time slot, and by server."""
    return {
        "route and size": Counter(
            f"{request.route}, {size_group(request.uncached_tokens)}" for request in late
        ),
        "seconds": Counter(
            f"{request.at_s // SLOT_S * SLOT_S:g} to {request.at_s // SLOT_S * SLOT_S + SLOT_S:g}"
            for request in late
        ),
        "server": Counter(request.server for request in late),
    }


def loss_tables(report: Report, late: list[LateRequest]) -> dict[str, dict[str, float]]:
    """Returns all tables of a day."""
    tables: dict[str, dict[str, float]] = {
        "the whole loss": total_loss(report),
        "the whole day's part, by kind": loss_by_kind(report),
    }
    return tables | {
        f"late first tokens by {name}": dict(counts) for name, counts in late_tables(late).items()
    }


def show(name: str, tables: dict[str, dict[str, float]]) -> None:
    """Prints the rows of each table that are large enough."""
    click.echo(name)
    for title, table in tables.items():
        rows = sorted(table.items(), key=lambda row: -abs(row[1]))
        click.echo(f"  {title}: {sum(table.values()):.4g}")
        for what, amount in [row for row in rows if abs(row[1]) >= MIN_LOSS][:MAX_ROWS]:
            click.echo(f"    {amount:8.4g}  {what}")


def example_day() -> tuple[Report, list[LateRequest]]:
    """Returns a built-in example of a day, for a run without files."""
    kinds = [Group("long", 100, 80, 10, 4, 6, 0, 0.86), Group("short", 300, 297, 3, 0, 0, 0, 0.997)]
    parts = [Part("whole day", 0.8, 0.96), Part("worst windows", 0.2, 0.9)]
    prices = [Price("machine-seconds", 649.5, 0.0173)]
    late = [LateRequest(4.0 + number, "long", "i-1", 900 * number, 3) for number in range(13)]
    return Report(0.9307, parts, prices, kinds), late


@click.command()
@click.argument("runs", nargs=-1, type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--short", is_flag=True, help="use a built-in example instead of files")
@click.option("--json", "as_json", is_flag=True, help="one JSON object as the last line")
def main(runs: tuple[Path, ...], short: bool, as_json: bool) -> None:
    """Prints where RUNS lost their score: reports (.json) and the outputs of the same runs (.txt)."""
    days: dict[str, dict[str, dict[str, float]]] = {}
    if short:
        days["made here"] = loss_tables(*example_day())
    for path in runs:
        if path.suffix != ".json":
            continue
        output = path.with_suffix(".txt")
        lines = output.read_text().splitlines() if output in runs else []
        days[path.stem] = loss_tables(
            msgspec.json.decode(path.read_bytes(), type=Report), late_requests(lines)
        )
    if not days:
        raise click.UsageError("at least one report (.json) is required")
    for name, tables in days.items():
        show(name, tables)
    if as_json:
        click.echo(json.dumps(days))


if __name__ == "__main__":
    main()
