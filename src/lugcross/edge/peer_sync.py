# SPDX-License-Identifier: Apache-2.0
"""News from peers: asked for when behind, given when asked."""

import asyncio
from collections.abc import Callable
import datetime
import random
from typing import final

from absl import logging

from lugcross import address
from lugcross import clock as clock_lib
from lugcross.edge import edge_state as edge_state_lib
from lugcross.edge import messages
from lugcross.edge import patches
from lugcross.edge import peer_selection
from lugcross.edge import peers as peers_lib
from lugcross.edge import settings as settings_lib
from lugcross.edge import state_transfer
from lugcross import platform
from lugcross import positions

#: Time between two looks whether a peer knows more, in seconds.
_CHECK_INTERVAL_S = 0.25
#: Age of the list of backend servers past which a peer that knows more is
#: asked at once; a read that waits for news ends sooner.
_STALE_BACKENDS_AGE = datetime.timedelta(seconds=5)
#: How long a process that knows nothing yet leaves the seeds alone: the
#: store usually answers at once.
_SEEDS_DELAY_S = 0.5


@final
class PeerSync:
    """What peers tell each other of what the store holds.

    :param adopt: takes over a record of the desired state.
    :param without_store: whether there is no use in waiting for the store.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        edge_state: edge_state_lib.EdgeState,
        peers: peers_lib.Peers,
        *,
        adopt: Callable[[bytes], None],
        without_store: Callable[[], bool],
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._edge_state = edge_state
        self._peers = peers
        self._adopt = adopt
        self._is_without_store = without_store
        self.selector = peer_selection.PeerSelector(clock, rng)

    def respond(self, req: messages.StateRequest) -> messages.StateResponse:
        """Return what this process knows beyond ``req``."""
        state = self._edge_state.desired
        newer = state is not None and state.version > req.version
        records = self._edge_state.desired_history
        sends_plain = newer and req.digest is None
        patch = records.patch(req.digest) if newer and req.digest else None
        sends_compressed = newer and req.digest is not None and patch is None
        return messages.StateResponse(
            desired=records.newest if sends_plain else b"",
            backends_end=self._edge_state.backends.end,
            backends=[
                messages.BackendRecord(row.key, row.position, row.value)
                for row in self._edge_state.backends.records.values()
                if row.position >= req.backends_end
            ],
            compressed=records.compressed() if sends_compressed else b"",
            patch=patch,
        )

    async def run(self) -> None:
        """Ask peers that know more, if the store does not tell it.

        The store may not answer, or may leave a read waiting past the
        news; peers that were told cost nothing to listen to.
        """
        await asyncio.sleep(_SEEDS_DELAY_S)
        if self._edge_state.desired is None:
            await self._request_from_seeds()
        behind = False
        async with asyncio.TaskGroup() as tasks:
            while True:
                await asyncio.sleep(_CHECK_INTERVAL_S)
                newer = self.newer_peers()
                was_behind, behind = behind, bool(newer)
                # A peer nearby will know as much as one far away in a moment.
                ask_now = self._should_ask_at_once() and any(
                    one.same_domain for one in newer
                )
                peer = self.selector.pick(newer)
                if peer is not None and (was_behind or ask_now):
                    self.selector.request_started(peer)
                    tasks.create_task(self._request_from_peer(peer))

    def _is_same_domain(self, heartbeat: messages.Heartbeat) -> bool:
        return heartbeat.domain == self._settings.domain

    def _should_ask_at_once(self) -> bool:
        """Tell whether there is no use in waiting for the store."""
        old = self._edge_state.backends.age() > _STALE_BACKENDS_AGE
        return old or self._is_without_store()

    def newer_peers(self) -> list[peer_selection.NewerPeer]:
        """Return the live peers that know more."""
        version, end = self._edge_state.version, self._edge_state.backends.end
        return [
            peer_selection.NewerPeer(
                host=peer.host,
                port=peer.heartbeat.state_port,
                newness=(peer.heartbeat.version, peer.heartbeat.backends_end),
                same_domain=self._is_same_domain(peer.heartbeat),
            )
            for peer in self._peers.live()
            if peer.heartbeat
            and (
                peer.heartbeat.version > version
                or peer.heartbeat.backends_end > end
            )
        ]

    async def _request_from_seeds(self) -> None:
        for seed in self._settings.seeds:
            if seed != self._settings.listen.state:
                await self._request(*address.split_host_port(seed))

    async def _request_from_peer(self, peer: peer_selection.NewerPeer) -> None:
        answered = await self._request(peer.host, peer.port)
        self.selector.request_ended(peer, answered=answered)

    async def _request(self, host: str, port: int) -> bool:
        """Ask a peer and take over what it tells; tell whether it did."""
        records = self._edge_state.desired_history
        base = records.newest
        req = messages.StateRequest(
            self._edge_state.version,
            self._edge_state.backends.end,
            records.digest,
        )
        response = await state_transfer.request_state(host, port, req)
        if response is None:
            return False
        try:
            record = _record(response, base)
        except patches.PatchError as exc:
            logging.warning("bad answer", extra={"why": str(exc)})
            return False
        logging.info(
            "peer told",
            extra={
                "peer": host,
                "desired": bool(record),
                "patched": response.patch is not None,
                "rows": len(response.backends),
                "end": response.backends_end,
            },
        )
        if record:
            self._adopt(record)
        rows = tuple(
            platform.KeyedRecord(
                positions.Position(row.offset), row.key, row.value
            )
            for row in response.backends
        )
        tail = platform.ReadResult(
            end=positions.Position(response.backends_end), records=rows
        )
        self._edge_state.backends.apply(tail, store_was_away=True)
        return True


def _record(response: messages.StateResponse, base: bytes) -> bytes:
    """Return the desired state's record in an answer, if it has one.

    :param base: record that the question named: another may be in force by
        now.
    :raises patches.PatchError: when it cannot be put together.
    """
    if response.patch is not None:
        return patches.apply(base, response.patch)
    return response.desired or patches.decompress(response.compressed)
