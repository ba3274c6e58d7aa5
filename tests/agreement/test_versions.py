"""Versions and their history, and the records of a directory store."""

import pytest

from wheatroute.agreement.directory_store import DirectoryStore
from wheatroute.agreement.version_store import VersionStoreError
from wheatroute.agreement.versions import ACTIVATE, WITHDRAW, ContentError, History, HistoryError, canonical
from wheatroute.rig.settings import SETTINGS, change

CONTENT = {"settings": change(SETTINGS, {"dcs": ["a"]}, 2)}


def history(*kinds):
    """A history with records of these kinds, all of the version put last."""
    out = History()
    for kind in kinds:
        record = (
            out.put_record(CONTENT, f"p{out.head}", "me", 1.0, "why")
            if kind == "put"
            else out.next_record(kind, version=out.pending, by="n0", reason="r")
        )
        out.apply(record)
    return out


def test_a_history_applies_only_its_next_record():
    told = history("put", ACTIVATE, "put", "put", WITHDRAW)
    assert (told.active, told.pending) == (1, 0)
    assert [one.state for one in told.versions.values()] == ["in force", "replaced by 3", "withdrawn: r"]
    other = history("put", ACTIVATE, "put", ACTIVATE)
    for wrong in (
        told.records[0],
        other.next_record(ACTIVATE, version=0),
        told.next_record(ACTIVATE, version=2),
        told.next_record("put", version=9, content={}),
        told.next_record("joint", version=4),
    ):
        with pytest.raises(HistoryError):
            told.apply(wrong)
    assert told.head == 5


def test_a_record_of_a_newer_format_is_rejected():
    told = history("put")
    with pytest.raises(HistoryError, match="form 2, this program knows 1"):
        told.apply(told.next_record(ACTIVATE, version=1) | {"format": 2})


def test_content_without_a_canonical_form_is_rejected():
    with pytest.raises(ContentError):
        canonical({"settings": {"tick": float("nan")}})


def test_one_of_two_records_of_one_number_is_stored(tmp_path):
    store = DirectoryStore(str(tmp_path))
    store.create()
    told = history()
    first, second = (told.put_record(CONTENT, name, "me", 1.0, "w") for name in ("one", "two"))
    assert store.append_blocking(first) and not store.append_blocking(second)
    assert store.exchange_blocking("", None, 0, "") == [first]
    told.apply(first)
    with pytest.raises(VersionStoreError, match="another"):
        store.exchange_blocking("", None, 1, "0" * 64)
    (tmp_path / "log" / "000000000001.json").unlink()
    with pytest.raises(VersionStoreError, match="gone"):
        store.exchange_blocking("", None, 1, told.head_digest)
