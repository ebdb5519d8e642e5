"""What an entry makes of the request rates that engines ask it to keep to."""

from typing import TYPE_CHECKING

from cherryrudder.platform.messages import AnswerFacts
from cherryrudder.routing import ratelimits
from cherryrudder.routing.ratelimits import Limit

if TYPE_CHECKING:
    from .job import Job


def note_answer(job: "Job", engine_id: str, facts: AnswerFacts, now_s: float) -> None:
    """Take what an engine's answer says of its limit."""
    book = job.state.limits
    if facts.has_bad_limit:
        job.note("engine-limit-unreadable", engine_id=engine_id)
    if facts.has_bad_limit and facts.limit_per_s is None:
        return
    known = book.limits.get(engine_id)
    if facts.limit_per_s is None and (known is None or job.sent_s <= known.said_s):
        # The engine may have made this answer before it named the limit.
        return
    if ratelimits.hear(book, engine_id, Limit(facts.limit_per_s, now_s)):
        job.state.metrics.beliefs.labels("engine-limit").inc()
        job.note(
            "engine-limit",
            True,
            engine_id=engine_id,
            limit_per_s=facts.limit_per_s,
            old_limit_per_s=known and known.per_s,
        )
