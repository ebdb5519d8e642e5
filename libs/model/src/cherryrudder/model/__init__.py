"""Contracts, endpoints, settings and the errors of the lowest layer."""
