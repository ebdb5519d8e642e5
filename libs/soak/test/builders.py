"""Builders of the history of a run, for the tests of the checks."""

from cherryrudder.soak.guarantees import Ack, Answer, Disturbance, History
from cherryrudder.standin import requests
from cherryrudder.standin.engine import Arrival

EVENTS = 3


def an_answer(request_id="1", kind="filing", **changes):
    """Return a complete and correct answer."""
    body = requests.expected_receipt(request_id)
    if kind == "stream":
        body = requests.expected_stream(request_id, EVENTS)
    answer = Answer(request_id, kind, "k1", "front-0", 100.0, 100.1, 200, body, True)
    return answer._replace(**changes)


def an_ack(version, at_s, keys=("k1", "k2")):
    """Return an acknowledged configuration."""
    return Ack(version, keys, at_s)


def an_arrival(request_id="1", engine_id="e1", at_s=100.0):
    """Return the arrival of a request at an engine."""
    return Arrival(request_id, engine_id, "t", at_s)


def a_disturbance(kind="kill-entry", target="front-0", begins_s=99.0, ends_s=100.0):
    """Return a fault or planned maintenance."""
    return Disturbance(kind, target, begins_s, ends_s)


def a_history(*answers, **seen):
    """Return a history; each answered request ran once unless `runs` is given."""
    seen.setdefault("runs", tuple(a.request_id for a in answers if a.status == 200))
    return History(answers=answers, events=EVENTS, **seen)
