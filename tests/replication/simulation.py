"""Control nodes in virtual time, with a network and disks that fail; checks the invariants at each step.

A document's payload is the list of all writes that it holds, so that a lost write is missing from later ones.
"""

import heapq
from contextlib import contextmanager
from itertools import count
from random import Random

import msgspec

from wheatroute.replication import lease as lease_module
from wheatroute.replication.core import ReplicationCore
from wheatroute.replication.effects import Committed, LeadershipCheckDone, Save, Send, WriteDone
from wheatroute.replication.identity import genesis_identity
from wheatroute.replication.lease import CLOCK_DRIFT
from wheatroute.replication.records import AcceptorRecord, new_record
from wheatroute.replication.views import NO_VIEW, genesis_view

TICK_INTERVAL_S = 0.05
SYNC_S = 4.0  # a lost node counts as lost until this long after its return
STOP_TIMEOUT_S = 5.0  # longest time for which a stopping process waits for other nodes


@contextmanager
def patched(module, **names):
    """Replaces attributes of a module or an object within a `with` block."""
    original = {name: getattr(module, name) for name in names}
    for name, value in names.items():
        setattr(module, name, value)
    try:
        yield
    finally:
        for name, value in original.items():
            setattr(module, name, value)


class ViolationError(AssertionError):
    """An invariant is violated."""


def decode_writes(payload):
    return msgspec.json.decode(payload) if payload else []


class Host:
    """A machine: its disk, and the process that runs on it, if any (`core`)."""

    def __init__(self, name, record):
        self.name = name
        self.disk = record
        self.core = None
        self.incarnation = 0
        self.disk_delay = 0.002
        self.is_disk_failing = False
        # Its monotonic clock shows `offset` plus `rate` times the virtual time, in seconds.
        self.rate, self.offset = 1.0, 0.0
        self.is_frozen = False
        self.queued = []  # messages that arrived while the process was frozen


