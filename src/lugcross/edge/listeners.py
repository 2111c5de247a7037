# SPDX-License-Identifier: Apache-2.0
"""The addresses at which an edge process serves HTTP."""

from collections.abc import Callable
import datetime
import functools
import resource
from typing import final

from lugcross import address
from lugcross import clock as clock_lib
from lugcross import connection_limits
from lugcross import desired
from lugcross.edge import edge_state as edge_state_lib
from lugcross.edge import settings as settings_lib
from lugcross import held_bytes
from lugcross import http1

#: Limits for callers until the first desired state is known.
_DEFAULT_LIMITS = desired.RequestLimits(
    max_head_bytes=16_384,
    max_body_bytes=1_048_576,
    head_timeout=datetime.timedelta(seconds=3),
    idle_timeout=datetime.timedelta(seconds=15),
)
#: Limits for readiness checks and scrapes of metrics.
_OWN_LIMITS = desired.RequestLimits(
    max_head_bytes=16_384,
    max_body_bytes=1024,
    head_timeout=datetime.timedelta(seconds=3),
    idle_timeout=datetime.timedelta(seconds=15),
)
#: Bound on what is held for the clients of one of these addresses. It is not
#: shared with callers, whose requests would be refused for it.
_OWN_HELD_BYTES = 1_000_000


@final
class Listeners:
    """The listening addresses for callers, readiness checks and metrics.

    :param time_limit: returns the time that a caller's request has from its
        head on.
    :param is_stopping: whether this process is being stopped.
    """

    def __init__(
        self,
        listen: settings_lib.Listen,
        edge_state: edge_state_lib.EdgeState,
        *,
        handle_caller: http1.Handler,
        handle_readiness: http1.Handler,
        handle_metrics: http1.Handler,
        time_limit: http1.TimeLimit,
        is_stopping: Callable[[], bool],
        clock: clock_lib.Clock,
    ) -> None:
        self._edge_state = edge_state
        descriptor_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        max_callers = connection_limits.default_max_connections(
            descriptor_limit
        )
        turns = http1.ParsingTurns()
        self._gate = connection_limits.ConnectionGate(max_callers)
        self.callers = http1.ConnectionServer(
            "callers",
            handle_caller,
            limits=self._caller_limits,
            draining=is_stopping,
            clock=clock,
            held=edge_state.held_bytes,
            turns=turns,
            max_connections=max_callers,
            count_closed=functools.partial(
                edge_state.metrics.count_closed, "callers"
            ),
            time_limit=time_limit,
            gate=self._gate,
        )
        self._servers = [(self.callers, listen.callers)]
        for name, handler, where in (
            ("ready", handle_readiness, listen.ready),
            ("metrics", handle_metrics, listen.metrics),
        ):
            server = http1.ConnectionServer(
                name,
                handler,
                limits=lambda: _OWN_LIMITS,
                draining=is_stopping,
                clock=clock,
                held=held_bytes.HeldBytes(_OWN_HELD_BYTES),
                turns=turns,
                max_connections=connection_limits.default_max_own_connections(
                    descriptor_limit
                ),
                count_closed=functools.partial(
                    edge_state.metrics.count_closed, name
                ),
            )
            if where:
                self._servers.append((server, where))

    def start(self) -> None:
        """Listen at all addresses.

        :raises OSError: if one is not available.
        """
        for server, where in self._servers:
            server.start(*address.split_host_port(where))

    def close(self) -> None:
        """Stop listening; open connections go on."""
        for server, _ in self._servers:
            server.close()

    def log_closed(self) -> None:
        """Log how many connections were closed for what their clients do."""
        for server, _ in self._servers:
            server.log_closed()

    def note_lag(self, lag: datetime.timedelta) -> None:
        """Adapt the number of new callers to the lag of the event loop."""
        self._gate.start_interval(lag)

    def _caller_limits(self) -> desired.RequestLimits:
        state = self._edge_state.desired
        return state.limits if state else _DEFAULT_LIMITS
