"""Orders to engines through real processes: an old holder's order is refused."""

import unittest

from builders import DeploymentTestCase, a_contract

from cherryrudder.fakes.deployment import INTERNAL_KEY, EngineSpec


class FenceTest(DeploymentTestCase):
    engines = [
        EngineSpec("checks", 0, 12, checks_fence=True),
        EngineSpec("ignores", 0, 12, checks_fence=False),
    ]
    contracts = (a_contract(),)

    def post(self, name, path, value):
        """Post to a process's internal API and return the answer."""
        address = self.deployment.nodes[name].addresses["internal"]
        headers = {"authorization": f"Bearer {INTERNAL_KEY}"}
        url = f"http://{address}{path}"
        return self.deployment.http.post(url, json=value, headers=headers)

    def take(self, endpoint, holder, control):
        """Request a fencing number for an endpoint from one control VM."""
        value = {"request_id": f"{holder} {endpoint}", "endpoint": endpoint}
        return self.post(f"control-{control}", "/v1/fences", value).json()["fence"]

    def order(self, endpoint, fence, version):
        """Order an engine to load a version and return the status."""
        order = {"fence": fence, "order": "load-version", "version": version}
        return self.post(endpoint, "/v1/orders", order).status_code

    def versions(self, endpoint):
        """Return the versions that the engine was ordered to load, in order."""
        url = self.deployment.back_end(f"{endpoint}.engine") + "/v1/ledger"
        orders = self.deployment.http.get(url).json()["orders"]
        return [order["version"] for order in orders if order["accepted"]]

    def test_of_two_holders_the_later_one_wins_at_both_kinds_of_engine(self):
        """Two holders race to order an engine; the older one's order arrives last.

        The sidecar refuses it, whether or not the engine checks the number. A
        restarted sidecar reads the number from the log before its first order.
        """
        for endpoint in ("checks", "ignores"):
            with self.subTest(endpoint=endpoint):
                old = self.take(endpoint, "first holder", 0)
                new = self.take(endpoint, "second holder", 1)
                self.assertGreater(new, old)
                self.assertEqual(self.order(endpoint, new, "2"), 200)
                self.assertEqual(self.order(endpoint, old, "1"), 409)
                self.assertEqual(self.order(endpoint, new, "2"), 409)
                self.deployment.nodes[endpoint].kill()
                self.deployment.restart(endpoint)
                self.assertEqual(self.order(endpoint, old, "1"), 409)
                self.assertEqual(self.versions(endpoint), ["2"])

    def test_a_resent_request_for_a_number_gets_the_same_one(self):
        first = self.take("checks", "resender", 0)
        self.assertEqual(self.take("checks", "resender", 2), first)


if __name__ == "__main__":
    unittest.main()
