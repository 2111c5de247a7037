# SPDX-License-Identifier: Apache-2.0
"""Parsing of ``HOST:PORT`` addresses in settings and messages."""


def split_host_port(text: str) -> tuple[str, int]:
    """Return host and port of ``HOST:PORT``.

    :raises ValueError: if the port is missing or not a number.
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


__all__ = ["split_host_port"]
