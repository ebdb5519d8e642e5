"""Callers that keep their connections open until the entry closes them."""

import random
import time
import uuid

import anyio

from cherryrudder.relay.client import EngineConnection, open_connection
from cherryrudder.relay.errors import AnswerBroken, AnswerLate, ConnectFailed
from cherryrudder.standin import requests

from .guarantees import Answer

ANSWER_TIMEOUT_S = 12.0
CONNECT_TIMEOUT_S = 1.0
# Keeps a caller from retrying in a busy loop while its entry is down.
PAUSE_S = 0.05
KINDS = ("stream", "stream", "filing", "filing", "query")


class Caller:
    """A caller of one entry, with the answers it got."""

    def __init__(self, node: str, address: str, events: int, rng: random.Random):
        self.node = node
        self.address = address
        self.events = events
        self.rng = rng
        self.answers: list[Answer] = []
        self._connection: EngineConnection | None = None
        # Of its own, as the requests drawn from a seed stay the same.
        self._forms = random.Random(node)

    async def run(self, keys: list[str], is_over: anyio.Event) -> None:
        """Send one request after the other, each with one of the keys."""
        while not is_over.is_set():
            kind = self.rng.choice(KINDS)
            answer = await self.ask(kind, self.rng.choice(keys))
            if answer is None or answer.status != 200:
                await anyio.sleep(PAUSE_S)
        self.close()

    async def ask(
        self, kind: str, key: str, body: bytes = b"", parts: tuple[str, ...] = ()
    ) -> Answer | None:
        """Send a request; return its answer, or None without a connection."""
        try:
            connection = await self._connect()
        except ConnectFailed:
            return None
        answer = await self._exchange(connection, kind, key, body, parts)
        self.answers.append(answer)
        return answer

    def close(self) -> None:
        """Close the kept connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _connect(self):
        if self._connection is None or self._connection.is_readable():
            self.close()
            opened = await open_connection(
                self.address, CONNECT_TIMEOUT_S, time.monotonic()
            )
            self._connection = opened
        return self._connection

    async def _exchange(self, connection, kind, key, body, parts):
        request_id = uuid.UUID(int=self.rng.getrandbits(128)).hex
        sent = requests.request(
            kind, request_id, key, self.events, ANSWER_TIMEOUT_S, body, parts
        )
        if not body:
            sent = requests.vary(sent, self._forms)
        answer = Answer(request_id, kind, key, self.node, time.monotonic(), 0.0, 0)
        pieces = []
        is_kept = False
        try:
            with anyio.fail_after(ANSWER_TIMEOUT_S):
                await connection.send(
                    sent.method.encode(), sent.path.encode(), sent.headers, sent.body
                )
                head = await connection.read_head(ANSWER_TIMEOUT_S)
                answer = answer._replace(status=head.status)
                while (piece := await connection.read()) is not None:
                    pieces.append(piece)
            answer = answer._replace(is_whole=True)
            is_kept = connection.prepare_reuse(time.monotonic())
        except (AnswerBroken, AnswerLate, TimeoutError):
            # The answer remains recorded as not whole, for the checks.
            pass
        if not is_kept:
            self.close()
        return answer._replace(body=b"".join(pieces), ended_s=time.monotonic())
