import random
import unittest

from cherryrudder.policy import peerload
from cherryrudder.policy.peerload import Load, PeerLoad

ENTRIES = 8
COPIES = ("x", "y", "z")
# Between two words, in arrivals at each entry, and a stream's length in the same.
WORD, LENGTH = 4, 12
ROOM = 45


class EstimateTest(unittest.TestCase):
    def test_what_was_told_counts_until_this_entry_adds_something(self):
        load = PeerLoad()
        peerload.record_report_sent(load, {"x": Load(2, 1800, 1)})
        peerload.update_reported(load, {"x": Load(9, 8000, 4)})
        same = peerload.estimate(load, "x", Load(2, 1800, 1), 7)
        self.assertEqual(same, Load(9, 8000, 4))
        more = peerload.estimate(load, "x", Load(3, 2700, 2), 7)
        self.assertEqual(more, Load(16, 14_300, 11))

    def test_what_ended_here_ended_elsewhere_but_never_below_nothing(self):
        load = PeerLoad()
        peerload.record_report_sent(load, {"x": Load(3, 2700, 0)})
        peerload.update_reported(load, {"x": Load(9, 8000, 0)})
        self.assertEqual(peerload.estimate(load, "x", Load(2, 1800, 0), 7).running, 2)
        self.assertEqual(peerload.estimate(load, "x", Load(0, 0, 0), 7).running, 0)

    def test_an_engine_that_nobody_named_is_empty(self):
        self.assertEqual(peerload.estimate(PeerLoad(), "x", Load(), 7), Load())


class HerdTest(unittest.TestCase):
    """Eight entries place streams on three copies, and hear of each other rarely.

    The first copy is the fastest, and takes as many streams as it has room for. By the
    last word alone, each entry fills the room that was left then: the engine refuses
    what is too much, and each refusal costs its client time and the operators a retry.
    """

    def play(self, estimate):
        """Return how many streams were sent to a copy without room for them."""
        rng = random.Random(7)
        own = [dict.fromkeys(COPIES, 0) for _ in range(ENTRIES)]
        loads = [PeerLoad() for _ in range(ENTRIES)]
        ends, refused = [], 0
        for turn in range(200):
            for entry, copy in (e[1:] for e in ends if e[0] == turn):
                own[entry][copy] -= 1
            if turn % WORD == 0:
                self.tell(own, loads)
            for entry in rng.sample(range(ENTRIES), ENTRIES):
                mine, load = own[entry], loads[entry]
                copy = next(
                    (c for c in COPIES if mine[c] + estimate(load, mine, c) < ROOM),
                    COPIES[-1],
                )
                if sum(o[copy] for o in own) >= ROOM:
                    refused += 1
                    continue
                mine[copy] += 1
                ends.append((turn + rng.randrange(1, 2 * LENGTH), entry, copy))
        return refused

    def tell(self, own, loads):
        for entry, load in enumerate(loads):
            peerload.record_report_sent(
                load, {c: Load(n) for c, n in own[entry].items()}
            )
            others = [o for number, o in enumerate(own) if number != entry]
            told = {c: Load(sum(o[c] for o in others)) for c in COPIES}
            peerload.update_reported(load, told)

    def test_few_streams_go_where_there_is_no_room(self):
        naive = self.play(lambda load, own, copy: load.reported[copy].running)
        guessed = self.play(
            lambda load, own, copy: (
                peerload.estimate(load, copy, Load(own[copy]), ENTRIES - 1).running
            )
        )
        self.assertLess(guessed, 0.6 * naive, (naive, guessed))


if __name__ == "__main__":
    unittest.main()
