"""Online linear fit with forgetting, robust to single outliers."""

from collections.abc import Sequence

# Relative ridge term; keeps the fit defined while a feature does not vary.
RIDGE = 1e-4
# A sample further than this factor from the prediction is clipped to it, so that one
# outlier moves the fit little while a lasting change is still followed.
CLIP_FACTOR = 3.0
MIN_SAMPLES_TO_CLIP = 8


class LinearFit:
    """Least squares fit of ``y = c0 + c1*x1 + ...`` over decaying weights.

    Parameters
    ----------
    features : int
        Number of features besides the constant.
    memory : float
        Samples after which an old one has lost most of its weight.

    Examples
    --------
    >>> fit = LinearFit(1, memory=100)
    >>> for x in range(50):
    ...     fit.observe((x,), 1.0 + 2.0 * x)
    >>> round(fit.predict((10,)), 1)
    21.0
    """

    __slots__ = (
        "_coefficients",
        "_coefficients_outdated",
        "_matrix",
        "_retained_weight",
        "_vector",
        "samples",
    )

    def __init__(self, features: int, memory: float = 200.0):
        size = features + 1
        self._retained_weight = 1.0 - 1.0 / memory
        self._matrix = [[0.0] * size for _ in range(size)]
        self._vector = [0.0] * size
        self._coefficients = [0.0] * size
        self._coefficients_outdated = False
        self.samples = 0

    def observe(self, features: Sequence[float], value: float) -> None:
        """Add one sample."""
        if self.samples >= MIN_SAMPLES_TO_CLIP:
            value = self._clip(self.predict(features), value)
        row = (1.0, *features)
        retained_weight = self._retained_weight
        for index, row_value in enumerate(row):
            matrix_row = self._matrix[index]
            for column, column_value in enumerate(row):
                matrix_row[column] = (
                    matrix_row[column] * retained_weight + row_value * column_value
                )
            self._vector[index] = (
                self._vector[index] * retained_weight + row_value * value
            )
        self.samples += 1
        self._coefficients_outdated = True

    def predict(self, features: Sequence[float]) -> float:
        """Return the fitted value, never negative; 0 without samples."""
        if self._coefficients_outdated:
            self._coefficients = self._solve()
            self._coefficients_outdated = False
        total = self._coefficients[0]
        for factor, value in zip(self._coefficients[1:], features, strict=True):
            total += factor * value
        return max(0.0, total)

    @staticmethod
    def _clip(expected: float, value: float) -> float:
        if expected <= 0.0:
            return value
        return min(max(value, expected / CLIP_FACTOR), expected * CLIP_FACTOR)

    def _solve(self) -> list[float]:
        """Solve the regularised normal equations by elimination."""
        size = len(self._vector)
        rows = [[*self._matrix[i], self._vector[i]] for i in range(size)]
        for index in range(size):
            rows[index][index] += RIDGE * rows[index][index] + 1e-12
        for index in range(size):
            pivot = rows[index]
            for other in rows[index + 1 :]:
                factor = other[index] / pivot[index]
                for column in range(index, size + 1):
                    other[column] -= factor * pivot[column]
        return self._substitute(rows)

    @staticmethod
    def _substitute(rows: list[list[float]]) -> list[float]:
        size = len(rows)
        result = [0.0] * size
        for index in reversed(range(size)):
            known_terms = sum(
                rows[index][k] * result[k] for k in range(index + 1, size)
            )
            result[index] = (rows[index][size] - known_terms) / rows[index][index]
        return result
