"""Intervals and timeouts of the replication core, in seconds. Constants only.

Modules read them as `timing.NAME` at each use, so that tests can replace them. The constants of leases are in
`lease`, and those by which a leader considers its peers alive or lost are in `peers`.
"""

# A leader sends a heartbeat this often.
HEARTBEAT_INTERVAL_S = 0.15
# Leadership checks that arrive within this time share one additional heartbeat.
LEADERSHIP_CHECK_BATCH_S = 0.03

# A member starts an election after this time without a heartbeat. Longer than any lease grant.
ELECTION_TIMEOUT_S = 0.6
# Replaces ELECTION_TIMEOUT_S after the start of a process, until it learns its first newer view.
STARTUP_ELECTION_TIMEOUT_S = 0.12
# Added to the election timeout once per position in the order of members, so that one member goes first.
ELECTION_STEP_S = 0.12

# A proposer gives up an attempt to decide a view after this time.
PROPOSAL_TIMEOUT_S = 0.4
# The delay before the next attempt is MIN_RETRY_DELAY_S plus a random time of up to RETRY_JITTER_S.
MIN_RETRY_DELAY_S = 0.1
RETRY_JITTER_S = 0.25

# A node without contact with a primary sends join requests this often.
JOIN_INTERVAL_S = 0.25
# A new leader releases no leaving node for this time, since successors may still join it.
RELEASE_HOLD_OFF_S = 1.0
# A leader gives up its view after this time without a lease.
STEP_DOWN_TIMEOUT_S = 1.0
# A primary that has given up its lease announces that this often.
LEASE_ENDED_INTERVAL_S = 0.1
# A document is sent again to a node that has not acknowledged it after this time.
DOCUMENT_RESEND_INTERVAL_S = 0.3
