# SPDX-License-Identifier: Apache-2.0
"""One request, checked and ready to be sent."""

import dataclasses
import functools
from typing import final

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross import http1
from lugcross import ids
from lugcross import platform
from lugcross import suspects


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """One request, checked and ready to be sent.

    :param deadline: when it must have its final answer.
    :param version: version of the desired state that it goes by.
    """

    req: http1.Request
    head: platform.CallerRequestHead
    route: desired.Route
    service: ids.ServiceName
    workspace: desired.Workspace | None
    deadline: clock_lib.Instant
    version: int

    @property
    def space(self) -> ids.WorkspaceName | None:
        """Name of the workspace, if keys are used."""
        return self.workspace.name if self.workspace else None

    @property
    def told_fingerprint(self) -> str | None:
        """The fingerprint for a log line, if anything has needed it."""
        return self.fingerprint.hex() if "fingerprint" in vars(self) else None

    @functools.cached_property
    def fingerprint(self) -> suspects.Fingerprint:
        """What all tries of this request have in common."""
        return suspects.Identity(
            service=self.service,
            workspace=self.space or "",
            host=self.route.host,
            method=self.req.method,
            target=self.req.target,
            body=self.req.body or b"",
        ).fingerprint()
