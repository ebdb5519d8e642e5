"""Metrics over statsd; without an address nothing is sent."""

import statsd

from cherryrudder.model.settings import StatsdSettings, split_address


class _NullMetrics:
    def incr(self, name, count=1, rate=1):
        """Discard a count."""

    def timing(self, name, duration_ms, rate=1):
        """Discard a duration."""

    def gauge(self, name, value, rate=1, delta=False):
        """Discard a gauge."""


def open_metrics(settings: StatsdSettings, role: str):
    """Return a statsd client (incr, timing in ms, gauge) for a role."""
    if not settings.address:
        return _NullMetrics()
    host, port = split_address(settings.address)
    return statsd.StatsClient(host, port, prefix=f"{settings.prefix}.{role}")