class Simulation:
    """Simulates the hosts `h0`, `h1`, ..., of which the first `seeds` form the first view."""

    def __init__(self, seed, hosts=3, seeds=3, tolerate=1, make_core=ReplicationCore):
        self.rng = Random(seed)
        self.now = 0.0
        self.tolerate = tolerate
        self.make_core = make_core
        self.events, self.event_numbers = [], count()
        self.loss_rate = 0.0
        self.late_fraction = 0.02  # fraction of the messages that are late
        self.max_lateness_s = 0.2  # longest additional delay of a late message
        self.partitions = set()  # pairs of hosts: no message from the first reaches the second
        self.nonces = count(1)
        names = [f"h{n}" for n in range(hosts)]
        self.seeds = tuple(names[:seeds])
        self.hosts = {}
        for name in names:
            self.add(name)
        self.committed = []  # the longest list of writes that any node has committed
        self.acknowledged = set()
        self.writing, self.reading = {}, {}
        self.requests = count(1)
        self.commits = 0
        self.reads = 0
        self.log = []
        for name in names:
            self.start(name)

    def add(self, name):
        """Adds a machine with an empty disk, whose monotonic clock drifts within what the lease allows."""
        host = self.hosts[name] = Host(name, self.first_record(name))
        host.rate += CLOCK_DRIFT / 2.1 * (2 * self.rng.random() - 1)
        host.offset = 100.0 * self.rng.random()

    def clock(self, host):
        return host.offset + host.rate * self.now

    def first_record(self, name):
        if name in self.seeds and not self.now:
            return new_record(genesis_identity(name), AcceptorRecord(genesis_view(self.seeds)))
        return new_record(f"{name}/{next(self.nonces)}", AcceptorRecord(NO_VIEW))

    # time

    def at(self, delay, action):
        heapq.heappush(self.events, (self.now + delay, next(self.event_numbers), action))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = until

    # hosts

    def start(self, name):
        host = self.hosts[name]
        if host.core is not None:
            return
        host.incarnation += 1
        host.core = self.make_core(host.disk, self.seeds, self.tolerate, self.rng, self.clock(host))
        self.tick(name, host.incarnation)

    def kill(self, name):
        """Ends the process; a write in progress may reach the disk or not."""
        host = self.hosts[name]
        host.core = None
        host.incarnation += 1
        host.is_frozen, host.queued = False, []

    def freeze(self, name):
        """Suspends the process; messages that arrive in the meantime are queued."""
        self.hosts[name].is_frozen = True

    def thaw(self, name):
        host = self.hosts[name]
        host.is_frozen = False
        queued, host.queued = host.queued, []
        for incarnation, sender, message in queued:
            if host.incarnation == incarnation:
                self.carry_out(name, host.core.receive(self.clock(host), sender, message))

    def stop(self, name, on_ended=lambda released: None, timeout_s=STOP_TIMEOUT_S):
        """Stops the process as `Replicator.stop` does; calls `on_ended` once it has stopped or was killed.

        `on_ended` is called with whether other nodes have taken over its roles.
        """
        host = self.hosts[name]
        incarnation, end = host.incarnation, self.now + timeout_s
        self.carry_out(name, host.core.leave(self.clock(host)))

        def poll():
            alive = host.incarnation == incarnation
            released = alive and not host.is_frozen and host.core.can_stop(self.clock(host))
            if alive and not released and self.now < end:
                self.at(TICK_INTERVAL_S / 2, poll)
                return
            self.kill(name)
            on_ended(released)

        poll()

    def wipe(self, name):
        self.kill(name)
        self.hosts[name].disk = self.first_record(name)

    def tick(self, name, incarnation):
        host = self.hosts.get(name)
        if host is None or host.incarnation != incarnation:
            return
        if not host.is_frozen:
            self.carry_out(name, host.core.tick(self.clock(host)))
        self.at(TICK_INTERVAL_S * (0.9 + 0.2 * self.rng.random()), lambda: self.tick(name, incarnation))

    # effects

    def carry_out(self, name, effects):
        host = self.hosts[name]
        for effect in effects:
            match effect:
                case Send(to, message):
                    self.send(name, to, host.core.identity, message)
                case Save(record):
                    self.save(host, record)
                case Committed(document):
                    self.on_commit(name, document)
                case WriteDone(request, done):
                    self.on_write(request, done)
                case LeadershipCheckDone(request, confirmed):
                    self.on_read(host, request, confirmed)

    def send(self, source, target, sender, message):
        if (
            self.rng.random() < self.loss_rate
            or (source, target) in self.partitions
            or target not in self.hosts
        ):
            return
        # Late messages are overtaken by others.
        is_late = self.rng.random() < self.late_fraction
        delay = 0.0005 + 0.002 * self.rng.random() + is_late * self.max_lateness_s * self.rng.random()
        self.at(delay, lambda: self.deliver(source, target, sender, message))

    def deliver(self, source, target, sender, message):
        host = self.hosts.get(target)
        if host is None or host.core is None or (source, target) in self.partitions:
            return
        if host.is_frozen:
            host.queued.append((host.incarnation, sender, message))
            return
        self.carry_out(target, host.core.receive(self.clock(host), sender, message))

    def save(self, host, record):
        incarnation = host.incarnation
        delay = host.disk_delay * (0.5 + self.rng.random())

        def done():
            if host.incarnation != incarnation:
                # A write in progress may have reached the disk when the process was killed.
                if host.disk.identity == record.identity and host.core is None and self.rng.random() < 0.5:
                    host.disk = record
                return
            if host.is_frozen:
                self.at(TICK_INTERVAL_S, done)
                return
            if host.is_disk_failing:
                self.carry_out(host.name, host.core.save_failed(self.clock(host)))
                return
            host.disk = record
            self.carry_out(host.name, host.core.saved(self.clock(host)))

        self.at(delay, done)

    # clients

    def leading(self):
        return [name for name, host in self.hosts.items() if host.core is not None and host.core.is_leading]

    def serving(self):
        return [
            name
            for name, host in self.hosts.items()
            if host.core is not None and not host.is_frozen and host.core.is_serving(self.clock(host))
        ]

    def write(self, name):
        host = self.hosts[name]
        core = host.core
        if core.committed is None or core.committed.version != core.document.version:
            return
        request = next(self.requests)
        payload = msgspec.json.encode([*decode_writes(core.document.payload), request])
        self.writing[request] = request
        self.carry_out(name, core.write(self.clock(host), request, payload))

    def read(self, name):
        request = next(self.requests)
        self.reading[request] = set(self.acknowledged)
        host = self.hosts[name]
        self.carry_out(name, host.core.confirm_leadership(self.clock(host), request))

    # invariants

    def on_commit(self, name, document):
        """Checks that all committed documents are prefixes of one history of writes."""
        writes = decode_writes(document.payload)
        shorter, longer = sorted((writes, self.committed), key=len)
        if longer[: len(shorter)] != shorter:
            raise ViolationError(f"two histories: {name} commits {writes} after {self.committed}")
        self.committed = longer
        self.commits += 1
        self.check_leases(document.version.epoch)

    def check_leases(self, epoch):
        """Checks that no node serves under a lease of an older view once a newer view has committed."""
        if lease_module.GRANT_S == 0.0:
            return  # this history runs without leases
        for name in self.serving():
            if self.hosts[name].core.view.epoch < epoch:
                raise ViolationError(
                    f"{name} still serves epoch {self.hosts[name].core.view.epoch} after a commit of {epoch}"
                )

    def on_write(self, request, done):
        if done:
            self.acknowledged.add(request)
            if request not in self.committed:
                raise ViolationError(f"write {request} is acknowledged but not committed")

    def on_read(self, host, request, confirmed):
        before = self.reading.pop(request)
        if confirmed:
            self.reads += 1
            missing = before - set(decode_writes(host.core.committed.payload))
            if missing:
                raise ViolationError(f"a read on {host.name} lacks acknowledged writes: {missing}")

    def check_recovered(self):
        """Checks that, after all faults have ended, a leader serves all acknowledged writes."""
        leaders = self.serving()
        if not leaders:
            raise ViolationError("no node serves after all faults have ended")
        for name in leaders:
            served = set(decode_writes(self.hosts[name].core.committed.payload))
            if self.acknowledged - served:
                raise ViolationError(f"acknowledged writes are lost: {self.acknowledged - served}")
