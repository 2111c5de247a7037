# SPDX-License-Identifier: Apache-2.0
"""Polls the platform's host list for hosts that are leaving."""

from collections.abc import Callable
import random
import threading
from typing import final

from absl import logging

from lugcross import errors
from lugcross import logservice

#: Called with the names of the nodes whose hosts are leaving.
LeavingNodesListener = Callable[[frozenset[str]], None]


@final
class HostListWatcher:
    """Thread that polls the host list and reports the leaving hosts.

    :param listener: called whenever the set of leaving hosts has changed.
    :param interval_s: mean time between two reads, in seconds.
    """

    def __init__(
        self,
        hosts: logservice.HostListClient,
        listener: LeavingNodesListener,
        *,
        interval_s: float,
    ) -> None:
        self._hosts = hosts
        self._listener = listener
        self._interval_s = interval_s
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="host-watch", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread, without waiting for a read in progress."""
        self._stopping.set()

    def _run(self) -> None:
        known: frozenset[str] = frozenset()
        while not self._stopping.is_set():
            try:
                leaving = leaving_node_names(self._hosts.read())
                if leaving != known:
                    known = leaving
                    self._listener(leaving)
            except errors.PlatformError as exc:
                # Keep the last result: an unavailable list does not mean
                # that a leaving host has come back.
                logging.warning(
                    "host list unavailable", extra={"why": str(exc)}
                )
            # Jitter keeps the nodes from reading at the same time.
            self._stopping.wait(self._interval_s * random.uniform(0.5, 1.5))


def leaving_node_names(hosts: tuple[logservice.Host, ...]) -> frozenset[str]:
    """Return the names of the nodes whose hosts are leaving."""
    return frozenset(
        host.name
        for host in hosts
        if host.state is logservice.HostState.LEAVING
    )
