import unittest

from builders import a_configuration, a_route

from cherryrudder.routing import authorization
from cherryrudder.routing.authorization import AccessRequest, Admitted
from cherryrudder.routing.routetable import RouteTable

REVOKE_S = 5.0


def decide(key="key-1", target="/a/x", age_s=0.0, is_cut_off=False, **changes):
    """Decide about a request with a configuration of one route."""
    table = RouteTable(a_configuration(a_route(**changes)))
    return authorization.authorize(
        table, AccessRequest("desk.example", target, key), age_s, REVOKE_S, is_cut_off
    )


class DecisionTest(unittest.TestCase):
    def test_a_known_key_is_admitted_as_its_account(self):
        self.assertEqual(decide().account, "petra")

    def test_faults_of_the_client_are_told(self):
        self.assertEqual(decide(key="stolen").status, 401)
        self.assertEqual(decide(key="").status, 401)
        self.assertEqual(decide(target="/b/").status, 404)

    def test_nothing_is_said_for_sure_before_the_first_configuration(self):
        asked = AccessRequest("desk.example", "/a/x", "key-1")
        refused = authorization.authorize(None, asked, 0.0, REVOKE_S)
        self.assertEqual(refused.status, 503)

    def test_an_anonymous_route_needs_no_key(self):
        self.assertEqual(decide(key="", is_anonymous=True).account, "")


class CutOffTest(unittest.TestCase):
    """An entry loses the control VMs; meanwhile a key is taken away and a route added.

    The entry can't know. With the key still admitted, a customer who was shut out is
    served on; with "no such route" for sure, a proper caller gives up. So both are
    refused for a time only, before the operators' limit is over.
    """

    def test_keys_stop_before_a_revocation_may_take_longer(self):
        self.assertIsInstance(decide(age_s=3.9), Admitted)
        self.assertEqual(decide(age_s=4.1).status, 503)

    def test_doubtful_refusals_are_not_final(self):
        self.assertEqual(decide(key="stolen", age_s=2.0).status, 503)
        self.assertEqual(decide(target="/b/", age_s=2.0).status, 503)

    def test_a_client_goes_elsewhere_at_once_when_only_this_entry_is_cut_off(self):
        """Without a word from any control VM, waiting for an election helps nobody."""
        alone = decide(age_s=4.1, is_cut_off=True)
        self.assertEqual(alone.status, 503)
        self.assertLess(alone.retry_after_s, decide(age_s=4.1).retry_after_s / 10)
        self.assertIsInstance(decide(age_s=3.9, is_cut_off=True), Admitted)

    def test_an_anonymous_route_is_served_on(self):
        self.assertIsInstance(decide(age_s=60.0, is_anonymous=True), Admitted)
