"""Strict HTTP/1.1 on both sides of a router, and event streams."""
