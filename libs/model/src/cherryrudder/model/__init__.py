"""Ids, contracts, endpoints, settings and the lowest errors."""
