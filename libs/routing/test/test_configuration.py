import unittest

from builders import a_configuration, a_route

from cherryrudder.routing.configuration import Account, WeightedService, validate


class CheckTest(unittest.TestCase):
    def test_a_sound_configuration_passes(self):
        configuration = a_configuration()
        self.assertEqual(validate(configuration).ok, configuration)

    def test_each_fault_is_named(self):
        shared = (Account("petra", ("k",), None), Account("rum", ("k",), None))
        faults = {
            "timeout": a_configuration(a_route(timeout_s=0.0)),
            "host and prefix": a_configuration(a_route("r"), a_route("s")),
            "add up to 0": a_configuration(
                a_route(split=(WeightedService("desk", 0.0),))
            ),
            "negative": a_configuration(
                a_route(
                    split=(WeightedService("desk", 2.0), WeightedService("desk", -1.0))
                )
            ),
            "no service": a_configuration(
                a_route(split=(WeightedService("other", 1.0),))
            ),
            "slash": a_configuration(a_route(prefix="/a")),
            "share a key": a_configuration(accounts=shared),
        }
        for word, configuration in faults.items():
            with self.subTest(fault=word):
                self.assertIn(word, validate(configuration).error)
