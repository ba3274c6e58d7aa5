"""The configuration that this control node has committed. A state machine without I/O."""

from __future__ import annotations

from wheatroute.cluster.configuration import (
    Configuration,
    Tenant,
    UnreadableConfigurationError,
    decode_configuration,
)
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

    Earlier program versions committed configurations that no node can read. Such a configuration is the base
    of the operator's next change, but edge nodes keep the version before it, whose sequence number is
    `edge_sequence`. `unreadable_reason` says why it can't be read; it is empty for any other configuration.
    """

    def __init__(self) -> None:
        self.state = ConfigurationState()
        self.sequence = NOT_COMMITTED
        self.edge_sequence = NOT_COMMITTED  # stays so while edge nodes can get no configuration
        self.unreadable_reason = ""
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
    def has_edge_configuration(self) -> bool:
        """Whether there is a configuration for edge nodes."""
        return self.edge_sequence >= 0

    def commit(self, document: Document) -> bool:
        """Applies a committed document; returns False if it has been applied already."""
        sequence = document.version.sequence
        if sequence == self.sequence:
            return False
        self.state = decode_state(document.payload)
        self.sequence = sequence
        self._commit_version()
        return True

    def _commit_version(self) -> None:
        """Makes the committed configuration the newest version for edge nodes if it can be read."""
        self.unreadable_reason = ""
        if not self.state.body:
            self._versions.commit(Configuration(), self.sequence)
            return
        try:
            configuration = decode_configuration(self.state.body)
        except UnreadableConfigurationError as error:
            self.unreadable_reason = str(error)
            return
        self._versions.commit(configuration, self.sequence)
        self.edge_sequence = self.sequence

    def end_term(self) -> None:
        """Resets both sequences: this node leads no more. The state is kept, but may be stale from now on."""
        self.sequence = NOT_COMMITTED
        self.edge_sequence = NOT_COMMITTED

    def is_newer_than(self, request: UpdateRequest) -> bool:
        """Whether an edge node lacks the newest configuration, or asks for all of it."""
        is_behind = request.wants_full or request.configuration < self.edge_sequence
        return self.has_edge_configuration and is_behind

    def difference_for(self, request: UpdateRequest) -> bytes | None:
        """The encoded difference from an edge node's version to the newest one; None if it is up to date."""
        if not self.is_newer_than(request):
            return None
        return self._versions.difference_since(NO_SEQUENCE if request.wants_full else request.configuration)
