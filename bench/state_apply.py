"""Measure the state machine and the endpoint table, without network or disk.

Prints one line per figure: the median of the rounds, then the lowest and the highest.
Run it from the root with the libraries' `src` folders on PYTHONPATH.
"""

import random
import statistics
import time

import defopt

from cherryrudder.membership import table as tables
from cherryrudder.membership.reader import Reader, endpoints, merge, position
from cherryrudder.model.contracts import Contract, digest_key
from cherryrudder.model.endpoints import Announcement, Kind, Place
from cherryrudder.model.jsoncodec import encode
from cherryrudder.state.commands import Clock, CloseClaim, OpenClaim, PutContract
from cherryrudder.state.machine import (
    apply,
    delta,
    encode_command,
    new_state,
    restore,
    snapshot,
)

# Target sizes of the platform.
CONTRACTS = 260
CLAIMS = 10_000
NODES = 370
ENDPOINTS = 1_100
LEASE_S = 2.0
RECEIPT = '{"receipt":"2026-000000","text":"' + "x" * 200 + '"}'


def make_put_contract(number, version=0):
    """Return a put of a contract with two models and two services."""
    name = f"customer-{number}"
    contract = Contract(
        name,
        digest_key(name),
        ("briefing", "summary"),
        ("filings", "receipts"),
        40.0,
        2000.0 + version,
        64,
        5.0,
    )
    return PutContract(f"change-{number}-{version}", version, contract)


def make_open_claim(number):
    """Return a claim as an entry opens it, with ids of the usual lengths."""
    rng = random.Random(number)
    key, attempt = (f"{rng.getrandbits(128):032x}" for _ in range(2))
    return OpenClaim(
        f"customer-{number % CONTRACTS}",
        key,
        f"{rng.getrandbits(256):064x}",
        attempt,
        "filings",
        f"filing-{number % 3}",
        "1764702000000-5e884898",
        "10.0.12.34:7001",
    )


def make_close_claim(opened):
    """Return the command that closes a claim with a receipt as its body."""
    place = (opened.customer, opened.key, opened.attempt_id)
    return CloseClaim(*place, "done", 200, RECEIPT)


def make_announcement(number, sequence=1, leaving=False):
    """Return an engine's announcement."""
    return Announcement(
        f"briefing-{number}",
        Kind.ENGINE,
        "1764702000000-5e884898",
        sequence,
        Place(f"vm-{number}", "amman-1", "jordan"),
        "10.0.12.34:7001",
        "10.0.12.34:7002",
        model="briefing",
        version="1",
        accelerator="type-a",
        end_layer=16,
        model_layers=32,
        slots=8,
        tokens_per_s=100.0,
        leaving=leaving,
    )


def make_table(count):
    """Return a table of `count` announced engines."""
    table = tables.Table("5e884898")
    for number in range(count):
        tables.announce(table, make_announcement(number), LEASE_S, 0.0)
    return table


def time_rounds(work, rounds, count=1):
    """Return each round's duration in µs, divided by the `count` operations in it."""
    times_us = []
    for number in range(rounds):
        start = time.perf_counter()
        work(number)
        times_us.append((time.perf_counter() - start) / count * 1e6)
    return times_us


def print_figure(name, values, unit):
    """Print the median, the lowest and the highest value."""
    middle = statistics.median(values)
    print(f"{name:44} {middle:12,.1f} {min(values):12,.1f} {max(values):12,.1f} {unit}")


def print_rate(name, micros):
    print_figure(name, [1e6 / value for value in micros], "per s")


def apply_all(state, payloads):
    for payload in payloads:
        apply(state, state.applied_index + 1, payload)


def measure_applies(rounds):
    """Measure records applied per second; return a state of the target size."""
    puts = [encode_command(make_put_contract(n)) for n in range(CONTRACTS)]
    opened = [make_open_claim(n) for n in range(CLAIMS)]
    opens = [encode_command(command) for command in opened]
    closes = [encode_command(make_close_claim(command)) for command in opened]
    kinds = (("PutContract", puts), ("OpenClaim", opens), ("CloseClaim", closes))
    states = [new_state() for _ in range(rounds)]
    for name, payloads in kinds:
        times_us = time_rounds(
            lambda n, p=payloads: apply_all(states[n], p), rounds, len(payloads)
        )
        print_rate(f"apply {name}", times_us)
        print_figure(f"log record of {name}", [len(payloads[0])], "bytes")
    clocks = [encode_command(Clock(float(n))) for n in range(1000)]
    times_us = time_rounds(lambda n: apply_all(states[n], clocks), rounds, len(clocks))
    print_rate(f"apply Clock over {CLAIMS:,} claims", times_us)
    return states[0]


