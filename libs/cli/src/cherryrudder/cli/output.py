"""What a command prints: text for people, or JSON for programs."""

from typing import NamedTuple

import msgspec

from .errors import DONE


class Output(NamedTuple):
    """A command's result; `value` is what `--json` prints."""

    text: str
    value: object
    exit_code: int = DONE


def table(headers: tuple[str, ...], rows: list[tuple]) -> str:
    """Return rows under their heads, in columns of equal width."""
    cells = [headers, *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headers))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def format_json(value) -> str:
    """Return indented JSON."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def key_values(value: dict) -> str:
    """Return one `name: value` line for each field of a JSON object."""
    lines = []
    for name, item in value.items():
        text = item if isinstance(item, str) else msgspec.json.encode(item).decode()
        lines.append(f"{name}: {text}")
    return "\n".join(lines)
