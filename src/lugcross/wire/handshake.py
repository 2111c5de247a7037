# SPDX-License-Identifier: Apache-2.0
"""Mutual proof that both ends of a link hold the fleet's secret."""

import hashlib
import hmac
import secrets
from typing import final

from lugcross import errors
from lugcross import ids
from lugcross.wire import messages

_NONCE_BYTES = 16
_ENTRY_SIDE = b"entry"
_AGENT_SIDE = b"agent"


def new_nonce() -> bytes:
    """Return a nonce for one handshake."""
    return secrets.token_bytes(_NONCE_BYTES)


@final
class Handshake:
    """One end's part of the handshake; neither end sends the secret.

    :param secret: the fleet's secret, from the settings.
    """

    def __init__(self, secret: str) -> None:
        self._secret = secret.encode()
        self._nonce = new_nonce()

    def challenge(self) -> messages.Challenge:
        """Agent: return the first message."""
        return messages.Challenge(nonce=self._nonce)

    def hello(
        self,
        challenge: messages.Message,
        node: ids.NodeName,
        domain: ids.DomainName,
    ) -> messages.Hello:
        """Entry host: answer the agent's challenge."""
        if not isinstance(challenge, messages.Challenge):
            raise _handshake_error("the peer did not open with a challenge")
        _check_version(challenge.version)
        return messages.Hello(
            node=node,
            domain=domain,
            nonce=self._nonce,
            proof=self._proof(_ENTRY_SIDE, challenge.nonce, node),
        )

    def welcome(
        self,
        hello: messages.Message,
        backend: ids.BackendName,
        incarnation: ids.Incarnation,
        *,
        link: int,
    ) -> messages.Welcome:
        """Agent: check the entry host's proof and give its own."""
        if not isinstance(hello, messages.Hello):
            raise _handshake_error("the peer did not say who it is")
        _check_version(hello.version)
        proof = self._proof(_ENTRY_SIDE, self._nonce, hello.node)
        if not hmac.compare_digest(proof, hello.proof):
            raise _handshake_error(
                f"{hello.node} does not hold the fleet's secret"
            )
        return messages.Welcome(
            backend=backend,
            incarnation=incarnation,
            proof=self._proof(_AGENT_SIDE, hello.nonce, backend),
            link=link,
        )

    def verify_welcome(self, welcome: messages.Message) -> messages.Welcome:
        """Entry host: check the agent's proof."""
        if not isinstance(welcome, messages.Welcome):
            raise _handshake_error("the peer did not prove who it is")
        proof = self._proof(_AGENT_SIDE, self._nonce, welcome.backend)
        if not hmac.compare_digest(proof, welcome.proof):
            raise _handshake_error(
                f"{welcome.backend} does not hold the fleet's secret"
            )
        return welcome

    def _proof(self, side: bytes, nonce: bytes, name: str) -> bytes:
        # The side is part of it, so that a proof cannot be sent back.
        text = side + nonce + name.encode()
        return hmac.digest(self._secret, text, hashlib.sha256)


def _check_version(version: int) -> None:
    if version != messages.PROTOCOL_VERSION:
        raise _handshake_error(f"the peer speaks version {version}")


def _handshake_error(what: str) -> errors.HandshakeError:
    return errors.HandshakeError(
        what, remedy="check fleet.secret and the versions on both hosts"
    )
