"""What the callers' surface has in common: keys, contracts, deadlines, answers."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from loguru import logger

from cherryrudder.model.contracts import Contract, digest_key
from cherryrudder.model.errors import RequestError
from cherryrudder.model.outcomes import Outcome, Refusal
from cherryrudder.wire.asgi import Handler, Reply, Request, error_reply, json_reply

OUTCOME = "cherryrudder-outcome"
DEADLINE = "x-request-deadline-ms"
MAX_DEADLINE_S = 3600.0
# The shortest advice worth a header, which counts whole seconds.
MIN_RETRY_AFTER_S = 1

log = logger.bind(part="callers")


class Caller(NamedTuple):
    """The contract under which a request came, and when its answer is due."""

    contract: Contract
    deadline_s: float


def by_key(contracts: Iterable[Contract]) -> dict[str, Contract]:
    """Return contracts by their keys' digests; one in force goes before a retired one.

    A key may pass from a retired contract to another. Were the retired one found, a
    customer with a contract in force would be refused.
    """
    ordered = sorted(contracts, key=lambda contract: not contract.retired)
    return {contract.key_sha256: contract for contract in ordered}


def identify(request: Request, contracts: dict[str, Contract], now_s: float) -> Caller:
    """Return the caller by its key's digest; raises RequestError."""
    contract = contracts.get(digest_key(request.bearer()))
    if contract is None:
        raise RequestError(401, "wrong-key", "no contract has this key")
    return Caller(contract, now_s + _deadline_s(request))


def refuse(refusal: Refusal) -> Reply:
    """Return the final answer to a request that did not run."""
    headers = ((OUTCOME, Outcome.NOT_RUN),)
    # A refusal that no time will change gives no time to come back.
    if refusal.retry_after_s > 0:
        headers += (("retry-after", str(math.ceil(refusal.retry_after_s))),)
    error = {
        "code": refusal.code,
        "message": refusal.message,
        "retry_after_s": round(refusal.retry_after_s, 3),
    }
    return json_reply({"error": error}, refusal.status, headers)


def fail(status: int, code: str, message: str, outcome: Outcome) -> Reply:
    """Return a final answer that is an error, with its outcome."""
    headers = ((OUTCOME, outcome),)
    if outcome == Outcome.NOT_RUN:
        headers += (("retry-after", str(MIN_RETRY_AFTER_S)),)
    return json_reply({"error": {"code": code, "message": message}}, status, headers)


def with_outcome(handle: Handler) -> Handler:
    """Return a handler whose every answer tells the request's outcome."""

    async def run(request: Request):
        try:
            return await handle(request)
        except RequestError as error:
            # Raised for bad input only, before anything of the request has run.
            return error_reply(error, ((OUTCOME, Outcome.NOT_RUN),))
        except Exception:
            log.exception("{} {} failed.", request.method, request.path)
            return fail(500, "internal", "an internal error", Outcome.UNKNOWN)

    return run


def _deadline_s(request):
    text = request.headers.get(DEADLINE)
    if text is None:
        return MAX_DEADLINE_S
    try:
        wait_s = float(text) / 1000
    except ValueError:
        wait_s = -1.0
    if not 0 < wait_s <= MAX_DEADLINE_S:
        message = f"not milliseconds between 0 and {MAX_DEADLINE_S * 1000:.0f}"
        raise RequestError(400, "bad-deadline", message, DEADLINE)
    return wait_s
