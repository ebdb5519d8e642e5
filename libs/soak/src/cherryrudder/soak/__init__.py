"""Inject random faults into the real processes and check the guarantees."""
