"""Ports of test processes that run beside each other."""

import subprocess
import sys
import unittest

COUNT = 50
# Waits after the choice, as a deployment does before its processes listen.
CHOOSE = f"""
import os, sys
os.getpid = lambda: int(sys.argv[1])
from cherryrudder.fakes.deployment import free_port
print(*(free_port() for _ in range({COUNT})), flush=True)
sys.stdin.read()
"""


def start_chooser(pid):
    """Start a process that chooses ports as if it had a certain pid."""
    return subprocess.Popen(
        [sys.executable, "-c", CHOOSE, str(pid)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


class PortBlockTest(unittest.TestCase):
    """Guards against daemons of another test process answering at a chosen port."""

    def test_processes_whose_pids_differ_by_any_number_share_no_port(self):
        for distance in (0, 56, 57):
            with self.subTest(distance=distance):
                choosers = [start_chooser(1000), start_chooser(1000 + distance)]
                chosen = [set(c.stdout.readline().split()) for c in choosers]
                for chooser in choosers:
                    chooser.communicate()
                self.assertEqual([len(ports) for ports in chosen], [COUNT, COUNT])
                self.assertEqual(chosen[0] & chosen[1], set())
