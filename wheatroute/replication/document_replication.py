"""Replication of a leader's document to the other nodes, until it is committed. No I/O.

Invariant: a document is committed only once every member of the view, and of every view that an attempt of
this leader may have decided, has it on disk (`commit`).
"""

from __future__ import annotations

from wheatroute.replication import timing
from wheatroute.replication.commit import may_commit
from wheatroute.replication.core_state import CoreState
from wheatroute.replication.effects import Committed
from wheatroute.replication.identity import host_of
from wheatroute.replication.messages import Replicate
from wheatroute.replication.peers import Peer, Peers
from wheatroute.replication.pending_requests import PendingRequests
from wheatroute.replication.proposer import Proposer
from wheatroute.replication.records import Document, DocumentVersion


class DocumentReplication:
    """Sends a leader's document to its peers, and commits it."""

    def __init__(self, state: CoreState, peers: Peers, proposer: Proposer, pending: PendingRequests) -> None:
        self._state = state
        self._peers = peers
        self._proposer = proposer
        self._pending = pending
        self.committed: Document | None = None  # the newest document that this node committed as a leader

    def replace_document(self, sequence: int, payload: bytes) -> None:
        """Replaces the document by one of the current epoch, and replicates it."""
        state = self._state
        state.document = Document(DocumentVersion(state.view.epoch, sequence), payload)
        self.replicate_to_all()

    def replicate_to_all(self) -> None:
        """Writes the current document to this node's disk, and sends it to all voters and all alive nodes."""
        state, version = self._state, self._state.document.version
        state.save(lambda: self.check_commit(version))
        for peer in self._peers.all():
            if peer.identity in state.view.voters or peer.is_alive(state.now):
                self._send_document(peer)

    def resend(self) -> None:
        """Sends the document again to each alive node that lacks it, every `DOCUMENT_RESEND_INTERVAL_S`."""
        state = self._state
        for peer in self._peers.all():
            is_lacking = peer.version != state.document.version and peer.is_alive(state.now)
            if is_lacking and state.now - peer.document_sent_at > timing.DOCUMENT_RESEND_INTERVAL_S:
                self._send_document(peer)

    def check_commit(self, version: DocumentVersion) -> None:
        """Commits the document of this version if it is the current one and `may_commit` allows it."""
        state = self._state
        if not state.is_leading or version != state.document.version:
            return
        if self.committed is not None and self.committed.version == version:
            return
        possible_members = self._proposer.possible_members
        if not may_commit(
            state.view, possible_members, state.tolerate, lambda member: self.has_document(member, version)
        ):
            return
        self.committed = state.document
        state.emit(Committed(state.document))
        state.emit(*self._pending.on_commit(version))

    def has_document(self, member: str, version: DocumentVersion) -> bool:
        """Whether the document of this version is known to be on the disk of the node `member`."""
        if member == self._state.identity:
            return self._state.record_writer.version_on_disk == version
        return self._peers.get(member).version == version

    def _send_document(self, peer: Peer) -> None:
        state = self._state
        peer.document_sent_at = state.now
        state.send(host_of(peer.identity), Replicate(state.view, state.document))
