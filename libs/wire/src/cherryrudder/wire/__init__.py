"""Typed messages, HTTP adapters, token-step frames and statsd."""
