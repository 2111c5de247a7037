# SPDX-License-Identifier: Apache-2.0
"""What edge processes say to each other, and how it is written."""

from typing import Annotated
from typing import final

import cbor2
import msgspec

from lugcross.edge import patches
from lugcross import suspects

#: Requests in progress: far more than one process could have.
_Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
#: Longest age of an answer that is told, in milliseconds: past a minute it
#: tells no more than none does.
AGE_MOST_MS = 60_000
_AgeMs = Annotated[int, msgspec.Meta(ge=-1, le=AGE_MOST_MS)]
#: The same of what speaks against a request; older has lapsed.
LAPSE_MS = int(suspects.LAPSE.total_seconds() * 1000)
_LapseMs = Annotated[int, msgspec.Meta(ge=-1, le=LAPSE_MS)]
_Request = Annotated[
    bytes, msgspec.Meta(min_length=suspects.SIZE, max_length=suspects.SIZE)
]
#: Longest name of a server's life, and of its software, in characters.
_NAME_MOST = 200
_Name = Annotated[str, msgspec.Meta(max_length=_NAME_MOST)]


@final
class ServerEnd(msgspec.Struct, frozen=True, array_like=True):
    """A server that ended while it ran a request.

    :param ago_ms: how long ago.
    :param ran_ms: how long the request had run there.
    """

    server: _Name
    software: _Name
    ago_ms: Annotated[int, msgspec.Meta(ge=0, le=LAPSE_MS)]
    ran_ms: Annotated[int, msgspec.Meta(ge=0, le=LAPSE_MS)]


@final
class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """What speaks for and against one request.

    :param cleared_ms: how long ago it ran to its end; less than 0 if it has
        not.
    """

    request: _Request
    ends: Annotated[
        list[ServerEnd], msgspec.Meta(max_length=suspects.ENDS_MOST)
    ]
    cleared_ms: _LapseMs = -1


@final
class Beat(msgspec.Struct, frozen=True, array_like=True):
    """One datagram.

    :param incarnation: drawn anew at each start.
    :param state_port: where the sender answers questions.
    :param version: version of its desired state; 0 if it has none.
    :param end: how far it has read the list of backend servers.
    :param running: its requests in progress, by backend server.
    :param known: addresses of peers that it knows, ``HOST:PORT``.
    :param since_ms: when it started, by its time of day, if it can look
        after expert maps; 0 if it cannot now.
    :param broken: backend servers that it has seen in broken groups.
    :param generation: number of its lease of expert maps; 0 without one.
    :param reads: whether the store answered its last call.
    :param pass_on: whether the receiver should pass it on to its domain.
    :param number: rises with each datagram of an incarnation: one that was
        passed on may arrive after a later one.
    :param uses: its requests in progress by workspace and service, which
        stand as numbers (:mod:`lugcross.edge.workspace_usage`).
    :param desired_ms: how long ago the store answered it about the desired
        state; less than 0 if it has not for a minute.
    :param backends_ms: the same about the list of backend servers.
    :param slow: backend servers that hold their groups back.
    :param suspects: requests under which servers have ended, as far as the
        sender knows; some of them in each datagram.
    :param leaving_servers: backend servers that say in their answers that
        they leave, as long as the list does not say so.
    """

    node: str
    incarnation: str
    domain: str
    state_port: int
    leaving: bool
    version: int
    end: int
    running: dict[str, _Count]
    known: list[str]
    since_ms: int = 0
    broken: list[str] = []
    generation: int = 0
    reads: bool = False
    pass_on: bool = False
    number: int = 0
    uses: dict[int, _Count] = {}
    desired_ms: _AgeMs = -1
    backends_ms: _AgeMs = -1
    slow: list[str] = []
    suspects: list[Suspect] = []
    leaving_servers: list[_Name] = []


@final
class PassedOn(msgspec.Struct, frozen=True, array_like=True):
    """A datagram of another failure domain, passed on within this one.

    :param origin: who sent it, ``HOST:PORT``.
    """

    origin: str
    beat: Beat


#: Fields of a :class:`PassedOn`, by which it is told from a :class:`Beat`.
_PASSED_FIELDS = 2


@final
class Ask(msgspec.Struct, frozen=True, array_like=True):
    """Question for what is newer than this.

    :param digest: of the desired state's record that the sender has; empty
        if it has none. Processes of an older release send none, and take
        nothing but whole records as they are.
    """

    version: int
    end: int
    digest: bytes | None = None


@final
class Row(msgspec.Struct, frozen=True, array_like=True):
    """Newest record of one backend server; no value if it is gone."""

    key: str
    offset: int
    value: bytes


@final
class State(msgspec.Struct, frozen=True, array_like=True):
    """Answer: the desired state's record, if newer, and newer rows.

    :param desired: the record as it is, for older releases.
    :param packed: the record packed (:func:`patches.unpack`).
    :param patch: what leads to the record from the one that was named.
    """

    desired: bytes
    end: int
    rows: list[Row]
    packed: bytes = b""
    patch: patches.Patch | None = None


def encode(message: msgspec.Struct) -> bytes:
    """Return a message as bytes."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode_datagram(data: bytes) -> Beat | PassedOn:
    """Return the message in a datagram.

    :raises cbor2.CBORDecodeError: when it is not readable at all.
    :raises msgspec.ValidationError: when it is neither message.
    """
    raw = cbor2.loads(data)
    if isinstance(raw, list) and len(raw) == _PASSED_FIELDS:
        return msgspec.convert(raw, PassedOn, builtin_types=(bytes,))
    return msgspec.convert(raw, Beat, builtin_types=(bytes,))


def decode_ask(frame: str | bytes) -> Ask:
    """Return the question in a frame; raises as for datagrams."""
    raw = cbor2.loads(_as_bytes(frame))
    return msgspec.convert(raw, Ask, builtin_types=(bytes,))


def decode_state(frame: str | bytes) -> State:
    """Return the answer in a frame; raises as for datagrams."""
    raw = cbor2.loads(_as_bytes(frame))
    return msgspec.convert(raw, State, builtin_types=(bytes,))


def _as_bytes(frame: str | bytes) -> bytes:
    return frame.encode() if isinstance(frame, str) else frame
