"""Errors of the command-line tool, each with the exit code that it leads to."""

from cherryrudder.model.errors import CherryrudderError

DONE = 0
FAILED = 1
BAD_INPUT = 2
CONFLICT = 3


class CliError(CherryrudderError):
    """Base class of the tool's errors."""

    exit_code = FAILED


class BadInput(CliError):
    """The operator's input is invalid; the text has one line per fault."""

    exit_code = BAD_INPUT

    def __init__(self, *faults):
        super().__init__("\n".join(faults))


class Conflict(CliError):
    """The change was based on a state that has changed since."""

    exit_code = CONFLICT


class Failed(CliError):
    """A control VM sent an unexpected answer."""


class Unreachable(CliError):
    """No control VM answered; a request may have been carried out nevertheless."""

    def __init__(self, faults: dict[str, str], may_have_acted: bool):
        head = "no answer"
        if may_have_acted:
            # If a change that was accepted were reported as failed, the operator might
            # make a second, different one.
            head += "; a change may have been accepted, run the command again"
        lines = [f"  {address}: {fault}" for address, fault in faults.items()]
        super().__init__("\n".join([head, *lines]))
        self.may_have_acted = may_have_acted
