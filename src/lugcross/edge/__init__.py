# SPDX-License-Identifier: Apache-2.0
"""Entry process that sends requests to backend servers without agents."""

from lugcross.edge.app import Edge
from lugcross.edge.settings import Settings

__all__ = ["Edge", "Settings"]
