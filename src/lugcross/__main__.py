# SPDX-License-Identifier: Apache-2.0
"""Lets ``python -m lugcross`` run the command line."""

from lugcross import cli

cli.main()
