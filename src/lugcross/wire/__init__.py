# SPDX-License-Identifier: Apache-2.0
"""Protocol of entry hosts and agents: CBOR messages over WebSocket."""

from lugcross.wire.codec import decode
from lugcross.wire.codec import encode
from lugcross.wire.codec import MAX_FRAME_BYTES
from lugcross.wire.codec import MAX_MESSAGES_PER_FRAME
from lugcross.wire.endpoints import connect
from lugcross.wire.endpoints import Listener
from lugcross.wire.handshake import Handshake
from lugcross.wire.link import Link
from lugcross.wire.link import MessageHandler
from lugcross.wire.loop_thread import LoopThread
from lugcross.wire.loop_thread import Mailbox
from lugcross.wire.messages import AgentLoad
from lugcross.wire.messages import Cancel
from lugcross.wire.messages import Challenge
from lugcross.wire.messages import ConfigRecords
from lugcross.wire.messages import ConfigSnapshotPart
from lugcross.wire.messages import ConfigStatus
from lugcross.wire.messages import Credit
from lugcross.wire.messages import Dispatch
from lugcross.wire.messages import Failure
from lugcross.wire.messages import Hello
from lugcross.wire.messages import Leaving
from lugcross.wire.messages import LinkedEntries
from lugcross.wire.messages import LinkedEntry
from lugcross.wire.messages import Message
from lugcross.wire.messages import PROTOCOL_VERSION
from lugcross.wire.messages import Reattach
from lugcross.wire.messages import ResponseChunk
from lugcross.wire.messages import ResponseEnd
from lugcross.wire.messages import ResponseHead
from lugcross.wire.messages import Started
from lugcross.wire.messages import Welcome

__all__ = [
    "MAX_FRAME_BYTES",
    "MAX_MESSAGES_PER_FRAME",
    "PROTOCOL_VERSION",
    "AgentLoad",
    "Cancel",
    "Challenge",
    "ConfigRecords",
    "ConfigSnapshotPart",
    "ConfigStatus",
    "Credit",
    "Dispatch",
    "Failure",
    "Handshake",
    "Hello",
    "Leaving",
    "Link",
    "LinkedEntries",
    "LinkedEntry",
    "Listener",
    "LoopThread",
    "Mailbox",
    "Message",
    "MessageHandler",
    "Reattach",
    "ResponseChunk",
    "ResponseEnd",
    "ResponseHead",
    "Started",
    "Welcome",
    "connect",
    "decode",
    "encode",
]
