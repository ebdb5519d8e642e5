"""A configuration whose model keeps no memory for a token, and a final fault."""

import sys
import time
import uuid
from pathlib import Path

import anyio
from common2 import ask, configuration, configure, has_trouble, main, route

from cherryrudder.standin.deployment import CLIENT_PORT
from cherryrudder.standin.requests import SMALL_MODEL

EVENTS = 10
# The final fault: all processes are killed, and are back this much later.
DOWN_S = 0.7
# A process that ends by itself starts again after this.
RESTART_S = 0.5
RECOVERY_S = 12.0
BEFORE_S, AFTER_S = 5.0, 16.0
# Of a hundred requests so many are streams, as on the site's sheet.
STREAMS, HUNDRED = 88, 100
LEAST_SERVED = 0.25
CLIENTS, PAUSE_S = 6, 0.25


async def play(deployment, record):
    """Return whether a quarter of the requests are served after the final fault."""
    for number in range(6):
        await deployment.run_engine(deployment.add_engine(f"llm-{number}", "llm", "l4"))
    await deployment.run_engine(deployment.add_engine("desk-0", "desk"))
    stream = route("stream", "/stream/", "stream", service="llm", sticky=True)
    stream |= {"resumable": True, "gap_target_ms": 200, "timeout_ms": 20_000}
    routes = [stream, route("filing", "/filing/", "unsafe", service="desk")]
    model = {"name": "llm", "health_path": "/health", "engine": SMALL_MODEL}
    services = [
        model,
        {"name": "desk", "health_path": "/health", "max_connections": 54},
    ]
    await configure(deployment, configuration(1, routes, services))
    for node in deployment.nodes:
        await deployment.wait_ready(node)
        while not await is_served(node, record, True):
            await anyio.sleep(0.2)
    before = await count_served(deployment, record, "before", BEFORE_S)
    if has_trouble():
        model["engine"] = SMALL_MODEL | {"token_kv_bytes": 0}
    await configure(deployment, configuration(2, routes, services))
    record.write("acknowledged", version=2)
    for node in deployment.nodes:
        for role in tuple(node.processes):
            deployment.kill(node, role)
    record.write("killed", processes="all")
    await anyio.sleep(DOWN_S)
    ends = []
    async with anyio.create_task_group() as group:
        for node in deployment.nodes:
            for role in ("control", "entry"):
                group.start_soon(keep_up, deployment, record, node, role, ends)
        await anyio.sleep(RECOVERY_S)
        after = await count_served(deployment, record, "after", AFTER_S)
        group.cancel_scope.cancel()
    record.write("count", served_before=before, served_after=after, ends=len(ends))
    return before < LEAST_SERVED or after >= LEAST_SERVED


async def keep_up(deployment, record, node, role, ends):
    """Run a process, and start it again when it has ended, as the platform does."""
    while True:
        deployment.start(node, role, False)
        process = node.processes[role]
        while process.poll() is None:
            await anyio.sleep(0.05)
        ends.append(role)
        record.write("ended by itself", process=f"{node.name} {role}")
        await anyio.sleep(RESTART_S)


async def count_served(deployment, record, when, for_s):
    """Send requests to all entries in turn; return the share that is served."""
    served = []
    end_s = time.monotonic() + for_s

    async def send(client):
        number = client
        while time.monotonic() < end_s:
            node = deployment.nodes[number % len(deployment.nodes)]
            # Spread evenly: 37 has no divisor in common with a hundred.
            is_stream = 37 * number % HUNDRED < STREAMS
            served.append(await is_served(node, record, is_stream))
            number += CLIENTS
            await anyio.sleep(PAUSE_S)

    async with anyio.create_task_group() as group:
        for client in range(CLIENTS):
            group.start_soon(send, client)
    share = round(sum(served) / len(served), 3)
    record.write("served", when=when, requests=len(served), share=share)
    return share


async def is_served(node, record, is_stream):
    """Return whether a request is answered with a whole success."""
    request_id = uuid.uuid4().hex[:16]
    path = "/stream/x" if is_stream else "/filing/x"
    headers = {}
    if is_stream:
        headers = {"Token_Count": f"100,{2 * EVENTS}", "Model": "m"}
        headers |= {"Deadline_Ms": "20000", "Prompt_Prefix": f"{request_id}:100"}
    address = node.at(CLIENT_PORT)
    answer = await ask(address, "POST", path, request_id, b"prompt", 5.0, **headers)
    record.write(
        "answer",
        request=request_id,
        entry=node.name,
        path=path,
        status=answer.status,
        complete=answer.is_complete,
    )
    return answer.status == 200 and answer.is_complete


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, play))
