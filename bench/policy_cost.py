"""Measure the cost of one decision, by number of endpoints and of customers.

Run with the libraries on the path: `PYTHONPATH=... python bench/policy_cost.py`.
Each figure is the median over all rounds of a round's mean, in µs of processor time.
"""

import random
import statistics
import time

from cherryrudder.model.contracts import Contract
from cherryrudder.model.endpoints import Announcement, Kind, Place
from cherryrudder.policy import admission as adm, dispatch, placement
from cherryrudder.policy.dispatch import Dispatcher
from cherryrudder.policy.fleet import Fleet
from cherryrudder.policy.limits import Share
from cherryrudder.policy.placement import Need
from cherryrudder.policy.shares import Allocator, grant_lease, set_bound, set_entries

ENDPOINTS = (3, 43, 1100)
CUSTOMERS = (10, 260)
ROUNDS = 15
CALLS = 200
# Fraction of slots in use while choosing, as under normal heavy load.
BUSY_FRACTION = 0.8


def measure(call):
    """Return the cost of one call in µs of processor time."""
    rounds = []
    for _ in range(ROUNDS):
        start = time.process_time()
        for _ in range(CALLS):
            call()
        rounds.append((time.process_time() - start) / CALLS * 1e6)
    return statistics.median(rounds)


def slope(sizes, costs):
    """Return the cost in µs per unit of size, from the smallest to the largest size."""
    return (costs[-1] - costs[0]) / (sizes[-1] - sizes[0])


