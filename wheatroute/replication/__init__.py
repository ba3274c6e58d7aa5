"""Primary-backup replication of one document, with acceptors that store only epochs and decide failover.

The parts without I/O: `view` (records and messages), `acceptor` (one acceptor of views), `proposal` (one
attempt to decide the next view) and `core` (one control node). `storage` and `links` connect them to disk
and network.
"""
