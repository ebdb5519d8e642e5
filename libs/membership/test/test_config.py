"""Tests of the configuration in force: it only moves up."""

import unittest

from builders import SETTINGS, UNSHRUNK, History, naive_take
from hypothesis import given, strategies as st

from cherryrudder.membership.config import Config, Taken, is_ready, take

changes = st.tuples(st.sampled_from(["contract", "stop"]), st.sampled_from("xyz"))
histories = st.lists(changes, min_size=15, max_size=30)
answer = st.tuples(st.integers(-3, 2), st.integers(0, 4), st.booleans())
answers = st.lists(answer, min_size=10)


def check(taking, changes, answers):
    """Feed deltas from around the held revision and compare with the history."""
    history, config = History(changes), Config()
    for drift, ahead, full in answers:
        before = config.revision
        since = min(max(0, before + drift), len(changes))
        revision = min(since + ahead, len(changes))
        taking(config, history.delta(0 if full else since, revision))
        assert config.revision >= before
        contracts, stops, _ = history.at(config.revision)
        assert (config.contracts, config.stops) == (contracts, stops)


class ConfigTest(unittest.TestCase):
    @SETTINGS
    @given(histories, answers)
    def test_it_is_always_some_accepted_revision_and_never_an_older_one(
        self, changes, answers
    ):
        """Control VMs answer late, twice, out of order, or hours behind the others.

        What is in force is exactly what was accepted at one revision. Going back would
        revive a retired contract; a delta over a gap would mix two revisions.
        """
        check(take, changes, answers)

    def test_taking_every_answer_goes_back(self):
        """The naive version follows whichever control VM answered last."""
        fuzz = UNSHRUNK(given(histories, answers)(lambda c, a: check(naive_take, c, a)))
        with self.assertRaises(AssertionError):
            fuzz()

    def test_a_process_is_ready_once_it_reached_a_confirmed_revision(self):
        """A restarted entry is answered first by a control VM that was cut off.

        It must not serve under those contracts: it waits for the revision that the
        leader confirmed after its start, 500 changes further on.
        """
        history = History([("contract", "x")] * 500)
        config = Config()
        self.assertFalse(is_ready(config, 0))
        take(config, history.delta(0, 3))
        self.assertFalse(is_ready(config, None))
        self.assertFalse(is_ready(config, 500))
        self.assertEqual(take(config, history.delta(400, 500)), Taken.GAP)
        self.assertEqual(take(config, history.delta(3, 500)), Taken.TAKEN)
        self.assertTrue(is_ready(config, 500))

    def test_a_platform_without_any_change_is_ready_too(self):
        config = Config()
        take(config, History([]).delta(0, 0))
        self.assertTrue(is_ready(config, 0))