def make_fleet(count, stages):
    """Return a busy fleet of `count` engines that form chains of `stages` stages."""
    rng = random.Random(1)
    centres = ("a-1", "a-2", "a-3")
    announcements = []
    for number in range(count):
        stage = number % stages
        centre = centres[number // stages % len(centres)]
        announcements.append(
            Announcement(
                endpoint=f"g{number}",
                kind=Kind.ENGINE,
                incarnation="1",
                sequence=1,
                place=Place(f"vm{number}", centre, "a"),
                address="",
                model="briefing",
                version="1",
                accelerator=("a100", "h100", "l40", "mi300")[number % 4],
                first_layer=stage,
                end_layer=stage + 1,
                model_layers=stages,
                slots=16,
                tokens_per_s=rng.choice((200.0, 400.0, 800.0, 1600.0)),
            )
        )
    fleet = Fleet(rng, Place("entry", "a-1", "a"))
    placement.update(fleet, announcements, 0.0)
    for number in range(count):
        for _ in range(int(16 * BUSY_FRACTION)):
            placement.record_start(fleet, f"g{number}", 0.0)
    return fleet


def measure_choice(count, stages, prefixes):
    """Return the cost of choosing a chain and recording its start and withdrawal."""
    fleet = make_fleet(count, stages)
    rng = random.Random(2)

    def choose():
        prefix = f"p{rng.randrange(prefixes)}" if prefixes else ""
        chain = placement.choose_chain(fleet, Need("briefing", "1", 100, prefix), 1.0)
        for stage in chain.stages:
            placement.record_start(fleet, stage.endpoint, 1.0)
        for stage in chain.stages:
            placement.record_withdrawal(fleet, stage.endpoint, 1.0)

    return measure(choose)


def measure_review(count):
    """Return the cost of one review of all endpoints."""
    fleet = make_fleet(count, 1)
    now = [1.0]

    def review():
        now[0] += 0.5
        for member in fleet.members.values():
            member.health.signal_s = now[0]
        placement.review(fleet, now[0])

    return measure(review)


def make_admission(customers):
    """Return an `Admission` with one contract for each of `customers` customers."""
    admission = adm.Admission(100_000)
    for number in range(customers):
        name = f"c{number}"
        contract = Contract(name, "", ("m", "briefing"), (), 1e6, 1e6, 10_000, 5.0)
        adm.set_contract(admission, contract, 1.0, 0.0)
    return admission


def measure_admission(customers, waiting_per_customer):
    """Return the cost of one request from offer to settlement.

    `waiting_per_customer` requests of each customer are queued meanwhile.
    """
    admission = make_admission(customers)
    count = [0]

    def offer():
        count[0] += 1
        name = f"c{count[0] % customers}"
        request_id = f"r{count[0]}"
        new_offer = adm.Offer(request_id, name, "m", 50, 100, 0, 1e9)
        return adm.offer(admission, new_offer, 1.0)

    if waiting_per_customer:
        offer()
        adm.put_back(admission, "r1", 1.0)
        for _ in range(customers * waiting_per_customer):
            offer()
    is_full = [False]

    def place(request_id):
        is_full[0] = not is_full[0]
        return is_full[0]

    def request():
        result = offer()
        if isinstance(result, adm.Admitted):
            adm.settle(admission, f"r{count[0]}", 100, 1.0)
            return
        for started in adm.release(admission, 1.0, place):
            adm.settle(admission, started.request_id, 100, 1.0)

    return measure(request)


def measure_dispatch(count, customers):
    """Return the cost of one request from arrival to settlement, with placement."""
    dispatcher = Dispatcher(make_admission(customers), make_fleet(count, 1))
    sent = [0]

    def request():
        sent[0] += 1
        customer = f"c{sent[0] % customers}"
        new_offer = adm.Offer(f"r{sent[0]}", customer, "briefing", 50, 100, 0, 1e9)
        work = dispatch.Work(new_offer, version="1")
        for effect in dispatch.submit(dispatcher, work, 1.0):
            dispatch.finish(dispatcher, effect.request_id, 100, 0.5, 1.0)

    return measure(request)


def measure_tick(customers, waiting_per_customer):
    """Return the cost of one tick that scans the queue while no endpoint is free."""
    dispatcher = Dispatcher(make_admission(customers), Fleet(random.Random(1)))
    for number in range(customers * waiting_per_customer):
        new_offer = adm.Offer(f"r{number}", f"c{number % customers}", "m", 1, 1, 0, 1e9)
        dispatch.submit(dispatcher, dispatch.Work(new_offer), 0.0)
    now = [0.0]

    def tick():
        now[0] += 1e-4
        dispatch.tick(dispatcher, now[0])

    return measure(tick)


def measure_share_renewal(entries, demand):
    """Return the cost of one renewal of one customer's share."""
    allocator = Allocator("a", 2.0, -10.0)
    names = [f"e{number}" for number in range(entries)]
    set_entries(allocator, names)
    set_bound(allocator, "c", Share(100.0, 1000.0, 100))
    last = dict.fromkeys(names, 0)
    now = [0.0]

    def renew():
        now[0] += 0.5 / entries
        name = names[round(now[0] * entries / 0.5) % entries]
        last[name] = grant_lease(
            allocator, name, "c", demand, now[0], last[name]
        ).number

    return measure(renew)


def print_costs(title, sizes, costs):
    """Print one line of figures."""
    figures = "  ".join(
        f"{size}: {cost:.1f}" for size, cost in zip(sizes, costs, strict=True)
    )
    print(f"{title}: {figures}  slope {slope(sizes, costs):.4f}")


def main():
    print("µs by number of endpoints")
    for stages in (1, 3):
        for prefixes in (0, 5000):
            costs = [measure_choice(count, stages, prefixes) for count in ENDPOINTS]
            kind = "with prefix" if prefixes else "no prefix"
            print_costs(f"choose chain of {stages}, {kind}", ENDPOINTS, costs)
    print_costs(
        "choose chain of 8", (43, 1100), [measure_choice(n, 8, 0) for n in (43, 1100)]
    )
    costs = [measure_dispatch(count, 10) for count in ENDPOINTS]
    print_costs("whole request, 10 customers", ENDPOINTS, costs)
    costs = [measure_review(count) for count in ENDPOINTS]
    print_costs("review, twice a second", ENDPOINTS, costs)
    print("µs by number of customers")
    for waiting in (0, 1, 10):
        costs = [measure_admission(count, waiting) for count in CUSTOMERS]
        print_costs(f"request, {waiting} of each waiting", CUSTOMERS, costs)
    costs = [measure_dispatch(43, count) for count in CUSTOMERS]
    print_costs("whole request, 43 endpoints", CUSTOMERS, costs)
    costs = [measure_tick(count, 5) for count in CUSTOMERS]
    print_costs("tick, 5 of each waiting", CUSTOMERS, costs)
    print("µs by number of entries")
    for title, demand in (("busy", Share(50.0, 500.0, 50)), ("idle", Share(0, 0, 0))):
        costs = [measure_share_renewal(count, demand) for count in (3, 15)]
        print_costs(f"renew a share, {title} customer", (3, 15), costs)


if __name__ == "__main__":
    main()
