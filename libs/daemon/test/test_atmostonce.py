"""At-most-once calls through real processes: runs and outcomes under failure."""

import json
import threading
import unittest

import httpx
from builders import CUSTOMER, DeploymentTestCase, a_contract, services

from cherryrudder.fakes.deployment import INTERNAL_KEY, wait_for


class FilingTest(DeploymentTestCase):
    services = services(3)

    def test_a_resend_through_another_entry_gets_the_first_answer(self):
        first = self.file("k1", "one", entry=0)
        second = self.file("k1", "one", entry=1)
        self.assertEqual(first.status_code, 200, first.text)
        self.assertEqual(first.headers["cherryrudder-outcome"], "done")
        self.assertEqual(first.text, second.text)
        self.assertEqual(self.filings("one"), 1)

    def test_a_resend_with_another_body_is_refused(self):
        self.file("k2", "two")
        again = self.file("k2", "another two")
        self.assertEqual(again.status_code, 422)
        self.assertEqual(self.filings("another two"), 0)

    def test_a_filing_without_a_key_is_refused_and_not_run(self):
        answer = self.post("/services/slots/filings", json={"text": "keyless"})
        self.assertEqual(answer.status_code, 400)
        self.assertEqual(answer.json()["error"]["field"], "idempotency-key")
        self.assertEqual(self.filings("keyless"), 0)

    def test_many_resends_at_once_through_both_entries_run_once(self):
        """A client library sends twelve copies of a call at once through both entries.

        One copy's claim is granted; the others find it open and query the sidecar.
        Every copy gets an answer, and no answer may be false.
        """
        answers = []

        def send(number):
            answers.append(self.file("k3", "three", entry=number % 2))

        threads = [threading.Thread(target=send, args=(n,)) for n in range(12)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(self.filings("three"), 1)
        done = [a for a in answers if a.headers["cherryrudder-outcome"] == "done"]
        self.assertTrue(done)
        self.assertEqual(len({a.text for a in done}), 1)

    def test_a_service_that_drops_its_answer_leaves_an_unknown_outcome(self):
        """The service runs the call, then closes the connection without an answer.

        The sidecar cannot determine whether the call ran: the outcome is "unknown" at
        once, never "not run", and a resend does not run the call again.
        """
        for spec in self.services:
            self.fault(f"{spec.name}.service", drop_answers=9)
        try:
            answer = self.file("k4", "four")
            again = self.file("k4", "four", entry=1)
        finally:
            for spec in self.services:
                self.fault(f"{spec.name}.service", drop_answers=0)
        self.assertEqual(answer.headers["cherryrudder-outcome"], "unknown")
        self.assertEqual(again.headers["cherryrudder-outcome"], "unknown")
        self.assertEqual(self.filings("four"), 1)

    def test_a_dead_service_is_told_as_not_run_or_done_elsewhere(self):
        """One service process is killed; its sidecar still accepts calls.

        The connection is refused, so no byte was sent: the attempt is closed as not
        run, and another endpoint gets a new attempt.
        """
        self.deployment.nodes["filing-0.service"].kill()
        try:
            for number in range(6):
                answer = self.file(f"k5-{number}", f"five {number}")
                outcome = answer.headers["cherryrudder-outcome"]
                self.assertEqual(outcome, "done", answer.text)
        finally:
            self.deployment.restart("filing-0.service")


class LostPartTest(DeploymentTestCase):
    services = services(1)
    contracts = (a_contract(),)

    def slow_filing(self, key, text, entry):
        """Start a filing that takes two seconds at its service; return its thread."""
        self.fault("filing-0.service", delay_s=2.0)
        answers = []

        def send():
            try:
                answers.append(self.file(key, text, entry=entry))
            except httpx.HTTPError as error:
                answers.append(error)

        thread = threading.Thread(target=send)
        thread.start()
        sidecar = self.deployment.nodes["filing-0"]
        wait_for(lambda: self.deployment.dump(sidecar)["in_flight"], 30, "running")
        return thread, answers

    def tearDown(self):
        self.fault("filing-0.service", delay_s=0.0)

    def test_an_entry_killed_during_a_call_loses_no_answer(self):
        """The entry that holds the claim dies while the service runs the call.

        A resend through the other entry finds the open claim, queries the sidecar,
        waits for the running call and returns its answer.
        """
        thread, _ = self.slow_filing("k6", "six", entry=0)
        self.deployment.entries[0].kill()
        thread.join()
        again = self.file("k6", "six", entry=1)
        self.deployment.restart("entry-0")
        self.assertEqual(again.headers["cherryrudder-outcome"], "done", again.text)
        self.assertEqual(self.filings("six"), 1)

    def test_a_sidecar_killed_during_a_call_leaves_unknown_and_one_run(self):
        """The sidecar dies while the service runs the call, and restarts.

        The outcome is "unknown" at once. The new incarnation refuses the claim for
        the old one, so a resend never runs the call again.
        """
        thread, answers = self.slow_filing("k7", "seven", entry=0)
        sidecar = self.deployment.nodes["filing-0"]
        sidecar.kill()
        thread.join()
        self.deployment.restart("filing-0")
        again = self.file("k7", "seven", entry=1)
        self.assertEqual(answers[0].headers["cherryrudder-outcome"], "unknown")
        self.assertEqual(again.headers["cherryrudder-outcome"], "unknown")
        self.assertLessEqual(self.filings("seven"), 1)

    def test_a_duplicate_and_a_late_run_file_once(self):
        """The run of a claimed call arrives twice, and again after a restart.

        The sidecar runs an attempt once and replays its answer to the copy. Its next
        incarnation has no record of it, and refuses the claim for the old one.
        """
        run = self.claimed_run("k9", "nine")
        first = self.internal("filing-0", "/v1/run", run)
        second = self.internal("filing-0", "/v1/run", run)
        self.assertEqual(first, second)
        self.assertEqual(first["action"], "replay")
        self.deployment.nodes["filing-0"].kill()
        self.deployment.restart("filing-0")
        self.assertEqual(
            self.internal("filing-0", "/v1/run", run)["action"], "forgotten"
        )
        self.assertEqual(self.filings("nine"), 1)

    def claimed_run(self, key, text):
        """Claim a call as an entry does; return the run without sending it."""
        sidecar = self.deployment.dump(self.deployment.nodes["filing-0"])
        command = {
            "customer": CUSTOMER,
            "key": key,
            "body_sha256": "0" * 64,
            "attempt_id": f"attempt of {key}",
            "service": "slots",
            "endpoint": "filing-0",
            "incarnation": sidecar["incarnation"],
            "address": sidecar["announcement"]["address"],
        }
        answer = self.internal("control-0", "/v1/claims/open", command)
        self.assertEqual(answer["code"], "granted")
        body = json.dumps({"text": text})
        call = {"method": "POST", "path": "/filings", "body": body}
        return {"claim": answer["claim"], "call": call}

    def internal(self, name, path, value):
        """Post to a process's internal API and return the answer."""
        address = self.deployment.nodes[name].addresses["internal"]
        headers = {"authorization": f"Bearer {INTERNAL_KEY}"}
        url = f"http://{address}{path}"
        reply = self.deployment.http.post(url, json=value, headers=headers)
        return reply.raise_for_status().json()

    def test_without_a_quorum_a_filing_is_not_run(self):
        """Two of three control VMs freeze, then thaw.

        No claim can be committed, so the call is not sent: the outcome is "not run"
        with a retry time. After the thaw the same key runs once.
        """
        frozen = self.deployment.controls[:2]
        for control in frozen:
            control.freeze()
        try:
            answer = self.file("k8", "eight")
        finally:
            for control in frozen:
                control.thaw()
        self.assertEqual(answer.headers["cherryrudder-outcome"], "not-run")
        self.assertIn("retry-after", answer.headers)
        self.assertEqual(self.filings("eight"), 0)

        def files():
            answer = self.file("k8", "eight")
            return answer.headers["cherryrudder-outcome"] == "done"

        self.wait(files, "the quorum is back")
        self.assertEqual(self.filings("eight"), 1)


class OtherCustomerTest(DeploymentTestCase):
    services = services(1)
    contracts = (a_contract(), a_contract("ministry"))

    def test_equal_keys_of_two_customers_are_independent(self):
        mine = self.file("same", "mine")
        theirs = self.file("same", "theirs", customer="ministry")
        self.assertEqual((mine.status_code, theirs.status_code), (200, 200))
        self.assertNotEqual(CUSTOMER, "ministry")
        self.assertEqual((self.filings("mine"), self.filings("theirs")), (1, 1))


if __name__ == "__main__":
    unittest.main()
