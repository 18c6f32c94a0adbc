"""A small scatter plot as SVG text."""

from __future__ import annotations

from collections.abc import Sequence

WIDTH = 640
HEIGHT = 420
MARGIN = 60
RADIUS = 5
COLOURS = ("#1f77b4", "#d62728", "#2ca02c", "#9467bd")


def scatter(
    *,
    title: str,
    across: str,
    up: str,
    series: Sequence[tuple[str, Sequence[tuple[float, float, str]]]],
) -> str:
    """Plot named series of labelled points.

    Args:
        title: Heading of the plot.
        across: Name of the horizontal axis.
        up: Name of the vertical axis.
        series: For each: its name and its points (x, y, label).

    Returns:
        An SVG document.
    """
    points = [point for _, entries in series for point in entries]
    left, right = _span([point[0] for point in points])
    low, high = _span([point[1] for point in points])

    def place(x: float, y: float) -> tuple[float, float]:
        return (
            MARGIN + (x - left) / (right - left) * (WIDTH - 2 * MARGIN),
            HEIGHT - MARGIN - (y - low) / (high - low) * (HEIGHT - 2 * MARGIN),
        )

    lines = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}"'
        ' font-family="sans-serif" font-size="11">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        _text(WIDTH / 2, 20, title, "middle"),
        _text(WIDTH / 2, HEIGHT - 10, f"{across} ({left:.3g} to {right:.3g})", "middle"),
        _text(10, MARGIN - 20, f"{up} ({low:.3g} to {high:.3g})", "start"),
        f'<path d="M{MARGIN} {MARGIN}V{HEIGHT - MARGIN}H{WIDTH - MARGIN}"'
        ' fill="none" stroke="black"/>',
    ]
    for number, (name, entries) in enumerate(series):
        colour = COLOURS[number % len(COLOURS)]
        lines.append(_text(WIDTH - MARGIN, MARGIN + 14 * number, name, "end", colour))
        for x, y, label in entries:
            across_px, up_px = place(x, y)
            lines.append(
                f'<circle cx="{across_px:.1f}" cy="{up_px:.1f}" r="{RADIUS}" fill="{colour}"/>'
            )
            lines.append(_text(across_px + 8, up_px - 4, label, "start", colour))
    lines.append("</svg>")
    return "\n".join(lines) + "\n"


def _span(values: Sequence[float]) -> tuple[float, float]:
    low, high = min(values), max(values)
    gap = (high - low) * 0.1 or 1.0
    return low - gap, high + gap


def _text(x: float, y: float, text: str, anchor: str, colour: str = "black") -> str:
    return f'<text x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}" fill="{colour}">{text}</text>'
