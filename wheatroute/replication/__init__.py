"""Primary-backup replication of one document; single-decree Paxos among voters decides who leads.

Without I/O: `records`, `views`, `identity` and `messages` (types), `acceptor` and `proposal` (Paxos),
`lease`, `commit`, `takeover`, `reconfiguration` and `departure` (pure rules), and the state machine of one
node: `core` dispatches to `voter`, `proposer`, `follower` and `leader`, which share `core_state`.

With I/O: `replicator` runs the core on asyncio, `storage` writes to disk, `links` connects to other nodes.

Terms: a view is one configuration of the control nodes, with an epoch, a primary, members (whose disks hold
every acknowledged document) and voters (a majority of whom decides the next view). The process that leads a
view is its leader. The document is the replicated state; soft state is replicated separately and may be lost.
"""
