# SPDX-License-Identifier: Apache-2.0
"""Requests that end the backend servers that run them."""

from lugcross.suspects.identity import Fingerprint
from lugcross.suspects.identity import Identity

__all__ = ["Fingerprint", "Identity"]
