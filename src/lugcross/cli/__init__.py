# SPDX-License-Identifier: Apache-2.0
"""Command line of the ``lugcross`` program."""

from lugcross.cli.main import main

__all__ = ["main"]
