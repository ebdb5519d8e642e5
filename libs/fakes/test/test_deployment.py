"""Tests of the choice of ports for a deployment."""

import socket
import unittest

from cherryrudder.fakes.deployment import END_PORT, free_port


class FreePortTest(unittest.TestCase):
    def test_a_port_is_given_once_and_never_one_in_use(self):
        """A deployment draws all its ports before any of its processes listens.

        A port that came twice would go to two processes; one of them ends at its
        start, and the other answers calls that are not meant for it.
        """
        first = free_port()
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", first + 1))
            ports = [free_port() for _ in range(300)]
        self.assertEqual(len({first, *ports}), 301)
        self.assertNotIn(first + 1, ports)
        self.assertLess(max(ports), END_PORT)
