# SPDX-License-Identifier: Apache-2.0
"""The inner protocol: typed messages over WebSocket and CBOR."""

from lugcross.wire.codec import decode
from lugcross.wire.codec import encode
from lugcross.wire.codec import MAX_FRAME
from lugcross.wire.codec import MAX_MESSAGES
from lugcross.wire.handshake import Handshake
from lugcross.wire.link import Link
from lugcross.wire.link import Receiver
from lugcross.wire.loop import LoopThread
from lugcross.wire.loop import Mailbox
from lugcross.wire.messages import Cancel
from lugcross.wire.messages import Challenge
from lugcross.wire.messages import Chunk
from lugcross.wire.messages import Credit
from lugcross.wire.messages import Dispatch
from lugcross.wire.messages import End
from lugcross.wire.messages import Entries
from lugcross.wire.messages import Fail
from lugcross.wire.messages import Have
from lugcross.wire.messages import Head
from lugcross.wire.messages import Hello
from lugcross.wire.messages import Leaving
from lugcross.wire.messages import Load
from lugcross.wire.messages import Message
from lugcross.wire.messages import Reattach
from lugcross.wire.messages import Records
from lugcross.wire.messages import Seen
from lugcross.wire.messages import Snapshot
from lugcross.wire.messages import Started
from lugcross.wire.messages import VERSION
from lugcross.wire.messages import Welcome
from lugcross.wire.open import connect
from lugcross.wire.open import Listener

__all__ = [
    "MAX_FRAME",
    "MAX_MESSAGES",
    "VERSION",
    "Cancel",
    "Challenge",
    "Chunk",
    "Credit",
    "Dispatch",
    "End",
    "Entries",
    "Fail",
    "Have",
    "Handshake",
    "Head",
    "Hello",
    "Leaving",
    "Link",
    "Listener",
    "Load",
    "LoopThread",
    "Mailbox",
    "Message",
    "Reattach",
    "Receiver",
    "Records",
    "Seen",
    "Snapshot",
    "Started",
    "Welcome",
    "connect",
    "decode",
    "encode",
]
