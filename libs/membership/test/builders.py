"""Test data for the membership tests, and naive versions of its functions."""

from hypothesis import Phase, settings, stateful, strategies as st

from cherryrudder.membership import (
    config as configs,
    reader as readers,
    table as tables,
)
from cherryrudder.model.contracts import Contract
from cherryrudder.model.endpoints import Announcement, Kind, Place, Stop
from cherryrudder.state import commands as c, machine

SETTINGS = settings(derandomize=True, database=None, deadline=None, max_examples=100)
LEASE_S = 2.0
PLACE = Place("vm-1", "amman-1", "jordan")


def fuzz(make_machine):
    stateful.run_state_machine_as_test(make_machine, settings=SETTINGS)


def find_failure(make_machine):
    """Run a naive version until it fails, without shrinking the failure."""
    quick = {"phases": [Phase.generate], "report_multiple_bugs": False}
    unshrunk = settings(SETTINGS, max_examples=1000, **quick)
    stateful.run_state_machine_as_test(make_machine, settings=unshrunk)


def an_announcement(endpoint="desk-1", start=1, sequence=1, **changes):
    life = (Kind.SERVICE, f"{start:014d}-aa", sequence)
    return Announcement(endpoint, *life, PLACE, "10.0.0.1:7001")._replace(**changes)


def naive_announce(table, announcement, lease_s, now_s):
    """Accept every announcement, in order of arrival."""
    table.rows.pop(announcement.endpoint, None)
    table.gone.pop(announcement.endpoint, None)
    return tables.announce(table, announcement, lease_s, now_s)


def naive_merge(reader, source, delta, now_s):
    """Merge every delta, even if it is older than the view."""
    view = reader.views[source]
    view.epoch = delta.asked if delta.full else delta.epoch
    view.version = delta.since
    return readers.merge(reader, source, delta, now_s)


def naive_take(config, delta):
    """Apply every delta, even if it is older than the configuration."""
    config.revision = min(config.revision, delta.revision - 1)
    return configs.apply_delta(config, delta)


def put(number, version, name):
    contract = Contract(name, f"{ord(name):064x}", ("m",), (), 1.0, 1.0, 1, 1.0)
    return c.PutContract(f"c{number}", version, contract)


def configurations(changes):
    """Return the states of a control VM before and after each of some changes."""
    states = [machine.new_state()]
    for number, (kind, name, version) in enumerate(changes):
        command = {
            "put": put(number, version, name),
            "set": c.PutSetting(f"c{number}", version, name, str(number)),
            "stop": c.AnnounceStop(f"c{number}", Stop(name, "vm", "vm-1")),
            "cancel": c.CancelStop(f"c{number}", name),
        }[kind]
        state = machine.restore(machine.snapshot(states[-1]))
        machine.apply(state, number + 1, machine.encode_command(command))
        states.append(state)
    return states


kinds = st.sampled_from(["put", "set", "stop", "cancel"])
changes = st.tuples(kinds, st.sampled_from("xyz"), st.integers(0, 2))
