"""Staged rollout of a new program version to the nodes, with canary analysis and automatic rollback."""
