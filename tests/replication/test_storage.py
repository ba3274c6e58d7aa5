"""What a disk that lost, tore or refused writes leaves behind."""

import os

import pytest

from wheatroute.cluster.settings import Settings
from wheatroute.replication import storage as storage_module
from wheatroute.replication.records import (
    AcceptorRecord,
    Document,
    DocumentVersion,
    NodeRecord,
    ProposalNumber,
    new_record,
)
from wheatroute.replication.replicator import first_record
from wheatroute.replication.storage import FILE_NAME, LmdbStorage, StorageError
from wheatroute.replication.views import NO_VIEW, View, genesis_view

VIEW = View(7, "a/0", ("a/0", "b/0"), ("a/0", "b/0", "c/0"))


def record(sequence=3, payload=b"payload " * 500):
    acceptor = AcceptorRecord(
        VIEW, ProposalNumber(4, "b/0"), ProposalNumber(4, "b/0"), View(8, "b/0", ("b/0",), VIEW.voters)
    )
    return NodeRecord("a/0", acceptor, Document(DocumentVersion(7, sequence), payload))


def opened(folder):
    return LmdbStorage(str(folder), 128)


def test_a_record_is_read_back_by_the_next_process(tmp_path):
    disk = opened(tmp_path)
    assert disk.read() is None
    disk.write(record(1))
    disk.write(record(2))
    disk.write_soft_state(b"soft")
    disk.close()
    again = opened(tmp_path)
    assert again.read() == record(2) and again.read_soft_state() == b"soft"


def test_a_record_whose_bytes_changed_makes_a_new_node_and_is_kept_for_a_look(tmp_path):
    disk = opened(tmp_path)
    disk.write(record())
    disk.close()
    path = tmp_path / FILE_NAME
    data = path.read_bytes()
    assert data.count(b"payload payload") == 250
    path.write_bytes(data.replace(b"payload payload", b"Xayload payload", 1))
    again = opened(tmp_path)
    assert again.read() is None
    assert not path.exists() and [one.suffix for one in tmp_path.iterdir()] == [".unreadable"]
    again.write(record(9))
    assert opened(tmp_path).read() == record(9)


def test_a_scrub_names_the_part_whose_bytes_changed_and_the_next_write_puts_it_right(tmp_path):
    disk = opened(tmp_path)
    disk.write(record())
    assert disk.scrub() == []
    path = tmp_path / FILE_NAME
    offset = path.read_bytes().index(b"payload payload")
    with open(path, "r+b") as file:  # under the open environment, as a page that rots
        file.seek(offset)
        file.write(b"X")
    assert disk.scrub() == ["document"]
    disk.write(record())
    assert disk.scrub() == []
    disk.close()
    assert opened(tmp_path).read() == record()


@pytest.mark.parametrize("left", [0, 100, 5000])
def test_a_file_that_is_no_database_makes_a_new_node(tmp_path, left):
    (tmp_path / FILE_NAME).write_bytes(os.urandom(left))
    disk = opened(tmp_path)
    assert disk.read() is None
    disk.write(record())
    assert opened(tmp_path).read() == record()


def test_a_part_that_is_missing_makes_a_new_node(tmp_path, monkeypatch):
    disk = opened(tmp_path)
    monkeypatch.setattr(storage_module, "_ACCEPTOR", b"elsewhere")
    disk.write(record())
    disk.close()
    monkeypatch.undo()
    assert opened(tmp_path).read() is None


def test_a_full_disk_refuses_the_write_and_the_old_record_stands(tmp_path, monkeypatch):
    disk = opened(tmp_path)
    disk.write(record(1))
    with pytest.raises(StorageError):
        disk.write(record(2, os.urandom(200 << 20)))
    assert disk.read() == record(1)
    # and takes what fits
    disk.write(record(3))
    assert opened(tmp_path).read() == record(3)


def test_only_what_changed_is_written(tmp_path):
    disk = opened(tmp_path)
    first = record(1, os.urandom(1 << 20))
    disk.write(first)
    before = (tmp_path / FILE_NAME).stat().st_size
    for number in range(200):
        disk.write(
            NodeRecord(first.identity, AcceptorRecord(VIEW, ProposalNumber(number, "b/0")), first.document)
        )
    assert (tmp_path / FILE_NAME).stat().st_size < before + (1 << 20)
    disk.close()
    assert opened(tmp_path).read().document == first.document


def test_the_file_does_not_grow_with_the_number_of_changes(tmp_path):
    disk = opened(tmp_path)
    for sequence in range(600):
        disk.write(record(sequence, os.urandom(50_000)))
    assert (tmp_path / FILE_NAME).stat().st_size < 2 << 20


def settings(**fields):
    defaults = {
        "node": "n",
        "ip": "10.0.0.1",
        "zone": "z",
        "listen": {},
        "port_range": (1, 2),
        "seeds": ("10.0.0.1:9", "10.0.0.2:9", "10.0.0.3:9"),
        "bootstrap": True,
    }
    return Settings(**(defaults | fields))


def test_only_seeds_of_the_first_start_begin_from_the_first_view():
    first = first_record(settings())
    assert first == new_record(
        "10.0.0.1/0", AcceptorRecord(genesis_view(("10.0.0.3", "10.0.0.2", "10.0.0.1")))
    )
    for later in (settings(bootstrap=False), settings(ip="10.0.0.9")):
        joined = first_record(later)
        assert joined.acceptor.view == NO_VIEW and not joined.identity.endswith("/0")
    assert (
        first_record(settings(bootstrap=False)).identity != first_record(settings(bootstrap=False)).identity
    )