def measure_snapshot(state, rounds):
    """Measure the snapshot's size, in total and per record, and its duration."""
    text = snapshot(state)
    print_figure(
        f"snapshot, {CONTRACTS} contracts, {CLAIMS:,} claims", [len(text)], "bytes"
    )
    print_figure(
        "snapshot per claim",
        [len(encode(list(state.claims.values()))) / CLAIMS],
        "bytes",
    )
    contract_bytes = len(encode(list(state.contracts.values()))) / CONTRACTS
    answer_bytes = len(encode(list(state.changes.items()))) / len(state.changes)
    print_figure("snapshot per contract", [contract_bytes], "bytes")
    print_figure("snapshot per kept answer", [answer_bytes], "bytes")
    print_figure(
        "write the snapshot", time_rounds(lambda _: snapshot(state), rounds), "us"
    )
    print_figure("restore it", time_rounds(lambda _: restore(text), rounds), "us")


def measure_config(state, rounds):
    """Measure the size and cost of the configuration deltas sent to readers."""
    apply(state, state.applied_index + 1, encode_command(make_put_contract(0, 1)))
    one = encode(delta(state, state.revision - 1))
    print_figure("configuration delta, one contract", [len(one)], "bytes")
    print_figure(
        "configuration, all contracts", [len(encode(delta(state, 0)))], "bytes"
    )
    print_figure(
        "empty configuration delta",
        [len(encode(delta(state, state.revision)))],
        "bytes",
    )
    times_us = time_rounds(lambda _: delta(state, state.revision), rounds * 100)
    print_figure("make an empty configuration delta", times_us, "us")


def measure_table(rounds):
    """Measure announcements and deltas at the target number of endpoints."""
    print_figure("announcement", [len(encode(make_announcement(7)))], "bytes")
    table = make_table(ENDPOINTS)

    def renew(number):
        for endpoint in range(ENDPOINTS):
            renewal = make_announcement(endpoint, number + 2)
            tables.announce(table, renewal, LEASE_S, number / 2)

    built = time_rounds(
        lambda n: [make_announcement(e, n) for e in range(ENDPOINTS)], rounds, ENDPOINTS
    )
    times_us = time_rounds(renew, rounds, ENDPOINTS)
    print_figure(
        "renew a lease", [a - b for a, b in zip(times_us, built, strict=True)], "us"
    )
    times_us = time_rounds(lambda _: tables.expire(table, 0.0), rounds * 10)
    print_figure(f"expire over {ENDPOINTS:,} endpoints", times_us, "us")
    measure_table_deltas(table, rounds)


def measure_table_deltas(table, rounds):
    before = table.version
    everything = tables.delta_since(table, "", 0)
    print_figure(
        f"full delta, {ENDPOINTS:,} endpoints", [len(encode(everything))], "bytes"
    )
    empty = tables.delta_since(table, table.epoch, before)
    print_figure("empty delta", [len(encode(empty))], "bytes")
    tables.announce(table, make_announcement(5, 10**6, leaving=True), LEASE_S, 0.0)
    one = tables.delta_since(table, table.epoch, before)
    print_figure("delta of one change", [len(encode(one))], "bytes")

    def answer_all(_):
        for _ in range(NODES):
            encode(tables.delta_since(table, table.epoch, before))

    print_figure(
        f"one change to {NODES} readers", time_rounds(answer_all, rounds), "us"
    )
    reader = Reader()
    merge(reader, "north", everything, 0.0)
    merge(reader, "south", everything, 0.0)
    assert position(reader, "north") == (table.epoch, before)
    times_us = time_rounds(lambda _: endpoints(reader, 0.0), rounds)
    print_figure(f"list {ENDPOINTS:,} endpoints of two sources", times_us, "us")


def main(*, rounds: int = 11):
    """Measure all of it.

    :param rounds: how often each timed piece of work is done
    """
    state = measure_applies(rounds)
    measure_snapshot(state, rounds)
    measure_config(state, rounds)
    measure_table(rounds)


if __name__ == "__main__":
    defopt.run(main)
