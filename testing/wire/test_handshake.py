# SPDX-License-Identifier: Apache-2.0
"""Handshake: it fails unless both ends prove the fleet's secret."""

import pytest

from lugcross import errors
from lugcross import ids
from lugcross import wire

NODE = ids.NodeName("entry-1")
DOMAIN = ids.DomainName("a")
BACKEND = ids.BackendName("b1")
INCARNATION = ids.Incarnation("i1")


def run_handshake(entry_secret: str, agent_secret: str) -> wire.Welcome:
    entry = wire.Handshake(entry_secret)
    agent = wire.Handshake(agent_secret)
    hello = entry.hello(agent.challenge(), NODE, DOMAIN)
    return entry.verify_welcome(
        agent.welcome(hello, BACKEND, INCARNATION, link=1)
    )


def test_same_secret_completes_the_handshake() -> None:
    assert run_handshake("secret", "secret").backend == BACKEND


def test_entry_without_the_secret_is_rejected() -> None:
    with pytest.raises(errors.HandshakeError, match="entry-1"):
        run_handshake("guess", "secret")


def test_agent_without_the_secret_is_rejected() -> None:
    entry = wire.Handshake("secret")
    forged = wire.Welcome(
        backend=BACKEND, incarnation=INCARNATION, proof=b"x" * 32
    )
    with pytest.raises(errors.HandshakeError, match="b1"):
        entry.verify_welcome(forged)


def test_proof_cannot_be_replayed_in_another_handshake() -> None:
    entry = wire.Handshake("secret")
    hello = entry.hello(wire.Handshake("secret").challenge(), NODE, DOMAIN)
    with pytest.raises(errors.HandshakeError):
        wire.Handshake("secret").welcome(hello, BACKEND, INCARNATION, link=1)


def test_peer_with_another_version_is_rejected() -> None:
    challenge = wire.Challenge(nonce=b"n", version=wire.PROTOCOL_VERSION + 1)
    with pytest.raises(errors.HandshakeError, match="version"):
        wire.Handshake("secret").hello(challenge, NODE, DOMAIN)
