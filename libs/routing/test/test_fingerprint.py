import unittest

from cherryrudder.routing.fingerprint import fingerprint

ASKED = ("acme", b"POST", "h.example", b"/a/x?y=1", b"body")


class FingerprintTest(unittest.TestCase):
    def test_the_same_request_has_the_same_fingerprint(self):
        self.assertEqual(fingerprint(*ASKED), fingerprint(*ASKED))

    def test_the_host_is_case_insensitive(self):
        account, method, _, target, body = ASKED
        other = fingerprint(account, method, "H.Example", target, body)
        self.assertEqual(other, fingerprint(*ASKED))

    def test_each_field_counts(self):
        others = ("other", b"GET", "i.example", b"/a/x?y=2", b"")
        for number, value in enumerate(others):
            changed = (*ASKED[:number], value, *ASKED[number + 1 :])
            with self.subTest(field=number):
                self.assertNotEqual(fingerprint(*changed), fingerprint(*ASKED))

    def test_bytes_moved_to_the_next_field_change_it(self):
        one = fingerprint("a", b"POST", "h", b"/x", b"yz")
        self.assertNotEqual(one, fingerprint("a", b"POST", "h", b"/xy", b"z"))
        self.assertNotEqual(one, fingerprint("aP", b"OST", "h", b"/x", b"yz"))


if __name__ == "__main__":
    unittest.main()
