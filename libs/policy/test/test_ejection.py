import unittest

from cherryrudder.policy import ejection
from cherryrudder.policy.ejection import Health, KindHealth, Peer


class EjectionTest(unittest.TestCase):
    def setUp(self):
        self.kind = KindHealth()
        self.peers = [Peer(f"g{n}", Health(), 0) for n in range(6)]

    def answer(self, tokens, slow=(), factor=10.0, now_s=1.0):
        for peer in self.peers * 6:
            one_s = 0.01 * (factor if peer.endpoint in slow else 1.0)
            ejection.record_signal(peer.health, self.kind, now_s)
            ejection.record_answer(
                peer.health, self.kind, tokens, tokens * one_s, now_s
            )

    def test_slow_endpoint_is_ejected_probed_and_restored(self):
        self.answer(50, slow={"g0"})
        self.assertEqual(ejection.review(self.kind, self.peers, 1.0), ["g0"])
        health = self.peers[0].health
        self.assertTrue(ejection.is_ejected(health, 2.9))
        self.assertFalse(ejection.is_ejected(health, 3.1))
        self.assertTrue(ejection.is_probing(health))
        ejection.record_answer(health, self.kind, 50, 5.0, 3.2)
        self.assertTrue(ejection.is_ejected(health, 7.1))
        for _ in range(3):
            ejection.record_answer(health, self.kind, 50, 0.5, 8.0)
        self.assertFalse(ejection.is_probing(health))

    def test_slow_only_for_long_answers_is_seen(self):
        self.answer(50)
        self.answer(1000, slow={"g1"})
        self.assertEqual(ejection.review(self.kind, self.peers, 1.0), ["g1"])

    def test_no_more_than_a_third_is_ejected(self):
        self.answer(50)
        for peer in self.peers[:5]:
            for _ in range(3):
                ejection.record_failure(peer.health, 1.0)
        self.assertEqual(len(ejection.review(self.kind, self.peers, 1.0)), 2)
        self.assertEqual(ejection.review(self.kind, self.peers, 1.5), [])
        alone = [Peer("only", self.peers[4].health, 0)]
        self.assertEqual(ejection.review(KindHealth(), alone, 1.0), [])

    def test_silent_endpoint_is_ejected_idle_one_is_not(self):
        self.answer(50, now_s=1.0)
        for at_s in (1.4, 1.8):
            for peer in self.peers[1:]:
                ejection.record_signal(peer.health, self.kind, at_s)
        self.peers[0] = self.peers[0]._replace(in_flight=1)
        self.assertEqual(ejection.review(self.kind, self.peers, 2.0), [])
        self.assertEqual(ejection.review(self.kind, self.peers, 6.0), ["g0"])

    def test_a_prefill_during_streaming_is_not_silence(self):
        """An endpoint reads a long prompt while others stream tokens by the hundred.

        Its caller waits three seconds for the first token, as others did before. If
        that gap decayed with the next tokens, the endpoint would be ejected and the
        prompt read again at another one.
        """
        for peer in self.peers:
            ejection.record_signal(peer.health, self.kind, 3.0)
        for step in range(500):
            for peer in self.peers[1:]:
                ejection.record_signal(peer.health, self.kind, 3.0 + step / 100)
        self.peers = [peer._replace(in_flight=1) for peer in self.peers]
        self.peers[0].health.signal_s = 5.0
        self.assertEqual(ejection.review(self.kind, self.peers, 8.0), [])
