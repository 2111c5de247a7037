# SPDX-License-Identifier: Apache-2.0
"""The ``lugcross`` program."""

from lugcross.cli.main import main

__all__ = ["main"]
