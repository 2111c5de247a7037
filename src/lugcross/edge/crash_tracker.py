# SPDX-License-Identifier: Apache-2.0
"""Detection of server crashes, and tracking of the requests they ran.

After an attempt breaks off, the server is probed to find out whether it
crashed. Which requests are refused because of that is decided in
:mod:`lugcross.crash_suspects`.
"""

import asyncio
from collections.abc import Callable
import datetime
import json
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross import crash_suspects
from lugcross import desired
from lugcross.edge import checked_request
from lugcross import http1
from lugcross import ids

#: Timeout for connecting to a server that has just closed a connection. Its
#: host normally answers within a round trip, or within 0.2 s after a lost
#: packet.
_PROBE_TIMEOUT_S = 0.3
#: Prompt parts named in one log line.
_MAX_PARTS_LOGGED = 8
_MS = datetime.timedelta(milliseconds=1)


@final
class CrashTracker:
    """Tracks the requests that were running on servers that crashed.

    :param software_versions: returns the versions that servers of a service
        run now.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        *,
        software_versions: Callable[[ids.ServiceName], frozenset[str]],
    ) -> None:
        self._clock = clock
        self._software_versions = software_versions
        self._probes: dict[desired.BackendKey, asyncio.Task[bool]] = {}
        #: When each server was first found to have crashed.
        self._crashed_at: dict[desired.BackendKey, clock_lib.Instant] = {}
        self._pending_checks: set[asyncio.Task[None]] = set()
        self.registry = crash_suspects.SuspectRegistry()
        self._containment = crash_suspects.GroupContainment()
        #: Called with all servers that are known to have crashed, when these
        #: may have changed.
        self.on_crashed_servers: Callable[[frozenset[str]], None] = (
            lambda servers: None
        )
        #: Requests that an operator allows to run whatever they crashed.
        self.exempt_requests: frozenset[crash_suspects.Fingerprint] = (
            frozenset()
        )
        #: Called when there is news to send to peers.
        self.on_change: Callable[[], None] = lambda: None
        #: Called with each request that is to be refused from now on.
        self.on_refused: Callable[[crash_suspects.Fingerprint], None] = (
            lambda request: None
        )

    def status(
        self, checked: checked_request.CheckedRequest
    ) -> crash_suspects.SuspectStatus:
        """Return how to treat a request now."""
        if (
            not self._has_record(checked)
            or checked.fingerprint in self.exempt_requests
        ):
            return crash_suspects.SuspectStatus.NOT_SUSPECT
        return self.registry.status(
            checked.fingerprint,
            self._software_versions(checked.service),
            self._clock.monotonic(),
        )

    def counted_crashes(
        self, checked: checked_request.CheckedRequest
    ) -> list[crash_suspects.ServerCrash]:
        """Return the crashes that count against a request."""
        if not self._has_record(checked):
            return []
        return self.registry.counted_crashes(
            checked.fingerprint,
            self._software_versions(checked.service),
            self._clock.monotonic(),
        )

    def _has_record(self, checked: checked_request.CheckedRequest) -> bool:
        """Return whether the registry has a record of a request.

        While the registry is empty, this avoids computing fingerprints.
        """
        if not len(self.registry):
            return False
        return self.registry.find(checked.fingerprint) is not None

    def time_until_expiry(
        self, crashes: list[crash_suspects.ServerCrash]
    ) -> datetime.timedelta:
        """Return the time until the oldest of ``crashes`` expires.

        After that their request may be tried once more, as a suspect.
        """
        oldest = min(crash.crashed_at for crash in crashes)
        return oldest + crash_suspects.SUSPICION_TTL - self._clock.monotonic()

    def may_retry(
        self,
        checked: checked_request.CheckedRequest,
        *,
        last_attempt_broke: bool,
        within_rank_group: bool,
        response_started: bool,
    ) -> bool:
        """Return whether a request may be sent to another server at once.

        :param last_attempt_broke: whether its last attempt broke off.
        :param within_rank_group: whether the servers of its service are ranks
            of groups.
        :param response_started: whether the caller has part of the response.
        """
        if self.status(checked) is crash_suspects.SuspectStatus.REFUSED:
            return False
        if checked.fingerprint in self.exempt_requests:
            return True
        # From some number of crashes on, the retry is left to the caller: by
        # the time it comes back, reports of other processes will have
        # arrived. In a rank group one crash is enough if the server crashed
        # before its first event: the next crash could take down the next
        # group. A request that has produced events has been read without
        # a crash, so it is more likely to have run beside the cause.
        limit = (
            1
            if within_rank_group and not response_started
            else crash_suspects.CRASHES_TO_LEAVE_TO_CALLER
        )
        return (
            not last_attempt_broke
            or len(self.counted_crashes(checked)) < limit
        )

    def note_broken_groups(
        self, servers: frozenset[desired.BackendKey]
    ) -> None:
        """Record the servers of groups that a process reports as broken."""
        if len(self.registry):
            self._containment.note_broken(
                servers, self.registry.crashed_servers()
            )

    def note_crash_reports(self) -> None:
        """Handle reports of peers that were merged into the registry."""
        self.on_crashed_servers(self.registry.crashed_servers())

    def allowed_servers(
        self,
        checked: checked_request.CheckedRequest,
        *,
        response_started: bool,
    ) -> frozenset[str] | None:
        """Return the servers that a suspect may be sent to; None for any.

        :param response_started: whether the caller has part of the response.
            Such a request goes on in another group after its first crash, for
            the reason given in :meth:`may_retry`.
        """
        crashes = self.counted_crashes(checked)
        if (
            response_started
            and len(crashes) < crash_suspects.CRASHES_TO_LEAVE_TO_CALLER
        ):
            return None
        return self._containment.servers_for(one.server for one in crashes)

    def assign_server(
        self,
        checked: checked_request.CheckedRequest,
        servers: list[desired.BackendKey],
    ) -> desired.BackendKey | None:
        """Return the server to run a suspect on, or None if there is none."""
        other_suspects = self.registry.suspects_sharing_crashes(
            checked.fingerprint
        )
        server = crash_suspects.assign_server(
            checked.fingerprint, other_suspects, servers
        )
        return None if server is None else desired.BackendKey(server)

    async def record_broken_attempt(
        self,
        checked: checked_request.CheckedRequest,
        backend: desired.Backend,
        sent_at: clock_lib.Instant,
        *,
        first_event_at: clock_lib.Instant | None = None,
    ) -> None:
        """Find out whether the server crashed, and record it if so.

        This completes even if the caller is cancelled meanwhile, for example
        because its client has disconnected.

        :param sent_at: when the attempt was sent. If the server had crashed
            before that, the request never ran there.
        :param first_event_at: when the first event of its answer arrived, if
            any.
        """
        task = asyncio.create_task(
            self._check_for_crash(checked, backend, sent_at, first_event_at)
        )
        self._pending_checks.add(task)
        task.add_done_callback(self._pending_checks.discard)
        await asyncio.shield(task)

    async def _check_for_crash(
        self,
        checked: checked_request.CheckedRequest,
        backend: desired.Backend,
        sent_at: clock_lib.Instant,
        first_event_at: clock_lib.Instant | None,
    ) -> None:
        if not await self._has_crashed(backend):
            return
        now = self._clock.monotonic()
        if self._crashed_at.setdefault(backend.key, now) < sent_at:
            return
        crash = crash_suspects.ServerCrash(
            backend.key, backend.software_version, now, now - sent_at
        )
        if not self.registry.record_crash(checked.fingerprint, crash, now):
            return
        status = self.status(checked)
        logging.warning(
            "server crashed while running a request",
            extra={
                "request": checked.caller_head.attempt_id,
                "same": checked.fingerprint.hex(),
                "service": checked.service,
                "backend": backend.key,
                "ends": [
                    crash.server for crash in self.counted_crashes(checked)
                ],
                "standing": status.value,
                "parts": checked.caller_head.shared_parts[:_MAX_PARTS_LOGGED],
                "wrote_ms": None
                if first_event_at is None
                else round((now - first_event_at) / _MS),
            },
        )
        self.on_change()
        self.on_crashed_servers(self.registry.crashed_servers())
        if status is crash_suspects.SuspectStatus.REFUSED:
            self.on_refused(checked.fingerprint)

    async def _has_crashed(self, backend: desired.Backend) -> bool:
        """Probe a server; concurrent callers share one probe."""
        probe = self._probes.get(backend.key)
        if probe is None:
            probe = asyncio.create_task(_refuses_connections(backend))
            self._probes[backend.key] = probe
            probe.add_done_callback(
                lambda _: self._probes.pop(backend.key, None)
            )
        return await probe

    def record_completion(
        self,
        checked: checked_request.CheckedRequest,
        backend: desired.Backend,
        sent_at: clock_lib.Instant,
    ) -> None:
        """Record that a request completed, and clear it if it was suspect.

        :param sent_at: when it was sent.
        """
        if self._crashed_at.get(backend.key, sent_at) < sent_at:
            # The connection was refused for a reason other than a crash.
            del self._crashed_at[backend.key]
        if not len(self.registry):
            return
        self.registry.record_answer(backend.key, sent_at)
        if not self.registry.record_completion(
            checked.fingerprint, self._clock.monotonic()
        ):
            return
        logging.info(
            "crash suspect cleared",
            extra={
                "request": checked.caller_head.attempt_id,
                "same": checked.fingerprint.hex(),
                "backend": backend.key,
            },
        )
        self.on_change()

    def drop_expired(self) -> None:
        """Drop crashes older than :data:`crash_suspects.SUSPICION_TTL`."""
        now = self._clock.monotonic()
        self.registry.drop_expired(now)
        self._containment.retain_only(self.registry.crashed_servers())
        for key, at in list(self._crashed_at.items()):
            if at <= now - crash_suspects.SUSPICION_TTL:
                del self._crashed_at[key]

    def suspects_json(self) -> bytes:
        """Return all suspects with their crashes, as JSON."""
        now = self._clock.monotonic()
        rows = [
            {
                "same": record.request.hex(),
                "ends": [
                    {
                        "backend": crash.server,
                        "software": crash.software,
                        "ago_s": round(
                            (now - crash.crashed_at).total_seconds(), 1
                        ),
                    }
                    for crash in record.crashes_since_cleared
                ],
                "exempt": record.request in self.exempt_requests,
            }
            for record in self.registry.records()
            if record.crashes_since_cleared
        ]
        return json.dumps({"suspects": rows}).encode()


async def _refuses_connections(backend: desired.Backend) -> bool:
    """Return whether connections to a server's address are refused.

    A timeout proves nothing: the host may merely be unreachable.
    """
    try:
        conn = await http1.connect(
            backend.host, backend.port, timeout_s=_PROBE_TIMEOUT_S
        )
    except http1.NoConnectionError as exc:
        return exc.refused
    conn.close()
    return False
