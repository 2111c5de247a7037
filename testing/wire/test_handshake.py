# SPDX-License-Identifier: Apache-2.0
"""Handshake: both ends show the fleet's secret, or there is no link."""

import pytest

from lugcross import errors
from lugcross import ids
from lugcross import wire

NODE = ids.NodeName("entry-1")
DOMAIN = ids.DomainName("a")
BACKEND = ids.BackendName("b1")
INCARNATION = ids.Incarnation("i1")


def shake(entry_secret: str, agent_secret: str) -> wire.Welcome:
    entry = wire.Handshake(entry_secret)
    agent = wire.Handshake(agent_secret)
    hello = entry.hello(agent.challenge(), NODE, DOMAIN)
    return entry.verify_welcome(
        agent.welcome(hello, BACKEND, INCARNATION, link=1)
    )


def test_same_secret_opens_the_link() -> None:
    assert shake("secret", "secret").backend == BACKEND


def test_entry_without_the_secret_is_refused() -> None:
    with pytest.raises(errors.HandshakeError, match="entry-1"):
        shake("guess", "secret")


def test_agent_without_the_secret_is_refused() -> None:
    entry = wire.Handshake("secret")
    forged = wire.Welcome(
        backend=BACKEND, incarnation=INCARNATION, proof=b"x" * 32
    )
    with pytest.raises(errors.HandshakeError, match="b1"):
        entry.verify_welcome(forged)


def test_proof_of_one_handshake_is_of_no_use_in_another() -> None:
    entry = wire.Handshake("secret")
    hello = entry.hello(wire.Handshake("secret").challenge(), NODE, DOMAIN)
    with pytest.raises(errors.HandshakeError):
        wire.Handshake("secret").welcome(hello, BACKEND, INCARNATION, link=1)


def test_peer_of_another_version_is_refused() -> None:
    challenge = wire.Challenge(nonce=b"n", version=wire.PROTOCOL_VERSION + 1)
    with pytest.raises(errors.HandshakeError, match="version"):
        wire.Handshake("secret").hello(challenge, NODE, DOMAIN)
