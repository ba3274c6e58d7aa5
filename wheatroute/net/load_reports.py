"""Parses load reports of servers: the text after "TEXT " in a response header or body. No I/O."""

from wheatroute.wire_names import REPORT_FIGURES

MAX_LOAD_FIGURE = 1e9  # this value and larger ones are treated as malformed


def parse_load_report(text: str) -> tuple[dict[str, float] | None, str]:
    """Returns the metrics by internal name (None if there are none), and the last malformed part.

    The text is a comma-separated list of name=value. Malformed parts are not included in the metrics; if no
    part is malformed, the second result is empty.
    """
    report: dict[str, float] = {}
    malformed = ""
    for part in text.removeprefix("TEXT ").split(","):
        name, _, figure = part.strip().partition("=")
        try:
            value = float(figure)
        except ValueError:
            value = -1.0
        if 0.0 <= value < MAX_LOAD_FIGURE:
            report[REPORT_FIGURES.get(name, name)] = value
        else:
            malformed = part.strip()
    return report or None, malformed
