"""Persistent storage. This is the only package that writes files.

database: opening SQLite files durably, error conversion and checksums
files: atomic file replacement
gossip_rows: gossip rows that a member keeps across restarts
journal: the effect journal
keys: the key store of a token issuer (key ring and private keys)
raft_store: the term, vote, log and snapshot of a consensus group member
records: a member's replicas of partitions
"""
