"""The `control` commands: show the control VMs' state and replace a lost one."""

from cherryrudder.model import jsoncodec

from . import client as operator
from .client import Client
from .errors import FAILED, BadInput, Conflict, Failed
from .output import Output, table
from .records import Status, Voter

# A learner has to receive a snapshot of some megabytes and the log after it, and each
# change of voters must be committed before the next. A minute is ample for both; if it
# takes longer, there is a fault that an operator has to look at.
VOTER_CHANGE_TIMEOUT_S = 60.0
RETRY_DELAY_S = 0.5
HEADERS = ("address", "vm", "disk", "role", "term", "leader", "commit", "applied")
MEMBER_HEADERS = ("vm", "disk", "frames address", "member")


def status():
    """Show each control VM's view of the log, and the voters.

    Exits with 1 if a control VM does not answer or none is leader.
    """

    def run(connect):
        found = operator.statuses(connect())
        rows = [_row(address, one) for address, one in sorted(found.items())]
        known = [one for one in found.values() if isinstance(one, Status)]
        text = table(HEADERS, rows)
        if known:
            text += "\n\n" + _members(newest_status(known))
        is_healthy = len(known) == len(found) and any(s.role == "leader" for s in known)
        value = {"control": jsoncodec.plain(found)}
        return Output(text, value, 0 if is_healthy else FAILED)

    return run


def replace(old_disk_id: str, new_vm: str, new_disk_id: str, new_address: str):
    """Replace a control VM whose disk is lost by a new one.

    Start the new one first, on a disk made by "cherryrudderd --join". It receives the
    log as a learner and becomes a voter once it has caught up; then the lost one is
    removed. After an interruption run the command again: it skips what is done.

    :param old_disk_id: id of the lost disk, as "control status" prints it
    :param new_vm: name of the new VM, which may be that of the lost one
    :param new_disk_id: id of the new disk, as "cherryrudderd --join" printed it
    :param new_address: IP:PORT of the new control VM's frame listener
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
        # The lost voter is removed last. If it were removed first, two of three voters
        # would be left, and a fault of either would stop all changes until the new one
        # is added.
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
    """Add a control VM as a learner and promote it to voter once it has caught up."""
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
    """Request a change of voters until the newest status shows it.

    The platform refuses to promote a learner that lags, since its vote would count
    towards a majority that lacks accepted changes, and refuses a change while another
    is in progress. Both conditions are temporary, so the request is repeated.

    Raises Conflict with the last refusal after VOTER_CHANGE_TIMEOUT_S, or Failed if the
    change was accepted but the status does not show it by then.
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
    """Return the member with a disk id, or None."""
    return next((one for one in members if one.disk_id == disk_id), None)


def current_status(client: Client) -> Status:
    """Return the newest status of all control VMs; raises Failed if none answers.

    All are queried because one that is cut off answers too, with outdated voters.
    """
    found = operator.statuses(client)
    known = [one for one in found.values() if isinstance(one, Status)]
    if not known:
        raise Failed("\n".join(f"{at}: {fault}" for at, fault in found.items()))
    return newest_status(known)


def newest_status(known: list[Status]) -> Status:
    """Return the status with the highest term and commit index."""
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
