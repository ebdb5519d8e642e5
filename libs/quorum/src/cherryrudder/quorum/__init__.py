"""Replicated log: election, log, snapshot, membership of voters and disk files."""
