# SPDX-License-Identifier: Apache-2.0
"""Requests that have been checked and may be sent to a backend server."""

import dataclasses
import functools
from typing import final

from lugcross import clock as clock_lib
from lugcross import crash_suspects
from lugcross import desired
from lugcross import http1
from lugcross import ids
from lugcross import platform
from lugcross import urgency as urgency_lib


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class CheckedRequest:
    """A request of a caller that may be sent to a backend server.

    :param workspace: the workspace of the caller's API key; None if the route
        needs no key.
    :param deadline: when the caller must have the final response.
    :param desired_version: version of the desired state that the request was
        checked against.
    """

    req: http1.Request
    caller_head: platform.CallerRequestHead
    route: desired.Route
    service: ids.ServiceName
    workspace: desired.Workspace | None
    deadline: clock_lib.Instant
    desired_version: int

    @property
    def workspace_name(self) -> ids.WorkspaceName | None:
        """Name of the workspace; None if the route needs no API key."""
        return self.workspace.name if self.workspace else None

    @property
    def urgency(self) -> urgency_lib.Urgency:
        """Urgency of the request, by its workspace and its route."""
        return desired.request_urgency(self.route, self.workspace)

    @property
    def logged_fingerprint(self) -> str | None:
        """The fingerprint in hex, for log lines; None if not computed yet."""
        return self.fingerprint.hex() if "fingerprint" in vars(self) else None

    @functools.cached_property
    def fingerprint(self) -> crash_suspects.Fingerprint:
        """Hash that is the same for this request and the caller's retries."""
        return crash_suspects.RequestIdentity(
            service=self.service,
            workspace=self.workspace_name or "",
            host=self.route.host,
            method=self.req.method,
            target=self.req.target,
            body=self.req.body or b"",
        ).fingerprint()

    @functools.cached_property
    def parts(self) -> dict[crash_suspects.Fingerprint, str]:
        """Ids of the prompt parts that other requests may share, by hash."""
        return {
            crash_suspects.part_fingerprint(self.service, part): part
            for part in self.caller_head.shared_parts
        }

    @functools.cached_property
    def suspects(self) -> tuple[crash_suspects.Fingerprint, ...]:
        """All that may be the cause if this request crashes a server.

        Parts come first, the most special one before the others, so that
        different requests with the same part are tried at the same server.
        """
        return (*reversed(self.parts), self.fingerprint)
