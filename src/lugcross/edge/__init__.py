# SPDX-License-Identifier: Apache-2.0
"""Entry program that speaks to backend servers directly, without agents."""

from lugcross.edge.app import Edge
from lugcross.edge.settings import Settings

__all__ = ["Edge", "Settings"]
