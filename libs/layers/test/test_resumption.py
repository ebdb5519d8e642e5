import unittest

from builders import a_profile

from cherryrudder.layers import resumption
from cherryrudder.layers.chains import Candidate

PROFILE = a_profile(stride=2)
PROMPT_TOKENS = 800.0
# Until the death is known, of the pause that clients allow.
SILENT_S, ALLOWED_S = 0.13, 0.25
LEFT_S = ALLOWED_S - SILENT_S
# From the end of the reading to the next event.
STEP_S = 0.03
# A usual first event of a whole chain, and how many such read beside each other.
ELSEWHERE_S, ELSEWHERE_AT_ONCE = 0.05, 30


class CrowdTest(unittest.TestCase):
    """Guards against a death whose streams all wait at the same replacement."""

    ENTRIES, STREAMS = 11, 4

    def replacement(self, unread):
        """Return the engine that holds the lost layers as well."""
        return Candidate("e", "boot-e", "a", "l4", 15, 24, running=30.0, unread=unread)

    def pauses(self, decides):
        """Return the pause of each stream, if entries decide for each in turn."""
        inside, elsewhere, pauses = 0, 0, []
        one_s = resumption.read_s(PROFILE, [self.replacement(0.0)], PROMPT_TOKENS)
        for own in range(self.STREAMS):
            for _ in range(self.ENTRIES):
                # Each entry takes the others to have as many there as it has itself.
                unread = PROMPT_TOKENS * own * self.ENTRIES
                inside_s = STEP_S + resumption.read_s(
                    PROFILE, [self.replacement(unread)], PROMPT_TOKENS
                )
                if decides and resumption.is_better_elsewhere(
                    inside_s, ELSEWHERE_S, LEFT_S
                ):
                    elsewhere += 1
                    waves = 1 + elsewhere // ELSEWHERE_AT_ONCE
                    pauses.append(SILENT_S + waves * ELSEWHERE_S)
                else:
                    inside += 1
                    pauses.append(SILENT_S + inside * one_s + STEP_S)
        return pauses

    def test_more_of_them_pause_for_no_longer_than_allowed(self):
        crowded = sum(pause_s > ALLOWED_S for pause_s in self.pauses(decides=False))
        spread = sum(pause_s > ALLOWED_S for pause_s in self.pauses(decides=True))
        self.assertGreater(crowded, self.ENTRIES * self.STREAMS / 2)
        self.assertLess(spread, self.ENTRIES * self.STREAMS / 8)


class ChoiceTest(unittest.TestCase):
    def test_the_survivors_are_kept_where_that_is_soon_enough(self):
        self.assertFalse(resumption.is_better_elsewhere(0.1, 0.05, 0.12))

    def test_nothing_is_read_twice_for_a_pause_that_is_late_anyway(self):
        self.assertFalse(resumption.is_better_elsewhere(0.5, 0.2, 0.1))
        self.assertFalse(resumption.is_better_elsewhere(0.5, 0.2, -1.0))


if __name__ == "__main__":
    unittest.main()
