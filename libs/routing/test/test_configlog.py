import json
import unittest

from hypothesis import given, settings, strategies as st

from cherryrudder.routing import configlog
from cherryrudder.routing.configlog import Put, PutResult


def a_put(version, text):
    """Return a configuration as an operator sent it."""
    return Put(version, configlog.pack(text))


def play(puts):
    """Return the state and the answers after some log entries."""
    state = configlog.new_state()
    answers = [
        configlog.apply(state, index, configlog.encode(put))
        for index, put in enumerate(puts, 1)
    ]
    return state, answers


class ApplyTest(unittest.TestCase):
    def test_the_highest_version_wins(self):
        state, answers = play([a_put(3, "c"), a_put(2, "b"), a_put(7, "g")])
        self.assertEqual((state.version, state.text), (7, "g"))
        self.assertEqual(
            answers, [PutResult.IN_FORCE, PutResult.SUPERSEDED, PutResult.IN_FORCE]
        )

    def test_a_resend_is_answered_as_the_first_time(self):
        _, answers = play([a_put(3, "c"), a_put(3, "c")])
        self.assertEqual(answers, [PutResult.IN_FORCE, PutResult.IN_FORCE])

    def test_other_content_under_the_version_held_changes_nothing(self):
        """Two operators send different configurations with one version number.

        The first is in force; were the second taken, entries that have the version
        already would never hear of it, and two contents would stand side by side.
        """
        state, answers = play([a_put(3, "c"), a_put(3, "other")])
        self.assertEqual(state.text, "c")
        self.assertEqual(answers[1], PutResult.CONFLICT)

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.builds(a_put, st.integers(1, 9), st.text(max_size=3))))
    def test_a_snapshot_goes_on_as_the_log_would(self, puts):
        for cut in range(len(puts) + 1):
            state, _ = play(puts[:cut])
            restored = configlog.restore(configlog.snapshot(state))
            for put in puts[cut:]:
                payload = configlog.encode(put)
                self.assertEqual(
                    configlog.apply(state, 0, payload),
                    configlog.apply(restored, 0, payload),
                )
            self.assertEqual(vars(state), vars(restored))


class PackTest(unittest.TestCase):
    """A configuration grows by a thousand routes; each change goes to every entry.

    Sent as plain text it fills an entry's link of 10 Mbit/s for 0.27 s, and the streams
    behind it stand still. Routes differ in little but their names.
    """

    def test_a_large_configuration_takes_a_tenth_of_its_text(self):
        routes = [
            {"name": f"r-{n * 7919 % 10007}", "kind": "stream", "timeout_ms": 20000}
            for n in range(1300)
        ]
        text = json.dumps({"version": 7, "routes": routes})
        packed = configlog.pack(text)
        self.assertLess(len(packed) * 10, len(text))
        self.assertEqual(configlog.unpack(packed), text)

    def test_the_log_carries_what_is_packed(self):
        text = '{"routes": [' + ", ".join(['"the same"'] * 1000) + "]}"
        self.assertLess(len(configlog.encode(a_put(1, text))) * 10, len(text))

    def test_nothing_is_the_text_of_nothing(self):
        self.assertEqual(configlog.new_state().text, "")
