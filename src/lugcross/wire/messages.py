# SPDX-License-Identifier: Apache-2.0
"""Messages between entry hosts and agents.

Each is an array whose first item names its type. A field is only ever
added at the end, with a default, so that old and new processes talk.
"""

from typing import final

import msgspec

from lugcross import errors
from lugcross import ids

#: Version of the protocol; peers with another one are refused.
PROTOCOL_VERSION = 1


class _Message(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Root of all messages."""


@final
class Challenge(_Message, frozen=True, tag=1):
    """Agent to entry host: first message on a link."""

    nonce: bytes
    version: int = PROTOCOL_VERSION


@final
class Hello(_Message, frozen=True, tag=2):
    """Entry host to agent: who it is, and proof of the secret."""

    node: ids.NodeName
    domain: ids.DomainName
    nonce: bytes
    proof: bytes
    version: int = PROTOCOL_VERSION


@final
class Welcome(_Message, frozen=True, tag=3):
    """Agent to entry host: who it is, and proof of the secret.

    :param link: number of this link, never given twice by one
        incarnation of the agent.
    """

    backend: ids.BackendName
    incarnation: ids.Incarnation
    proof: bytes
    link: int = 0


@final
class Dispatch(_Message, frozen=True, tag=4):
    """Entry host to agent: run this request.

    :param uid: drawn by the entry host for this dispatch; never reused.
    :param incarnation: the agent that is meant; another one refuses.
    :param timeout_ms: time left until the caller's deadline; relative,
        since hosts do not share a clock.
    :param cost: estimated work, in tokens.
    :param credit: events that may be sent before more credit is given.
    :param model: whether the answer is a model's event stream.
    :param once_key: set when the request must run at most once.
    :param trace: W3C ``traceparent`` of the entry host's span.
    """

    id: ids.StreamId
    uid: str
    req: ids.RequestId
    incarnation: ids.Incarnation
    workspace: ids.WorkspaceName
    group: ids.WorkspaceGroupName
    service: ids.ServiceName
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_ms: int
    cost: int
    credit: int
    model: bool = False
    once_key: str = ""
    trace: str = ""


@final
class Reattach(_Message, frozen=True, tag=5):
    """Entry host to agent: go on with a dispatch after a lost link.

    :param after: events that the entry host already has.
    :param previous_link: link that carried the dispatch.
    :param previous_id: stream id of the dispatch on that link.
    """

    id: ids.StreamId
    uid: str
    after: int
    credit: int
    previous_link: int
    previous_id: ids.StreamId


@final
class Cancel(_Message, frozen=True, tag=6):
    """Entry host to agent: nobody waits for this any more."""

    id: ids.StreamId


@final
class Credit(_Message, frozen=True, tag=7):
    """Entry host to agent: ``events`` more may be sent.

    It also tells that all events before ``have`` need not be kept.
    """

    id: ids.StreamId
    events: int
    have: int


@final
class Started(_Message, frozen=True, tag=8):
    """Agent to entry host: the request is with its backend server."""

    id: ids.StreamId


@final
class ResponseHead(_Message, frozen=True, tag=9):
    """Agent to entry host: status and headers of the answer."""

    id: ids.StreamId
    status: int
    headers: tuple[tuple[str, str], ...]


@final
class ResponseChunk(_Message, frozen=True, tag=10):
    """Agent to entry host: part of the answer.

    :param seq: number of the first event, from 0.
    """

    id: ids.StreamId
    seq: int
    events: tuple[bytes, ...]


@final
class ResponseEnd(_Message, frozen=True, tag=11):
    """Agent to entry host: the answer is whole.

    :param events: number of events in the whole answer.
    """

    id: ids.StreamId
    events: int


@final
class Failure(_Message, frozen=True, tag=12):
    """Agent to entry host: there will be no whole answer.

    :param holder: backend server that has claimed the request's key.
    """

    id: ids.StreamId
    kind: errors.FailureKind
    outcome: errors.Outcome
    what: str
    remedy: str
    retry_after_ms: int = 0
    holder: str = ""


@final
class AgentLoad(_Message, frozen=True, tag=13):
    """Agent to entry host: how busy it is.

    :param waiting: estimated work in the queue, in tokens.
    :param step_ms: time of the engine's last step; 0 if not known.
    """

    queued: int
    running: int
    capacity: int
    waiting: int
    step_ms: float = 0.0


@final
class Leaving(_Message, frozen=True, tag=14):
    """Agent to entry host: send nothing new here."""

    reason: str


@final
class ConfigStatus(_Message, frozen=True, tag=15):
    """Either side: how much of the configuration it has.

    :param chain: digest of the records up to ``offset``.
    """

    offset: ids.Offset
    chain: bytes


@final
class ConfigRecords(_Message, frozen=True, tag=16):
    """Either side: records of the configuration that the peer lacks.

    :param first: offset of the first; the others follow it.
    """

    first: ids.Offset
    records: tuple[bytes, ...]


@final
class ConfigSnapshotPart(_Message, frozen=True, tag=17):
    """Either side: one part of a snapshot, for a peer far behind."""

    part: bytes


class LinkedEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry host as an agent sees it by its link.

    :param offset: of the configuration that it said it has.
    """

    node: ids.NodeName
    domain: ids.DomainName
    offset: ids.Offset


@final
class LinkedEntries(_Message, frozen=True, tag=18):
    """Agent to entry host: the entry hosts that have links to it.

    What an agent sees of them is newer than the platform's host list.
    """

    seen: tuple[LinkedEntry, ...]


#: Any message of the protocol.
Message = (
    Challenge
    | Hello
    | Welcome
    | Dispatch
    | Reattach
    | Cancel
    | Credit
    | Started
    | ResponseHead
    | ResponseChunk
    | ResponseEnd
    | Failure
    | AgentLoad
    | Leaving
    | ConfigStatus
    | ConfigRecords
    | ConfigSnapshotPart
    | LinkedEntries
)
