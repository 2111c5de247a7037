# SPDX-License-Identifier: Apache-2.0
"""What the dispatcher asks of its shell, and what runners tell it."""

import dataclasses
from typing import final

from lugcross.agent import exchange as exchange_lib
from lugcross import wire


@final
@dataclasses.dataclass(frozen=True)
class Send:
    """Send a message on a link, if the link is still there."""

    link: exchange_lib.LinkId
    msg: wire.Message


@final
@dataclasses.dataclass(frozen=True)
class Run:
    """Start to run a request at what stands behind its service."""

    dispatch: wire.Dispatch


@final
@dataclasses.dataclass(frozen=True)
class AskClaim:
    """Ask the log whether this agent may run a keyed request."""

    dispatch: wire.Dispatch


@final
@dataclasses.dataclass(frozen=True)
class Abort:
    """Stop a running request; its slot is wanted back."""

    uid: str


@final
@dataclasses.dataclass(frozen=True)
class Resume:
    """Tell the runner that ``events`` of its answer were taken."""

    uid: str
    events: int


Action = Send | Run | AskClaim | Abort | Resume


@final
@dataclasses.dataclass(frozen=True)
class GotHead:
    """The runner has status and headers."""

    status: int
    headers: tuple[tuple[str, str], ...]


@final
@dataclasses.dataclass(frozen=True)
class GotEvents:
    """The runner has more of the answer."""

    events: tuple[bytes, ...]


@final
@dataclasses.dataclass(frozen=True)
class GotEnd:
    """The answer is whole.

    :param used: work done, in tokens; 0 if the engine did not tell.
    """

    used: int = 0


@final
@dataclasses.dataclass(frozen=True)
class GotFailure:
    """The runner failed, or was stopped."""

    failure: exchange_lib.Failure


RunnerEvent = GotHead | GotEvents | GotEnd | GotFailure
