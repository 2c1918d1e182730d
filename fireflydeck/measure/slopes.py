"""Least-squares lines through measured values."""

from collections.abc import Sequence

from attrs import frozen

__all__ = ["Line", "fit_line"]


@frozen(kw_only=True)
class Line:
    """Line ``base + slope * x``.

    Examples
    --------
    >>> Line(base=1.0, slope=2.0).at(3)
    7.0
    """

    base: float
    slope: float

    def at(self, x: float) -> float:
        """Return the value of the line at `x`."""
        return self.base + self.slope * x


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Return the least-squares line through the points.

    Raises
    ------
    ValueError
        If there are fewer than two different x values.
    """
    if len({x for x, _ in points}) < 2:
        raise ValueError("a line needs at least two different x values")
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = covariance / sum((x - mean_x) ** 2 for x, _ in points)
    return Line(base=mean_y - slope * mean_x, slope=slope)
