"""Measure the cost of contracts and shares while idle, by number of customers.

Three control VMs and four entries are real processes; no requests are sent. Prints the
mean usage of an entry and of a control VM, and the slope per customer.
"""

import statistics
import sys
import tempfile
import time

import defopt
from common import make_high_limit_contract, measure_usage, slope

from cherryrudder.fakes.deployment import Deployment
from cherryrudder.model.contracts import digest_key

CUSTOMERS = (0, 50, 130, 260)
ENTRIES = 4
# Twice the lease of a share.
SETTLE_S = 4.0


def main(*, seconds: float = 5.0) -> None:
    """Print the table.

    :param seconds: Length of each measurement.
    """
    with (
        tempfile.TemporaryDirectory(prefix="cherryrudder-") as folder,
        Deployment(folder, entries=ENTRIES) as deployment,
    ):
        deployment.start()
        rows = []
        print("customers  role     cores  bytes/s  rss_mb")
        for first, last in zip((0, *CUSTOMERS), CUSTOMERS, strict=False):
            add_customers(deployment, first, last)
            time.sleep(SETTLE_S)
            rows.append(measure(deployment, last, seconds))
    for role in ("entry", "control"):
        values = zip(*(row[role] for row in rows), strict=True)
        cores, moved, memory = (slope(CUSTOMERS, column) for column in values)
        print(
            f"slope of {role} per customer: {cores * 100:.4f} % of a core,"
            f" {moved:.0f} B/s, {memory * 1000:.1f} KB"
        )


def add_customers(deployment, first, last):
    """Create contracts for the customers numbered `first` to `last` - 1."""
    for number in range(first, last):
        name = f"customer-{number}"
        contract = make_high_limit_contract()._replace(
            customer=name, key_sha256=digest_key(name)
        )
        deployment.put_contract(contract).raise_for_status()


def measure(deployment, customers, seconds):
    """Print and return the mean usage of each role's processes."""
    groups = {"entry": deployment.entries, "control": deployment.controls}
    uses = measure_usage(
        [node.process.pid for g in groups.values() for node in g], seconds
    )
    row = {}
    for role, nodes in groups.items():
        of_role = [uses[node.process.pid] for node in nodes]
        row[role] = [statistics.mean(column) for column in zip(*of_role, strict=True)]
        cores, moved, memory = row[role]
        print(
            f"{customers:9}  {role:7} {cores:6.4f} {moved:8.0f} {memory:7.1f}",
            flush=True,
        )
    return row


if __name__ == "__main__":
    sys.exit(defopt.run(main))
