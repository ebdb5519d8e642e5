"""Runs a voter of the replicated log: its disk, messages and clock."""
