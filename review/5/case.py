"""An engine crashes inside an answer without a length, while its entry is frozen."""

import collections
import signal
import sys
import uuid
from pathlib import Path

import anyio
from common2 import ask, configuration, configure, has_trouble, main, route

from cherryrudder.standin.deployment import CLIENT_PORT
from cherryrudder.standin.engine import Engine

FILINGS = 9
# How long the entry's machine is frozen, and when the engine crashes and is back.
FROZEN_S, CRASH_AFTER_S, BACK_AFTER_S = 3.0, 0.5, 1.5


async def play(deployment, record):
    """Return whether no answer that ended early looked complete."""
    fleet = deployment.fleet
    # Their answers have neither a length nor chunks.
    fleet.ends_by_connection, fleet.answer_bytes = True, 800
    engines = [deployment.add_engine(f"desk-{n}", "desk") for n in range(3)]
    for engine in engines:
        await deployment.run_engine(engine)
    routes = [route("filing", "/filing/", "unsafe", service="desk")]
    services = [{"name": "desk", "health_path": "/health", "max_connections": 54}]
    await configure(deployment, configuration(1, routes, services))
    for node in deployment.nodes:
        await deployment.wait_ready(node)
        while (await request(node, record)).status != 200:
            await anyio.sleep(0.2)
    for engine in engines:
        engine.is_hanging_in_answers = True
    node, answers = deployment.nodes[0], []

    async def file():
        answers.append(await request(node, record))

    before = len(fleet.runs)
    async with anyio.create_task_group() as group:
        for _ in range(FILINGS):
            group.start_soon(file)
        while len(fleet.runs) < before + FILINGS:
            await anyio.sleep(0.01)
        # By now each has answered with the first half.
        await anyio.sleep(0.3)
        for run in fleet.runs[before:]:
            record.write("run", request=run.request_id, server=run.engine_id)
        if has_trouble():
            await freeze_and_crash(deployment, record, node, fleet.runs[before:])
        for engine in engines:
            engine.is_hanging_in_answers = False
    ended_early = [
        one for one in answers if one.status == 200 and is_cut(one, fleet.answer_bytes)
    ]
    record.write(
        "count",
        filings=len(answers),
        whole=sum(one.status == 200 for one in answers) - len(ended_early),
        half_but_complete=len(ended_early),
    )
    return not ended_early


def is_cut(answer, size):
    """Return whether an answer looks complete and isn't."""
    return answer.is_complete and len(answer.body) < size


async def freeze_and_crash(deployment, record, node, runs):
    """Freeze an entry; meanwhile an engine crashes, and starts with a new id."""
    counts = collections.Counter(run.engine_id for run in runs)
    name, _ = counts.most_common(1)[0]
    fleet = deployment.fleet
    engine = next(e for e in fleet.engines.values() if e.engine_id == name)
    process = node.processes["entry"]
    process.send_signal(signal.SIGSTOP)
    record.write("frozen", process=f"{node.name} entry")
    try:
        await anyio.sleep(CRASH_AFTER_S)
        engine.die()
        record.write("crashed", server=name)
        await anyio.sleep(BACK_AFTER_S - CRASH_AFTER_S)
        again = Engine(fleet, f"{name}-again", engine.address, engine.service)
        await deployment.run_engine(again)
        record.write("started", server=again.engine_id)
        await anyio.sleep(FROZEN_S - BACK_AFTER_S)
    finally:
        process.send_signal(signal.SIGCONT)
    record.write("thawed", process=f"{node.name} entry")


async def request(node, record):
    """File something on a new channel."""
    request_id = uuid.uuid4().hex[:16]
    record.write("sent", request=request_id, entry=node.name)
    address = node.at(CLIENT_PORT)
    answer = await ask(address, "POST", "/filing/x", request_id, b"a filing")
    record.write(
        "answer",
        request=request_id,
        status=answer.status,
        complete=answer.is_complete,
        bytes=len(answer.body),
    )
    return answer


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, play))
