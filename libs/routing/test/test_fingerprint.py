import unittest

from cherryrudder.routing.fingerprint import fingerprint

ASKED = ("acme", b"POST", "h.example", b"/a/x?y=1", b"body")


class FingerprintTest(unittest.TestCase):
    def test_the_same_request_is_told_again(self):
        self.assertEqual(fingerprint(*ASKED), fingerprint(*ASKED))

    def test_a_host_is_the_same_in_any_case(self):
        account, method, _, target, body = ASKED
        other = fingerprint(account, method, "H.Example", target, body)
        self.assertEqual(other, fingerprint(*ASKED))

    def test_each_field_counts(self):
        others = ("other", b"GET", "i.example", b"/a/x?y=2", b"")
        for number, value in enumerate(others):
            changed = (*ASKED[:number], value, *ASKED[number + 1 :])
            with self.subTest(field=number):
                self.assertNotEqual(fingerprint(*changed), fingerprint(*ASKED))

    def test_bytes_don_t_move_from_one_field_to_the_next(self):
        one = fingerprint("a", b"POST", "h", b"/x", b"yz")
        self.assertNotEqual(one, fingerprint("a", b"POST", "h", b"/xy", b"z"))
        self.assertNotEqual(one, fingerprint("aP", b"OST", "h", b"/x", b"yz"))


if __name__ == "__main__":
    unittest.main()
