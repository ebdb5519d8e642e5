"""Bad input of callers and operators through real processes: a clear error each."""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from builders import MODEL, DeploymentTestCase, a_contract

from cherryrudder.fakes.deployment import EngineSpec, ServiceSpec

BODY = {"model": MODEL, "prompt": "a b", "max_tokens": 4}


class CallerTest(DeploymentTestCase):
    engines = [EngineSpec("whole", 0, 12)]
    services = [ServiceSpec("filing-0")]
    contracts = (
        a_contract(),
        a_contract("slow-lane", requests_per_s=1.0, burst_s=1.0, max_wait_s=0.5),
    )

    def refused(self, status, code, **options):
        """Check that a completion is refused with a status and code."""
        answer = self.post("/v1/completions", **options)
        self.assertEqual(answer.status_code, status, answer.text)
        self.assertEqual(answer.json()["error"]["code"], code)
        self.assertEqual(answer.headers["cherryrudder-outcome"], "not-run")
        return answer.json()["error"]

    def test_broken_json(self):
        self.refused(400, "bad-json", content=b'{"model": ')

    def test_wrong_type_names_the_field(self):
        error = self.refused(400, "bad-field", json=BODY | {"max_tokens": "many"})
        self.assertEqual(error["field"], "max_tokens")

    def test_missing_field_is_named(self):
        error = self.refused(400, "bad-field", json={"prompt": "a"})
        self.assertIn("model", error["message"])

    def test_wrong_key(self):
        self.refused(401, "wrong-key", json=BODY, customer="nobody")

    def test_unknown_model_and_service(self):
        self.refused(404, "unknown-model", json=BODY | {"model": "other"})
        answer = self.post("/services/other/x", json={})
        self.assertEqual(answer.json()["error"]["code"], "unknown-service")

    def test_body_too_large(self):
        self.refused(413, "body-too-large", content=b"x" * (2 * 1024 * 1024))

    def test_values_out_of_range(self):
        for field, value in (("max_tokens", 0), ("priority", 9), ("prompt", " ")):
            error = self.refused(400, "bad-field", json=BODY | {field: value})
            self.assertEqual(error["field"], field)

    def test_bad_deadline(self):
        headers = {"x-request-deadline-ms": "soon"}
        self.refused(400, "bad-deadline", json=BODY, headers=headers)

    def test_unknown_path_and_method(self):
        self.assertEqual(self.post("/v2/none", json={}).status_code, 404)
        address = self.deployment.entries[0].addresses["caller"]
        answer = self.deployment.http.get(f"http://{address}/v1/completions")
        self.assertEqual(answer.status_code, 405)

    def test_a_deadline_that_passes_ends_the_answer_at_once(self):
        headers = {"x-request-deadline-ms": "400"}
        body = BODY | {"max_tokens": 4000}
        answer = self.post("/v1/completions", json=body, headers=headers)
        self.assertIn(answer.status_code, (503, 504))
        self.assertLess(answer.elapsed.total_seconds(), 30)

    def test_a_caller_over_its_rate_is_refused_with_a_retry_time(self):
        """A customer sends twenty requests at once under a limit of one per second.

        Requests that cannot start within the maximum wait are refused at once: "not
        run", status 429 and a retry time.
        """
        answers = [
            self.post("/v1/completions", json=BODY, customer="slow-lane")
            for _ in range(20)
        ]
        refused = [a for a in answers if a.status_code == 429]
        self.assertTrue(refused)
        for answer in refused:
            self.assertEqual(answer.headers["cherryrudder-outcome"], "not-run")
            self.assertGreaterEqual(int(answer.headers["retry-after"]), 1)

    def test_internal_and_operator_apis_require_their_keys(self):
        entry = self.deployment.entries[0].addresses["internal"]
        control = self.deployment.controls[0].addresses["operator"]
        for url in (f"http://{entry}/v1/dump", f"http://{control}/v1/contracts"):
            self.assertEqual(self.deployment.http.get(url).status_code, 401)

    def test_a_bad_contract_is_refused_and_changes_nothing(self):
        answer = self.deployment.put_contract(a_contract("Bad Name"))
        self.assertEqual(answer.status_code, 400)
        self.assertIn("customer", answer.json()["error"]["message"])


class SettingsTest(unittest.TestCase):
    def test_bad_settings_end_the_daemon_with_one_line_per_fault(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "bad.ini"
            path.write_text(
                "[process]\nrole = entry\nvn = x\n[listen]\ncaller = here\n"
            )
            command = [
                sys.executable,
                "-m",
                "cherryrudder.daemon",
                "--config",
                str(path),
            ]
            result = subprocess.run(command, capture_output=True, text=True)
        self.assertEqual(result.returncode, 2, result.stderr)
        lines = result.stderr.splitlines()
        self.assertIn("[process] vn: unknown setting", lines)
        self.assertTrue(any(line.startswith("[listen] caller:") for line in lines))


if __name__ == "__main__":
    unittest.main()
