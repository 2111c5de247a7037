# SPDX-License-Identifier: Apache-2.0
"""Load of the next window from the windows so far.

No one predictor suits every kind of drift: after a sudden switch only
the last window counts, between alternating loads only their mean. So
several run side by side, and the one that was nearest lately is used.
"""

from typing import final

import numpy as np

from lugcross.placement import expert_map

#: Weights of the newest window in each predictor; 1 is "as the last".
SMOOTHING_FACTORS = (1.0, 0.5, 0.2, 0.05)
#: Weight of the newest error when predictors are compared.
ERROR_SMOOTHING_FACTOR = 0.25


@final
class Forecaster:
    """Forecasts the load of each expert of one model group."""

    def __init__(self) -> None:
        self._forecasts: list[expert_map.ExpertLoads] = []
        self._errors = np.zeros(len(SMOOTHING_FACTORS))

    def update(self, loads: expert_map.ExpertLoads) -> expert_map.ExpertLoads:
        """Take the newest window and return the forecast of the next.

        :param loads: shape (layers, experts), in tokens.
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
        """Smallest error of late, in tokens over all experts."""
        return float(self._errors.min())
