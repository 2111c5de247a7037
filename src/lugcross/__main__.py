# SPDX-License-Identifier: Apache-2.0
"""``python -m lugcross`` is the same as ``lugcross``."""

from lugcross import cli

cli.main()
