import unittest

from builders import a_configuration, a_route

from cherryrudder.routing import authorization
from cherryrudder.routing.authorization import AccessRequest, Admitted
from cherryrudder.routing.routetable import RouteTable

REVOKE_S = 5.0


def authorize_request(
    key="key-1", target="/a/x", age_s=0.0, is_cut_off=False, **changes
):
    """Authorize a request with a configuration of one route."""
    table = RouteTable(a_configuration(a_route(**changes)))
    return authorization.authorize(
        table, AccessRequest("desk.example", target, key), age_s, REVOKE_S, is_cut_off
    )


class AuthorizationTest(unittest.TestCase):
    def test_a_known_key_is_admitted_as_its_account(self):
        self.assertEqual(authorize_request().account, "petra")

    def test_unknown_keys_and_routes_are_refused(self):
        self.assertEqual(authorize_request(key="stolen").status, 401)
        self.assertEqual(authorize_request(key="").status, 401)
        self.assertEqual(authorize_request(target="/b/").status, 404)

    def test_refusals_before_the_first_configuration_are_not_final(self):
        asked = AccessRequest("desk.example", "/a/x", "key-1")
        refused = authorization.authorize(None, asked, 0.0, REVOKE_S)
        self.assertEqual(refused.status, 503)

    def test_an_anonymous_route_needs_no_key(self):
        self.assertEqual(authorize_request(key="", is_anonymous=True).account, "")


class SupersededTest(unittest.TestCase):
    """Guards against an entry that serves by a version it knows to be out of date."""

    def statuses(self, superseded_age_s):
        table = RouteTable(a_configuration(a_route(is_anonymous=True)))
        return [
            getattr(
                authorization.authorize(
                    table,
                    AccessRequest("desk.example", target, "key-1"),
                    0.0,
                    REVOKE_S,
                    superseded_age_s=superseded_age_s,
                ),
                "status",
                200,
            )
            for target in ("/a/x", "/b/x")
        ]

    def test_all_requests_are_refused_as_not_run(self):
        age_s = authorization.MAX_SUPERSEDED_S + 0.1
        self.assertEqual(self.statuses(age_s), [503, 503])

    def test_a_newer_version_may_be_under_way(self):
        self.assertEqual(self.statuses(0.1), [200, 404])


class CutOffTest(unittest.TestCase):
    """Guards against decisions by an old configuration on an entry that is cut off.

    Meanwhile a key is revoked and a route added. If the entry admitted the key, a
    customer without access would be served; with a final 404 a valid caller would give
    up. So both get a temporary refusal, before the operators' limit is over.
    """

    def test_keys_are_refused_before_the_revocation_limit_is_over(self):
        self.assertIsInstance(authorize_request(age_s=3.9), Admitted)
        self.assertEqual(authorize_request(age_s=4.1).status, 503)

    def test_refusals_by_an_old_configuration_are_not_final(self):
        self.assertEqual(authorize_request(key="stolen", age_s=2.0).status, 503)
        self.assertEqual(authorize_request(target="/b/", age_s=2.0).status, 503)

    def test_a_client_goes_elsewhere_at_once_when_only_this_entry_is_cut_off(self):
        """If no control VM can be reached, waiting for an election doesn't help."""
        alone = authorize_request(age_s=4.1, is_cut_off=True)
        self.assertEqual(alone.status, 503)
        self.assertLess(
            alone.retry_after_s, authorize_request(age_s=4.1).retry_after_s / 10
        )
        self.assertIsInstance(authorize_request(age_s=3.9, is_cut_off=True), Admitted)

    def test_an_anonymous_route_is_still_served(self):
        self.assertIsInstance(
            authorize_request(age_s=60.0, is_anonymous=True), Admitted
        )
