"""Routing decisions on routes, client accounts, endpoints and retries, without I/O."""
