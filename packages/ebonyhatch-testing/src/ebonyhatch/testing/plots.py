"""Scatter plots as SVG text."""

from __future__ import annotations

from collections.abc import Sequence

WIDTH = 640
HEIGHT = 420
MARGIN = 60
RADIUS = 5
COLORS = ("#1f77b4", "#d62728", "#2ca02c", "#9467bd")


def scatter(
    *,
    title: str,
    x_label: str,
    y_label: str,
    series: Sequence[tuple[str, Sequence[tuple[float, float, str]]]],
) -> str:
    """Renders named series of labeled points.

    Args:
        title: Title of the plot.
        x_label: Label of the horizontal axis.
        y_label: Label of the vertical axis.
        series: Name and points (x, y, label) of each series.

    Returns:
        An SVG document.
    """
    points = [point for _, series_points in series for point in series_points]
    left, right = _span([point[0] for point in points])
    low, high = _span([point[1] for point in points])

    def to_pixels(x: float, y: float) -> tuple[float, float]:
        return (
            MARGIN + (x - left) / (right - left) * (WIDTH - 2 * MARGIN),
            HEIGHT - MARGIN - (y - low) / (high - low) * (HEIGHT - 2 * MARGIN),
        )

    lines = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}"'
        ' font-family="sans-serif" font-size="11">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        _text(WIDTH / 2, 20, title, "middle"),
        _text(WIDTH / 2, HEIGHT - 10, f"{x_label} ({left:.3g} to {right:.3g})", "middle"),
        _text(10, MARGIN - 20, f"{y_label} ({low:.3g} to {high:.3g})", "start"),
        f'<path d="M{MARGIN} {MARGIN}V{HEIGHT - MARGIN}H{WIDTH - MARGIN}"'
        ' fill="none" stroke="black"/>',
    ]
    for number, (name, series_points) in enumerate(series):
        color = COLORS[number % len(COLORS)]
        lines.append(_text(WIDTH - MARGIN, MARGIN + 14 * number, name, "end", color))
        for x, y, label in series_points:
            x_px, y_px = to_pixels(x, y)
            lines.append(f'<circle cx="{x_px:.1f}" cy="{y_px:.1f}" r="{RADIUS}" fill="{color}"/>')
            lines.append(_text(x_px + 8, y_px - 4, label, "start", color))
    lines.append("</svg>")
    return "\n".join(lines) + "\n"


def _span(values: Sequence[float]) -> tuple[float, float]:
    low, high = min(values), max(values)
    padding = (high - low) * 0.1 or 1.0
    return low - padding, high + padding


def _text(x: float, y: float, text: str, anchor: str, color: str = "black") -> str:
    return f'<text x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}" fill="{color}">{text}</text>'
