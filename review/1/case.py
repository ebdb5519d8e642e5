"""The operator's versions are times of day in microseconds."""

import asyncio
import json
import os
import random
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins

DEADLINE_MS = 1000
CALLERS = 6
# The operator's versions: 4 December 2026, 05:30:00.000000, as one number.
FIRST_VERSION = 20261204
CALM_VERSION = 20261205
NEXT_VERSION = 20261204053000000000
BEFORE_S, RECOVERY_S, AFTER_S = 5.0, 12.0, 8.0
# The final fault: all processes are killed, and back after this long.
DOWN_S = 0.7
# A process that ends by itself starts again after this long.
RESTART_S = 1.0
READ_PATH = "/cherryrudder/Config.Read"


class Process:
    """A process of the router; the platform starts it again when it ends."""

    def __init__(self, deployment, number, role):
        self.deployment = deployment
        self.number = number
        self.role = role
        # How often it has ended by itself.
        self.ends = 0
        self.running = self._start(True)

    def _start(self, is_first):
        ip = self.deployment.machines[self.number]
        return self.deployment.start_process(self.number, ip, self.role, is_first)

    def kill(self):
        """Kill the process, as in the final fault."""
        self.running.kill()
        self.running.wait()
        self.running = None

    def start_again(self):
        """Start the process after the final fault."""
        self.running = self._start(False)

    async def watch(self, over):
        """Start the process again after each time that it ends by itself."""
        while not over.is_set():
            if self.running is not None and self.running.poll() is not None:
                self.ends += 1
                self.deployment.record.write(
                    "ended-by-itself",
                    machine=self.deployment.machines[self.number],
                    role=self.role,
                    code=self.running.poll(),
                )
                self.running = None
                await asyncio.sleep(RESTART_S)
                self.running = self._start(False)
            await asyncio.sleep(0.02)


async def send_requests(deployment, over, sent):
    """Send requests, one after the other, until an event."""
    record = deployment.record
    while not over.is_set():
        request_id = standins.new_id()
        address = f"{random.choice(deployment.machines)}:{standins.FRONT}"
        headers = standins.client_headers(request_id, DEADLINE_MS)
        record.write("sent", id=request_id, to=address)
        sent_s = record.now_s()
        try:
            answer = await standins.call(address, "GET", "/mu/2f", headers)
            status = answer[0]
        except standins.NoAnswer as error:
            status = f"none:{error}"
        record.write("ended", id=request_id, status=status)
        sent.append((sent_s, status))
        await asyncio.sleep(0.05)


async def read_back(deployment):
    """Read the config at all machines once."""
    for ip in deployment.machines:
        address, version = f"{ip}:{standins.CONTROL}", None
        try:
            status, _, body = await standins.call(address, "GET", READ_PATH)
            if status == 200:
                version = json.loads(body)["version"]
        except standins.NoAnswer:
            status = "none"
        deployment.record.write("read", machine=ip, status=status, version=version)


async def play(folder, record):
    """Run the case; return the processes, the requests and the times of the fault."""
    deployment = standins.Deployment(folder, record)
    sent, over = [], asyncio.Event()
    try:
        processes = [
            Process(deployment, number, role)
            for number in range(3)
            for role in ("control", "entry")
        ]
        async with asyncio.TaskGroup() as group:
            for process in processes:
                group.create_task(process.watch(over))
            for host in range(3):
                engine = standins.Engine(deployment, f"i-desk{host}", "wuno96b", host)
                await deployment.add_engine(engine)
            routes = [standins.route("query", "/mu/", "safe", "wuno96b")]
            first = standins.configuration(FIRST_VERSION, routes, ("wuno96b",))
            await deployment.configure(first)
            await deployment.wait_ready()
            await asyncio.sleep(3.0)
            for _ in range(CALLERS):
                group.create_task(send_requests(deployment, over, sent))
            await asyncio.sleep(BEFORE_S)
            is_calm = os.environ.get("TROUBLE") == "0"
            version = CALM_VERSION if is_calm else NEXT_VERSION
            await deployment.configure(first | {"version": version})
            fault_s = record.now_s()
            record.write("final-fault")
            for process in processes:
                process.kill()
            await asyncio.sleep(DOWN_S)
            for process in processes:
                process.start_again()
            back_s = record.now_s()
            record.write("back")
            await asyncio.sleep(RECOVERY_S)
            for _ in range(int(AFTER_S)):
                await read_back(deployment)
                await asyncio.sleep(1.0)
            over.set()
        return processes, sent, fault_s, back_s
    finally:
        deployment.stop()


def main():
    """Run the case and judge it."""
    record = standins.Record(Path(__file__).parent)
    try:
        with tempfile.TemporaryDirectory() as folder:
            result = asyncio.run(play(folder, record))
    except Exception as error:
        record.write("failed-to-run", error=repr(error))
        print(f"could not run: {error!r}")
        return 2
    processes, sent, fault_s, back_s = result
    before = [status for sent_s, status in sent if sent_s < fault_s - 1.0]
    after = [status for sent_s, status in sent if sent_s > back_s + RECOVERY_S]
    ends = {f"{one.role}-{one.number}": one.ends for one in processes if one.ends}
    was_served = 4 * before.count(200) >= len(before) > 0
    is_broken = was_served and 4 * after.count(200) < len(after)
    text = (
        f"served {before.count(200)} of {len(before)} requests before the final fault, "
        f"{after.count(200)} of {len(after)} sent later than recovery_s after the "
        f"machines were back; processes that ended by themselves: {ends}"
    )
    record.write("verdict", broken=is_broken, text=repr(text))
    print(text, "- RECOVER is broken" if is_broken else "- RECOVER holds")
    if not was_served or not after:
        return 2
    return int(is_broken)


if __name__ == "__main__":
    sys.exit(main())
