"""Errors of the command-line tool; each knows the exit code that it ends with."""

from cherryrudder.model.errors import CherryrudderError

DONE = 0
FAILED = 1
BAD_INPUT = 2
CONFLICT = 3


class CliError(CherryrudderError):
    """Base of the tool's errors."""

    exit_code = FAILED


class BadInput(CliError):
    """Something that the operator gave cannot be used; one message per fault."""

    exit_code = BAD_INPUT

    def __init__(self, *faults):
        super().__init__("\n".join(faults))


class Conflict(CliError):
    """The change was made for a state that is no longer there."""

    exit_code = CONFLICT


class Failed(CliError):
    """A control VM answered, but not as it should."""


class Unreachable(CliError):
    """No control VM gave an answer; one may have acted all the same."""

    def __init__(self, faults: dict[str, str], may_have_acted: bool):
        head = "no answer"
        if may_have_acted:
            # Telling an operator "failed" about a change that was accepted would
            # invite a second, different one.
            head += "; a change may have been accepted, run the command again"
        lines = [f"  {address}: {fault}" for address, fault in faults.items()]
        super().__init__("\n".join([head, *lines]))
        self.may_have_acted = may_have_acted
