import random
import unittest

from cherryrudder.policy import peerload
from cherryrudder.policy.peerload import Load, PeerLoad

ENTRIES = 8
COPIES = ("x", "y", "z")
# Arrivals at each entry between two reports, and the length of a stream in arrivals.
REPORT_INTERVAL, LENGTH = 4, 12
CAPACITY = 45


class EstimateTest(unittest.TestCase):
    def test_reported_load_counts_until_this_entry_adds_a_stream(self):
        load = PeerLoad()
        peerload.record_report_sent(load, {"x": Load(2, 1800, 1)})
        peerload.update_reported(load, {"x": Load(9, 8000, 4)})
        same = peerload.estimate(load, "x", Load(2, 1800, 1), 7)
        self.assertEqual(same, Load(9, 8000, 4))
        more = peerload.estimate(load, "x", Load(3, 2700, 2), 7)
        self.assertEqual(more, Load(16, 14_300, 11))

    def test_streams_that_ended_here_lower_the_estimate_to_zero_at_least(self):
        load = PeerLoad()
        peerload.record_report_sent(load, {"x": Load(3, 2700, 0)})
        peerload.update_reported(load, {"x": Load(9, 8000, 0)})
        self.assertEqual(peerload.estimate(load, "x", Load(2, 1800, 0), 7).running, 2)
        self.assertEqual(peerload.estimate(load, "x", Load(0, 0, 0), 7).running, 0)

    def test_an_engine_without_reports_has_no_load(self):
        self.assertEqual(peerload.estimate(PeerLoad(), "x", Load(), 7), Load())


class HerdTest(unittest.TestCase):
    """Eight entries place streams on three copies and rarely exchange their loads.

    The first copy is the fastest, and runs as many streams as its capacity allows. By
    the last report alone, each entry would use all of the capacity that was left then.
    The engine refuses the excess, and each refusal costs the client time and the
    operators a retry.
    """

    def play(self, estimate):
        """Return how many streams were sent to a copy without capacity for them."""
        rng = random.Random(7)
        own = [dict.fromkeys(COPIES, 0) for _ in range(ENTRIES)]
        loads = [PeerLoad() for _ in range(ENTRIES)]
        ends, refused = [], 0
        for turn in range(200):
            for entry, copy in (e[1:] for e in ends if e[0] == turn):
                own[entry][copy] -= 1
            if turn % REPORT_INTERVAL == 0:
                self.exchange_loads(own, loads)
            for entry in rng.sample(range(ENTRIES), ENTRIES):
                mine, load = own[entry], loads[entry]
                copy = next(
                    (c for c in COPIES if mine[c] + estimate(load, mine, c) < CAPACITY),
                    COPIES[-1],
                )
                if sum(o[copy] for o in own) >= CAPACITY:
                    refused += 1
                    continue
                mine[copy] += 1
                ends.append((turn + rng.randrange(1, 2 * LENGTH), entry, copy))
        return refused

    def exchange_loads(self, own, loads):
        for entry, load in enumerate(loads):
            peerload.record_report_sent(
                load, {c: Load(n) for c, n in own[entry].items()}
            )
            others = [o for number, o in enumerate(own) if number != entry]
            reported = {c: Load(sum(o[c] for o in others)) for c in COPIES}
            peerload.update_reported(load, reported)

    def test_few_streams_are_sent_to_full_engines(self):
        stale = self.play(lambda load, own, copy: load.reported[copy].running)
        estimated = self.play(
            lambda load, own, copy: (
                peerload.estimate(load, copy, Load(own[copy]), ENTRIES - 1).running
            )
        )
        self.assertLess(estimated, 0.6 * stale, (stale, estimated))


if __name__ == "__main__":
    unittest.main()
