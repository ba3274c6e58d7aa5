"""Helpers shared by tests of the agreement: a version's content, and a history with given records."""

from wheatroute.agreement.versions import History
from wheatroute.rig.settings import DEFAULT_SETTINGS, with_changes

CONTENT = {"settings": with_changes(DEFAULT_SETTINGS, {"dcs": ["a"]}, 2)}


def history_of(*kinds):
    """Returns a history with records of these kinds; each decision is about the version put last."""
    history = History()
    for kind in kinds:
        record = (
            history.put_record(CONTENT, f"p{history.head}", "me", 1.0, "why")
            if kind == "put"
            else history.next_record(kind, version=history.pending, by="n0", reason="r")
        )
        history.apply(record)
    return history
