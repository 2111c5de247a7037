# SPDX-License-Identifier: Apache-2.0
"""One request, checked and ready to be sent."""

import dataclasses
import functools
from typing import final

from lugcross import clock as clock_lib
from lugcross import crash_suspects
from lugcross import desired
from lugcross import http1
from lugcross import ids
from lugcross import platform


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class CheckedRequest:
    """One request, checked and ready to be sent.

    :param deadline: when it must have its final answer.
    :param desired_version: version of the desired state that it goes by.
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
        """Name of the workspace, if keys are used."""
        return self.workspace.name if self.workspace else None

    @property
    def logged_fingerprint(self) -> str | None:
        """The fingerprint for a log line, if anything has needed it."""
        return self.fingerprint.hex() if "fingerprint" in vars(self) else None

    @functools.cached_property
    def fingerprint(self) -> crash_suspects.Fingerprint:
        """What all tries of this request have in common."""
        return crash_suspects.RequestIdentity(
            service=self.service,
            workspace=self.workspace_name or "",
            host=self.route.host,
            method=self.req.method,
            target=self.req.target,
            body=self.req.body or b"",
        ).fingerprint()
