"""Tests of a part that several culprits' prompts share with sound ones."""

import unittest

from cherryrudder.routing import blame, crashbook
from cherryrudder.routing.crashbook import FINISHED, Crash, CrashBook, RequestRecord

CULPRITS = 4
CRASHES = 4
WHOLE_RUN_S = 5.0
FIRST_CRASH_S = 10.0


class SharedPartTest(unittest.TestCase):
    """Guards against refusing all requests with a part for its culprits' crashes."""

    def test_a_part_that_came_through_whole_is_not_refused_beside_culprits(self):
        book = CrashBook("boot-1")
        whole = RequestRecord(
            "", "llm", passed=FINISHED, passed_s=WHOLE_RUN_S, part="p"
        )
        crashbook.merge(book, "part", whole)
        for number in range(CULPRITS * CRASHES):
            at_s = FIRST_CRASH_S + number
            crash = Crash(f"e{number}", "a", "v1", 2, at_s)
            own = frozenset({"part"})
            culprit = RequestRecord("acme", "llm", (crash,), companions=own)
            shared = RequestRecord("", "llm", (crash,), part="p")
            crashbook.merge(book, f"culprit {number % CULPRITS}", culprit)
            crashbook.merge(book, "part", shared)
        blame.update_blocks(book, FIRST_CRASH_S + CULPRITS * CRASHES)
        self.assertNotIn("part", blame.final_blocks(book))


if __name__ == "__main__":
    unittest.main()
