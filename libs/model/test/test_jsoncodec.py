"""Tests of the JSON codec."""

import unittest
from typing import NamedTuple

import msgspec
from builders import a_contract

from cherryrudder.model import jsoncodec
from cherryrudder.model.contracts import Contract
from cherryrudder.model.endpoints import Announcement, Kind, Place


class Change(NamedTuple):
    contract: Contract
    note: str | None = None


class JsonCodecTest(unittest.TestCase):
    def test_named_tuples_are_encoded_as_objects_and_decoded_equal(self):
        change = Change(a_contract())
        data = jsoncodec.encode(change)
        self.assertIn(b'"customer":"petra-tours"', data)
        self.assertEqual(jsoncodec.decode(data, Change), change)

    def test_fields_of_a_later_version_are_ignored(self):
        place = Place("vm-1", "amman-1", "jordan")
        announcement = Announcement("e", Kind.ENGINE, "1", 1, place, "127.0.0.1:1")
        value = jsoncodec.plain(announcement) | {"later": 1}
        data = jsoncodec.encode([value])
        self.assertEqual(jsoncodec.decode(data, list[Announcement]), [announcement])

    def test_the_error_for_a_wrong_type_names_the_field(self):
        value = jsoncodec.plain(Change(a_contract()))
        value["contract"]["models"] = 3
        with self.assertRaisesRegex(msgspec.ValidationError, "contract.models"):
            jsoncodec.decode(jsoncodec.encode(value), Change)
