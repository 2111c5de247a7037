# SPDX-License-Identifier: Apache-2.0
"""Addresses as ``HOST:PORT``, which settings and messages carry."""


def split_host_port(text: str) -> tuple[str, int]:
    """Return host and port.

    :raises ValueError: when there is no port.
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


__all__ = ["split_host_port"]
