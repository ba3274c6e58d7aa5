"""The configuration that this control node has committed. A state machine without I/O."""

from __future__ import annotations

from wheatroute.cluster.configuration import Configuration, Tenant, decode_configuration
from wheatroute.cluster.distribution import NO_SEQUENCE
from wheatroute.cluster.messages import UpdateRequest
from wheatroute.control.changes import ConfigurationState, decode_state
from wheatroute.control.versions import ConfigurationVersions
from wheatroute.replication.records import Document

NOT_COMMITTED = -1


class CommittedConfiguration:
    """The newest committed state with its sequence number, and the versions that edge nodes may have.

    Only a leader commits, so the state is current only on a node that leads and can acknowledge
    (`Leadership`). On a replica it is empty, or the possibly stale state that the node committed when it last
    led.

    `sequence` is `NOT_COMMITTED` until the first commit, and again once this node no longer leads: the next
    commit of the same document then counts as a new one.
    """

    def __init__(self) -> None:
        self.state = ConfigurationState()
        self.sequence = NOT_COMMITTED
        self._versions = ConfigurationVersions()

    @property
    def is_committed(self) -> bool:
        """Whether this node has committed a document since it began to lead; false if it doesn't lead."""
        return self.sequence >= 0

    @property
    def has_configuration(self) -> bool:
        """Whether an operator has ever sent a configuration."""
        return bool(self.state.body)

    @property
    def tenants(self) -> list[Tenant]:
        """The tenants of the newest configuration."""
        return self._versions.tenants

    @property
    def edge_sequence(self) -> int:
        """The sequence number of the configuration for edge nodes; -1 while there is no configuration."""
        return self.sequence if self.has_configuration else -1

    def commit(self, document: Document) -> bool:
        """Applies a committed document; returns False if it has been applied already."""
        sequence = document.version.sequence
        if sequence == self.sequence:
            return False
        self.state = decode_state(document.payload)
        self.sequence = sequence
        configuration = decode_configuration(self.state.body) if self.state.body else Configuration()
        self._versions.commit(configuration, sequence)
        return True

    def end_term(self) -> None:
        """Resets the sequence: this node no longer leads. The state is kept, but may be stale from now on."""
        self.sequence = NOT_COMMITTED

    def is_newer_than(self, request: UpdateRequest) -> bool:
        """Whether an edge node lacks the newest configuration, or asks for all of it."""
        return self.has_configuration and (request.wants_full or request.configuration < self.sequence)

    def difference_for(self, request: UpdateRequest) -> bytes | None:
        """The encoded difference from an edge node's version to the newest one; None if it is up to date."""
        if not self.is_newer_than(request):
            return None
        return self._versions.difference_since(NO_SEQUENCE if request.wants_full else request.configuration)
