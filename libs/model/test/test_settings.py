"""Tests of the parsing and validation of a daemon's settings."""

import unittest

from builders import SIDECAR_INI

from cherryrudder.model.settings import parse_settings


class SettingsTest(unittest.TestCase):
    def test_own_values_override_the_defaults(self):
        settings = parse_settings(SIDECAR_INI + "slots = 3\n").ok
        self.assertEqual(settings.sidecar.slots, 3)
        self.assertEqual(settings.sidecar.lease_s, 2.0)
        self.assertEqual(
            settings.control.addresses, ("127.0.0.1:7100", "127.0.0.1:7101")
        )
        self.assertEqual(settings.place.data_centre, "amman-1")

    def test_all_faults_are_reported_at_once(self):
        text = SIDECAR_INI.replace("127.0.0.1:7002", "here:1") + "slots = many\nx = 1\n"
        faults = parse_settings(text).error.faults
        self.assertEqual(len(faults), 3)
        for part in ("[listen] frames", "[sidecar] slots", "[sidecar] x"):
            self.assertTrue(any(part in fault for fault in faults), part)

    def test_the_error_for_a_missing_value_names_section_and_key(self):
        text = SIDECAR_INI.replace("endpoint = briefing-1", "")
        self.assertEqual(
            parse_settings(text).error.faults,
            ("[sidecar] endpoint: a sidecar needs a value",),
        )

    def test_a_text_that_is_not_ini_is_an_error(self):
        self.assertTrue(parse_settings("nonsense").is_error())
