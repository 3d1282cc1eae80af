"""Least-squares fits of straight lines to measured points."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

MIN_SIZES = 4  # distinct sizes that a fit needs to be meaningful


@dataclass(frozen=True, slots=True)
class Fit:
    """``value = intercept + slope * size``, with the quality of the fit.

    ``slope`` is in the value's unit per unit of size, ``intercept`` in the value's unit. ``r2`` is the
    coefficient of determination, ``residual`` the largest distance of a point from the line as a share of the
    largest value measured. ``smallest`` and ``largest`` are the sizes that were measured.
    """

    slope: float
    intercept: float
    r2: float
    residual: float
    smallest: float
    largest: float

    def at(self, size: float) -> float:
        """Return the line's value at this size, in the value's unit."""
        return self.intercept + self.slope * size

    def extrapolation_factor(self, size: float) -> float:
        """Return the factor by which a size lies outside the range of measured sizes, or 1 within it."""
        return max(1.0, size / self.largest, self.smallest / size)


def line(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Return the least-squares line (``numpy.linalg.lstsq``).

    Raises ValueError for fewer than four distinct sizes, for lists of unequal length, and for values that
    are not finite.
    """
    if len(sizes) != len(values):
        raise ValueError(f"{len(sizes)} sizes, {len(values)} values")
    if len(set(sizes)) < MIN_SIZES:
        raise ValueError(f"{len(set(sizes))} different sizes: a line takes at least {MIN_SIZES}")
    x, y = np.asarray(sizes, dtype=float), np.asarray(values, dtype=float)
    if not (np.isfinite(x).all() and np.isfinite(y).all()):
        raise ValueError("a size or a value is not finite")
    (slope, intercept), *_ = np.linalg.lstsq(np.stack([x, np.ones_like(x)], axis=1), y, rcond=None)
    residuals = y - (intercept + slope * x)
    total_sum_of_squares = float(((y - y.mean()) ** 2).sum())
    largest = float(np.abs(y).max())
    return Fit(
        slope=float(slope),
        intercept=float(intercept),
        r2=1.0 - float((residuals**2).sum()) / total_sum_of_squares if total_sum_of_squares else 1.0,
        residual=float(np.abs(residuals).max()) / largest if largest else 0.0,
        smallest=float(x.min()),
        largest=float(x.max()),
    )
