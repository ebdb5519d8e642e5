"""Tests of the stand-in plain service in a process of its own."""

import unittest

import httpx
from builders import start_process, stop_process


class ServiceProcessTest(unittest.TestCase):
    def test_filing_with_a_lost_answer_is_in_the_ledger(self):
        """The ledger has a filing whose answer the service drops.

        Its caller gets a timeout, which does not show whether the filing ran. The
        service records a filing before it answers.
        """
        process, base = start_process("service", "--name", "slots")
        self.addCleanup(process.kill)
        with httpx.Client(base_url=base, timeout=30) as client:
            headers = {"Idempotency-Key": "k1"}
            answer = client.post("/filings", json={"text": "one"}, headers=headers)
            self.assertEqual(answer.json(), {"receipt": "slots-1", "text": "one"})
            client.post("/faults", json={"drop_answers": 1})
            with self.assertRaises(httpx.ReadTimeout):
                client.post("/filings", json={"text": "two"}, timeout=0.5)
            client.post("/faults", json={"fail": 1})
            failed = client.post("/filings", json={"text": "three"})
            self.assertEqual(failed.status_code, 500)
            self.assertEqual(client.get("/any/path").json()["path"], "/any/path")
            ledger = client.get("/ledger").json()
        texts = [(filing["text"], filing["key"]) for filing in ledger["filings"]]
        self.assertEqual(texts, [("one", "k1"), ("two", "")])
        self.assertEqual(len(ledger["calls"]), 4)
        self.assertEqual(stop_process(process), 0)
