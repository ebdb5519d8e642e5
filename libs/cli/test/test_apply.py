"""Tests of the command `apply` and of its plan."""

import json
import unittest

from builders import ADDRESSES, CliTestCase, a_contract
from hypothesis import given, settings, strategies as st

from cherryrudder.cli.plan import Action, make_plan
from cherryrudder.model.revisions import VersionedContract

CONTRACTS = st.dictionaries(
    st.sampled_from("abcd"), st.tuples(st.integers(1, 3), st.booleans())
)


def contracts_of(drawn):
    return [a_contract(name, concurrent_requests=n) for name, (n, _) in drawn.items()]


class PlanTest(unittest.TestCase):
    @settings(derandomize=True, database=None, deadline=None, max_examples=200)
    @given(CONTRACTS, CONTRACTS)
    def test_a_plan_yields_the_folder_and_the_next_changes_nothing(self, old, new):
        held = {
            contract.customer: VersionedContract(
                7, 1, contract._replace(retired=old[contract.customer][1])
            )
            for contract in contracts_of(old)
        }
        wanted = contracts_of(new)
        for step in make_plan(wanted, held):
            if step.action in (Action.CREATE, Action.CHANGE):
                name = step.contract.customer
                expected = held[name].version if name in held else 0
                self.assertEqual(step.expected_version, expected)
                held[name] = VersionedContract(expected + 1, 1, step.contract)
        for contract in wanted:
            now = held[contract.customer].contract
            self.assertTrue(now == contract or now.retired)
        actions = {step.action for step in make_plan(wanted, held)}
        self.assertLessEqual(actions, {Action.KEEP, Action.ABSENT, Action.RETIRED})


class ApplyTest(CliTestCase):
    def apply(self, *options, expect=0):
        return self.run_tool("apply", str(self.folder), *options, expect=expect)

    def test_a_second_apply_changes_nothing(self):
        self.write(a_contract("a"), a_contract("b"))
        self.assertIn("create a: done, version 1", self.apply())
        changes = self.changes()
        self.assertEqual(self.apply(), "keep a: no change\nkeep b: no change\n")
        self.assertEqual(self.changes(), changes)

    def test_a_changed_file_is_shown_as_a_difference_and_applied(self):
        self.write(a_contract())
        self.apply()
        self.write(a_contract(tokens_per_s=900.0))
        planned = self.apply("--dry-run")
        self.assertIn("- tokens_per_s = 500.0\n    + tokens_per_s = 900.0", planned)
        self.assertEqual(self.control.contracts["petra"][0], 1)
        self.apply()
        self.assertEqual(self.control.contracts["petra"][1]["tokens_per_s"], 900.0)

    def test_a_change_is_retried_with_the_same_id_after_a_lost_answer(self):
        """The first control VM makes the change, but its answer is lost.

        The tool sends the change to the next one. With a new change id it would count
        as a second change for an outdated version, and the operator would get a
        conflict without any other change. With the same id the first answer returns.
        """
        self.write(a_contract())
        self.control.faults[ADDRESSES[0]] = ["", "lost"]
        self.assertIn("done, version 1", self.apply())
        (first, first_id, _), (second, second_id, _) = self.changes()
        self.assertEqual((first, second), ADDRESSES[:2])
        self.assertEqual(first_id, second_id)
        self.assertEqual(self.control.contracts["petra"][0], 1)

    def test_a_change_by_another_operator_is_a_conflict(self):
        """Another operator changes contract a after the plan was made.

        The tool must not overwrite that change: it exits with 3 and names a, while
        contract b is changed as planned.
        """
        self.write(a_contract("a"), a_contract("b"))
        self.apply()
        self.write(a_contract("a", max_wait_s=9.0), a_contract("b", max_wait_s=9.0))
        theirs = a_contract("a", max_wait_s=1.0)._asdict()
        self.control.after_read = lambda: self.control.put(theirs, 1)
        self.assertIn("change a: version is 2", self.apply(expect=3))
        self.assertEqual(self.control.contracts["a"], (2, theirs))
        self.assertEqual(self.control.contracts["b"][1]["max_wait_s"], 9.0)

    def test_no_change_is_sent_for_a_folder_with_faults(self):
        path = self.write(a_contract("b"))
        self.write(a_contract("a", tokens_per_s=-1.0))
        with open(path, "a") as file:
            file.write("tokens_per_second = 5\n")
        (self.folder / "c.ini").write_text(open(path).read())
        printed = self.apply(expect=2)
        for part in ("a.ini: [contract] tokens_per_s", "b.ini: [contract] tokens_per_"):
            self.assertIn(part, printed)
        self.assertEqual(self.control.calls, [])

    def test_apply_does_not_undo_a_retirement(self):
        """A contract is retired while its file is still in the folder.

        An `apply` that changes it to match the file would put the contract in force
        again unintentionally.
        """
        path = self.write(a_contract())
        self.apply()
        self.run_tool("contract", "retire", "petra")
        self.assertIn("retired petra: not changed", self.apply(expect=3))
        self.assertTrue(self.control.contracts["petra"][1]["retired"])
        self.run_tool("contract", "change", path)
        self.assertFalse(self.control.contracts["petra"][1]["retired"])

    def test_contracts_without_a_file_are_left_alone(self):
        self.write(a_contract("a"), a_contract("b"))
        self.apply()
        (self.folder / "a.ini").unlink()
        plan = json.loads(self.apply("--json"))["plan"]
        self.assertEqual([row["action"] for row in plan], ["absent", "keep"])
        self.assertFalse(self.control.contracts["a"][1]["retired"])
