import itertools
import unittest

from builders import KINDS, a_profile, candidates, placed, users_holders
from hypothesis import given, settings, strategies as st

from cherryrudder.layers import chains, planner
from cherryrudder.layers.chains import Candidate, Need, Part
from cherryrudder.layers.profile import room_tokens

PROFILE = a_profile()
SMALL = a_profile(layers=8, token_kv_bytes=118_000.0)
NEED = Need(946.0, "a")


def users_candidates():
    """Return the users' engines with their planned ranges."""
    holders = users_holders()
    return candidates(placed(holders, planner.plan(PROFILE, holders)))


def an_engine(name, first, end, zone="a", kind="l4", **changes):
    """Return a candidate that holds a range."""
    engine = Candidate(name, f"boot-{name}", zone, kind, first, end)
    return engine._replace(**changes)


class CoverTest(unittest.TestCase):
    def test_a_chain_runs_each_layer_once_in_order(self):
        part = Part("e", "boot", 0, 4)
        self.assertTrue(chains.covers([part, Part("f", "b", 4, 8)], 8))
        for wrong in (
            [part],
            [part, Part("f", "b", 5, 8)],
            [part, Part("f", "b", 3, 8)],
            [part, Part("e", "b", 4, 8)],
            [Part("f", "b", 4, 8), part],
            [part, Part("f", "b", 4, 4), Part("g", "b", 4, 8)],
        ):
            with self.subTest(chain=wrong):
                self.assertFalse(chains.covers(wrong, 8))


def searched_everywhere(engines, need):
    """Return the cheapest chain of all data centres, each of them searched."""
    found = []
    usable = [e for e in engines if chains.has_room(SMALL, e, need.tokens)]
    for zone in sorted({e.vm_zone for e in usable}):
        group = [e for e in usable if e.vm_zone == zone]
        best = chains._cheapest(SMALL, group, zone)
        if best is not None:
            away_s = chains.FOREIGN_S if zone != need.home_zone else 0.0
            found.append(best[0] + away_s)
    return min(found, default=None)


class ShortcutTest(unittest.TestCase):
    """Data centres are left out of the search where they can't have the cheapest."""

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.randoms(use_true_random=False))
    def test_the_chain_is_as_cheap_as_if_all_were_searched(self, rng):
        engines = []
        for number in range(rng.randint(2, 14)):
            first = rng.randint(0, 7)
            end = rng.randint(first + 1, 8)
            engine = an_engine(f"e{number}", first, end, rng.choice("abc"))
            room = room_tokens(SMALL, KINDS[2], end - first)
            engines.append(engine._replace(tokens=rng.choice([0, 0.7, 0.95]) * room))
        need = Need(100.0, "a")
        wanted = searched_everywhere(engines, need)
        chain = chains.choose_chain(SMALL, engines, need)
        self.assertEqual(chain is None, wanted is None)
        if chain is not None:
            zone = next(e.vm_zone for e in engines if e.address == chain[0].address)
            group = [e for e in engines if e.vm_zone == zone]
            group = [e for e in group if chains.has_room(SMALL, e, need.tokens)]
            away_s = chains.FOREIGN_S if zone != "a" else 0.0
            cost = chains._cheapest(SMALL, group, zone)[0] + away_s
            self.assertAlmostEqual(cost, wanted)

    def test_a_whole_copy_without_room_is_a_lack_of_room(self):
        engines = [an_engine("e", 0, 8, tokens=1e12)]
        self.assertIsNone(chains.choose_chain(SMALL, engines, Need(100.0, "a")))
        self.assertTrue(chains.has_full_copy(SMALL, engines))
        self.assertFalse(chains.has_full_copy(SMALL, [an_engine("e", 0, 7)]))


