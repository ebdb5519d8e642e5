import unittest

from cherryrudder.relay.targets import to_origin_form

HEADERS = [(b"host", b"other"), (b"a", b"b")]


class TargetTest(unittest.TestCase):
    def test_the_host_of_an_absolute_target_goes_before_the_header(self):
        cases = {
            b"http://h.example/a/x?y=/z": (b"/a/x?y=/z", b"h.example"),
            b"HTTP://H.example:80/a": (b"/a", b"H.example:80"),
            b"https://u@h.example": (b"/", b"h.example"),
            b"http://h.example?x=y": (b"/?x=y", b"h.example"),
        }
        for target, (path, host) in cases.items():
            with self.subTest(target=target):
                found = to_origin_form(target, HEADERS)
                self.assertEqual(found, (path, [(b"host", host), (b"a", b"b")]))

    def test_other_targets_stay_as_they_are(self):
        for target in (b"/a/http://h.example/", b"*", b"//h.example/a", b"/"):
            with self.subTest(target=target):
                self.assertEqual(to_origin_form(target, HEADERS), (target, HEADERS))


if __name__ == "__main__":
    unittest.main()
