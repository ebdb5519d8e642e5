"""Builders of test data for the state machine's tests, and its naive versions."""

from hypothesis import Phase, settings, strategies as st

from cherryrudder.model.contracts import Contract, digest_key
from cherryrudder.model.endpoints import Stop
from cherryrudder.state import commands as c, machine

SETTINGS = settings(derandomize=True, database=None, deadline=None, max_examples=100)
# A naive version need only fail, not be reduced to its smallest failure.
UNSHRUNK = settings(
    SETTINGS,
    max_examples=1000,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)


def a_contract(customer="petra-tours", **changes):
    key = digest_key(customer)
    contract = Contract(customer, key, ("briefing",), ("slots",), 10.0, 500.0, 8, 5.0)
    return contract._replace(**changes)


def an_open(attempt="a1", key="k1", endpoint="desk-1", **changes):
    place = ("filings", endpoint, "1-a", "10.0.0.1:7001")
    command = c.OpenClaim("petra-tours", key, "body", attempt, *place)
    return command._replace(**changes)


def a_close(outcome, attempt="a1", key="k1", body=""):
    return c.CloseClaim("petra-tours", key, attempt, outcome, 200, body)


class Voter:
    """The state machine behind a log, as one control VM runs it."""

    def __init__(self):
        self.state = machine.new_state()
        self.index = 0

    def apply(self, command):
        self.index += 1
        payload = machine.encode_command(command)
        return machine.apply(self.state, self.index, payload)

    def restart(self):
        self.state = machine.restore(machine.snapshot(self.state))

    def pass_time(self, wait_s):
        """Let a time pass in steps that the clock allows."""
        start_s = self.state.clock_s or 0.0
        for step in range(int(wait_s // 60) + 1):
            self.apply(c.Clock(start_s + 60.0 * step))
        self.apply(c.Clock(start_s + wait_s))


class NaiveVoter:
    """Last writer wins, and claims by key alone, closed by any attempt's outcome."""

    def __init__(self):
        self.versions = {}
        self.claims = {}

    def restart(self):
        pass

    def apply(self, command):
        if isinstance(command, c.PutContract):
            customer = command.contract.customer
            self.versions[customer] = self.versions.get(customer, 0) + 1
            return c.Answer("ok", "", self.versions[customer])
        held = self.claims.get(command.key)
        if isinstance(command, c.CloseClaim):
            self.claims[command.key] = held._replace(outcome=command.outcome)
            return c.Answer("ok")
        if held and held.outcome != "not-run":
            return c.ClaimAnswer("exists", held)
        self.claims[command.key] = c.Claim(**command._asdict())
        return c.ClaimAnswer("granted", self.claims[command.key])


class Sidecars:
    """Every sidecar's at-most-once gate, and the calls that really ran."""

    def __init__(self):
        self.ran = set()
        self.tombstones = set()
        self.runs = []

    def run(self, claim):
        attempt = (claim.endpoint, claim.attempt_id)
        if attempt not in self.ran | self.tombstones:
            self.ran.add(attempt)
            self.runs.append(claim.key)

    def refuse(self, claim):
        """Put a tombstone on an attempt and tell whether it never ran."""
        attempt = (claim.endpoint, claim.attempt_id)
        if attempt not in self.ran:
            self.tombstones.add(attempt)
        return attempt in self.tombstones


class DictReader:
    """The plainest reader of deltas: a dict, laid over or replaced."""

    def __init__(self):
        self.revision = 0
        self.held = {}

    def take(self, delta):
        if delta.revision <= self.revision:
            return
        self.held = {} if delta.full else self.held
        self.held |= {held.contract.customer: held for held in delta.contracts}
        self.held |= {("stop", held.stop.stop_id): held for held in delta.stops}
        self.held |= {("setting", held.name): held for held in delta.settings}
        for stop_id in delta.cancelled:
            self.held.pop(("stop", stop_id), None)
        self.revision = delta.revision


def a_put(change_id, version, customer, rate, retired):
    contract = a_contract(customer, requests_per_s=rate, retired=retired)
    return c.PutContract(change_id, version, contract)


names = st.sampled_from("xy")
change_ids = st.sampled_from([f"c{n}" for n in range(6)])
versions = st.integers(0, 3)
rates = st.sampled_from([1.0, 2.0])
outcomes = st.sampled_from(["done", "not-run", "unknown"])
puts = st.builds(a_put, change_ids, versions, names, rates, st.booleans())
stops = st.builds(Stop, names, st.just("vm"), names)
other_changes = st.one_of(
    st.builds(c.PutSetting, change_ids, versions, names, names),
    st.builds(c.AnnounceStop, change_ids, stops),
    st.builds(c.CancelStop, change_ids, names),
)
commands = st.one_of(
    puts,
    other_changes,
    st.builds(an_open, names, names, names),
    st.builds(a_close, outcomes, names, names),
    st.builds(c.TakeFence, names, names),
    st.builds(c.Clock, st.floats(0, 1e6)),
)
