"""Weighted least squares over named features, with decay and a ridge."""

from __future__ import annotations


class NormalEquations:
    """Sums of products of features, from which the coefficients are solved."""

    __slots__ = ("_products", "_values", "_weight", "_total")

    def __init__(self) -> None:
        self._products: dict[tuple[str, str], float] = {}
        self._values: dict[str, float] = {}
        self._weight = 0.0
        self._total = 0.0

    @property
    def weight(self) -> float:
        """Samples taken in, decayed."""
        return self._weight

    @property
    def mean(self) -> float:
        """Mean value of the samples."""
        return self._total / self._weight if self._weight else 0.0

    def add(self, *, features: dict[str, float], value: float, weight: float) -> None:
        """Take in a sample."""
        self._weight += weight
        self._total += weight * value
        for first, left in features.items():
            self._values[first] = self._values.get(first, 0.0) + weight * left * value
            for second, right in features.items():
                key = (first, second)
                self._products[key] = self._products.get(key, 0.0) + weight * left * right

    def decay(self, factor: float) -> None:
        """Make all former samples count less."""
        self._weight *= factor
        self._total *= factor
        for key in self._products:
            self._products[key] *= factor
        for name in self._values:
            self._values[name] *= factor

    def solve(self, *, ridge: float) -> dict[str, float]:
        """Solve for the coefficients; all but the intercept `""` are drawn to zero."""
        names = sorted(self._values)
        size = len(names)
        matrix = [
            [self._products.get((row, column), 0.0) for column in names] + [self._values[row]]
            for row in names
        ]
        for number, name in enumerate(names):
            matrix[number][number] += ridge if name else 1e-9
        for pivot in range(size):
            head = matrix[pivot]
            scale = head[pivot]
            if scale <= 0.0:
                continue
            for number in range(size):
                if number != pivot and matrix[number][pivot]:
                    factor = matrix[number][pivot] / scale
                    row = matrix[number]
                    for column in range(pivot, size + 1):
                        row[column] -= factor * head[column]
        return {
            name: matrix[number][size] / matrix[number][number]
            for number, name in enumerate(names)
            if matrix[number][number] > 0.0
        }
