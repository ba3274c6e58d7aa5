"""Storage on disks whose content is damaged, incomplete or missing, and on full disks."""

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


def open_storage(folder):
    return LmdbStorage(str(folder), 128)


def test_a_record_is_read_back_by_the_next_process(tmp_path):
    disk = open_storage(tmp_path)
    assert disk.read() is None
    disk.write(record(1))
    disk.write(record(2))
    disk.write_soft_state(b"soft")
    disk.close()
    again = open_storage(tmp_path)
    assert again.read() == record(2) and again.read_soft_state() == b"soft"


def test_a_damaged_record_makes_a_new_node_and_its_file_is_kept(tmp_path):
    disk = open_storage(tmp_path)
    disk.write(record())
    disk.close()
    path = tmp_path / FILE_NAME
    data = path.read_bytes()
    assert data.count(b"payload payload") == 250
    path.write_bytes(data.replace(b"payload payload", b"Xayload payload", 1))
    again = open_storage(tmp_path)
    assert again.read() is None
    assert not path.exists() and [file.suffix for file in tmp_path.iterdir()] == [".unreadable"]
    again.write(record(9))
    assert open_storage(tmp_path).read() == record(9)


def test_a_scrub_names_the_damaged_value_and_the_next_write_repairs_it(tmp_path):
    disk = open_storage(tmp_path)
    disk.write(record())
    assert disk.scrub() == []
    path = tmp_path / FILE_NAME
    offset = path.read_bytes().index(b"payload payload")
    with open(path, "r+b") as file:  # while the environment is open, like bit rot in a page
        file.seek(offset)
        file.write(b"X")
    assert disk.scrub() == ["document"]
    disk.write(record())
    assert disk.scrub() == []
    disk.close()
    assert open_storage(tmp_path).read() == record()


@pytest.mark.parametrize("size", [0, 100, 5000])
def test_a_file_that_is_not_a_database_makes_a_new_node(tmp_path, size):
    (tmp_path / FILE_NAME).write_bytes(os.urandom(size))
    disk = open_storage(tmp_path)
    assert disk.read() is None
    disk.write(record())
    assert open_storage(tmp_path).read() == record()


def test_a_missing_value_makes_a_new_node(tmp_path, monkeypatch):
    disk = open_storage(tmp_path)
    monkeypatch.setattr(storage_module, "_ACCEPTOR", b"elsewhere")
    disk.write(record())
    disk.close()
    monkeypatch.undo()
    assert open_storage(tmp_path).read() is None


def test_a_full_disk_rejects_the_write_and_keeps_the_old_record(tmp_path, monkeypatch):
    disk = open_storage(tmp_path)
    disk.write(record(1))
    with pytest.raises(StorageError):
        disk.write(record(2, os.urandom(200 << 20)))
    assert disk.read() == record(1)
    # It still accepts a record that fits.
    disk.write(record(3))
    assert open_storage(tmp_path).read() == record(3)


def test_only_changed_values_are_written(tmp_path):
    disk = open_storage(tmp_path)
    original = record(1, os.urandom(1 << 20))
    disk.write(original)
    size_before = (tmp_path / FILE_NAME).stat().st_size
    for number in range(200):
        disk.write(
            NodeRecord(
                original.identity, AcceptorRecord(VIEW, ProposalNumber(number, "b/0")), original.document
            )
        )
    assert (tmp_path / FILE_NAME).stat().st_size < size_before + (1 << 20)
    disk.close()
    assert open_storage(tmp_path).read().document == original.document


def test_the_file_does_not_grow_with_the_number_of_changes(tmp_path):
    disk = open_storage(tmp_path)
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


def test_only_seeds_of_the_first_start_begin_with_the_genesis_view():
    original = first_record(settings())
    assert original == new_record(
        "10.0.0.1/0", AcceptorRecord(genesis_view(("10.0.0.3", "10.0.0.2", "10.0.0.1")))
    )
    for later in (settings(bootstrap=False), settings(ip="10.0.0.9")):
        joined = first_record(later)
        assert joined.acceptor.view == NO_VIEW and not joined.identity.endswith("/0")
    assert (
        first_record(settings(bootstrap=False)).identity != first_record(settings(bootstrap=False)).identity
    )
