"""HTTP calls to other processes, by httpx; its errors become `WireError`.

httpcore looks for sniffio in each request, and a failed import searches every folder
of the path again: without sniffio installed a call cost twice the processor time.
"""

from collections.abc import AsyncIterator
from typing import Any

import httpx
import msgspec

from cherryrudder.model import jsoncodec

from .errors import StatusError, WireError

CONNECT_TIMEOUT_S = 1.0
# Errors after which no byte of the request can have left this process. Every other
# failure leaves it open whether the far side has acted.
NEVER_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class Client:
    """A pool of connections that carries one key."""

    def __init__(self, key: str = "", max_connections: int = 1000):
        limits = httpx.Limits(
            max_connections=max_connections, max_keepalive_connections=100
        )
        headers = {"authorization": f"Bearer {key}"} if key else {}
        # Proxy settings of the environment must not steer internal traffic.
        self._http = httpx.AsyncClient(limits=limits, headers=headers, trust_env=False)

    async def close(self) -> None:
        """Close every connection."""
        await self._http.aclose()

    async def call(
        self,
        method: str,
        url: str,
        value: Any = None,
        kind: Any = object,
        timeout_s: float = 5.0,
    ) -> Any:
        """Send a value as JSON and return the answer; raises WireError, StatusError."""
        content = None if value is None else jsoncodec.encode(value)
        reply = await self.send(method, url, content, (), timeout_s)
        if reply.status_code >= 400:
            raise StatusError(reply.status_code, _json_or_none(reply.content))
        try:
            return jsoncodec.decode(reply.content, kind)
        except msgspec.DecodeError as error:
            raise WireError(f"{url}: {error}") from error

    async def send(
        self, method, url, content, headers=(), timeout_s=5.0
    ) -> httpx.Response:
        """Send bytes and return the whole answer; raises WireError."""
        timeout = httpx.Timeout(timeout_s, connect=min(CONNECT_TIMEOUT_S, timeout_s))
        try:
            return await self._http.request(
                method, url, content=content, headers=list(headers), timeout=timeout
            )
        except NEVER_SENT as error:
            message = f"{url}: {type(error).__name__}"
            raise WireError(message, may_have_run=False) from error
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            raise WireError(f"{url}: {type(error).__name__}") from error

    async def lines(self, url: str, timeout_s: float) -> AsyncIterator[str]:
        """Yield the lines of a streamed answer; raises WireError."""
        try:
            async with self._http.stream("GET", url, timeout=timeout_s) as reply:
                async for line in reply.aiter_lines():
                    yield line
        except httpx.HTTPError as error:
            raise WireError(f"{url}: {type(error).__name__}") from error


def _json_or_none(content):
    try:
        return jsoncodec.decode(content)
    except msgspec.DecodeError:
        return None
