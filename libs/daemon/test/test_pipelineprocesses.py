"""Completions through real processes: under failure complete, or an explicit error."""

import json
import signal
import threading
import unittest
from collections import Counter

import httpx
from builders import (
    CUSTOMER,
    LAYERS,
    MODEL,
    WAIT_S,
    DeploymentTestCase,
    a_contract,
    two_chains,
)

from cherryrudder.fakes import fold
from cherryrudder.fakes.deployment import wait_for

PROMPT = "weather hold at the pad"
TOKENS = 60


class Stream:
    """One streamed completion, read in its own thread."""

    def __init__(self, case, entry=0, max_tokens=TOKENS, prompt=PROMPT):
        self.case = case
        self.parts = []
        self.outcome = ""
        self.body = {
            "model": MODEL,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        self.expected = " ".join(fold.generate(MODEL, LAYERS, prompt, max_tokens))
        address = case.deployment.entries[entry].addresses["caller"]
        self.url = f"http://{address}/v1/completions"
        self.thread = threading.Thread(target=self._read)
        self.thread.start()

    def _read(self):
        headers = {"authorization": f"Bearer {CUSTOMER}"}
        try:
            with httpx.stream(
                "POST", self.url, json=self.body, headers=headers, timeout=60.0
            ) as reply:
                for line in reply.iter_lines():
                    self._take(line)
        except httpx.HTTPError as error:
            self.outcome = f"cut off: {error}"

    def _take(self, line):
        if line == "data: [DONE]":
            self.outcome = "done"
        elif line.startswith("event: error"):
            self.outcome = "error event"
        elif line.startswith("data: {") and "choices" in line:
            self.parts.append(json.loads(line[6:])["choices"][0]["text"])

    def wait_parts(self, count):
        """Wait until that many parts have arrived."""
        self.case.wait(lambda: len(self.parts) >= count, "tokens")

    def assert_whole(self):
        """Check that the text is complete and equals the expected one."""
        self.thread.join()
        self.case.assertEqual(self.outcome, "done")
        self.case.assertEqual("".join(self.parts), self.expected)


class PipelineCase(DeploymentTestCase):
    engines = two_chains()
    contracts = (a_contract(),)

    def busy(self):
        """Return the names of the engines that have a request in flight."""
        nodes = self.deployment.engines
        return [n.name for n in nodes if self.deployment.dump(n)["in_flight"]]

    def request_at(self, name):
        """Return the id of a request in flight at an engine's sidecar."""
        dump = self.deployment.dump(self.deployment.nodes[name])
        return next(iter(dump["host"]["requests"]))

    def assert_ran_once(self, request):
        """Check that no layer ran twice for a position, on any engine."""
        times = Counter()
        for runs in self.runs_by_engine().values():
            for run in runs:
                if run["request"] == request:
                    times[run["layer"], run["position"]] += run["times"]
        self.assertEqual(set(times.values()), {1})

    def assert_nothing_left(self):
        """Check that every stage and entry has freed every request."""
        self.wait(lambda: not self.busy(), "stages are free")
        for entry in self.deployment.entries:
            self.assertEqual(self.deployment.dump(entry)["pipelines"], {})

    def runs_by_engine(self):
        """Return each engine's layer runs from its ledger."""
        runs = {}
        for spec in self.engines:
            url = self.deployment.back_end(f"{spec.name}.engine") + "/v1/ledger"
            runs[spec.name] = self.deployment.http.get(url).json()["runs"]
        return runs


class StageLossTest(PipelineCase):
    def test_a_stage_killed_while_decoding_leaves_the_text_whole(self):
        """A sidecar and its engine die in the middle of a stream.

        The entry's link breaks at once. A new generation replaces only the endpoint
        of the lost range, and rebuilds its KV from the previous stage.
        """
        stream = Stream(self)
        stream.wait_parts(10)
        victim = self.busy()[1]
        request = self.request_at(victim)
        self.deployment.nodes[victim].kill()
        self.deployment.nodes[f"{victim}.engine"].kill()
        stream.assert_whole()
        self.deployment.restart(f"{victim}.engine")
        self.deployment.restart(victim)
        self.assert_survivors_ran_once(request)

    def assert_survivors_ran_once(self, request):
        """Check that no engine ran a layer of a request twice for a position.

        The ledger of a killed engine is empty; the ledgers of the others also contain
        the rebuilt requests of other tests.
        """
        for name, runs in self.runs_by_engine().items():
            own = [run for run in runs if run["request"] == request]
            doubled = [run for run in own if run["times"] > 1]
            self.assertEqual(doubled, [], name)

    def test_two_stages_killed_at_once_leave_the_text_whole(self):
        """The first and last stage of a chain die together.

        Both ranges are rebuilt: the first from the prompt and the tokens that the
        entry keeps, the last from the outputs that the middle stage keeps.
        """
        stream = Stream(self, entry=1)
        stream.wait_parts(10)
        victims = (self.busy()[0], self.busy()[2])
        for victim in victims:
            self.deployment.nodes[victim].kill()
        stream.assert_whole()
        for victim in victims:
            self.deployment.restart(victim)

    def test_a_frozen_stage_is_replaced_and_refused_when_it_thaws(self):
        """A sidecar freezes: its connections stay open without any traffic.

        The entry queries all stages; the frozen one does not answer and is replaced.
        After the thaw it still sends for its old generation, which is refused.
        """
        stream = Stream(self)
        stream.wait_parts(10)
        victim = self.deployment.nodes[self.busy()[1]]
        victim.freeze()
        stream.thread.join()
        victim.thaw()
        stream.assert_whole()

    def test_an_engine_that_fails_its_steps_is_replaced(self):
        """An engine answers its steps with errors while its sidecar works.

        The stage reports the failure and another endpoint takes its range; the caller
        sees only a pause.
        """
        stream = Stream(self)
        stream.wait_parts(5)
        victim = self.busy()[0]
        self.fault(f"{victim}.engine", fail_steps=3)
        stream.assert_whole()
        self.fault(f"{victim}.engine", fail_steps=0)

    def test_a_caller_that_disconnects_frees_every_stage(self):
        """A caller closes its connection in the middle of a long answer.

        Without cancellation the engines would compute the unwanted rest. Every stage
        and the entry must free the request within seconds.
        """
        address = self.deployment.entries[0].addresses["caller"]
        body = {"model": MODEL, "prompt": PROMPT, "max_tokens": 2000, "stream": True}
        with httpx.stream(
            "POST",
            f"http://{address}/v1/completions",
            json=body,
            headers={"authorization": f"Bearer {CUSTOMER}"},
        ) as reply:
            lines = reply.iter_lines()
            for _ in range(5):
                next(lines)
        self.assert_nothing_left()

    def test_a_stream_that_cannot_be_repaired_ends_in_an_error_event(self):
        """Every endpoint of a layer range dies in the middle of a stream.

        The entry looks for a replacement until a timeout. Then the stream ends in an
        explicit error event; the text before it is a prefix of the expected one.
        """
        stream = Stream(self, max_tokens=2000)
        stream.wait_parts(10)
        for name in ("a-1", "b-1"):
            self.deployment.nodes[name].kill()
        stream.thread.join()
        self.assertEqual(stream.outcome, "error event")
        self.assertTrue(stream.expected.startswith("".join(stream.parts)))
        for name in ("a-1", "b-1"):
            self.deployment.restart(name)
        self.wait(lambda: self.complete().status_code == 200, "served again")

    def test_a_stream_resumes_when_a_lost_range_returns_after_seconds(self):
        """Both endpoints of a range die in the middle of a stream; one restarts.

        Both stay announced for a lease. The entry must neither use up its retries on
        the dead endpoints nor drop the stream, which continues after the restart.
        """
        stream = Stream(self, max_tokens=200)
        stream.wait_parts(10)
        for name in ("a-1", "b-1"):
            self.deployment.nodes[name].kill()
        self.deployment.restart("a-1")
        stream.assert_whole()
        self.deployment.restart("b-1")

    def test_a_killed_entry_leaves_no_requests_at_the_stages(self):
        """An entry dies in the middle of a long stream.

        Its caller's connection breaks, and the answer never looks complete. The
        stages lose their link to the entry and free the request after a grace period.
        """
        stream = Stream(self, entry=1, max_tokens=4000)
        stream.wait_parts(5)
        self.deployment.entries[1].kill()
        stream.thread.join()
        self.assertNotEqual(stream.outcome, "done")
        self.wait(lambda: not self.busy(), "stages are free")
        self.deployment.restart("entry-1")

    def test_a_caller_that_abandons_an_unstreamed_answer_frees_every_stage(self):
        """A caller that did not request a stream closes its connection early.

        Nothing is sent before the end, so only the closed connection shows it. The
        engines must not compute all 4,000 tokens.
        """
        with self.assertRaises(httpx.ReadTimeout):
            self.complete(max_tokens=4000, timeout_s=1.5)
        self.assert_nothing_left()

    def test_many_concurrent_streams_are_all_complete(self):
        streams = [
            Stream(self, entry=n % 2, max_tokens=20, prompt=f"{PROMPT} {n}")
            for n in range(16)
        ]
        for stream in streams:
            stream.assert_whole()
        self.assert_nothing_left()


class PlannedStopTest(PipelineCase):
    def test_sigterm_to_a_sidecar_interrupts_no_stream(self):
        """A sidecar gets SIGTERM while it has a stage in flight.

        It announces that it leaves, accepts no new request, finishes the one in
        flight and only then exits, with code 0.
        """
        stream = Stream(self)
        stream.wait_parts(10)
        victim = self.busy()[0]
        request = self.request_at(victim)
        code = self.deployment.nodes[victim].stop(60.0)
        stream.assert_whole()
        self.assertEqual(code, 0)
        # After an interruption the text would be complete too, but rebuilt elsewhere.
        self.assert_ran_once(request)
        self.deployment.restart(victim)

    def test_a_planned_stop_hands_a_long_answer_over(self):
        """A sidecar gets SIGTERM in the middle of an answer of 1,200 tokens.

        Its KV is transferred to another endpoint, so the process ends long before the
        answer; no layer runs twice, and the text is complete.
        """
        stream = Stream(self, max_tokens=1200)
        stream.wait_parts(20)
        victim = self.busy()[1]
        request = self.request_at(victim)
        code = self.deployment.nodes[victim].stop(60.0)
        self.assertEqual(stream.outcome, "", "the process ended only after the answer")
        self.deployment.nodes[victim].start()
        stream.assert_whole()
        self.assertEqual(code, 0)
        self.assert_ran_once(request)

    def test_sigterm_to_an_entry_interrupts_no_stream(self):
        """An entry gets SIGTERM while it streams.

        Its readiness probe fails, the stream continues to its end, and the exit code
        is 0.
        """
        stream = Stream(self, entry=1)
        stream.wait_parts(5)
        node = self.deployment.entries[1]
        code = node.stop(60.0)
        stream.assert_whole()
        self.assertEqual(code, 0)
        self.deployment.restart(node.name)

    def test_a_leaving_entry_announces_that_its_connections_close(self):
        """Guards against a request lost on a connection that a stop closes."""
        node = self.deployment.entries[1]
        stream = Stream(self, entry=1, max_tokens=120)
        stream.wait_parts(5)
        node.signal(signal.SIGTERM)
        wait_for(lambda: self.deployment.dump(node)["leaving"], WAIT_S, "leaving")
        answer = self.post("/v1/completions", entry=1, json={}, customer="nobody")
        self.assertEqual(answer.headers.get("connection"), "close")
        stream.assert_whole()
        node.process.wait(WAIT_S)
        self.deployment.restart(node.name)

    def test_a_vm_with_a_planned_stop_gets_no_new_work(self):
        """An operator announces a stop of a VM in the middle of a stream.

        The stream completes; from two seconds later no layer runs on that VM's
        engine, however many requests arrive.
        """
        stream = Stream(self)
        stream.wait_parts(5)
        victim = self.busy()[0]
        stop = {"stop_id": "s1", "scope": "vm", "target": victim, "reason": ""}
        change = {"kind": "announce-stop", "change_id": "stop-1", "stop": stop}
        self.assertEqual(self.deployment.change(change).status_code, 200)
        stream.assert_whole()
        self.wait(
            lambda: all(
                self.deployment.dump(e)["endpoints"][victim]["leaving"]
                for e in self.deployment.entries
            ),
            "the stop at the entries",
        )
        before = len(self.runs_by_engine()[victim])
        for number in range(6):
            answer = self.complete(f"later {number}", entry=number % 2)
            self.assertEqual(answer.status_code, 200, answer.text)
        self.assertEqual(len(self.runs_by_engine()[victim]), before)
        cancel = {"kind": "cancel-stop", "change_id": "stop-2", "stop_id": "s1"}
        self.assertEqual(self.deployment.change(cancel).status_code, 200)


if __name__ == "__main__":
    unittest.main()
