import json
import unittest

from hypothesis import given, settings, strategies as st

from cherryrudder.routing import configlog
from cherryrudder.routing.configlog import Put, PutResult


def a_put(version, text):
    """Return a proposed configuration with a version and text."""
    return Put(version, configlog.pack(text))


def play(puts):
    """Return the state and the results after some log entries."""
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

    def test_a_resend_gets_the_same_result(self):
        _, answers = play([a_put(3, "c"), a_put(3, "c")])
        self.assertEqual(answers, [PutResult.IN_FORCE, PutResult.IN_FORCE])

    def test_a_first_version_that_stands_for_none_is_not_taken(self):
        """Guards against a configuration that is acknowledged and never in force."""
        state, answers = play([a_put(0, "c"), a_put(-1, "c"), a_put(-(2**64), "c")])
        self.assertEqual(answers, [PutResult.TOO_LOW] * 3)
        self.assertEqual((state.version, state.text), (0, ""))
        _, answers = play([a_put(1, "c"), a_put(0, "b"), a_put(-1, "b")])
        self.assertEqual(answers[1:], [PutResult.SUPERSEDED] * 2)

    def test_other_content_under_the_same_version_changes_nothing(self):
        """Guards against two different configurations in force under one version.

        Two operators send them. If the second were accepted, entries that already have
        the version would never receive it.
        """
        state, answers = play([a_put(3, "c"), a_put(3, "other")])
        self.assertEqual(state.text, "c")
        self.assertEqual(answers[1], PutResult.CONFLICT)

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.builds(a_put, st.integers(1, 9), st.text(max_size=3))))
    def test_a_restored_snapshot_continues_like_the_log(self, puts):
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
    """Guards against stalling streams when a large configuration is sent to entries.

    As plain text a thousand routes fill an entry's link of 10 Mbit/s for 0.27 s. Routes
    differ in little but their names.
    """

    def test_a_large_configuration_is_packed_to_a_tenth(self):
        routes = [
            {"name": f"r-{n * 7919 % 10007}", "kind": "stream", "timeout_ms": 20000}
            for n in range(1300)
        ]
        text = json.dumps({"version": 7, "routes": routes})
        packed = configlog.pack(text)
        self.assertLess(len(packed) * 10, len(text))
        self.assertEqual(configlog.unpack(packed), text)

    def test_log_entries_are_packed(self):
        text = '{"routes": [' + ", ".join(['"the same"'] * 1000) + "]}"
        self.assertLess(len(configlog.encode(a_put(1, text))) * 10, len(text))

    def test_the_text_of_a_new_state_is_empty(self):
        self.assertEqual(configlog.new_state().text, "")
