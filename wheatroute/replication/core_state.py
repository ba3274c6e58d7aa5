"""The state that all parts of one replication core share. No I/O; the caller passes in the time.

Holds the record to be kept on disk (identity, acceptor, document), the time of the current call, and the
effects that the caller has to carry out. Invariant: a message that follows from a change of the record is
sent only from the action given to `save`, which runs once the record is on disk.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

from wheatroute.replication.acceptor import Acceptor
from wheatroute.replication.effects import Effect, Save, Send
from wheatroute.replication.identity import host_of
from wheatroute.replication.messages import Message
from wheatroute.replication.record_writer import Action, RecordWriter
from wheatroute.replication.records import NodeRecord
from wheatroute.replication.views import View

INCARNATION_BITS = 48  # length of the random number that identifies a process

Deliver = Callable[[str, Message], None]


class CoreState:
    """Holds what the follower, voter, proposer and leader of one node share.

    Parameters
    ----------
    record:
        the record that is on disk.
    seed_hosts:
        hosts of the configured seed nodes.
    tolerate:
        how many nodes may be lost at once.
    rng:
        source of the incarnation number and of the retry jitter.
    now:
        time on the monotonic clock, in seconds.
    deliver:
        called with each message that this node sends to itself.
    """

    def __init__(
        self,
        record: NodeRecord,
        seed_hosts: tuple[str, ...],
        tolerate: int,
        rng: Random,
        now: float,
        deliver: Deliver,
    ) -> None:
        self.identity = record.identity
        self.host = host_of(record.identity)
        self.incarnation = rng.getrandbits(INCARNATION_BITS)
        self.acceptor = Acceptor(record.identity, record.acceptor)
        self.document = record.document
        self.record_writer = RecordWriter(record.document.version)
        self.is_leading = False
        self.is_leaving = False
        self.tolerate = tolerate
        self.rng = rng
        self.now = now
        # whether a node has yet to acknowledge soft state that the members of this leader's view have
        self.lacks_soft_state: Callable[[str], bool] = lambda identity: False
        self._hosts = set(seed_hosts)
        self._deliver = deliver
        self._digest_cache = (record.document, record.document.digest)
        self._effects: list[Effect] = []

    @property
    def view(self) -> View:
        """The newest view known as decided."""
        return self.acceptor.view

    @property
    def is_healthy(self) -> bool:
        """Whether the disk takes writes."""
        return self.record_writer.is_healthy(self.now)

    @property
    def document_digest(self) -> int:
        """The digest of the current document, computed once per document."""
        document, digest = self._digest_cache
        if document is not self.document:
            digest = self.document.digest
            self._digest_cache = (self.document, digest)
        return digest

    # other nodes

    def add_hosts(self, hosts: Iterable[str]) -> None:
        """Adds hosts that may run control nodes."""
        self._hosts.update(hosts)

    def all_hosts(self) -> set[str]:
        """The hosts of this node, of the voters, and of all other nodes it knows."""
        return self._hosts | {host_of(voter) for voter in self.view.voters} | {self.host}

    # effects

    def emit(self, *effects: Effect) -> None:
        """Queues effects for the caller, after those already queued."""
        self._effects += effects

    def take_effects(self) -> list[Effect]:
        """Returns the effects of the current call in order, and clears the queue."""
        effects, self._effects = self._effects, []
        return effects

    def send(self, host: str, message: Message) -> None:
        """Sends a message; a message to this node itself is delivered before this returns."""
        if host == self.host:
            self._deliver(self.identity, message)
        else:
            self.emit(Send(host, message))

    def send_to_voters(self, view: View, message: Message) -> None:
        """Sends a message to every voter of a view, in the order of `view.voters`."""
        for voter in view.voters:
            self.send(host_of(voter), message)

    def save(self, then: Action | None = None) -> None:
        """Requests a write of the current record; `then` runs once it, or a later one, is on disk."""
        self.record_writer.request(then)
        # After a failed write, the next tick tries again.
        if not self.record_writer.has_failed:
            self.start_save()

    def start_save(self) -> None:
        """Starts the write that is due, if any."""
        if self.record_writer.is_due(self.now):
            self.record_writer.begin(self.now, self.document.version)
            self.emit(Save(NodeRecord(self.identity, self.acceptor.record, self.document)))
