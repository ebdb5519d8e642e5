"""HTTP client for calls to other processes, on httpx; its errors become `WireError`.

httpcore tries to import sniffio on each request, and a failed import searches the whole
import path again. sniffio must be installed: without it a call takes twice the CPU.
"""

from collections.abc import AsyncIterator
from typing import Any

import httpx
import msgspec

from cherryrudder.model import jsoncodec

from .errors import StatusError, WireError

CONNECT_TIMEOUT_S = 1.0
# Errors after which no byte of the request can have been sent. After any other error
# the server may have processed the request.
NEVER_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class Client:
    """A connection pool that sends the same bearer token with every request."""

    def __init__(self, key: str = "", max_connections: int = 1000):
        limits = httpx.Limits(
            max_connections=max_connections, max_keepalive_connections=100
        )
        headers = {"authorization": f"Bearer {key}"} if key else {}
        # Proxy settings of the environment must not affect internal traffic.
        self._http = httpx.AsyncClient(limits=limits, headers=headers, trust_env=False)

    async def close(self) -> None:
        """Close all connections of the pool."""
        await self._http.aclose()

    async def call(
        self,
        method: str,
        url: str,
        value: Any = None,
        kind: Any = object,
        timeout_s: float = 5.0,
    ) -> Any:
        """Send a value as JSON and decode the answer; raises WireError, StatusError."""
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
        """Send bytes and return the complete response; raises WireError."""
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
        """Yield the lines of a streamed response; raises WireError."""
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
