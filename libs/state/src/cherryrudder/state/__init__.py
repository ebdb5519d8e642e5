"""Deterministic state machine driven by the replicated log."""
