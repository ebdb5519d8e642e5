"""Replicated log (Raft): elections, log, snapshots, voter changes and disk files."""
