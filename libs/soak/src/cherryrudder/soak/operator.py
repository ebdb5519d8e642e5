"""The operator: sends configuration changes and reads back what is in force."""

import json
import random
import time

import anyio

from cherryrudder.relay.errors import RelayError
from cherryrudder.standin import requests

from .guarantees import Ack, Reading
from .testbed import Testbed

CALL_TIMEOUT_S = 2.0
PAUSE_S = 0.1
# After so many tries a change counts as unacknowledged.
MAX_TRIES = 60
READ_INTERVAL_S = 0.5
# Lowest versions from some changes on: versions that are dates and times grow as long,
# and cross what the integers of formats hold.
LOWEST_VERSIONS = {2: 2**64 - 1, 4: 10**300}
# Timeouts differ between versions, as other content does.
TIMEOUT_MS, TIMEOUT_RANGE_MS = 5000, 1000
FIRST_KEYS = ("k1", "k2", "k3")


class Operator:
    """An operator, with the configurations sent, acknowledged and read back."""

    def __init__(self, testbed: Testbed, rng: random.Random):
        self.testbed = testbed
        self.rng = rng
        self.version = 7
        self.changes = 0
        self.keys = FIRST_KEYS
        # Callers continue to use a revoked key, to check that it stops working.
        self.used_keys = list(FIRST_KEYS)
        self.acks: list[Ack] = []
        self.readings: list[Reading] = []
        self.violations: list[str] = []
        self.documents: dict[int, dict] = {}

    async def change(self, keys: tuple[str, ...] | None = None) -> None:
        """Send a new version until it is acknowledged."""
        self.changes += 1
        lowest = LOWEST_VERSIONS.get(self.changes, 0)
        self.version = max(lowest, self.version + self.rng.randrange(1, 4))
        await self._send(self.version, keys or self.keys)

    async def race(self) -> None:
        """Send two versions at the same time, to two control VMs."""
        self.version += 2
        async with anyio.create_task_group() as group:
            group.start_soon(self._send, self.version - 1, self.keys)
            group.start_soon(self._send, self.version, self.keys)

    async def revoke(self) -> None:
        """Revoke a key that callers continue to use."""
        if len(self.keys) > 1:
            self.keys = self.keys[1:]
        await self.change(self.keys)

    async def send_invalid(self) -> None:
        """Send an invalid configuration, which must be refused."""
        document = requests.broken_configuration(self.version + 100, self.keys)
        status = await self._call_any("POST", requests.REPLACE_PATH, document)
        if status is not None and status[0] == 200:
            self.violations.append("CONFIG: an invalid configuration was acknowledged")

    async def watch(self, is_over: anyio.Event) -> None:
        """Read back the configuration in force periodically, from any control VM."""
        while not is_over.is_set():
            await self.read_once()
            await anyio.sleep(READ_INTERVAL_S)

    async def read_once(self) -> Reading | None:
        """Read back from one control VM; return None if it does not answer with 200."""
        asked_s = time.monotonic()
        answer = await self._call_any("GET", requests.READ_PATH)
        if answer is None or answer[0] != 200:
            return None
        document = json.loads(answer[1])
        version = document["version"]
        if document != self.documents.get(version):
            self.violations.append(f"CONFIG: {version} was read with other content")
        reading = Reading(version, asked_s)
        self.readings.append(reading)
        return reading

    async def _send(self, version, keys):
        timeout_ms = TIMEOUT_MS + version % TIMEOUT_RANGE_MS
        document = requests.configuration(version, keys, timeout_ms)
        self.documents[version] = document
        for _ in range(MAX_TRIES):
            answer = await self._call_any("POST", requests.REPLACE_PATH, document)
            if answer is not None and answer[0] == 200:
                self.acks.append(Ack(version, keys, time.monotonic()))
                return
            if answer is not None and answer[0] < 500:
                self.violations.append(
                    f"CONFIG: {version} was refused with {answer[0]}"
                )
                return
            await anyio.sleep(PAUSE_S)

    async def _call_any(self, method, path, document=None):
        """Call any control VM; return status and body, or None without an answer."""
        deployment = self.testbed.deployment
        node = self.rng.choice(deployment.nodes)
        address = deployment.control_address(node)
        try:
            with anyio.fail_after(CALL_TIMEOUT_S):
                status, _, body = await deployment.call(address, method, path, document)
        except (RelayError, TimeoutError):
            # Expected while faults stop, freeze or isolate the control VM; the end of
            # the run checks that acknowledged changes are in force.
            return None
        return status, body
