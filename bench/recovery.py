"""Measure recovery times after a process is killed or frozen.

All processes are real ones on loopback. The loss of the leader is timed until another
control VM accepts a change. The loss of a sidecar is timed until it has left every
entry's table, and until the stream that ran through it receives its next token. Finally
an entry's restart is timed, before and after 1,000 changes.
"""

import json
import sys
import tempfile
import threading
import time

import defopt
import httpx
from common import CUSTOMER, MODEL, find_leader, format_spread, make_high_limit_contract

from cherryrudder.fakes.deployment import Deployment, EngineSpec, wait_for

STAGES = 3
LAYERS = 4
# Two chains, so that one remains after each loss.
ENGINES = [
    EngineSpec(
        f"{chain}-{stage}", stage * LAYERS, (stage + 1) * LAYERS, tokens_per_s=400.0
    )
    for chain in "ab"
    for stage in range(STAGES)
]
TRY_S = 1.0
WAIT_TIMEOUT_S = 30.0
POLL_S = 0.02
LOSS_AT_TOKEN = 20
TOKENS = 400
CHANGES_BEHIND = 1_000


class Stream(threading.Thread):
    """A caller that records the arrival time of each token."""

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
        with httpx.Client(trust_env=False, timeout=WAIT_TIMEOUT_S) as http:
            with http.stream("POST", url, json=body, headers=headers) as reply:
                for line in reply.iter_lines():
                    self._record_line(line)

    def _record_line(self, line):
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
        deployment.put_contract(make_high_limit_contract()).raise_for_status()
        time.sleep(1.0)
        for how in ("kill", "freeze"):
            times_s = [measure_leader_loss(deployment, how, n) for n in range(runs)]
            print_times(f"{how} the leader, s to the next accepted change", times_s)
        for how in ("kill", "freeze"):
            losses = [measure_sidecar_loss(deployment, how) for _ in range(runs)]
            print_times(
                f"{how} a sidecar, s to leaving both tables", [a for a, _, _ in losses]
            )
            print_times(
                f"{how} a sidecar, s to the stream's next token",
                [b for _, b, _ in losses],
            )
            print("  the streams ended:", [end for _, _, end in losses], flush=True)
        measure_entry_restarts(deployment, runs)


def print_times(what, times_s):
    """Print one line of figures."""
    print(f"{what}: {format_spread(times_s)}, {len(times_s)} runs", flush=True)


def fail_node(node, how):
    """Kill or freeze a process."""
    node.kill() if how == "kill" else node.freeze()


def restore_node(deployment, node, how):
    """Start or thaw a process and wait until it is ready."""
    if how == "kill":
        node.start()
    else:
        node.thaw()
    deployment.wait_ready(node)


def measure_leader_loss(deployment, how, number):
    """Return the seconds from the leader's loss until another VM accepts a change."""
    wait_for(lambda: find_leader(deployment), WAIT_TIMEOUT_S, "a leader")
    leader = find_leader(deployment)
    others = [i for i, node in enumerate(deployment.controls) if node is not leader]
    fail_node(leader, how)
    started_s = time.monotonic()
    tries = 0
    while not try_change(deployment, others[tries % 2], f"{how}-{number}"):
        tries += 1
        if time.monotonic() - started_s > WAIT_TIMEOUT_S:
            raise TimeoutError("no change was accepted")
    took_s = time.monotonic() - started_s
    restore_node(deployment, leader, how)
    time.sleep(1.0)
    return took_s


def try_change(deployment, control, name):
    """Send a change to one control VM and return whether it was accepted.

    Retries use the same change id, as an operator's would.
    """
    value = {"kind": "put-setting", "change_id": name, "expected_version": 0}
    try:
        reply = deployment.change(value | {"name": name, "value": "1"}, control)
    except httpx.HTTPError:
        return False
    return reply.status_code == 200


def measure_sidecar_loss(deployment, how):
    """Fail the middle stage of a stream and measure the recovery.

    Returns the seconds until it left all tables, the longest pause between tokens
    in seconds, and how the stream ended.
    """
    stream = Stream(deployment)
    stream.start()
    wait_for(lambda: len(stream.times_s) > LOSS_AT_TOKEN, WAIT_TIMEOUT_S, "tokens")
    lost = next(
        node
        for node in deployment.engines
        if node.name.endswith("-1") and deployment.dump(node)["in_flight"]
    )
    fail_node(lost, how)
    lost_s = time.monotonic()
    left_s = {}
    wait_until_removed(deployment, lost, lost_s, left_s)
    wait_for(
        lambda: longest_pause_s(stream, lost_s) or not stream.is_alive(),
        WAIT_TIMEOUT_S,
        "token",
    )
    token_s = longest_pause_s(stream, lost_s)
    stream.join()
    restore_node(deployment, lost, how)
    deployment.wait_endpoints(len(ENGINES))
    time.sleep(1.0)
    return max(left_s.values()), token_s, stream.end


def wait_until_removed(deployment, lost, lost_s, left_s):
    """Wait until all entries have dropped a sidecar; add the times to `left_s`."""
    while len(left_s) < len(deployment.entries):
        for entry in deployment.entries:
            if entry.name not in left_s:
                if lost.name not in deployment.dump(entry)["endpoints"]:
                    left_s[entry.name] = time.monotonic() - lost_s
        if time.monotonic() - lost_s > WAIT_TIMEOUT_S:
            raise TimeoutError(f"{lost.name} has not left the tables")
        time.sleep(POLL_S)


def longest_pause_s(stream, lost_s):
    """Return the longest pause between tokens after a loss, or 0 if too few arrived.

    Tokens that had already passed the lost stage may still arrive after the loss, so
    the first gap is not necessarily the pause.
    """
    times_s = [lost_s] + [at_s for at_s in stream.times_s if at_s > lost_s]
    if len(times_s) < LOSS_AT_TOKEN:
        return 0.0
    return max(b - a for a, b in zip(times_s, times_s[1:], strict=False))


def measure_entry_restarts(deployment, runs):
    """Time repeated restarts of an entry, before and after 1,000 changes."""
    entry = deployment.entries[1]
    before_s = [measure_restart(deployment, entry) for _ in range(runs)]
    print_times("restart an entry, s until ready", before_s)
    entry.kill()
    for number in range(CHANGES_BEHIND):
        if not try_change(deployment, 0, f"behind-{number}"):
            raise RuntimeError("a change was not accepted")
    after_s = [measure_restart(deployment, entry) for _ in range(runs)]
    print_times(f"the same {CHANGES_BEHIND} changes behind", after_s)


def measure_restart(deployment, entry):
    """Kill an entry and return the seconds from its start until it is ready."""
    entry.kill()
    started_s = time.monotonic()
    deployment.restart(entry.name)
    return time.monotonic() - started_s


if __name__ == "__main__":
    sys.exit(defopt.run(main))
