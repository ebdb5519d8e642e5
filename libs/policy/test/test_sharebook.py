import unittest

from builders import a_contract, an_admission

from cherryrudder.policy import admission as adm, sharebook
from cherryrudder.policy.sharebook import ShareBook


class ShareBookTest(unittest.TestCase):
    def test_uses_nothing_before_it_knows_the_entries_and_then_its_floor(self):
        book, admission = ShareBook("e0", 2.0, 0.0), an_admission()
        sharebook.set_contract(book, a_contract())
        sharebook.apply_shares(book, admission, 3.0)
        self.assertEqual(admission.limits["petra"].share.tokens_per_s, 0)
        self.assertFalse(sharebook.is_ready(book, 3.0))
        sharebook.set_entries(book, ["e0", "e1"])
        sharebook.apply_shares(book, admission, 3.0)
        self.assertEqual(admission.limits["petra"].share.tokens_per_s, 500)
        self.assertTrue(sharebook.is_ready(book, 3.0))

    def test_asks_are_paced_when_no_allocator_answers(self):
        book, admission = ShareBook("e0", 2.0, 0.0), an_admission()
        sharebook.set_contract(book, a_contract())
        asked = [sharebook.due_requests(book, admission, n / 100) for n in range(100)]
        self.assertEqual(sum(map(len, asked)), 10)

    def test_retired_contract_is_dropped(self):
        book, admission = ShareBook("e0", 2.0, 0.0), an_admission()
        gone = a_contract(retired=True)
        sharebook.set_contract(book, gone)
        adm.set_contract(admission, gone, 1.0, 0.0)
        self.assertEqual(sharebook.drop_retired(book, admission), ["petra"])
        self.assertEqual((book.holders, admission.limits), ({}, {}))
