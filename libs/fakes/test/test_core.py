"""Tests of the engine against a reference engine, and of its refusals."""

import unittest

from builders import MODEL, ReferenceEngine, a_step, an_engine, ask, run_to_end
from hypothesis import given, settings, strategies as st

from cherryrudder.fakes import core, fold, ledger as ledgers
from cherryrudder.fakes.kv import export_kv, import_kv
from cherryrudder.fakes.orders import Loaded

PROMPT = [f"w{n % 7}" for n in range(40)]
OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["submit", "submit", "begin", "finish", "gap", "free", "move"]),
        st.sampled_from("abc"),
        st.integers(1, 40),
        st.integers(0, 2),
    ),
    max_size=40,
)


class Fuzz:
    """Two engines, the reference engine, and the outputs expected from the jobs."""

    def __init__(self):
        self.engines = [an_engine(kv_tokens=400), an_engine(kv_tokens=400)]
        self.home = dict.fromkeys("abc", 0)
        self.reference = ReferenceEngine(4)
        self.expected = []
        self.sent = dict.fromkeys("abc", 0)

    def engine(self, name):
        return self.engines[self.home[name]]

    def submit(self, name, size, priority):
        inputs = PROMPT[:size]
        step = a_step(name, self.sent[name], inputs, priority)
        result = core.submit(self.engine(name), step, 0.0)
        if result.is_ok():
            self.sent[name] += size
            self.expected.append((result.ok, self.reference.run(name, inputs)))
        return result

    def gap(self, name, size, _):
        step = a_step(name, self.sent[name] + size, ["x"])
        return core.submit(self.engine(name), step, 0.0)

    def begin(self, name, *_):
        if not self.engine(name).batch:
            core.begin_batch(self.engine(name))

    def finish(self, name, *_):
        core.finish_batch(self.engine(name), 0.0)

    def free(self, name, *_):
        core.free(self.engine(name), name)
        self.reference.kv.pop(name, None)
        self.sent[name] = 0

    def move(self, name, *_):
        self.finish(name)
        run_to_end(self.engine(name))
        export = export_kv(self.engine(name), name)
        if export.is_error():
            return
        core.free(self.engine(name), name)
        self.home[name] = 1 - self.home[name]
        import_kv(self.engine(name), export.ok)


class EngineTest(unittest.TestCase):
    @settings(derandomize=True, database=None, deadline=None, max_examples=400)
    @given(OPERATIONS)
    def test_any_order_of_calls_gives_the_reference_outputs(self, operations):
        """Outputs equal those of an engine that runs one request at a time.

        Cached prefixes, shared batches, a cancel during a step and KV moved to another
        engine may change the timing, never the text.
        """
        fuzz = Fuzz()
        for operation, *arguments in operations:
            result = getattr(fuzz, operation)(*arguments)
            if operation == "gap":
                self.assertTrue(result.is_error())
        for engine in fuzz.engines:
            core.finish_batch(engine, 0.0)
            run_to_end(engine)
            self.assertFalse(engine.jobs)
            held = len(engine.cache.blocks) * 16 + core.live_tokens(engine)
            self.assertLessEqual(held, engine.kv_tokens)
        for job, outputs in fuzz.expected:
            if not job.error:
                self.assertEqual(job.outputs, outputs)

    def test_chain_of_layer_ranges_generates_the_model_s_text(self):
        stages = [an_engine(0, 1, 6), an_engine(1, 4, 6), an_engine(4, 6, 6)]
        pending, position, tokens = PROMPT, 0, []
        while len(tokens) < 5:
            values = pending
            for stage in stages:
                values = ask(stage, "r", position, values)
            position += len(pending)
            pending = values[-1:]
            tokens += pending
        self.assertEqual(tokens, fold.generate(MODEL, 6, " ".join(PROMPT), 5))

    def test_ledger_distinguishes_reused_and_computed_positions(self):
        engine = an_engine()
        first = ask(engine, "r", 0, PROMPT)
        self.assertEqual(ask(engine, "s", 0, PROMPT), first)
        runs = {
            (run["request"], run["position"]): (run["times"], run["reused"])
            for run in ledgers.report(engine.ledger)["runs"]
        }
        self.assertEqual(runs["r", 0], (1, 0))
        self.assertEqual(runs["s", 31], (0, 1))
        self.assertEqual(runs["s", 32], (1, 0))
        self.assertEqual({sum(counts) for counts in runs.values()}, {1})

    def test_refusals_have_a_cause(self):
        engine = an_engine(kv_tokens=10)
        other = a_step("r", 0, ["a"]) | {"model": "other"}
        for step, error in (
            (other, "model"),
            (a_step("r", 1, ["a"]), "gap"),
            (a_step("r", 0, []), "gap"),
            (a_step("r", 0, ["a"] * 11), "no room"),
        ):
            self.assertEqual(str(core.submit(engine, step, 0.0).error), error)
        self.assertFalse(engine.sequences)

    def test_loading_another_version_cancels_running_jobs(self):
        engine = an_engine()
        ask(engine, "r", 0, PROMPT)
        job = core.submit(engine, a_step("s", 0, ["a"]), 0.0).ok
        cancelled = core.load(engine, Loaded(MODEL, "2"), 0.0)
        self.assertEqual(cancelled, [job])
        self.assertEqual(job.error, "cancelled")
        self.assertFalse(engine.sequences or engine.cache.blocks)

    def test_imported_request_is_not_cached_as_a_prefix(self):
        """Blocks of an imported request are not cached as the start of a prompt.

        The engine has not received the inputs before the import. The next caller with
        that prompt would get the text of another conversation.
        """
        source, target = an_engine(), an_engine()
        ask(source, "r", 0, ["a"])
        import_kv(target, export_kv(source, "r").ok)
        ask(target, "r", 1, PROMPT)
        expected = ReferenceEngine(4).run("s", PROMPT)
        self.assertEqual(ask(target, "s", 0, PROMPT), expected)

    def test_import_refuses_missing_layers(self):
        source = an_engine(0, 2)
        ask(source, "r", 0, ["a"])
        export = export_kv(source, "r").ok
        result = import_kv(an_engine(1, 3), export)
        self.assertEqual(str(result.error), "layers missing")
        self.assertTrue(import_kv(an_engine(1, 2), export).is_ok())
        self.assertTrue(export_kv(source, "unknown").is_error())