class ReadingTest(unittest.TestCase):
    """One data centre serves those of two others, and its fastest engines come first.

    Prompts are read a part at a time between the steps of all streams that run there.
    With the memory alone in mind, all new streams went to the fast engines, whose room
    had not run out, and waited there for seconds for their first event; the slow copy
    beside them was idle.
    """

    def engines(self, unread):
        kinds = {"h100": 0.0, "l4": 0.0} | unread
        return [
            an_engine(f"{kind}-{first}", first, first + 4, "a", kind, unread=tokens)
            for kind, tokens in kinds.items()
            for first in (0, 4)
        ]

    def kinds_of(self, chain):
        return {part.address.partition("-")[0] for part in chain}

    def test_an_idle_fast_engine_is_taken(self):
        chain = chains.choose_chain(SMALL, self.engines({}), NEED)
        self.assertEqual(self.kinds_of(chain), {"h100"})

    def test_prompts_that_wait_there_send_it_to_the_slow_one(self):
        waiting = {"h100": 200 * 772.0}
        chain = chains.choose_chain(SMALL, self.engines(waiting), NEED)
        self.assertEqual(self.kinds_of(chain), {"l4"})

    def test_the_wait_grows_with_the_streams_that_run(self):
        idle = an_engine("e", 0, 4, unread=7720.0)
        busy = idle._replace(running=90.0)
        idle_s = chains.reading_wait_s(SMALL, idle)
        self.assertGreater(chains.reading_wait_s(SMALL, busy), 1.3 * idle_s)

    def test_a_slow_engine_reads_as_slowly_as_it_writes(self):
        sound = an_engine("e", 0, 4, unread=7720.0)
        wait_s = chains.reading_wait_s(SMALL, sound)
        slow_s = chains.reading_wait_s(SMALL, sound._replace(slowness=12.0))
        self.assertAlmostEqual(slow_s, 12 * wait_s)

    def test_nothing_waits_where_nothing_is_unread(self):
        self.assertEqual(chains.reading_wait_s(SMALL, an_engine("e", 0, 4)), 0.0)


class ChoiceTest(unittest.TestCase):
    def test_a_chain_stays_in_its_own_data_centre(self):
        engines = users_candidates()
        for zone in "abc":
            chain = chains.choose_chain(PROFILE, engines, NEED._replace(home_zone=zone))
            self.assertTrue(chains.covers(chain, PROFILE.layers))
            self.assertEqual({p.address[0] for p in chain}, {zone})

    def test_another_data_centre_serves_while_the_own_has_a_hole(self):
        engines = [e for e in users_candidates() if e.address != "b-a100s-0"]
        chain = chains.choose_chain(PROFILE, engines, NEED._replace(home_zone="b"))
        self.assertEqual(len({p.address[0] for p in chain}), 1)
        self.assertNotEqual(chain[0].address[0], "b")

    def test_an_engine_that_takes_no_more_streams_still_runs_its_part_of_others(self):
        """The fastest engine begins as many streams as it takes at once.

        It would refuse the next one, at the cost of a retry; in the middle of a chain
        that begins elsewhere it is as good as before.
        """
        full = PROFILE.slots
        engines = [
            an_engine("fast", 0, 40, kind="h100", firsts=full),
            an_engine("slow", 0, 8),
            an_engine("last", 40, 80, kind="h100"),
        ]
        chain = chains.choose_chain(PROFILE, engines, NEED)
        ends = [(part.address, part.end) for part in chain]
        self.assertEqual(ends, [("slow", 8), ("fast", 40), ("last", 80)])
        self.assertIsNone(
            chains.choose_chain(PROFILE, [e for e in engines if e.firsts], NEED)
        )

    def test_a_fast_engine_is_used_beyond_half_of_its_room(self):
        """Streams on a kind that is twice as slow last, and hold room, twice as long.

        At six tenths of its room the fast engine is still the better one; near its end
        the other is, or the next stream would be refused.
        """
        profile = PROFILE._replace(layer_mb=400.0)
        room = room_tokens(profile, KINDS[0], 80)
        for fill, chosen in ((0.0, "fast"), (0.6, "fast"), (0.9, "slow")):
            engines = [
                an_engine("fast", 0, 80, kind="h100", tokens=fill * room),
                an_engine("slow", 0, 80, kind="a100s"),
            ]
            chain = chains.choose_chain(profile, engines, NEED)
            self.assertEqual([part.address for part in chain], [chosen], fill)

    def test_no_plain_chain_crosses_for_want_of_room(self):
        """A burst fills one range of each data centre, a different one in each.

        A chain over two of them still has room. It is chosen by itself, since it takes
        time of a pipe that all share, and no more of them than the pipe takes.
        """
        full = {"a-h100-0", "b-l4-5", "c-l4-2"}
        engines = [
            e._replace(tokens=1e6) if e.address in full else e
            for e in users_candidates()
        ]
        self.assertIsNone(chains.choose_chain(PROFILE, engines, NEED))
        chain = chains.choose_mixed_chain(PROFILE, engines, NEED)
        self.assertTrue(chains.covers(chain, PROFILE.layers))
        self.assertLessEqual(chains.crossings(chain, engines), chains.MAX_CROSSINGS)

    def test_a_chain_with_many_crossings_is_none(self):
        engines = [an_engine(f"e{n}", n, n + 1, "ab"[n % 2]) for n in range(8)]
        self.assertIsNone(chains.choose_mixed_chain(SMALL, engines, NEED))

    def test_a_chain_crosses_when_no_data_centre_is_whole(self):
        engines = [an_engine("e", 0, 4, "a"), an_engine("f", 4, 8, "b")]
        self.assertIsNone(chains.choose_chain(SMALL, engines, NEED))
        chain = chains.choose_mixed_chain(SMALL, engines, NEED)
        self.assertEqual([p.address for p in chain], ["e", "f"])

    def test_two_copies_fill_evenly(self):
        """Forty requests come at once where two engines hold the same layers.

        Without the fill in the cost all would go to the first of them, which pushes
        the newest out of its memory while the other idles.
        """
        tokens = {"e": 0.0, "f": 0.0}
        for _ in range(40):
            engines = [an_engine(name, 0, 8, tokens=tokens[name]) for name in tokens]
            chain = chains.choose_chain(SMALL, engines, NEED)
            tokens[chain[0].address] += NEED.tokens
        self.assertEqual(tokens["e"], tokens["f"])

    def test_an_engine_without_room_gets_nothing(self):
        engines = [an_engine("full", 0, 8, tokens=1e9), an_engine("free", 0, 8)]
        self.assertEqual(chains.choose_chain(SMALL, engines, NEED)[0].address, "free")


