"""The command `losses`: count the causes of lost requests in processes' log files."""

from pathlib import Path

from . import losses as attribution, requestlog
from .output import Output, table

HEADERS = ("requests", "share", "cause")


def losses(*files: Path, width_s: float = 2.0, other: Path | None = None):
    """Attribute each late, refused or broken response to one cause.

    :param files: log files of entries and control VMs
    :param width_s: length of the intervals in the list below the table, seconds
    :param other: a log file of another run, whose shares are shown for comparison
    """

    def run(connect):
        found = attribution.attribute(requestlog.read_files(files))
        counts = attribution.count_causes(found)
        lines = [table(HEADERS, [_row(one) for one in counts])]
        if other is not None:
            lines += ["", _comparison_table(counts, other)]
        intervals = attribution.count_by_interval(found, width_s)
        lines += [
            "",
            *(_format_interval(n, part, width_s) for n, part in intervals.items()),
        ]
        value = {
            "causes": [one._asdict() for one in counts],
            "requests": [one._asdict() for one in found],
        }
        return Output("\n".join(lines), value)

    return run


def _comparison_table(counts, other):
    other_counts = attribution.count_causes(
        attribution.attribute(requestlog.read_files([other]))
    )
    other_shares = {one.cause: one.share for one in other_counts}
    names = dict.fromkeys([one.cause for one in counts] + list(other_shares))
    own_shares = {one.cause: one.share for one in counts}
    rows = [
        (f"{own_shares.get(name, 0):.3f}", f"{other_shares.get(name, 0):.3f}", name)
        for name in names
    ]
    return table(("share", "other", "cause"), rows)


def _row(one):
    return (str(one.requests), f"{one.share:.3f}", one.cause)


def _format_interval(number, counts, width_s):
    causes = ", ".join(f"{one.cause} {one.requests}" for one in counts)
    return f"{number * width_s:6.1f} s  {causes}"
