"""The commands to the stand-in etcd cluster, with the keys and values that scenario files use."""

import json

from wheatroute.rig.etcd_cluster import Commands, run_command
from wheatroute.standin.etcd import Member
from wheatroute.standin.etcd_store import Store


def cluster():
    """Returns the store and the members of a cluster, and a function that sends it a command."""
    store = Store()
    members = [Member(store), Member(store)]
    commands = Commands(members)
    return store, members, lambda order, **more: run_command(commands, json.dumps({"order": order} | more))


def test_faults_of_one_member_and_of_all():
    _, members, send = cluster()
    assert send("set", member=1, silent=True, behind=3, fragment_at=2, cut_after=1) == {}
    faults = members[1].faults
    assert (faults.is_unresponsive, faults.revision_lag) == (True, 3)
    assert (faults.max_fragment_events, faults.fragments_before_drop) == (2, 1)
    assert not members[0].faults.is_unresponsive
    assert send("set", member=-1, silent=False) == {}
    assert not any(member.faults.is_unresponsive for member in members)


def test_a_backup_can_be_restored_as_another_cluster():
    store, _, send = cluster()
    assert send("restore") == {"trouble": 'no backup to restore: the command "keep" makes one'}
    send("put", key="a", value="1")
    assert send("keep") == {}
    send("put", key="b", value="2")
    assert send("restore", cluster=7) == {}
    assert (list(store.keys), store.revision, store.cluster_id) == ([b"a"], 2, 7)
    assert send("clear", cluster=77) == {}
    assert (store.keys, store.history, store.revision, store.cluster_id) == ({}, [], 1, 77)


def test_an_invalid_command_gets_an_error_and_changes_nothing():
    store, _, send = cluster()
    for response in (send("fly"), send("set", member=0, odd=1), send("set", silent=True), send("clear")):
        assert response["trouble"]
    assert store.revision == 1
