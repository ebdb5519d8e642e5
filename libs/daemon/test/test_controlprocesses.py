"""Contract changes through real control VMs: accepted changes are never lost."""

import re
import shutil
import subprocess
import threading
import time
import unittest

import httpx
from builders import CUSTOMER, DeploymentTestCase, a_contract, services

from cherryrudder.fakes.deployment import OPERATOR_KEY


class ControlCase(DeploymentTestCase):
    services = services(1)
    contracts = (a_contract(),)

    def ask(self, path, control=0):
        """Get a path of one control VM's operator API."""
        address = self.deployment.controls[control].addresses["operator"]
        headers = {"authorization": f"Bearer {OPERATOR_KEY}"}
        return self.deployment.http.get(f"http://{address}{path}", headers=headers)

    def put(self, customer, version, control=0, change_id=None, **changes):
        """Put a contract; return the answer."""
        contract = a_contract(customer, **changes)
        change = {
            "kind": "put-contract",
            "change_id": change_id or f"{customer}-{version}-{control}",
            "expected_version": version,
            "contract": contract._asdict(),
        }
        return self.deployment.change(change, control)

    def leader(self):
        """Return the index of the leading control VM, None without a leader."""
        for index in range(self.controls):
            try:
                status = self.ask("/v1/status", index).json()
            except httpx.HTTPError:
                continue
            if status.get("role") == "leader":
                return index
        return None

    def wait_leader(self, but=None):
        """Wait for a leader other than `but` and return its index."""
        self.wait(lambda: self.leader() not in (None, but), "a leader")
        return self.leader()

    def revisions(self, nodes):
        """Return the configuration revision of each process."""
        return [self.deployment.dump(node)["revision"] for node in nodes]

    def followers(self):
        """Return the processes that follow the configuration: entries and sidecars."""
        sidecars = [self.deployment.nodes[s.name] for s in self.services]
        return self.deployment.entries + sidecars


