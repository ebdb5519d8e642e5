"""Tests of the configuration in force: its revision never decreases."""

import unittest

from builders import SETTINGS, changes, configurations, naive_take, put
from hypothesis import given, strategies as st

from cherryrudder.membership.config import ApplyResult, Config, apply_delta, is_ready
from cherryrudder.state.machine import apply, delta, encode_command, new_state

histories = st.lists(changes, min_size=10, max_size=30)
answer = st.tuples(st.integers(-3, 3), st.integers(-3, 2), st.booleans())


def contents(config):
    return config.contracts, config.stops, config.settings


def check(taking, history, answers):
    """Request deltas from control VMs that are ahead or behind, around the revision."""
    states = configurations(history)
    config = Config()
    position = 0
    for ahead, drift, is_first in answers:
        position = min(max(0, position + ahead), len(states) - 1)
        before = config.revision
        since = 0 if is_first else max(0, before + drift)
        taking(config, delta(states[position], since))
        assert config.revision >= before
        expected = Config()
        accepted = max(s.applied_index for s in states if s.revision <= config.revision)
        apply_delta(expected, delta(states[accepted], 0))
        assert not config.is_loaded or contents(config) == contents(expected)


class ConfigTest(unittest.TestCase):
    @SETTINGS
    @given(histories, st.lists(answer, min_size=10))
    def test_config_is_an_accepted_revision_and_never_goes_back(self, history, answers):
        """Control VMs answer late, twice, out of order, or hours behind the others.

        The configuration always equals one accepted revision. Going back would restore
        a retired contract; a delta over a gap would mix two revisions.
        """
        check(apply_delta, history, answers)

    def test_applying_the_last_answer_goes_back(self):
        history = [("put", "x", 0), ("put", "x", 1)]
        with self.assertRaises(AssertionError):
            check(naive_take, history, [(2, 0, True), (-1, 0, True)])

    def test_a_process_is_ready_once_it_reached_a_confirmed_revision(self):
        """A restarted entry is answered first by a disconnected control VM.

        It must not serve under the outdated contracts, but wait for the revision that
        the leader confirmed after its start, which is 500 changes later.
        """
        config, state = Config(), new_state()
        self.assertFalse(is_ready(config, 0))
        apply_delta(config, delta(state, 0))
        self.assertTrue(is_ready(config, 0))
        self.assertFalse(is_ready(config, None))
        for number in range(500):
            apply(state, number + 1, encode_command(put(number, number, "x")))
        self.assertFalse(is_ready(config, state.revision))
        self.assertEqual(apply_delta(config, delta(state, 400)), ApplyResult.GAP)
        self.assertEqual(
            apply_delta(config, delta(state, config.revision)), ApplyResult.TAKEN
        )
        self.assertTrue(is_ready(config, 500))
