"""Tests of the dump of the pipeline's state."""

import json
import unittest

from builders import World, a_start

from cherryrudder.pipeline.dump import dump_entry, dump_sidecar


class DumpTests(unittest.TestCase):
    def test_dump_shows_a_running_request(self):
        world = World()
        start = a_start()
        world.begin(start)
        world.run(until=lambda: world.texts["r1"])
        address = start.stages[1].address
        sidecar = dump_sidecar(world.nodes[address].core)
        entry = dump_entry(world.cores["r1"])
        json.dumps([sidecar, entry])
        self.assertEqual(1, sidecar["requests"]["r1"]["stage"])
        self.assertEqual(("running", 1), (entry["phase"], entry["tokens"]))
        world.run()
        sidecar = dump_sidecar(world.nodes[address].core)
        self.assertEqual(({}, 0), (sidecar["requests"], sidecar["kept_bytes"]))
