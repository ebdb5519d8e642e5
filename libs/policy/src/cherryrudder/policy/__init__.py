"""Decisions under load: no I/O, no clock, no network."""
