import unittest

from builders import an_announcement
from hypothesis import given, settings, strategies as st

from cherryrudder.routing import endpoints
from cherryrudder.routing.endpoints import Announcement, EndpointTable, TableEntry

TABLES = 3
# Heartbeats from this one on report that the endpoint drains.
FIRST_DRAINING = 3

FACTS = st.tuples(
    st.sampled_from(["heartbeat", "sign-off", "departure"]),
    st.sampled_from("ef"),
    st.integers(1, 3),
    st.integers(1, 4),
)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("hear"), st.integers(0, TABLES - 1), FACTS),
        st.tuples(st.just("send"), st.integers(0, TABLES - 1), st.none()),
        # A message that is never chosen is lost; one chosen twice is duplicated.
        st.tuples(
            st.just("receive"), st.integers(0, TABLES - 1), st.integers(0, 2**16)
        ),
    ),
    max_size=30,
)


def boot(name, started_ms, number=1, **changes):
    """Return a heartbeat of one incarnation of an endpoint."""
    return an_announcement(
        f"{name}@{started_ms}",
        number,
        (0, number),
        name=name,
        started_ms=started_ms,
        address=name,
        **changes,
    )


def hear(table, fact):
    """Record a fact that arrives from the endpoint itself."""
    kind, name, started_ms, number = fact
    if kind == "sign-off":
        endpoints.sign_off(table, f"{name}@{started_ms}", 0.0)
    elif kind == "departure":
        endpoints.record_departure(table, f"{name}@{started_ms}", 0.0)
    else:
        is_leaving = number >= FIRST_DRAINING
        heartbeat = boot(name, started_ms, number, is_leaving=is_leaving)
        endpoints.record_heartbeat(table, heartbeat, 0.0)


def receive(table, entries):
    """Merge entries of another table; return whether any changes this one."""
    version = table.version
    forwarded = [endpoints.merge(table, entry, 0.0, 0.0) for entry in entries]
    return any(forwarded) or table.version != version


def live(table):
    """Return what may be used: layers and whether new requests are accepted."""
    return {
        a.engine_id: (a.holding, endpoints.accepts_requests(a))
        for a in endpoints.live(table, 0.0)
    }


def true_state(facts):
    """Return what a table should show that has all facts."""
    state = {}
    for name in "ef":
        heard = [fact for fact in facts if fact[0] == "heartbeat" and fact[1] == name]
        newest = max((fact[2] for fact in heard), default=None)
        numbers = [fact[3] for fact in heard if fact[2] == newest]
        notices = {fact[0] for fact in facts if fact[1:3] == (name, newest)}
        has_drained = max(numbers, default=0) >= FIRST_DRAINING
        has_signed_off = "sign-off" in notices
        if not heard or "departure" in notices or (has_drained and has_signed_off):
            continue
        holding = (0, max(numbers))
        state[f"{name}@{newest}"] = holding, not (has_drained or has_signed_off)
    return state


class History:
    """Tables that exchange their entries, and what each has known at any time."""

    def __init__(self):
        self.tables = [EndpointTable() for _ in range(TABLES)]
        self.messages = []
        self.facts = []
        self.ended = [set() for _ in range(TABLES)]
        self.leaving = [set() for _ in range(TABLES)]

    def step(self, kind, index, argument):
        table = self.tables[index]
        if kind == "hear":
            self.facts.append(argument)
            hear(table, argument)
        elif kind == "send":
            self.messages.append(list(table.entries.values()))
        elif self.messages:
            receive(table, self.messages[argument % len(self.messages)])
        self.note(index)

    def note(self, index):
        """Keep the endpoints that a table has ever known as ended or leaving."""
        for engine_id, entry in self.tables[index].entries.items():
            if entry.is_gone and entry.announcement.address:
                self.ended[index].add(engine_id)
            if endpoints.has_leaving_notice(entry.announcement):
                self.leaving[index].add(engine_id)

    def exchange_all(self):
        """Let each table receive each other's entries; return whether any changes."""
        pairs = [(a, b) for a in self.tables for b in self.tables if a is not b]
        return any([receive(b, list(a.entries.values())) for a, b in pairs])


class ExchangeTest(unittest.TestCase):
    """Guards against tables that count an ended incarnation as live again."""

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(STEPS)
    def test_what_a_table_knows_as_ended_or_leaving_is_never_undone(self, steps):
        history = History()
        for step in steps:
            history.step(*step)
            index = step[1]
            shown = live(history.tables[index])
            accepting = {name for name, (_, accepts) in shown.items() if accepts}
            self.assertEqual(history.ended[index] & set(shown), set())
            self.assertEqual(history.leaving[index] & accepting, set())
            names = [engine_id.partition("@")[0] for engine_id in shown]
            self.assertEqual(len(names), len(set(names)))

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(STEPS)
    def test_tables_that_exchanged_everything_show_the_true_state(self, steps):
        history = History()
        for step in steps:
            history.step(*step)
        for _ in range(TABLES):
            history.exchange_all()
        expected = true_state(history.facts)
        for table in history.tables:
            self.assertEqual(live(table), expected)
        self.assertFalse(history.exchange_all())

    def test_an_ended_incarnation_ends_earlier_ones_where_only_its_end_arrives(self):
        source = EndpointTable()
        endpoints.record_heartbeat(source, boot("e", 2), 0.0)
        endpoints.record_departure(source, "e@2", 0.0)
        for arrives_first in (True, False):
            with self.subTest(arrives_first=arrives_first):
                reader = EndpointTable()
                if not arrives_first:
                    endpoints.record_heartbeat(reader, boot("e", 1), 0.0)
                receive(reader, source.entries.values())
                if arrives_first:
                    endpoints.record_heartbeat(reader, boot("e", 1), 0.0)
                self.assertEqual(live(reader), {})

    def test_a_first_heartbeat_that_a_sign_off_overtook_is_not_the_end(self):
        table = EndpointTable()
        endpoints.sign_off(table, "e@1", 0.0)
        self.assertTrue(endpoints.record_heartbeat(table, boot("e", 1), 0.0))
        self.assertEqual(live(table), {"e@1": ((0, 1), False)})
        endpoints.record_heartbeat(table, boot("e", 1, 2, is_leaving=True), 0.0)
        self.assertEqual(live(table), {})

    def test_an_end_without_address_of_an_older_version_is_a_sign_off(self):
        """Earlier versions state both notices although only one has arrived."""
        table = EndpointTable()
        endpoints.record_heartbeat(table, boot("e", 1), 0.0)
        unknown = Announcement("e@1", "", "", "", "", 0, 0)
        ended = unknown._replace(is_leaving=True, has_signed_off=True)
        receive(table, [TableEntry(ended, 0.0, True)])
        self.assertEqual(live(table), {"e@1": ((0, 1), False)})


if __name__ == "__main__":
    unittest.main()
