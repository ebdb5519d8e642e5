"""Endpoint announcements and leases, and distribution of configuration revisions."""
