import unittest
from typing import NamedTuple

from cherryrudder.node.uplink import tellers_of


class AnswerStub(NamedTuple):
    """What the choice looks at in a control VM's answer."""

    address: str
    vm_zone: str
    version: int = 7


class TellersTest(unittest.TestCase):
    """Two control VMs a data centre; one of them tells its entries of all others."""

    def test_all_entries_choose_the_same_one_in_each_data_centre(self):
        answers = [
            AnswerStub("a2", "a"),
            AnswerStub("b1", "b"),
            AnswerStub("a1", "a"),
            AnswerStub("b2", "b"),
        ]
        self.assertEqual(tellers_of(answers), {"a": "a1", "b": "b1"})
        self.assertEqual(tellers_of(answers[::-1]), {"a": "a1", "b": "b1"})

    def test_one_that_is_cut_off_from_the_rest_tells_nobody(self):
        """It answers, but has heard nothing of the other data centres for seconds."""
        answers = [AnswerStub("a1", "a", -1), AnswerStub("b1", "b")]
        self.assertEqual(tellers_of(answers), {"b": "b1"})

    def test_without_any_other_it_is_better_than_none(self):
        self.assertEqual(tellers_of([AnswerStub("a1", "a", -1)]), {"a": "a1"})
        self.assertEqual(tellers_of([]), {})


if __name__ == "__main__":
    unittest.main()
