"""The history of versions, and how the directory store keeps its records."""

import pytest
from agreement_helpers import CONTENT, history_of

from wheatroute.agreement.directory_store import DirectoryStore
from wheatroute.agreement.errors import ContentError, HistoryError, VersionStoreError
from wheatroute.agreement.records import RecordKind
from wheatroute.agreement.versions import History, canonical


def test_a_history_only_accepts_its_next_record():
    history = history_of("put", RecordKind.ACTIVATE, "put", "put", RecordKind.WITHDRAW)
    assert (history.active, history.pending) == (1, 0)
    assert [version.state for version in history.versions.values()] == [
        "in force",
        "replaced by 3",
        "withdrawn: r",
    ]
    other = history_of("put", RecordKind.ACTIVATE, "put", RecordKind.ACTIVATE)
    for invalid in (
        History().put_record(CONTENT, "p0", "me", 1.0, "why"),
        other.next_record(RecordKind.ACTIVATE, version=0),
        history.next_record(RecordKind.ACTIVATE, version=2),
        history.next_record("put", version=9, content={}),
        history.next_record("joint", version=4),
    ):
        with pytest.raises(HistoryError):
            history.apply(invalid)
    assert history.head == 5


def test_a_record_of_a_newer_format_is_rejected():
    history = history_of("put")
    with pytest.raises(HistoryError, match="format 2, this program supports 1"):
        history.apply(history.next_record(RecordKind.ACTIVATE, version=1) | {"format": 2})


def test_content_without_a_canonical_form_is_rejected():
    with pytest.raises(ContentError):
        canonical({"settings": {"tick": float("nan")}})


def test_only_the_first_of_two_records_of_the_same_number_is_stored(tmp_path):
    store = DirectoryStore(str(tmp_path))
    store.create()
    history = history_of()
    first, second = (history.put_record(CONTENT, name, "me", 1.0, "w") for name in ("one", "two"))
    assert store.append_blocking(first) and not store.append_blocking(second)
    assert store.exchange_blocking("", None, 0, "") == [first]
    history.apply(first)
    with pytest.raises(VersionStoreError, match="record 1 differs"):
        store.exchange_blocking("", None, 1, "0" * 64)
    (tmp_path / "log" / "000000000001.json").unlink()
    with pytest.raises(VersionStoreError, match="record 1 is missing"):
        store.exchange_blocking("", None, 1, history.head_digest)
