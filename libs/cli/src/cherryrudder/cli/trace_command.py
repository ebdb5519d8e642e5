"""The command `trace`: explain the end of a request from processes' log files."""

from pathlib import Path

from . import requestlog
from .errors import BadInput
from .output import Output
from .requestlog import Line


def trace(request_id: str, *files: Path):
    """Print the log lines of one request and the cause of its end.

    :param request_id: the id that the caller sent
    :param files: log files of entries and control VMs
    """

    def run(connect):
        lines = requestlog.read_files(files)
        found = requestlog.trace(lines, request_id)
        if not found.lines:
            raise BadInput(f"{request_id}: {found.cause}")
        begins_s = found.lines[0].time_s
        text = [_format_line(line, begins_s) for line in found.lines]
        if found.beside:
            text += [
                "beside it:",
                *(_format_line(line, begins_s) for line in found.beside),
            ]
        return Output("\n".join([*text, found.cause]), _plain(found))

    return run


def _plain(found):
    """Return the trace as dicts, for JSON output."""
    value = found._asdict()
    for name in ("lines", "beside"):
        value[name] = [line._asdict() for line in value[name]]
    return value


def _format_line(line: Line, begins_s: float):
    fields = {k: v for k, v in line.fields.items() if k != "request_id"}
    fields_text = " ".join(f"{name}={value}" for name, value in fields.items())
    at_s = line.time_s - begins_s
    return f"{at_s:+8.3f} {line.vm} {line.role} {line.part}: {line.event} {fields_text}"
