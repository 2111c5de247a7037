# SPDX-License-Identifier: Apache-2.0
"""Detection of server crashes, and tracking of the requests they ran.

After an attempt breaks off, the server is probed to find out whether it
crashed. Which requests are refused because of that is decided in
:mod:`lugcross.crash_suspects`.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import datetime
import json
from typing import final
import zlib

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
        #: Ids of suspected prompt parts, as far as requests had them here.
        self._part_ids: dict[crash_suspects.Fingerprint, str] = {}
        #: Called with all servers that are known to have crashed, when these
        #: may have changed.
        self.on_crashed_servers: Callable[[frozenset[str]], None] = (
            lambda servers: None
        )
        #: Requests and prompt parts that an operator allows to run whatever
        #: they crashed.
        self.exempt_requests: frozenset[crash_suspects.Fingerprint] = (
            frozenset()
        )
        #: Called when there is news to send to peers.
        self.on_change: Callable[[], None] = lambda: None
        #: Called with each suspect that is to be refused from now on.
        self.on_refused: Callable[[crash_suspects.Fingerprint], None] = (
            lambda request: None
        )

    def assess(
        self, checked: checked_request.CheckedRequest
    ) -> crash_suspects.Assessment:
        """Return how to treat a request now.

        While the registry is empty, no fingerprints are computed.
        """
        if (
            not len(self.registry)
            or checked.fingerprint in self.exempt_requests
        ):
            return crash_suspects.NOT_SUSPECT
        found = self.registry.assess(
            [
                one
                for one in checked.suspects
                if one not in self.exempt_requests
            ],
            self._software_versions(checked.service),
            self._clock.monotonic(),
        )
        if found.suspect in checked.parts:
            self._part_ids[found.suspect] = checked.parts[found.suspect]
        return found

    def time_until_expiry(
        self, crashes: Iterable[crash_suspects.ServerCrash]
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
        found = self.assess(checked)
        if found.status is crash_suspects.SuspectStatus.REFUSED:
            return False
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
        return not last_attempt_broke or len(found.crashes) < limit

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
        crashes = self.assess(checked).crashes
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
        suspect = self.assess(checked).suspect or checked.fingerprint
        server = self.registry.assign_server(suspect, servers)
        return None if server is None else desired.BackendKey(server)

    async def record_broken_attempt(
        self,
        checked: checked_request.CheckedRequest,
        backend: desired.Backend,
        sent_at: clock_lib.Instant,
        progress: crash_suspects.AnswerProgress,
    ) -> None:
        """Find out whether the server crashed, and record it if so.

        This completes even if the caller is cancelled meanwhile, for example
        because its client has disconnected.

        :param sent_at: when the attempt was sent. If the server had crashed
            before that, the request never ran there.
        :param progress: how far its answer came.
        """
        task = asyncio.create_task(
            self._check_for_crash(checked, backend, sent_at, progress)
        )
        self._pending_checks.add(task)
        task.add_done_callback(self._pending_checks.discard)
        await asyncio.shield(task)

    async def _check_for_crash(
        self,
        checked: checked_request.CheckedRequest,
        backend: desired.Backend,
        sent_at: clock_lib.Instant,
        progress: crash_suspects.AnswerProgress,
    ) -> None:
        # Without the time that the probe takes.
        broke_at = self._clock.monotonic()
        if not await self._has_crashed(backend):
            return
        now = self._clock.monotonic()
        if self._crashed_at.setdefault(backend.key, now) < sent_at:
            return
        crash = crash_suspects.ServerCrash(
            backend.key,
            backend.software_version,
            broke_at,
            broke_at - sent_at,
        )
        suspects = (
            (checked.fingerprint,) if progress.is_sound else checked.suspects
        )
        news = [
            self.registry.record_crash(one, crash, now) for one in suspects
        ]
        if not any(news):
            return
        found = self.assess(checked)
        logging.warning(
            "server crashed while running a request",
            extra={
                "request": checked.caller_head.attempt_id,
                "same": checked.fingerprint.hex(),
                "service": checked.service,
                "backend": backend.key,
                "ends": [crash.server for crash in found.crashes],
                "standing": found.status.value,
                "suspect": found.suspect.hex() if found.suspect else None,
                "part": checked.parts.get(found.suspect)
                if found.suspect
                else None,
                "parts": checked.caller_head.shared_parts[:_MAX_PARTS_LOGGED],
                "wrote_ms": None
                if progress.first_event_at is None
                else round((broke_at - progress.first_event_at) / _MS),
            },
        )
        self.on_change()
        self.on_crashed_servers(self.registry.crashed_servers())
        if (
            found.status is crash_suspects.SuspectStatus.REFUSED
            and found.suspect is not None
        ):
            self.on_refused(found.suspect)

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

    def record_sound_run(
        self, checked: checked_request.CheckedRequest, backend: desired.Backend
    ) -> None:
        """Record that a server writes, or wrote, an answer without a crash.

        May be called more than once for one attempt.
        """
        now = self._clock.monotonic()
        run = crash_suspects.SoundRun(
            zlib.crc32(checked.caller_head.attempt_id.encode()),
            backend.software_version,
            now,
        )
        news = [
            self.registry.record_sound_run(part, run, now)
            for part in checked.parts
        ]
        if any(news):
            self.on_change()

    def drop_expired(self) -> None:
        """Drop crashes older than :data:`crash_suspects.SUSPICION_TTL`."""
        now = self._clock.monotonic()
        self.registry.drop_expired(now)
        self._containment.retain_only(self.registry.crashed_servers())
        for part in list(self._part_ids):
            if self.registry.find(part) is None:
                del self._part_ids[part]
        for key, at in list(self._crashed_at.items()):
            if at <= now - crash_suspects.SUSPICION_TTL:
                del self._crashed_at[key]

    def suspects_json(self) -> bytes:
        """Return all suspects with their crashes, as JSON."""
        now = self._clock.monotonic()
        rows = [
            {
                "same": record.suspect.hex(),
                "part": self._part_ids.get(record.suspect),
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
                "sound_runs": len(record.sound_runs),
                "exempt": record.suspect in self.exempt_requests,
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
