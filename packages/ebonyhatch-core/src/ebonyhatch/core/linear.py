"""Weighted least squares over named features, with exponential decay and ridge regularization."""

from __future__ import annotations


class NormalEquations:
    """Normal equations of a least squares fit: weighted sums of the products of features."""

    __slots__ = ("_products", "_values", "_weight", "_total")

    def __init__(self) -> None:
        self._products: dict[tuple[str, str], float] = {}
        self._values: dict[str, float] = {}
        self._weight = 0.0
        self._total = 0.0

    @property
    def weight(self) -> float:
        """Total weight of the samples after decay."""
        return self._weight

    @property
    def mean(self) -> float:
        """Weighted mean value of the samples; 0 without samples."""
        return self._total / self._weight if self._weight else 0.0

    def add(self, *, features: dict[str, float], value: float, weight: float) -> None:
        """Adds a sample."""
        self._weight += weight
        self._total += weight * value
        for first, first_value in features.items():
            self._values[first] = self._values.get(first, 0.0) + weight * first_value * value
            for second, second_value in features.items():
                key = (first, second)
                self._products[key] = (
                    self._products.get(key, 0.0) + weight * first_value * second_value
                )

    def decay(self, factor: float) -> None:
        """Multiplies the weight of all earlier samples by `factor`."""
        self._weight *= factor
        self._total *= factor
        for key in self._products:
            self._products[key] *= factor
        for name in self._values:
            self._values[name] *= factor

    def solve(self, *, ridge: float) -> dict[str, float]:
        """Returns the coefficients, solved by Gauss-Jordan elimination.

        All but the intercept, whose feature name is `""`, are shrunk towards zero by `ridge`.
        """
        names = sorted(self._values)
        size = len(names)
        matrix = [
            [self._products.get((row, column), 0.0) for column in names] + [self._values[row]]
            for row in names
        ]
        for index, name in enumerate(names):
            matrix[index][index] += ridge if name else 1e-9
        for pivot in range(size):
            pivot_row = matrix[pivot]
            scale = pivot_row[pivot]
            if scale <= 0.0:
                continue
            for index in range(size):
                if index != pivot and matrix[index][pivot]:
                    factor = matrix[index][pivot] / scale
                    row = matrix[index]
                    for column in range(pivot, size + 1):
                        row[column] -= factor * pivot_row[column]
        return {
            name: matrix[index][size] / matrix[index][index]
            for index, name in enumerate(names)
            if matrix[index][index] > 0.0
        }
