"""Tests of the other subcommands, run through the command line."""

import io
import json
import unittest
from unittest import mock

import httpx
from builders import ADDRESSES, KEY, CliTestCase, FakeControl, a_contract, a_voter

from cherryrudder.cli.client import Client
from cherryrudder.cli.control_commands import replace
from cherryrudder.cli.errors import BadInput, Conflict
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
        announce = ("stop", "announce", "--scope", "vm", "vm-7", "--reason", "disk")
        name = self.run_tool(*announce).partition(":")[0]
        self.assertIn(f"{name}: announced already", self.run_tool(*announce))
        listed = self.run_tool("stop", "list").splitlines()
        self.assertEqual(listed[1].split(), [name, "vm", "vm-7", "disk"])
        self.run_tool("stop", "cancel", name)
        self.run_tool("stop", "cancel", name)
        self.run_tool("stop", "cancel", "another", expect=2)
        self.run_tool(*announce, "--stop-id", name, expect=3)
        self.assertNotIn(name, self.run_tool(*announce))

    def test_dump_queries_the_given_address_only_and_once(self):
        dump = json.loads(self.run_tool("dump", "127.0.0.1:9"))
        self.assertEqual(dump["term"], 3)
        self.control.faults["127.0.0.1:9"] = ["down"]
        self.run_tool("dump", "127.0.0.1:9", expect=1)
        addresses = [address for address, *_ in self.control.calls]
        self.assertEqual(addresses, ["127.0.0.1:9"] * 2)

    def test_endpoints_are_merged_from_all_control_vms(self):
        """Each endpoint announces itself to two of three control VMs.

        The list of a single control VM would be incomplete, and an operator would take
        the missing endpoints for lost. The newest announcement of each is shown.
        """
        rows = self.run_tool("endpoints").splitlines()[1:]
        states = {row.split()[0]: row.split()[-1] for row in rows}
        self.assertEqual(states, {"e0": "leaving", "e1": "serving", "e2": "serving"})
        self.control.faults[ADDRESSES[0]] = ["down"]
        self.assertIn(f"no answer from {ADDRESSES[0]}", self.run_tool("endpoints"))

    def test_status_shows_every_control_vm_and_the_voters(self):
        self.assertIn(
            "disk-3  127.0.0.1:3     voter", self.run_tool("control", "status")
        )
        self.control.faults[ADDRESSES[1]] = ["down"]
        printed = self.run_tool("control", "status", expect=1)
        self.assertIn("no connection", printed)

    def test_missing_or_bad_options_are_bad_input(self):
        self.run_tool("endpoints", "--control", "here:1", expect=2)
        self.run_tool("endpoints", "--control", "", expect=2)
        self.run_tool("endpoints", "--operator-key-file", "/nowhere", expect=2)
        self.key_file.write_text("\n")
        self.run_tool("endpoints", expect=2)
        self.assertEqual(self.control.calls, [])


class ReplaceTest(unittest.TestCase):
    def setUp(self):
        self.control = FakeControl()
        self.now_s = 0.0

    def sleep(self, wait_s):
        self.now_s += wait_s

    def replace(self, old="disk-1"):
        transport = httpx.MockTransport(self.control.handle)
        client = Client(ADDRESSES, KEY, transport, lambda: self.now_s, self.sleep)
        return replace(old, "vm-1", "disk-4", "127.0.0.1:4")(lambda: client)

    def actions(self):
        calls = [body for *_, path, body in self.control.calls if path == "/v1/voters"]
        return [(body["action"], body["voter"]["disk_id"]) for body in calls]

    def disks(self):
        return {voter.disk_id for voter in self.control.voters}

    def test_the_new_disk_votes_only_once_it_has_caught_up(self):
        """A control VM lost its disk, and its replacement is still copying the log.

        The platform refuses to promote it while it lags. The tool retries, and removes
        the lost disk only after the promotion. If it were removed first, the next loss
        would stop all changes.
        """
        self.control.lags = 2
        self.replace()
        promotions = [("promote", "disk-4")] * 3
        expected = [("add-learner", "disk-4"), *promotions, ("remove", "disk-1")]
        self.assertEqual(self.actions(), expected)
        self.assertEqual(self.disks(), {"disk-2", "disk-3", "disk-4"})

    def test_an_interrupted_replacement_is_resumed_by_a_second_run(self):
        """The tool is stopped after each of its steps in turn, then run again.

        The platform refuses a step that is done already. The second run must treat it
        as done, not as failed, and end with the same voters.
        """
        new = a_voter(4)._replace(vm="vm-1")
        for steps in (["add-learner"], ["add-learner", "promote"]):
            self.control = FakeControl()
            for step in steps:
                self.control.change_voters(step, new)
            self.replace()
            self.assertEqual(self.disks(), {"disk-2", "disk-3", "disk-4"})
        self.replace()
        self.assertEqual(len(self.actions()), 1)

    def test_no_voter_is_removed_if_the_learner_never_catches_up(self):
        self.control.lags = 10_000
        with self.assertRaises(Conflict):
            self.replace()
        self.assertEqual(self.disks(), {"disk-1", "disk-2", "disk-3"})

    def test_an_unknown_disk_changes_nothing(self):
        with self.assertRaisesRegex(BadInput, "voters: disk-1, disk-2, disk-3"):
            self.replace("disk-9")
        self.assertEqual(self.actions(), [])


class LocalCommandTest(CliTestCase):
    def test_check_reports_all_faults_of_a_settings_file(self):
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
