# SPDX-License-Identifier: Apache-2.0
"""Which operator a call comes from, and whether its role allows it."""

from collections.abc import Iterable
import hashlib
import hmac
from typing import final

import grpc

from lugcross import cfg

#: Metadata of a call that carries the operator's token.
METADATA = "authorization"

_BEARER = "Bearer "
_ORDER = (cfg.settings.Role.VIEWER, cfg.settings.Role.EDITOR)


@final
class Roles:
    """Operators of one fleet, from the settings."""

    def __init__(self, operators: Iterable[cfg.settings.Operator]) -> None:
        self._operators = tuple(operators)

    def check(
        self, context: grpc.ServicerContext, needed: cfg.settings.Role
    ) -> str:
        """Return the operator's name, or end the call with an error."""
        operator = self._find(context)
        if operator is None:
            context.abort(
                grpc.StatusCode.UNAUTHENTICATED,
                "the token is not that of any operator; set "
                "LUGCROSS_TOKEN to a token listed in the settings",
            )
        if _ORDER.index(operator.role) < _ORDER.index(needed):
            context.abort(
                grpc.StatusCode.PERMISSION_DENIED,
                f"{operator.name} has role {operator.role.value}, the call "
                f"needs {needed.value}; ask for that role in the settings",
            )
        return operator.name

    def _find(
        self, context: grpc.ServicerContext
    ) -> cfg.settings.Operator | None:
        sent = dict(context.invocation_metadata()).get(METADATA, "")
        token = str(sent).removeprefix(_BEARER)
        digest = hashlib.sha256(token.encode()).hexdigest()
        for operator in self._operators:
            if hmac.compare_digest(digest, operator.token_sha256):
                return operator
        return None
