"""A report as an HTML page with a chart of the requests and outcomes per second."""

from html import escape

from .report import OUTCOMES, Report, table

COLOURS = {
    "in_time": "#4a8f5c",
    "late": "#d9b44a",
    "denied": "#b9b9b9",
    "refused": "#7a86b8",
    "failed": "#b4483c",
}
BAR_PX = 22
HEIGHT_PX = 220
MARGIN_PX = 40
LABEL_PX = 14


def page(report: Report) -> str:
    """Return a self-contained HTML page."""
    key = " ".join(
        f'<span style="color:{COLOURS[name]}">&#9632; {escape(name)}</span>'
        for name in OUTCOMES
    )
    return (
        "<!doctype html><meta charset=utf-8>"
        f"<title>{escape(report['title'])}</title>"
        f"<h1>{escape(report['title'])}</h1><p>{key}</p>"
        f"{chart(report)}<pre>{escape(table(report))}</pre>"
    )


def chart(report: Report) -> str:
    """Return an SVG chart with a bar for each second and the faults below."""
    windows = report["windows"]
    most = max((window["counts"]["asked"] for window in windows), default=0) or 1
    rows = sorted({fault for window in windows for fault in window["faults"]})
    width = MARGIN_PX + BAR_PX * len(windows) + 160
    height = HEIGHT_PX + LABEL_PX * (len(rows) + 1)
    parts = [f'<text x="0" y="12" font-size="11">{most} a second</text>']
    for number, window in enumerate(windows):
        x = MARGIN_PX + number * BAR_PX
        parts += _bar(window["counts"], x, HEIGHT_PX / most)
        parts += _fault_marks(window["faults"], rows, x)
    for number, fault in enumerate(rows):
        y = HEIGHT_PX + LABEL_PX * (number + 1)
        x = MARGIN_PX + BAR_PX * len(windows) + 4
        parts.append(f'<text x="{x}" y="{y}" font-size="11">{escape(fault)}</text>')
    body = "".join(parts)
    size = f'width="{width}" height="{height}"'
    return f'<svg {size} font-family="sans-serif">{body}</svg>'


def _bar(counts, x, scale):
    y = float(HEIGHT_PX)
    for name in OUTCOMES:
        height = counts[name] * scale
        y -= height
        yield (
            f'<rect x="{x}" y="{y:.1f}" width="{BAR_PX - 2}" height="{height:.1f}"'
            f' fill="{COLOURS[name]}"/>'
        )


def _fault_marks(faults, rows, x):
    for fault in faults:
        y = HEIGHT_PX + LABEL_PX * rows.index(fault) + 5
        yield f'<rect x="{x}" y="{y}" width="{BAR_PX}" height="8" fill="#999"/>'
