# SPDX-License-Identifier: Apache-2.0
"""Runs the command line, as ``lugcross`` and as ``python -m lugcross``."""

import sys

from lugcross import process_signals

#: Commands that the platform stops and reloads by signals.
_SIGNALLED_COMMANDS = ("edge",)


def main() -> None:
    """Run the command line."""
    if sys.argv[1:2] and sys.argv[1] in _SIGNALLED_COMMANDS:
        process_signals.SIGNALS.install()
    # Imported only now: meanwhile a signal must not end the process.
    from lugcross import cli

    cli.main()


if __name__ == "__main__":
    main()
