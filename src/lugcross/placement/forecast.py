# SPDX-License-Identifier: Apache-2.0
"""Forecasts the expert loads of the next window.

No single predictor suits every change of load: after a sudden change
the newest window predicts best, while alternating loads are predicted
best by their mean. Several exponential moving averages are therefore
kept, and the one with the smallest recent error is used.
"""

from typing import final

import numpy as np

from lugcross.placement import expert_map

#: Weight of the newest window in each moving average; with 1 the
#: forecast equals the newest window.
SMOOTHING_FACTORS = (1.0, 0.5, 0.2, 0.05)
#: Weight of the newest error in the recent error of each predictor.
ERROR_SMOOTHING_FACTOR = 0.25


@final
class Forecaster:
    """Forecasts the load of each expert of one model group."""

    def __init__(self) -> None:
        self._forecasts: list[expert_map.ExpertLoads] = []
        self._errors = np.zeros(len(SMOOTHING_FACTORS))

    def update(self, loads: expert_map.ExpertLoads) -> expert_map.ExpertLoads:
        """Add the newest window and return the forecast of the next.

        :param loads: tokens in the newest window; (layers, experts).
        """
        if not self._forecasts:
            self._forecasts = [loads.copy() for _ in SMOOTHING_FACTORS]
            return loads
        errors = [
            float(np.abs(loads - mean).sum()) for mean in self._forecasts
        ]
        self._errors += ERROR_SMOOTHING_FACTOR * (
            np.array(errors) - self._errors
        )
        self._forecasts = [
            mean + gain * (loads - mean)
            for mean, gain in zip(
                self._forecasts, SMOOTHING_FACTORS, strict=True
            )
        ]
        return self._forecasts[int(np.argmin(self._errors))]

    @property
    def error(self) -> float:
        """Recent absolute error of the best predictor.

        In tokens, summed over all layers and experts.
        """
        return float(self._errors.min())
