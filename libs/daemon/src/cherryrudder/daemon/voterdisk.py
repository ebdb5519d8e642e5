"""Creates a control VM's disk for `cherryrudderd --init` and `--join`."""

from cherryrudder.model.settings import Settings, split_address
from cherryrudder.quorum.events import Voter
from cherryrudder.quorum.files import init_disk, join_disk

from .errors import StartError


def create(settings: Settings, founders=()) -> str:
    """Create the voter's files and return a line for the operator; raises StartError.

    Founders are strings VM=IP:PORT, the same on every founding VM. The disk id of a
    founder is derived from its VM's name; a later disk gets a random id.
    """
    folder = settings.quorum.data_folder
    vm = settings.process.vm
    if settings.process.role != "control" or not folder:
        raise StartError("only a control VM with a data folder has a disk to create")
    if founders:
        voters = tuple(_founder(text) for text in founders)
        if vm not in {voter.vm for voter in voters}:
            raise StartError(f"the founding voters do not name this VM, {vm}")
        result = init_disk(folder, vm, settings.listen.frames, voters)
    else:
        result = join_disk(folder, vm, settings.listen.frames)
    if result.is_error():
        raise StartError(str(result.error))
    identity = result.ok
    return f"{folder}: disk {identity.disk_id} of VM {identity.vm}"


def _founder(text):
    vm, _, address = text.partition("=")
    try:
        split_address(address)
    except ValueError as error:
        raise StartError(f"{text!r} is not VM=IP:PORT ({error})") from error
    return Voter(vm, f"{vm}-founder", address)
