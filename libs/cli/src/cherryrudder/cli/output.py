"""Output of a command: text for people, or JSON for programs."""

from typing import NamedTuple

import msgspec

from .errors import DONE


class Output(NamedTuple):
    """A command's result; `value` is printed with `--json`, `text` without."""

    text: str
    value: object
    exit_code: int = DONE


def table(headers: tuple[str, ...], rows: list[tuple]) -> str:
    """Format rows under their headers, each column padded to its widest cell."""
    cells = [headers, *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headers))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def format_json(value) -> str:
    """Return the value as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def key_values(value: dict) -> str:
    """Return one `name: value` line for each field of a JSON object."""
    lines = []
    for name, item in value.items():
        text = item if isinstance(item, str) else msgspec.json.encode(item).decode()
        lines.append(f"{name}: {text}")
    return "\n".join(lines)
