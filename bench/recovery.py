"""Measure how long the platform takes to go on after a process dies or freezes.

All processes are real ones on loopback. A leader's loss is timed until the next change
is accepted by another control VM; a sidecar's loss until it has left every entry's
table, and until the stream that ran through it has its next token. At last an entry's
restart is timed, before and after 1,000 changes.
"""

import json
import sys
import tempfile
import threading
import time

import defopt
import httpx
from common import CUSTOMER, MODEL, leader_of, spread, wide_contract

from cherryrudder.fakes.deployment import Deployment, EngineSpec, wait_for

STAGES = 3
LAYERS = 4
# Two chains for each loss, so that there is always one to go on with.
ENGINES = [
    EngineSpec(
        f"{chain}-{stage}", stage * LAYERS, (stage + 1) * LAYERS, tokens_per_s=400.0
    )
    for chain in "ab"
    for stage in range(STAGES)
]
TRY_S = 1.0
WAIT_S = 30.0
POLL_S = 0.02
LOSE_AT_TOKEN = 20
TOKENS = 400
BEHIND = 1_000


class Stream(threading.Thread):
    """A caller that notes when each token came."""

    def __init__(self, deployment):
        super().__init__()
        self.address = deployment.entries[0].addresses["caller"]
        self.times_s = []
        self.end = "cut"

    def run(self) -> None:
        """Stream one completion."""
        body = {
            "model": MODEL,
            "prompt": "weather hold at the pad",
            "max_tokens": TOKENS,
            "stream": True,
        }
        headers = {"authorization": f"Bearer {CUSTOMER}"}
        url = f"http://{self.address}/v1/completions"
        with httpx.Client(trust_env=False, timeout=WAIT_S) as http:
            with http.stream("POST", url, json=body, headers=headers) as reply:
                for line in reply.iter_lines():
                    self._take(line)

    def _take(self, line):
        if line == "data: [DONE]":
            self.end = "done"
        elif line.startswith("data: ") and json.loads(line[6:]).get("choices"):
            self.times_s.append(time.monotonic())


def main(*, runs: int = 5) -> None:
    """Print the figures.

    :param runs: Losses of each kind.
    """
    with (
        tempfile.TemporaryDirectory(prefix="cherryrudder-") as folder,
        Deployment(folder, engines=ENGINES) as deployment,
    ):
        deployment.start()
        deployment.wait_endpoints(len(ENGINES))
        deployment.put_contract(wide_contract()).raise_for_status()
        time.sleep(1.0)
        for how in ("kill", "freeze"):
            times_s = [lose_leader(deployment, how, n) for n in range(runs)]
            show(f"{how} the leader, s to the next accepted change", times_s)
        for how in ("kill", "freeze"):
            losses = [lose_sidecar(deployment, how) for _ in range(runs)]
            show(
                f"{how} a sidecar, s to leaving both tables", [a for a, _, _ in losses]
            )
            show(
                f"{how} a sidecar, s to the stream's next token",
                [b for _, b, _ in losses],
            )
            print("  the streams ended:", [end for _, _, end in losses], flush=True)
        catch_up(deployment, runs)


def show(what, times_s):
    """Print one line of figures."""
    print(f"{what}: {spread(times_s)}, {len(times_s)} runs", flush=True)


def lose(node, how):
    """Kill or freeze a process."""
    node.kill() if how == "kill" else node.freeze()


def bring_back(deployment, node, how):
    """Start or thaw a process and wait until it is whole again."""
    if how == "kill":
        node.start()
    else:
        node.thaw()
    deployment.wait_ready(node)


def lose_leader(deployment, how, number):
    """Return the seconds from the leader's loss until a change is accepted."""
    wait_for(lambda: leader_of(deployment), WAIT_S, "a leader")
    leader = leader_of(deployment)
    others = [i for i, node in enumerate(deployment.controls) if node is not leader]
    lose(leader, how)
    started_s = time.monotonic()
    tries = 0
    while not is_accepted(deployment, others[tries % 2], f"{how}-{number}"):
        tries += 1
        if time.monotonic() - started_s > WAIT_S:
            raise TimeoutError("no change was accepted")
    took_s = time.monotonic() - started_s
    bring_back(deployment, leader, how)
    time.sleep(1.0)
    return took_s


def is_accepted(deployment, control, name):
    """Ask one control VM for a change; the same id each time, as an operator would."""
    value = {"kind": "put-setting", "change_id": name, "expected_version": 0}
    try:
        reply = deployment.change(value | {"name": name, "value": "1"}, control)
    except httpx.HTTPError:
        return False
    return reply.status_code == 200


def lose_sidecar(deployment, how):
    """Lose the middle stage of a stream; return seconds to the table and the token."""
    stream = Stream(deployment)
    stream.start()
    wait_for(lambda: len(stream.times_s) > LOSE_AT_TOKEN, WAIT_S, "tokens")
    victim = next(
        node
        for node in deployment.engines
        if node.name.endswith("-1") and deployment.dump(node)["in_flight"]
    )
    lose(victim, how)
    lost_s = time.monotonic()
    left_s = {}
    wait_for_table(deployment, victim, lost_s, left_s)
    wait_for(
        lambda: resumed_s(stream, lost_s) or not stream.is_alive(), WAIT_S, "token"
    )
    token_s = resumed_s(stream, lost_s)
    stream.join()
    bring_back(deployment, victim, how)
    deployment.wait_endpoints(len(ENGINES))
    time.sleep(1.0)
    return max(left_s.values()), token_s, stream.end


def wait_for_table(deployment, victim, lost_s, left_s):
    """Fill in when a lost sidecar left each entry's table."""
    while len(left_s) < len(deployment.entries):
        for entry in deployment.entries:
            if entry.name not in left_s:
                if victim.name not in deployment.dump(entry)["endpoints"]:
                    left_s[entry.name] = time.monotonic() - lost_s
        if time.monotonic() - lost_s > WAIT_S:
            raise TimeoutError(f"{victim.name} has not left the tables")
        time.sleep(POLL_S)


def resumed_s(stream, lost_s):
    """Return the longest pause between tokens after a loss; 0 while none has come.

    Tokens that were already past the lost stage may still come after its loss.
    """
    times_s = [lost_s] + [at_s for at_s in stream.times_s if at_s > lost_s]
    if len(times_s) < LOSE_AT_TOKEN:
        return 0.0
    return max(b - a for a, b in zip(times_s, times_s[1:], strict=False))


def catch_up(deployment, runs):
    """Time an entry's start, fresh each time, before and after 1,000 changes."""
    entry = deployment.entries[1]
    before_s = [restart(deployment, entry) for _ in range(runs)]
    show("restart an entry, s until ready", before_s)
    entry.kill()
    for number in range(BEHIND):
        if not is_accepted(deployment, 0, f"behind-{number}"):
            raise RuntimeError("a change was not accepted")
    after_s = [restart(deployment, entry) for _ in range(runs)]
    show(f"the same {BEHIND} changes behind", after_s)


def restart(deployment, entry):
    """Return the seconds from an entry's start until it is ready."""
    entry.kill()
    started_s = time.monotonic()
    deployment.restart(entry.name)
    return time.monotonic() - started_s


if __name__ == "__main__":
    sys.exit(defopt.run(main))
