import random
import unittest

from builders import an_announcement
from hypothesis import given, settings, strategies as st

from cherryrudder.layers.profile import LayerRange
from cherryrudder.node import tablesync
from cherryrudder.node.gossip import Liveness, SyncPosition
from cherryrudder.node.tablesync import SharedTable
from cherryrudder.routing import endpoints


def held(shared):
    """Return what each usable endpoint holds."""
    return {a.engine_id: a.holding for a in endpoints.live(shared.table, 0.0)}


class LivenessTest(unittest.TestCase):
    """Guards against a sign of life that hides the layers an engine has loaded.

    The sign of life overtakes the update with the layers. If it raised the reader's
    number, the update would seem old, and the engine would never get a request: a whole
    data centre would stay idle.
    """

    def test_a_sign_of_life_does_not_hide_an_update(self):
        source, reader = SharedTable("source"), SharedTable("reader")
        tablesync.record_heartbeat(source, an_announcement(number=2), 0.0)
        tablesync.merge(
            reader, tablesync.changes_since(source, SyncPosition("", 0), 0.0), 0.0
        )
        tablesync.record_heartbeat(
            source, an_announcement(number=4, layers=(0, 8)), 0.1
        )
        tablesync.merge_liveness(reader, (Liveness("boot-1", 0.0),), 0.1)
        update = tablesync.report_endpoints(source, ["boot-1"], 0.1)
        self.assertEqual(tablesync.merge(reader, update, 0.1), ["boot-1"])
        self.assertEqual(held(reader), {"boot-1": (0, 8)})

    def test_a_sign_of_life_keeps_an_endpoint_live(self):
        reader = SharedTable("reader")
        tablesync.record_heartbeat(reader, an_announcement(), 0.0)
        tablesync.merge_liveness(reader, (Liveness("boot-1", 0.5),), 6.0)
        self.assertEqual(len(endpoints.live(reader.table, 6.0)), 1)

    def test_departed_endpoints_stay_gone(self):
        reader = SharedTable("reader")
        tablesync.record_heartbeat(reader, an_announcement(), 0.0)
        tablesync.record_departure(reader, "boot-1", 0.1)
        tablesync.merge_liveness(reader, (Liveness("boot-1", 0.0),), 0.2)
        self.assertEqual(endpoints.live(reader.table, 0.2), [])


class RestartTest(unittest.TestCase):
    def test_a_reader_with_another_boots_position_gets_everything(self):
        source = SharedTable("new")
        tablesync.record_heartbeat(source, an_announcement(), 0.0)
        self.assertEqual(
            len(tablesync.changes_since(source, SyncPosition("old", 99), 0.0)), 1
        )
        position = SyncPosition("new", source.table.version)
        self.assertEqual(tablesync.changes_since(source, position, 0.0), ())


class LostUpdateTest(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_heartbeats_make_up_for_lost_updates(self, seed):
        """Half of the updates are lost or late; then one heartbeat is answered.

        After it, the reader has the same endpoints as the source.
        """
        rng = random.Random(seed)
        source, reader = SharedTable("source"), SharedTable("reader")
        numbers = {}
        late = []
        for _ in range(20):
            engine_id = f"boot-{rng.randrange(4)}"
            numbers[engine_id] = numbers.get(engine_id, 0) + endpoints.NUMBER_STEP
            kind = rng.randrange(10)
            if kind == 0:
                tablesync.record_departure(source, engine_id, 0.0)
            elif kind < 3:
                layers = LayerRange(0, rng.randrange(1, 9))
                tablesync.record_holding(source, engine_id, layers, 0.0)
            else:
                layers = (0, rng.randrange(1, 9))
                announcement = an_announcement(engine_id, numbers[engine_id], layers)
                tablesync.record_heartbeat(source, announcement, 0.0)
            update = tablesync.report_endpoints(source, [engine_id], 0.0)
            (late if rng.random() < 0.5 else []).append(update)
            tablesync.merge_liveness(
                reader, tablesync.recent_liveness(source, 0.0), 0.0
            )
        rng.shuffle(late)
        for update in late:
            tablesync.merge(reader, update, 0.0)
        answer = tablesync.changes_since(source, SyncPosition("", 0), 0.0)
        tablesync.merge(reader, answer, 0.0)
        self.assertEqual(held(reader), held(source))


class ExchangeTest(unittest.TestCase):
    """Guards against an ended incarnation that another process counts as live again."""

    def exchange(self, tables, positions, rng, loss):
        """Let each table answer every other one's heartbeat, some of them lost."""
        for source in tables:
            for reader in tables:
                if source is reader or rng.random() < loss:
                    continue
                key = source.boot, reader.boot
                acked = positions.get(key, SyncPosition("", 0))
                changes = tablesync.changes_since(source, acked, 0.0)
                alive = tablesync.recent_liveness(source, 0.0)
                tablesync.merge(reader, changes, 0.0)
                tablesync.merge_liveness(reader, alive, 0.0)
                positions[key] = SyncPosition(source.boot, source.table.version)

    def hear(self, table, rng, started_ms):
        """Record an event of one incarnation; return its kind and its number."""
        engine_id = f"e@{started_ms}"
        kind = rng.choice(["heartbeat", "heartbeat", "departure"])
        number = rng.randrange(1, 5)
        if kind == "departure":
            tablesync.record_departure(table, engine_id, 0.0)
        else:
            heartbeat = an_announcement(
                engine_id, number, (0, number), name="e", started_ms=started_ms
            )
            tablesync.record_heartbeat(table, heartbeat, 0.0)
        return kind, number

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_tables_agree_once_their_heartbeats_have_arrived(self, seed):
        rng = random.Random(seed)
        tables = [SharedTable(boot) for boot in ("a", "b", "c")]
        positions = {}
        announced, departed = {}, set()
        for _ in range(rng.randrange(1, 12)):
            started_ms = rng.randrange(1, 4)
            kind, number = self.hear(rng.choice(tables), rng, started_ms)
            if kind == "departure":
                departed.add(started_ms)
            else:
                known = announced.get(started_ms, 0)
                announced[started_ms] = max(number, known)
            self.exchange(tables, positions, rng, 0.7)
        for _ in tables:
            self.exchange(tables, positions, rng, 0.0)
        newest = max(announced, default=None)
        is_there = newest is not None and newest not in departed
        expected = {f"e@{newest}": (0, announced[newest])} if is_there else {}
        for table in tables:
            self.assertEqual(held(table), expected)

    def test_the_heartbeat_of_an_ended_incarnation_reaches_readers(self):
        source, reader = SharedTable("source"), SharedTable("reader")
        tablesync.record_heartbeat(
            reader, an_announcement("e@1", name="e", started_ms=1), 0.0
        )
        tablesync.record_departure(source, "e@2", 0.0)
        position = SyncPosition(source.boot, source.table.version)
        later = an_announcement("e@2", name="e", started_ms=2)
        self.assertFalse(tablesync.record_heartbeat(source, later, 0.0))
        tablesync.merge(reader, tablesync.changes_since(source, position, 0.0), 0.0)
        self.assertEqual(held(reader), {})
