"""Strict HTTP/1.1 towards clients and engines, and parsing of event streams."""