class ReplaceTest(unittest.TestCase):
    """An engine in the middle of a chain dies while a stream runs.

    The caller sees a pause. The survivors keep what they have read, so the new chain
    must keep their parts as they are and put others only where the dead one was.
    """

    def test_only_the_lost_part_is_replaced(self):
        engines = [
            an_engine("e", 0, 3),
            an_engine("f", 3, 6),
            an_engine("g", 6, 8),
            an_engine("spare1", 2, 5),
            an_engine("spare2", 4, 8),
        ]
        chain = (Part("e", "", 0, 3), Part("f", "", 3, 6), Part("g", "", 6, 8))
        rest = [e for e in engines if e.address != "f"]
        new = chains.replace_parts(SMALL, chain, rest, {"f"}, NEED)
        self.assertTrue(chains.covers(new, 8))
        self.assertEqual((new[0], new[-1]), (chain[0], chain[-1]))
        self.assertEqual({p.address for p in new[1:-1]}, {"spare1", "spare2"})

    def test_nothing_replaces_a_part_across_the_pipe(self):
        chain = (Part("e", "", 0, 4), Part("f", "", 4, 8))
        far = an_engine("far", 4, 8, zone="b")
        engines = [an_engine("e", 0, 4), far]
        self.assertIsNone(chains.replace_parts(SMALL, chain, engines, {"f"}, NEED))

    def test_a_survivor_is_not_used_twice(self):
        chain = (Part("e", "", 0, 4), Part("f", "", 4, 8))
        engines = [an_engine("e", 0, 8)]
        self.assertIsNone(chains.replace_parts(SMALL, chain, engines, {"f"}, NEED))


RANGE = st.tuples(st.integers(0, 5), st.integers(1, 6), st.sampled_from("ab"))


def naive_cover(engines, layers):
    """Tell, by trying all orders, whether some engines cover the layers in turn."""
    for count in range(1, len(engines) + 1):
        for order in itertools.permutations(engines, count):
            position = 0
            for engine in order:
                if engine.first <= position < engine.end:
                    position = engine.end
            if position >= layers:
                return True
    return False


class AnyEnginesTest(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.lists(RANGE, max_size=6))
    def test_a_chain_is_found_exactly_when_there_is_one(self, ranges):
        profile = a_profile(layers=6)
        engines = [
            an_engine(f"e{n}", first, min(6, first + length), zone)
            for n, (first, length, zone) in enumerate(ranges)
        ]
        chain = chains.choose_mixed_chain(profile, engines, Need(1.0, "a"))
        self.assertEqual(chain is not None, naive_cover(engines, 6))
        if chain is None:
            return
        self.assertTrue(chains.covers(chain, 6))
        held = {e.address: e for e in engines}
        for part in chain:
            engine = held[part.address]
            self.assertTrue(engine.first <= part.first < part.end <= engine.end)
