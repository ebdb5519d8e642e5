"""Tests of contract files."""

import unittest

from builders import a_contract

from cherryrudder.model.contractfiles import (
    check_contract,
    format_contract,
    parse_contract,
)


class ContractFileTest(unittest.TestCase):
    def test_formatting_and_parsing_returns_an_equal_contract(self):
        contract = a_contract()
        self.assertEqual(parse_contract(format_contract(contract)).ok, contract)

    def test_a_misspelt_setting_is_reported(self):
        text = format_contract(a_contract()).replace("tokens_per_s", "token_per_s")
        faults = parse_contract(text).error.faults
        self.assertIn("[contract] token_per_s: unknown setting", faults)
        self.assertIn("[contract] tokens_per_s: a contract needs a value", faults)

    def test_invalid_values_are_reported(self):
        contract = a_contract(customer="Petra Tours", tokens_per_s=0.0)
        self.assertEqual(len(check_contract(contract)), 2)
        self.assertEqual(len(check_contract(a_contract(customer="petra\n"))), 1)
