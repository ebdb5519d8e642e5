"""Tests of the stand-in engine in processes of its own."""

import unittest
from concurrent.futures import ThreadPoolExecutor

import httpx
from builders import MODEL, a_step, start_process, stop_process

from cherryrudder.fakes import fold
from cherryrudder.fakes.engine_loop import DIED

ENGINE = ("--model", MODEL, "--model-layers", "6", "--tokens-per-s", "1000")


class EngineProcessTest(unittest.TestCase):
    def start(self, *options):
        process, base = start_process("engine", *ENGINE, *options)
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        client = httpx.Client(base_url=base, timeout=30)
        self.addCleanup(client.close)
        return process, client

    def post(self, client, path, **value):
        return client.post(path, json=value)

    def steps(self, client, *steps):
        return self.post(client, "/v1/steps", steps=steps).json()["outputs"]

    def test_two_stages_generate_the_model_s_text_and_stop_gracefully(self):
        processes, stages = zip(
            self.start("--first-layer", "0", "--end-layer", "4"),
            self.start("--first-layer", "4", "--end-layer", "6"),
            strict=True,
        )
        pending, position, tokens = ["a", "b", "c"], 0, []
        while len(tokens) < 4:
            values = pending
            for stage in stages:
                values = self.steps(stage, a_step("r", position, values))[0]["outputs"]
            position += len(pending)
            pending = values[-1:]
            tokens += pending
        self.assertEqual(tokens, fold.generate(MODEL, 6, "a b c", 4))
        runs = stages[1].get("/v1/ledger", params={"request": "r"}).json()["runs"]
        self.assertEqual(len(runs), 2 * 6)
        self.assertEqual({run["times"] for run in runs}, {1})
        self.assertEqual([stop_process(process) for process in processes], [0, 0])

    def test_kv_moves_to_another_process(self):
        _, one = self.start("--end-layer", "6")
        _, two = self.start("--end-layer", "6")
        first = self.steps(one, a_step("r", 0, ["a"]))[0]["outputs"]
        export = self.post(one, "/v1/kv/export", request="r").json()
        answer = self.post(two, "/v1/kv/import", **export)
        self.assertEqual(answer.json(), {"next_position": 1})
        self.post(one, "/v1/free", requests=["r"])
        self.assertEqual(self.steps(one, a_step("r", 1, first))[0]["error"], "gap")
        second = self.steps(two, a_step("r", 1, first))[0]["outputs"]
        self.assertEqual(first + second, fold.generate(MODEL, 6, "a", 2))

    def test_faults_have_their_effect(self):
        """The faults freeze_s, fail_steps and die_after_steps have their effect.

        A frozen engine answers only calls for the ledger and faults; a failed step runs
        no layer; a dying engine ends during a step, without an answer to its caller.
        """
        process, client = self.start("--end-layer", "6")
        self.post(client, "/v1/faults", freeze_s=600)
        with ThreadPoolExecutor(1) as pool:
            call = pool.submit(self.steps, client, a_step("r", 0, ["a"]))
            self.assertEqual(client.get("/v1/ledger").json()["runs"], [])
            self.post(client, "/v1/faults", freeze_s=0)
            self.assertEqual(call.result(30)[0]["error"], "")
        self.post(client, "/v1/faults", fail_steps=1)
        self.assertEqual(
            self.steps(client, a_step("s", 0, ["a"]))[0]["error"], "failed"
        )
        params = {"request": "s"}
        self.assertEqual(client.get("/v1/ledger", params=params).json()["runs"], [])
        self.post(client, "/v1/faults", die_after_steps=2)
        with self.assertRaises(httpx.TransportError):
            self.steps(client, a_step("t", 0, ["a"] * 600))
        self.assertEqual(process.wait(20), DIED)

    def test_orders_info_load_and_events_are_served(self):
        _, client = self.start("--end-layer", "6", "--checks-fence", "yes")
        role = {"order": "role", "role": "decode"}
        codes = [
            self.post(client, "/v1/orders", fence=fence, **role).status_code
            for fence in (2, 1)
        ]
        self.assertEqual(codes, [200, 409])
        info = client.get("/v1/info").json()
        self.assertEqual((info["role"], info["checks_fence"]), ("decode", True))
        self.assertEqual(client.get("/v1/load").json()["running"], 0)
        self.assertEqual(client.get("/v1/events?since=0").json(), {"events": []})
        orders = client.get("/v1/ledger").json()["orders"]
        self.assertEqual([order["accepted"] for order in orders], [True, False])

    def test_bad_calls_get_a_client_error(self):
        _, client = self.start("--end-layer", "6")
        for path, body in (
            ("/v1/steps", "{"),
            ("/v1/steps", '{"steps": [{"request": 1}]}'),
            ("/v1/steps", "[]"),
            ("/v1/free", ""),
            ("/v1/faults", '{"slow": 1}'),
            ("/v1/faults", '{"freeze_s": "long"}'),
        ):
            self.assertEqual(client.post(path, content=body).status_code, 400, body)
        self.assertEqual(client.get("/nowhere").status_code, 404)
