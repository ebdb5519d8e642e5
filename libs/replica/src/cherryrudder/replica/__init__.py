"""Drives the replicated log: its disk, its messages and its clock."""
