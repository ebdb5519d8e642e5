"""The commands on control VMs: their state, and replacing a lost one."""

from cherryrudder.model import jsoncodec

from . import client as operator
from .client import Client
from .errors import FAILED, BadInput, Conflict, Failed
from .output import Output, table
from .records import Status, Voter

# A learner needs a snapshot of some megabytes and the log after it, and each change
# of voters must be committed before the next. A minute is ample for both; a longer
# wait means a fault that an operator has to look at.
VOTER_CHANGE_TIMEOUT_S = 60.0
RETRY_DELAY_S = 0.5
HEADERS = ("address", "vm", "disk", "role", "term", "leader", "commit", "applied")
MEMBER_HEADERS = ("vm", "disk", "frames address", "member")


def status():
    """Show how each control VM sees the log, and who votes.

    Ends with 1 if not all of them answer or none leads.
    """

    def run(connect):
        found = operator.statuses(connect())
        rows = [_row(address, one) for address, one in sorted(found.items())]
        known = [one for one in found.values() if isinstance(one, Status)]
        text = table(HEADERS, rows)
        if known:
            text += "\n\n" + _members(newest_status(known))
        healthy = len(known) == len(found) and any(s.role == "leader" for s in known)
        value = {"control": jsoncodec.plain(found)}
        return Output(text, value, 0 if healthy else FAILED)

    return run


def replace(old_disk_id: str, new_vm: str, new_disk_id: str, new_address: str):
    """Put a new control VM in the place of one whose disk is lost.

    Start the new one first, on a disk made by "cherryrudderd --join". It gets the log
    without a vote, and votes once it has caught up; then the lost one is taken out.
    After an interruption run it again: what is done is passed over.

    :param old_disk_id: the lost disk, as "control status" prints it
    :param new_vm: VM that takes its place; it may have the same name
    :param new_disk_id: the new disk, as "cherryrudderd --join" printed it
    :param new_address: IP:PORT of the new one's frame listener
    """
    new = Voter(new_vm, new_disk_id, new_address)

    def run(connect):
        client = connect()
        voters = current_status(client).voters
        old = find_member(voters, old_disk_id)
        if old is None and find_member(voters, new_disk_id) is None:
            held = ", ".join(one.disk_id for one in voters)
            raise BadInput(f"no voter has the disk {old_disk_id}; voters: {held}")
        add_voter(client, new)
        # The lost voter goes last. With it gone first, two of three voters would be
        # left, and a fault of either would stop all changes until the new one is in.
        if old is not None:
            retry_voter_change(
                client,
                "remove",
                old,
                lambda seen: not find_member(seen.voters, old_disk_id),
            )
        text = f"{new_vm}, disk {new_disk_id}, votes in place of {old_disk_id}"
        return Output(text, {"voters": jsoncodec.plain(current_status(client).voters)})

    return run


def add_voter(client: Client, voter: Voter) -> None:
    """Make a control VM a learner and, once it has caught up, a voter."""
    name = voter.disk_id
    retry_voter_change(
        client,
        "add-learner",
        voter,
        lambda seen: find_member(seen.learners, name) or find_member(seen.voters, name),
    )
    retry_voter_change(
        client, "promote", voter, lambda seen: find_member(seen.voters, name)
    )


def retry_voter_change(client: Client, action: str, voter: Voter, is_done) -> None:
    """Ask for a change of voters until it is seen; raises the last refusal.

    The platform refuses a learner that lags, since its vote would count towards a
    majority that lacks accepted changes, and a change while another is under way.
    Both pass with time.
    """
    deadline_s = client.clock() + VOTER_CHANGE_TIMEOUT_S
    while not is_done(current_status(client)):
        try:
            operator.change_voters(client, action, voter)
        except Conflict as error:
            if client.clock() >= deadline_s:
                raise Conflict(f"{action} {voter.disk_id}: {error}") from error
        else:
            if client.clock() >= deadline_s:
                raise Failed(f"{action} {voter.disk_id}: accepted, but not seen")
        client.sleep(RETRY_DELAY_S)


def find_member(members: tuple[Voter, ...], disk_id: str) -> Voter | None:
    """Return the member with a disk."""
    return next((one for one in members if one.disk_id == disk_id), None)


def current_status(client: Client) -> Status:
    """Return the newest status that any control VM gives; raises Failed without one.

    A control VM that is cut off answers too, with voters of long ago.
    """
    found = operator.statuses(client)
    known = [one for one in found.values() if isinstance(one, Status)]
    if not known:
        raise Failed("\n".join(f"{at}: {fault}" for at, fault in found.items()))
    return newest_status(known)


def newest_status(known: list[Status]) -> Status:
    """Return the status with the latest term and log."""
    return max(known, key=lambda one: (one.term, one.commit, one.role == "leader"))


COMMANDS = {"status": status, "replace": replace}


def _row(address, one):
    if not isinstance(one, Status):
        return (address, *[""] * (len(HEADERS) - 2), one)
    facts = (one.vm, one.disk_id, one.role, one.term, one.leader, one.commit)
    return (address, *facts, one.applied)


def _members(one):
    rows = [(v.vm, v.disk_id, v.address, "voter") for v in one.voters]
    rows += [(v.vm, v.disk_id, v.address, "learner") for v in one.learners]
    return table(MEMBER_HEADERS, rows)
