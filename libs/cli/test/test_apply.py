"""Tests of `apply` and of the plan behind it."""

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
    def test_a_plan_leads_to_the_folder_and_a_second_one_does_nothing(self, old, new):
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

    def test_a_lost_answer_is_asked_for_again_under_the_same_change_id(self):
        """The first control VM makes the change, but its answer is lost on the way.

        The tool sends it to the next one. Under a new change id the platform would
        see a second change for a version that is gone, and tell the operator of a
        conflict with nobody; the same id gets the first answer, and one change stands.
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

        The tool must not write over that change: it ends with 3 and names a, while
        contract b, which nobody touched, is changed as planned.
        """
        self.write(a_contract("a"), a_contract("b"))
        self.apply()
        self.write(a_contract("a", max_wait_s=9.0), a_contract("b", max_wait_s=9.0))
        theirs = a_contract("a", max_wait_s=1.0)._asdict()
        self.control.after_read = lambda: self.control.put(theirs, 1)
        self.assertIn("change a: version is 2", self.apply(expect=3))
        self.assertEqual(self.control.contracts["a"], (2, theirs))
        self.assertEqual(self.control.contracts["b"][1]["max_wait_s"], 9.0)

    def test_a_faulty_folder_sends_nothing(self):
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
        """A contract is retired, and its file still lies in the folder.

        An `apply` that creates what is missing would put the customer back in force
        without anybody having asked for it.
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
