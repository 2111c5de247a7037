# SPDX-License-Identifier: Apache-2.0
"""Who a caller is and what it asks for, before any work is spent."""

import collections
from collections.abc import Iterator
import contextlib
import dataclasses
import datetime
import threading
from typing import final

from lugcross import cfg
from lugcross import errors
from lugcross import ids

_BEARER = "Bearer "
_SOON = datetime.timedelta(seconds=1)


@final
@dataclasses.dataclass(frozen=True)
class Principal:
    """The workspace that a request belongs to, and its group."""

    workspace: cfg.Workspace
    group: cfg.WorkspaceGroup


def identify(config: cfg.Config, authorization: str) -> Principal:
    """Return whose key the ``Authorization`` header carries.

    :raises errors.RequestError: when it is nobody's.
    """
    key = authorization.removeprefix(_BEARER)
    space = config.by_key_hash.get(cfg.hash_key(key))
    if space is None or not authorization.startswith(_BEARER):
        raise errors.RequestError(
            "the key is not that of any workspace",
            remedy="send 'Authorization: Bearer KEY' with a valid key",
            kind=errors.FailureKind.BAD_API_KEY,
            outcome=errors.Outcome.NOT_RUN,
        )
    return Principal(space, config.groups[space.group])


def find_service(
    config: cfg.Config, name: str, wanted: cfg.ServiceType
) -> cfg.Service:
    """Return the service called ``name``.

    :raises errors.RequestError: when there is none of that type.
    """
    service = config.services.get(name)
    if service is None or service.type is not wanted:
        raise errors.RequestError(
            f"there is no {wanted.value} service {name!r}",
            remedy="use the name of a configured service",
            kind=errors.FailureKind.NO_SERVICE,
            outcome=errors.Outcome.NOT_RUN,
        )
    return service


def too_large(limit: int) -> errors.RequestError:
    """Return the error for a body over ``limit`` bytes."""
    return errors.RequestError(
        f"the body is over {limit} bytes",
        remedy="send a smaller request",
        kind=errors.FailureKind.TOO_LARGE,
        outcome=errors.Outcome.NOT_RUN,
    )


@final
class Inflight:
    """Requests in progress at this entry host, and their limits.

    :param limit: of all workspaces together; the rest of the threads
        stays free to refuse and to answer health checks at once.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._by_workspace: collections.Counter[ids.WorkspaceName] = (
            collections.Counter()
        )
        self._changed = threading.Condition()
        self._refusing = ""

    @property
    def total(self) -> int:
        """Requests in progress."""
        return self._by_workspace.total()

    def refuse(self, why: str) -> None:
        """Take nothing more from now on."""
        self._refusing = why

    @contextlib.contextmanager
    def one(self, space: cfg.Workspace) -> Iterator[None]:
        """Count one request of ``space`` while the block runs.

        :raises errors.RequestError: when a limit is reached.
        """
        name = ids.WorkspaceName(space.name)
        with self._changed:
            self._check(space)
            self._by_workspace[name] += 1
        try:
            yield
        finally:
            with self._changed:
                self._by_workspace[name] -= 1
                self._changed.notify_all()

    def wait_none(self, timeout: datetime.timedelta) -> bool:
        """Wait until nothing is in progress; tell whether it is so."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self.total == 0, timeout.total_seconds()
            )

    def _check(self, space: cfg.Workspace) -> None:
        if self._refusing:
            raise _refused(errors.FailureKind.DRAINING, self._refusing)
        if self.total >= self._limit:
            raise _refused(
                errors.FailureKind.OVERLOADED, "this entry host is full"
            )
        held = self._by_workspace[ids.WorkspaceName(space.name)]
        if space.max_inflight and held >= space.max_inflight:
            raise _refused(
                errors.FailureKind.OVERLOADED,
                f"workspace {space.name} has {held} requests in progress, "
                "its limit",
            )


def _refused(kind: errors.FailureKind, what: str) -> errors.RequestError:
    return errors.RequestError(
        what,
        remedy="ask again after the time in Retry-After",
        kind=kind,
        outcome=errors.Outcome.NOT_RUN,
        retry_after=_SOON,
    )
