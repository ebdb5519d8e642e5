"""Tests of the other subcommands, as an operator runs them."""

import io
import json
import unittest
from unittest import mock

import httpx
from builders import ADDRESSES, KEY, CliTestCase, FakeControl, a_contract

from cherryrudder.cli.client import Client
from cherryrudder.cli.errors import Conflict
from cherryrudder.cli.platform_commands import replace
from cherryrudder.model.contractfiles import parse_contract
from cherryrudder.model.contracts import digest_key


class ContractCommandTest(CliTestCase):
    def test_a_contract_is_created_shown_changed_and_retired(self):
        self.run_tool("contract", "create", self.write(a_contract()))
        shown = self.run_tool("contract", "show", "petra")
        self.assertEqual(parse_contract(shown).ok, a_contract())
        path = self.write(a_contract(priorities=5))
        self.assertIn("+ priorities = 5", self.run_tool("contract", "change", path))
        self.assertIn("no change", self.run_tool("contract", "change", path))
        self.run_tool("contract", "retire", "petra")
        self.assertIn("no change", self.run_tool("contract", "retire", "petra"))
        listed = json.loads(self.run_tool("--json", "contract", "list"))
        self.assertEqual(listed["contracts"][0]["version"], 3)
        self.assertTrue(listed["contracts"][0]["contract"]["retired"])

    def test_a_change_for_an_older_version_is_a_conflict(self):
        self.run_tool("contract", "create", self.write(a_contract()))
        path = self.write(a_contract(priorities=5))
        command = ("contract", "change", path, "--expected-version", "1")
        self.run_tool(*command)
        self.write(a_contract(priorities=6))
        self.assertIn("petra: version is 2", self.run_tool(*command, expect=3))
        self.run_tool("contract", "create", path, expect=3)

    def test_an_unknown_customer_is_bad_input(self):
        printed = self.run_tool("contract", "show", "nobody", expect=2)
        self.assertIn("nobody: no such contract", printed)


class PlatformCommandTest(CliTestCase):
    def test_stops_are_announced_listed_and_cancelled(self):
        self.run_tool("stop", "announce", "vm", "vm-7", "--reason", "disk")
        self.run_tool("stop", "announce", "vm", "vm-7", "--reason", "disk")
        listed = self.run_tool("stop", "list").splitlines()
        self.assertEqual(listed[1].split(), ["vm-vm-7", "vm", "vm-7", "disk"])
        self.run_tool("stop", "cancel", "vm-vm-7")
        self.run_tool("stop", "cancel", "vm-vm-7", expect=2)

    def test_what_the_platform_holds_is_printed(self):
        self.assertIn("e1", self.run_tool("endpoints"))
        self.assertIn("leader", self.run_tool("control", "status"))
        dump = json.loads(self.run_tool("dump", "127.0.0.1:9"))
        self.assertEqual(dump["term"], 3)
        self.assertEqual(self.control.calls[-1][0], "127.0.0.1:9")

    def test_missing_or_bad_options_are_bad_input(self):
        self.run_tool("endpoints", "--control", "here:1", expect=2)
        self.run_tool("endpoints", "--control", "", expect=2)
        self.run_tool("endpoints", "--operator-key-file", "/nowhere", expect=2)
        self.key_file.write_text("\n")
        self.run_tool("endpoints", expect=2)
        self.assertEqual(self.control.calls, [])


class ReplaceTest(unittest.TestCase):
    def replace(self, control):
        now = [0.0]
        client = Client(
            ADDRESSES,
            KEY,
            httpx.MockTransport(control.handle),
            clock=lambda: now[0],
            sleep=lambda wait_s: now.append(now.pop() + wait_s),
        )
        return replace("vm-1", "old", "vm-1", "new", "127.0.0.1:5")(lambda: client)

    def test_the_new_disk_votes_only_once_it_has_caught_up(self):
        """A control VM lost its disk; the new disk still copies the log.

        The platform refuses its vote while it lags. The tool asks again, and takes
        the lost disk out only after the new one votes; taken out first, the next
        loss would stop all changes.
        """
        control = FakeControl()
        control.lags = 2
        self.replace(control)
        done = [
            (body["action"], body["voter"]["disk_id"]) for *_, body in control.calls
        ]
        promotions = [("promote", "new")] * 3
        expected = [("add-learner", "new"), *promotions, ("remove", "old")]
        self.assertEqual(done, expected)

    def test_a_learner_that_never_catches_up_removes_nobody(self):
        control = FakeControl()
        control.lags = 10_000
        with self.assertRaises(Conflict):
            self.replace(control)
        actions = {body["action"] for *_, body in control.calls}
        self.assertNotIn("remove", actions)


class LocalCommandTest(CliTestCase):
    def test_settings_are_checked_whole(self):
        path = self.folder / "entry.ini"
        path.write_text("[process]\nrole = entry\nvm = a\n[listen]\ncaller = x\n")
        printed = self.run_tool("check", str(path), expect=2)
        for part in ("[listen] caller", "[process] region", "[control] addresses"):
            self.assertIn(part, printed)

    def test_a_key_is_digested_without_its_line_end(self):
        with mock.patch("sys.stdin", io.StringIO("secret\n")):
            self.assertEqual(self.run_tool("key-digest").strip(), digest_key("secret"))
        with mock.patch("sys.stdin", io.StringIO("\n")):
            self.run_tool("key-digest", expect=2)
