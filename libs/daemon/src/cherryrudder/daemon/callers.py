"""Shared parts of the callers' API: keys, contracts, deadlines and replies."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from loguru import logger

from cherryrudder.model.contracts import Contract, digest_key
from cherryrudder.model.errors import RequestError
from cherryrudder.model.outcomes import Outcome, Refusal
from cherryrudder.wire.asgi import Handler, Reply, Request, error_reply, json_reply

OUTCOME_HEADER = "cherryrudder-outcome"
DEADLINE_HEADER = "x-request-deadline-ms"
MAX_DEADLINE_S = 3600.0
# The Retry-After header counts whole seconds.
MIN_RETRY_AFTER_S = 1

log = logger.bind(part="callers")


class Caller(NamedTuple):
    """The contract of a request and the deadline of its answer."""

    contract: Contract
    deadline_s: float


def contracts_by_key(contracts: Iterable[Contract]) -> dict[str, Contract]:
    """Return contracts by their keys' digests; active ones override retired ones.

    A key may pass from a retired contract to another. If the retired one were found, a
    customer with an active contract would be refused.
    """
    ordered = sorted(contracts, key=lambda contract: not contract.retired)
    return {contract.key_sha256: contract for contract in ordered}


def identify(request: Request, contracts: dict[str, Contract], now_s: float) -> Caller:
    """Return the caller that a request's key identifies; raises RequestError."""
    contract = contracts.get(digest_key(request.bearer()))
    if contract is None:
        raise RequestError(401, "wrong-key", "no contract has this key")
    return Caller(contract, now_s + _deadline_s(request))


def refusal_reply(refusal: Refusal) -> Reply:
    """Return the final reply to a request that did not run."""
    headers = ((OUTCOME_HEADER, Outcome.NOT_RUN),)
    # A permanent refusal has no retry time.
    if refusal.retry_after_s > 0:
        headers += (("retry-after", str(math.ceil(refusal.retry_after_s))),)
    error = {
        "code": refusal.code,
        "message": refusal.message,
        "retry_after_s": round(refusal.retry_after_s, 3),
    }
    return json_reply({"error": error}, refusal.status, headers)


def failure_reply(status: int, code: str, message: str, outcome: Outcome) -> Reply:
    """Return a final error reply with its outcome."""
    headers = ((OUTCOME_HEADER, outcome),)
    if outcome == Outcome.NOT_RUN:
        headers += (("retry-after", str(MIN_RETRY_AFTER_S)),)
    return json_reply({"error": {"code": code, "message": message}}, status, headers)


def with_outcome(handle: Handler) -> Handler:
    """Return a handler whose error replies carry the request's outcome too."""

    async def run(request: Request):
        try:
            return await handle(request)
        except RequestError as error:
            # Raised for bad input only, before any part of the request has run.
            return error_reply(error, ((OUTCOME_HEADER, Outcome.NOT_RUN),))
        except Exception:
            log.exception("{} {} failed.", request.method, request.path)
            return failure_reply(500, "internal", "an internal error", Outcome.UNKNOWN)

    return run


def _deadline_s(request):
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return MAX_DEADLINE_S
    try:
        wait_s = float(text) / 1000
    except ValueError:
        wait_s = -1.0
    if not 0 < wait_s <= MAX_DEADLINE_S:
        message = f"not milliseconds between 0 and {MAX_DEADLINE_S * 1000:.0f}"
        raise RequestError(400, "bad-deadline", message, DEADLINE_HEADER)
    return wait_s
