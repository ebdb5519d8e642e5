"""Clients resume their streams after an entry is killed; their route is split."""

import sys
import uuid
from pathlib import Path

import anyio
from common2 import ask, configuration, configure, has_trouble, main, route

from cherryrudder.standin.deployment import CLIENT_PORT
from cherryrudder.standin.engine import NOT_RUN, Engine, Run
from cherryrudder.standin.requests import SMALL_MODEL

STREAMS = 24
EVENTS = 50
EVENT_S = 0.03
KILL_AFTER_S = 0.8
RESTART_S = 1.0


class PlainStreams(Engine):
    """A server of a service without layers, which streams and resumes."""

    async def _handle_request(self, exchange, headers, target):
        request_id = headers[b"request-id"].decode()
        own = [(b"request-id", request_id.encode()), (b"response-seal", b"seal")]
        if headers.get(b"expect-instance", b"").decode() != self.engine_id:
            await exchange.answer(421, [*own, *NOT_RUN])
            return
        self.fleet.runs.append(Run(request_id, self.engine_id, "", target))
        last = headers.get(b"last-event-id", b"").decode()
        self.record.write("run", request=request_id, server=self.engine_id, after=last)
        await exchange.begin(200, [*own, (b"content-type", b"text/event-stream")])
        for number in range(int(last or 0) + 1, EVENTS + 1):
            await anyio.sleep(EVENT_S)
            await exchange.send(f"id: {number}\ndata: token\n\n".encode())
        await exchange.end()


async def play(deployment, record):
    """Return whether each client got each event of its stream once and in order."""
    fleet = deployment.fleet
    fleet.event_s = EVENT_S
    for number in range(6):
        await deployment.run_engine(deployment.add_engine(f"llm-{number}", "llm", "l4"))
    for number in range(3):
        address = deployment.add_engine(f"plain-{number}", "plain").address
        server = PlainStreams(fleet, f"plain-{number}", address, "plain")
        server.record = record
        await deployment.run_engine(server)
    stream = {"sticky": True, "resumable": True, "gap_target_ms": 200}
    stream |= {"timeout_ms": 20_000}
    whole = [{"service": "llm", "weight": 1}]
    halves = [{"service": "llm", "weight": 50}, {"service": "plain", "weight": 50}]
    routes = [
        route("warm", "/warm/", "stream", traffic_split=whole, **stream),
        route("stream", "/stream/", "stream", traffic_split=halves, **stream),
    ]
    services = [
        {"name": "llm", "health_path": "/health", "engine": SMALL_MODEL},
        {"name": "plain", "health_path": "/health", "max_connections": 54},
    ]
    await configure(deployment, configuration(1, routes, services))
    for node in deployment.nodes:
        await deployment.wait_ready(node)
        while (await request(node, record, "/warm/x", 0)).status != 200:
            await anyio.sleep(0.2)
    held = []
    async with anyio.create_task_group() as group:
        for _ in range(STREAMS):
            group.start_soon(consume, deployment, record, held)
        if has_trouble():
            await anyio.sleep(KILL_AFTER_S)
            node = deployment.nodes[0]
            deployment.kill(node, "entry")
            record.write("killed", process=f"{node.name} entry")
            await anyio.sleep(RESTART_S)
            deployment.start(node, "entry", False)
            record.write("started", process=f"{node.name} entry")
    record.write("count", streams=len(held), not_in_order=held.count(False))
    return all(held)


async def consume(deployment, record, held):
    """Get one stream, and resume it once at another entry if its channel breaks."""
    answer = await request(deployment.nodes[0], record, "/stream/x", 0)
    numbers = event_numbers(answer)
    if not answer.is_complete:
        answer = await request(
            deployment.nodes[1], record, "/stream/x", max(numbers, default=0)
        )
        numbers += event_numbers(answer)
    # A stream that broke off twice may lack its end.
    held.append(numbers == list(range(1, len(numbers) + 1)))


async def request(node, record, path, last):
    """Request a stream, from its start or after an event that the client has."""
    request_id = uuid.uuid4().hex[:16]
    headers = {"Token_Count": f"100,{2 * EVENTS}", "Model": "m", "Deadline_Ms": "20000"}
    headers["Prompt_Prefix"] = f"{request_id}:100"
    if last:
        headers["Last_Event_Id"] = str(last)
    record.write("sent", request=request_id, path=path, entry=node.name, after=last)
    address = node.at(CLIENT_PORT)
    answer = await ask(address, "POST", path, request_id, b"prompt", **headers)
    record.write(
        "answer",
        request=request_id,
        status=answer.status,
        complete=answer.is_complete,
        events=",".join(map(str, event_numbers(answer))),
    )
    return answer


def event_numbers(answer):
    """Return the numbers of the whole events that came."""
    whole, _, _ = answer.body.rpartition(b"\n\n")
    lines = whole.split(b"\n")
    return [int(line[3:]) for line in lines if line.startswith(b"id:")]


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, play))
