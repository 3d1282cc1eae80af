"""Straight lines through measured points, by least squares."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

FEWEST = 4  # different sizes, below which a line says nothing


@dataclass(frozen=True, slots=True)
class Fit:
    """``value = intercept + slope * size``, and how far the points lie from it.

    ``slope`` is in the value's unit for each unit of size, ``intercept`` in the value's unit. ``r2`` is the
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
        """The line's value at this size, in the value's unit."""
        return self.intercept + self.slope * size

    def beyond(self, size: float) -> float:
        """By what factor this size lies beyond the largest measured one, or below the smallest; 1 within."""
        return max(1.0, size / self.largest, self.smallest / size)


def line(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """The least squares line (``numpy.linalg.lstsq``). ValueError for fewer than four different sizes, for
    lists of unequal length, and for values that are not finite."""
    if len(sizes) != len(values):
        raise ValueError(f"{len(sizes)} sizes, {len(values)} values")
    if len(set(sizes)) < FEWEST:
        raise ValueError(f"{len(set(sizes))} different sizes: a line takes at least {FEWEST}")
    x, y = np.asarray(sizes, dtype=float), np.asarray(values, dtype=float)
    if not (np.isfinite(x).all() and np.isfinite(y).all()):
        raise ValueError("a size or a value is not finite")
    (slope, intercept), *_ = np.linalg.lstsq(np.stack([x, np.ones_like(x)], axis=1), y, rcond=None)
    off = y - (intercept + slope * x)
    spread = float(((y - y.mean()) ** 2).sum())
    largest = float(np.abs(y).max())
    return Fit(
        slope=float(slope),
        intercept=float(intercept),
        r2=1.0 - float((off**2).sum()) / spread if spread else 1.0,
        residual=float(np.abs(off).max()) / largest if largest else 0.0,
        smallest=float(x.min()),
        largest=float(x.max()),
    )
