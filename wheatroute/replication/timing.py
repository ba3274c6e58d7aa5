"""Intervals and timeouts of the replication core, in seconds. Constants only.

Modules read them as `timing.NAME` at each use, so that a test can play with other values. Those of leases are
in `lease`, those by which a leader judges its peers in `peers`.
"""

HEARTBEAT_INTERVAL_S = 0.15  # between two heartbeats of a leader
READ_BATCH_INTERVAL_S = 0.03  # reads that come within it share one additional heartbeat

ELECTION_TIMEOUT_S = 0.6  # without a heartbeat, until a member proposes itself; longer than any lease grant
STARTUP_ELECTION_TIMEOUT_S = 0.12  # the same right after the start of a process
ELECTION_STEP_S = 0.12  # added for each place in the order of members, so that one of them goes first

PROPOSAL_TIMEOUT_S = 0.4  # until an attempt to decide a view is given up
MIN_RETRY_DELAY_S = 0.1  # until the next attempt
RETRY_JITTER_S = 0.25  # at most, drawn and added to it

JOIN_INTERVAL_S = 0.25  # between two join requests
DEPARTURE_SURVEY_S = 1.0  # during which a new leader releases no leaving node: successors may yet join it
STEP_DOWN_TIMEOUT_S = 1.0  # without a lease, until a leader gives its view up
LEASE_ENDED_INTERVAL_S = 0.1  # between two announcements of a primary that has given its lease up
DOCUMENT_RESEND_INTERVAL_S = 0.3  # until a document is sent again to a node that has not acknowledged it
