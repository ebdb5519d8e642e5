"""Prometheus counters and latency histograms, served at the metrics address."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

# Upper bounds in seconds. They divide the users' objectives (0.1 to 0.6 s) and limits
# (0.6 to 20 s) finely enough to show which one was missed.
BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 20.0)


class Metrics:
    """The counters and histograms of one process, with few, fixed label values."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self.requests = self._counter("requests", "Requests ended", "kind", "outcome")
        self.refusals = self._counter("refusals", "Own refusals", "kind", "status")
        self.attempts = self._counter("attempts", "Sends to engines", "kind", "cause")
        self.reroutes = self._counter("reroutes", "Streams carried on", "outcome")
        self.orders = self._counter("orders", "Orders to engines", "outcome")
        self.beliefs = self._counter("beliefs", "Changes of belief", "event")
        self.crashes = self._counter("crashes", "Requests that end engines", "event")
        self.permits = self._counter("permits", "Permits for engines", "outcome")
        self.unread = self._counter("unread_connections", "Closed by an overload")
        self.client_refusals = self._counter(
            "client_refusals", "Requests refused unread", "bound"
        )
        self.dropped_connections = self._counter(
            "dropped_connections", "Closed to make room", "bound"
        )
        self.client_held_bytes = self._gauge("client_held_bytes", "Held for clients")
        self.client_connections = self._gauge("client_connections", "Of clients")
        self.left_out = self._counter("messages_left_out", "Unreadable", "kind")
        self.failed_steps = self._counter("failed_steps", "Ended by an error", "step")
        self.first_byte_s = self._histogram("first_byte_seconds", "To the first byte")
        self.total_s = self._histogram("total_seconds", "To the end of the answer")

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def count_left_out(self, kind: str) -> None:
        """Count a message between processes that couldn't be encoded or decoded."""
        self.left_out.labels(kind).inc()

    def _counter(self, name, text, *labels):
        return Counter(f"cherryrudder_{name}", text, labels, registry=self.registry)

    def _gauge(self, name, text):
        return Gauge(f"cherryrudder_{name}", text, registry=self.registry)

    def _histogram(self, name, text):
        return Histogram(
            f"cherryrudder_{name}",
            text,
            ("kind",),
            buckets=BUCKETS_S,
            registry=self.registry,
        )
