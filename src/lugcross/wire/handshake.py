# SPDX-License-Identifier: Apache-2.0
"""Mutual authentication of both ends of a link by the fleet's secret.

It is a challenge-response exchange with HMAC: neither end sends the
secret itself.
"""

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
    """Return a random nonce for one handshake."""
    return secrets.token_bytes(_NONCE_BYTES)


@final
class Handshake:
    """State of one end in one handshake.

    An entry host calls :meth:`hello` and :meth:`verify_welcome`, an agent
    calls :meth:`challenge` and :meth:`welcome`.

    :param secret: the fleet's secret, from the settings.
    """

    def __init__(self, secret: str) -> None:
        self._secret = secret.encode()
        self._nonce = new_nonce()

    def challenge(self) -> messages.Challenge:
        """Return the agent's first message."""
        return messages.Challenge(nonce=self._nonce)

    def hello(
        self,
        challenge: messages.Message,
        node: ids.NodeName,
        domain: ids.DomainName,
    ) -> messages.Hello:
        """Return the entry host's reply to the agent's challenge.

        :raises errors.HandshakeError: if the message is no challenge or
            the agent has another protocol version.
        """
        if not isinstance(challenge, messages.Challenge):
            raise _handshake_error(
                "the peer's first message is not a challenge"
            )
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
        """Verify the entry host's proof and return the agent's.

        :param link: number of the link.
        :raises errors.HandshakeError: if the message is no hello, the
            proof is wrong or the entry host has another protocol
            version.
        """
        if not isinstance(hello, messages.Hello):
            raise _handshake_error(
                "the peer's reply to the challenge is not a hello"
            )
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
        """Verify the agent's proof for the entry host; return the message.

        :raises errors.HandshakeError: if the message is no welcome or the
            proof is wrong.
        """
        if not isinstance(welcome, messages.Welcome):
            raise _handshake_error(
                "the peer's reply to the hello is not a welcome"
            )
        proof = self._proof(_AGENT_SIDE, self._nonce, welcome.backend)
        if not hmac.compare_digest(proof, welcome.proof):
            raise _handshake_error(
                f"{welcome.backend} does not hold the fleet's secret"
            )
        return welcome

    def _proof(self, side: bytes, nonce: bytes, name: str) -> bytes:
        # Including the side prevents an attacker from reflecting a proof to
        # its sender.
        text = side + nonce + name.encode()
        return hmac.digest(self._secret, text, hashlib.sha256)


def _check_version(version: int) -> None:
    if version != messages.PROTOCOL_VERSION:
        raise _handshake_error(
            f"the peer has protocol version {version}, "
            f"this process has version {messages.PROTOCOL_VERSION}"
        )


def _handshake_error(what: str) -> errors.HandshakeError:
    return errors.HandshakeError(
        what, remedy="check fleet.secret and the versions on both hosts"
    )
