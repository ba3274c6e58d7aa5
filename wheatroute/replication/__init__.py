"""Primary-backup replication of one document; single-decree Paxos among voters decides who leads.

Without I/O: `records`, `views`, `identity` and `messages` (types), `acceptor` and `proposal` (Paxos),
`lease`, `commit`, `takeover`, `reconfiguration` and `departure` (pure rules), and the state machine of one
node: `core` dispatches to `voter`, `proposer`, `follower` and `leader`, which share `node_state`.

With I/O: `replicator` runs the core on asyncio, `storage` writes to disk, `links` connects to other nodes.
"""
