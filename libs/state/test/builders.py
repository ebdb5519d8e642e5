"""Builders of test data for the state machine's tests, and its naive version."""

from hypothesis import Phase, settings, stateful, strategies as st

from cherryrudder.model.contracts import Contract, digest_key
from cherryrudder.model.endpoints import Stop
from cherryrudder.state import commands as c, machine

SETTINGS = settings(derandomize=True, database=None, deadline=None, max_examples=100)


def fuzz(make_machine):
    stateful.run_state_machine_as_test(make_machine, settings=SETTINGS)


def find_failure(make_machine):
    """Run a naive version until it fails; its failure need not be reduced."""
    quick = {"phases": [Phase.generate], "report_multiple_bugs": False}
    unshrunk = settings(SETTINGS, max_examples=1000, **quick)
    stateful.run_state_machine_as_test(make_machine, settings=unshrunk)


def a_contract(customer="petra-tours", **changes):
    key = digest_key(customer)
    contract = Contract(customer, key, ("briefing",), ("slots",), 10.0, 500.0, 8, 5.0)
    return contract._replace(**changes)


def a_put(change_id="c1", version=0, customer="petra-tours", **changes):
    return c.PutContract(change_id, version, a_contract(customer, **changes))


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

    def apply(self, command):
        payload = machine.encode_command(command)
        return machine.apply(self.state, self.state.applied_index + 1, payload)

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
        self.held = {}

    def restart(self):
        pass

    def apply(self, command):
        if isinstance(command, c.PutContract):
            return c.Answer("ok", "", command.expected_version + 1)
        held = self.held.get(command.key)
        if isinstance(command, c.CloseClaim):
            self.held[command.key] = held._replace(outcome=command.outcome)
            return c.Answer("ok")
        if held and held.outcome != "not-run":
            return c.ClaimAnswer("exists", held)
        self.held[command.key] = c.Claim(**command._asdict())
        return c.ClaimAnswer("granted", self.held[command.key])


names = st.sampled_from("xy")
change_ids = st.sampled_from([f"c{n}" for n in range(6)])
versions = st.integers(0, 3)
outcomes = st.sampled_from(["done", "not-run", "unknown"])
puts = st.builds(a_put, change_ids, versions, names, retired=st.booleans())
stops = st.builds(Stop, names, st.just("vm"), names)
commands = st.one_of(
    puts,
    st.builds(c.PutSetting, change_ids, versions, names, names),
    st.builds(c.AnnounceStop, change_ids, stops),
    st.builds(c.CancelStop, change_ids, names),
    st.builds(an_open, names, names, names),
    st.builds(a_close, outcomes, names, names),
    st.builds(c.TakeFence, names, names),
    st.builds(c.Clock, st.floats(0, 1e6)),
)
