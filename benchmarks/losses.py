"""Where the worth of played days went, by the bench's `--report` files and the edge nodes' logs.

Owns the sums: what each part of the score and each price takes away adds up to the whole loss of a day. The
loss of the whole day is divided by kind of request and by how requests ended, with the rest that this leaves
unexplained (requests are worth more by their size, which a report doesn't tell).

    python benchmarks/losses.py RUN.json [RUN.txt] ...   reports, and the outputs of the same runs with --log
    python benchmarks/losses.py --short --json           a day made here; one JSON object as the last line
"""

import json
import re
from collections import Counter
from pathlib import Path

import click
import msgspec

LATE_LINE = re.compile(r"^\s*(-?[\d.]+) \S+ (\{.*\"event\": \"request-late\".*\})$")
SIZE_BOUNDS = (1_000, 4_000, 16_000)  # prompt tokens to be read, between which late requests are counted
SLOT = 4.0  # seconds of the day that are counted together
SHOWN = 12  # lines of each table
LEAST = 0.0005  # of the score, below which a price isn't shown


class Group(msgspec.Struct):
    """Requests of one kind, as a report counts them."""

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
        """Requests that were owed an answer."""
        return max(1, self.n - self.not_owed)

    def lost(self) -> dict[str, float]:
        """Share of this kind's worth that was lost, by how requests ended.

        What a late answer still earns is worked out from the kind's own worth, so the parts sum to its loss.
        """
        whole = 1.0 - self.worth
        unserved = {"refused": self.refused / self.owed, "failed": self.failed / self.owed}
        late = whole - sum(unserved.values())
        return {"late": late, **unserved}


class Part(msgspec.Struct, array_like=True):
    """One part of the day's worth: its weight, and how much of it was earned."""

    name: str
    weight: float
    earned: float


class Price(msgspec.Struct, array_like=True):
    """One price: how much of what, and what that takes from the day's worth."""

    name: str
    amount: float
    taken: float


class Report(msgspec.Struct):
    """What is used of a report; `G` is the day's worth after prices."""

    G: float
    parts: list[Part]
    prices: list[Price]
    classes: list[Group]


class Late(msgspec.Struct, frozen=True):
    """A first token that came later than its route's target."""

    second: float
    route: str
    server: str
    unread: int
    running: int


def late_requests(lines: list[str]) -> list[Late]:
    """The late requests that edge nodes logged."""
    found = []
    for line in lines:
        if match := LATE_LINE.match(line):
            told = json.loads(match[2])
            found.append(
                Late(float(match[1]), told["route"], told["server"], told["unread"], told["running"])
            )
    return found


def whole_loss(report: Report) -> dict[str, float]:
    """What each part of the worth and each price takes; sums to 1 - G but for the report's rounding."""
    taken = {part.name: part.weight * (1.0 - part.earned) for part in report.parts}
    taken |= {f"price of {price.name}": price.taken for price in report.prices}
    taken["not explained"] = 1.0 - report.G - sum(taken.values())
    return taken


def loss_by_kind(report: Report) -> dict[str, float]:
    """What the part of the whole day lost, by kind of request and by how its requests ended.

    Kinds count by their requests, as a report doesn't tell what a kind is worth.
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


def size_group(unread: int) -> str:
    """Between which bounds the tokens lie that a request had to read."""
    bounds = [0, *SIZE_BOUNDS]
    place = sum(unread >= bound for bound in SIZE_BOUNDS)
    return f"{bounds[place]:,} tokens and more"


def late_tables(late: list[Late]) -> dict[str, Counter[str]]:
    """Late requests by route and size, by seconds of the day, and by server."""
    return {
        "route and size": Counter(f"{one.route}, {size_group(one.unread)}" for one in late),
        "seconds": Counter(
            f"{one.second // SLOT * SLOT:g} to {one.second // SLOT * SLOT + SLOT:g}" for one in late
        ),
        "server": Counter(one.server for one in late),
    }


def told(report: Report, late: list[Late]) -> dict[str, dict[str, float]]:
    """All tables of a day."""
    tables: dict[str, dict[str, float]] = {
        "the whole loss": whole_loss(report),
        "the whole day's part, by kind": loss_by_kind(report),
    }
    return tables | {f"late first tokens by {name}": dict(found) for name, found in late_tables(late).items()}


def show(name: str, tables: dict[str, dict[str, float]]) -> None:
    """Prints what is large enough to matter."""
    click.echo(name)
    for title, table in tables.items():
        rows = sorted(table.items(), key=lambda row: -abs(row[1]))
        click.echo(f"  {title}: {sum(table.values()):.4g}")
        for what, amount in [row for row in rows if abs(row[1]) >= LEAST][:SHOWN]:
            click.echo(f"    {amount:8.4g}  {what}")


def made_day() -> tuple[Report, list[Late]]:
    """A day made here, for a run without files."""
    kinds = [Group("long", 100, 80, 10, 4, 6, 0, 0.86), Group("short", 300, 297, 3, 0, 0, 0, 0.997)]
    parts = [Part("whole day", 0.8, 0.96), Part("worst windows", 0.2, 0.9)]
    prices = [Price("machine-seconds", 649.5, 0.0173)]
    late = [Late(4.0 + number, "long", "i-1", 900 * number, 3) for number in range(13)]
    return Report(0.9307, parts, prices, kinds), late


@click.command()
@click.argument("runs", nargs=-1, type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--short", is_flag=True, help="a day made here instead of files")
@click.option("--json", "as_json", is_flag=True, help="one JSON object as the last line")
def main(runs: tuple[Path, ...], short: bool, as_json: bool) -> None:
    """Tells where the worth of RUNS went: reports (.json) and the outputs of the same runs (.txt)."""
    days: dict[str, dict[str, dict[str, float]]] = {}
    if short:
        days["made here"] = told(*made_day())
    for path in runs:
        if path.suffix != ".json":
            continue
        output = path.with_suffix(".txt")
        lines = output.read_text().splitlines() if output in runs else []
        days[path.stem] = told(msgspec.json.decode(path.read_bytes(), type=Report), late_requests(lines))
    if not days:
        raise click.UsageError("no report given")
    for name, tables in days.items():
        show(name, tables)
    if as_json:
        click.echo(json.dumps(days))


if __name__ == "__main__":
    main()