class ChangeTest(ControlCase):
    def test_of_two_racing_operators_one_wins_and_the_other_gets_a_conflict(self):
        """Two operators change version 1 of a contract at the same moment.

        They use different control VMs. One change is accepted; the other gets
        "conflict" with the winning version and must have no effect.
        """
        self.assertEqual(self.put("race", 0).status_code, 200)
        answers = {}

        def change(control):
            answer = self.put("race", 1, control, requests_per_s=100.0 + control)
            answers[control] = answer

        threads = [threading.Thread(target=change, args=(c,)) for c in (1, 2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        codes = sorted(answer.status_code for answer in answers.values())
        self.assertEqual(codes, [200, 409])
        winner = next(c for c, a in answers.items() if a.status_code == 200)
        held = {
            c["contract"]["customer"]: c
            for c in self.ask("/v1/contracts").json()["contracts"]
        }
        self.assertEqual(held["race"]["version"], 2)
        self.assertEqual(held["race"]["contract"]["requests_per_s"], 100.0 + winner)

    def test_a_resend_gets_the_first_answer_through_any_control_vm(self):
        first = self.put("resend", 0, 0, change_id="once")
        for control in range(3):
            again = self.put("resend", 0, control, change_id="once")
            self.assertEqual(again.json(), first.json())

    def test_a_change_is_in_force_everywhere_with_one_control_vm_frozen(self):
        """One control VM freezes; an operator changes a contract through another.

        Every entry and sidecar follows several control VMs, so the change reaches
        all of them within seconds, and no revision decreases.
        """
        frozen = next(c for c in range(3) if c != self.wait_leader())
        self.deployment.controls[frozen].freeze()
        try:
            before = self.revisions(self.followers())
            control = next(c for c in range(3) if c != frozen)
            answer = self.put("frozen", 0, control)
            self.assertEqual(answer.status_code, 200, answer.text)
            revision = answer.json()["revision"]
            self.wait(
                lambda: min(self.revisions(self.followers())) >= revision,
                "in force everywhere",
            )
            after = self.revisions(self.followers())
            self.assertTrue(all(a >= b for a, b in zip(after, before, strict=True)))
        finally:
            self.deployment.controls[frozen].thaw()

    def test_a_retired_contract_refuses_new_work(self):
        self.assertEqual(self.put("retiree", 0).status_code, 200)
        self.wait(
            lambda: self.file("r1", "r1", customer="retiree").status_code == 200,
            "in force",
        )
        self.assertEqual(self.put("retiree", 1, retired=True).status_code, 200)

        def refused():
            answer = self.file(f"r{time.monotonic()}", "r2", customer="retiree")
            return answer.status_code in (401, 403, 429, 503)

        self.wait(refused, "retired everywhere")


class LossTest(ControlCase):
    def test_no_accepted_change_is_lost_when_the_leader_is_killed(self):
        """The leader is killed while changes arrive through the other control VMs.

        All changes that were answered "ok" must exist under the next leader; a
        change whose answer was lost is resent and gets one consistent answer.
        """
        leader = self.wait_leader()
        other = next(c for c in range(3) if c != leader)
        accepted = []
        for number in range(30):
            if number == 10:
                self.deployment.controls[leader].kill()
            name = f"kept-{number}"
            self.wait(
                lambda name=name: self.put(name, 0, other).status_code == 200,
                "accepted",
            )
            accepted.append(name)
        self.wait_leader(but=leader)
        held = {
            c["contract"]["customer"]
            for c in self.ask("/v1/contracts", other).json()["contracts"]
        }
        self.assertLessEqual(set(accepted), held)
        self.deployment.restart(f"control-{leader}")

    def test_a_frozen_control_vm_serves_nothing_stale_when_it_thaws(self):
        """A control VM freezes while the others accept changes.

        After the thaw it must not serve the old contracts: it either answers a read
        with state as new as the read's arrival, or refuses it.
        """
        frozen = self.wait_leader()
        other = next(c for c in range(3) if c != frozen)
        self.deployment.controls[frozen].freeze()
        try:
            for number in range(40):
                name = f"meanwhile-{number}"
                self.wait(
                    lambda name=name: self.put(name, 0, other).status_code == 200,
                    "accepted",
                )
        finally:
            self.deployment.controls[frozen].thaw()
        answer = self.ask("/v1/contracts", frozen)
        if answer.status_code == 200:
            held = {c["contract"]["customer"] for c in answer.json()["contracts"]}
            self.assertIn("meanwhile-39", held)
        else:
            self.assertEqual(answer.status_code, 503)

    def test_a_process_that_restarts_far_behind_is_not_ready_before_it_caught_up(self):
        """An entry is down during 100 changes, then restarts.

        When it first reports ready, it must hold the last of them.
        """
        entry = self.deployment.entries[1]
        entry.kill()
        for number in range(100):
            answer = self.put(f"behind-{number}", 0)
            self.assertEqual(answer.status_code, 200, answer.text)
        revision = answer.json()["revision"]
        self.deployment.restart("entry-1")
        self.assertGreaterEqual(self.deployment.dump(entry)["revision"], revision)

    def test_an_entry_that_starts_without_a_majority_is_not_ready(self):
        """Two control VMs are frozen while an entry restarts.

        The third one still answers, but its configuration may be stale. The entry
        must not report ready until a majority has confirmed the configuration.
        """
        frozen = self.deployment.controls[:2]
        entry = self.deployment.entries[1]
        entry.kill()
        for control in frozen:
            control.freeze()
        try:
            entry.start()
            url = f"http://{entry.addresses['internal']}/readyz"
            for _ in range(8):
                time.sleep(0.5)
                try:
                    self.assertEqual(self.deployment.http.get(url).status_code, 503)
                except httpx.ConnectError:
                    continue
        finally:
            for control in frozen:
                control.thaw()
        self.deployment.wait_ready(entry)

    def test_without_a_majority_changes_are_refused_and_service_continues(self):
        """Two of three control VMs are killed.

        No change is accepted. Callers with known contracts are still served if the
        request needs no claim, such as an idempotent call.
        """
        for control in (1, 2):
            self.deployment.controls[control].kill()
        try:
            answer = self.put("nobody", 0, 0)
            self.assertEqual(answer.status_code, 503, answer.text)
            address = self.deployment.entries[0].addresses["caller"]
            reply = self.deployment.http.get(
                f"http://{address}/services/slots/ledger",
                headers={"authorization": f"Bearer {CUSTOMER}"},
            )
            self.assertEqual(reply.status_code, 200, reply.text)
        finally:
            for control in (1, 2):
                self.deployment.restart(f"control-{control}")
        self.wait(lambda: self.put("nobody", 0, 0).status_code == 200, "back")


class RepairTest(ControlCase):
    def change_voters(self, action, voter):
        """Change the voters by one through any control VM that answers."""

        def changed():
            for control in range(self.controls):
                node = self.deployment.controls[control]
                if node.process.poll() is not None:
                    continue
                address = node.addresses["operator"]
                try:
                    answer = self.deployment.http.post(
                        f"http://{address}/v1/voters",
                        json={"action": action, "voter": voter},
                        headers={"authorization": f"Bearer {OPERATOR_KEY}"},
                    )
                except httpx.ConnectError:
                    continue
                if answer.status_code == 200:
                    return True
            return False

        self.wait(changed, action)

    def join(self, node):
        """Create a new disk for a control VM and return its id."""
        shutil.rmtree(self.deployment.folder / f"{node.name}.data")
        command = [*node.command, "--join"]
        text = subprocess.run(command, capture_output=True, text=True, check=True)
        return re.search(r"disk (\S+) of VM", text.stdout).group(1)

    def test_a_lost_disk_is_repaired_and_then_a_second_vm_is_lost(self):
        """A control VM loses its disk and is repaired; then another one dies.

        The repaired VM has no vote until it has caught up as a learner and was
        promoted. The two remaining VMs must hold every accepted change and accept more.
        """
        for number in range(20):
            self.assertEqual(self.put(f"repair-{number}", 0).status_code, 200)
        lost = self.deployment.controls[0]
        lost.kill()
        disk_id = self.join(lost)
        # Don't wait until it is ready: it can't confirm its log before it is a member.
        lost.start()
        frames = lost.addresses["frames"]
        new = {"vm": lost.name, "disk_id": disk_id, "address": frames}
        old = new | {"disk_id": f"{lost.name}-founder"}
        self.change_voters("add-learner", new)
        self.change_voters("promote", new)
        self.change_voters("remove", old)
        self.deployment.controls[1].kill()
        self.wait(lambda: self.put("after-repair", 0, 2).status_code == 200, "accepted")
        held = {
            c["contract"]["customer"]
            for c in self.ask("/v1/contracts", 0).json()["contracts"]
        }
        self.assertLessEqual({f"repair-{n}" for n in range(20)}, held)
        self.assertIn("after-repair", held)


if __name__ == "__main__":
    unittest.main()
