# SPDX-License-Identifier: Apache-2.0
"""Exchange of newer state with peers: requests when behind, and responses."""

import asyncio
from collections.abc import Callable
import datetime
import math
import random
from typing import final

from absl import logging

from lugcross import address
from lugcross import clock as clock_lib
from lugcross import drain_times
from lugcross.edge import edge_state as edge_state_lib
from lugcross.edge import messages
from lugcross.edge import patches
from lugcross.edge import peer_selection
from lugcross.edge import peers as peers_lib
from lugcross.edge import settings as settings_lib
from lugcross.edge import state_transfer
from lugcross import platform
from lugcross import positions

#: Time between two checks whether a peer has newer state.
_CHECK_INTERVAL_S = 0.25
#: Age of the list of backend servers beyond which a peer with a newer one is
#: asked at once; a long-polling read of the store normally ends sooner.
_STALE_BACKENDS_AGE = datetime.timedelta(seconds=5)
#: Time after a start before seeds are asked; the store usually answers sooner.
_SEEDS_DELAY_S = 0.5
_MS = datetime.timedelta(milliseconds=1)


@final
class PeerSync:
    """Gets newer state from peers, and responds to their requests.

    :param adopt: called with a newer desired-state record of a peer.
    :param depends_on_peers: whether this process gets updates only from peers
        now, because its calls to the store fail or because peers read the
        store for it.
    :param store_was_away: whether calls of this process to the store failed
        lately.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        edge_state: edge_state_lib.EdgeState,
        peers: peers_lib.Peers,
        *,
        adopt: Callable[[bytes], None],
        depends_on_peers: Callable[[], bool],
        store_was_away: Callable[[], bool],
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._edge_state = edge_state
        self._peers = peers
        self._adopt = adopt
        self._depends_on_peers = depends_on_peers
        self._store_was_away = store_was_away
        self._clock = clock
        self.selector = peer_selection.PeerSelector(clock, rng)

    def respond(self, req: messages.StateRequest) -> messages.StateResponse:
        """Return the state that is newer than the requester's."""
        state = self._edge_state.desired
        newer = state is not None and state.version > req.desired_version
        history = self._edge_state.desired_history
        sends_plain = newer and req.digest is None
        patch = history.patch(req.digest) if newer and req.digest else None
        sends_compressed = newer and req.digest is not None and patch is None
        return messages.StateResponse(
            desired=history.newest if sends_plain else b"",
            backends_end=self._edge_state.backends.end,
            backends=[
                self._backend_message(row)
                for row in self._edge_state.backends.records.values()
                if row.position >= req.backends_end
            ],
            compressed=history.compressed() if sends_compressed else b"",
            patch=patch,
            has_all_records=True,
        )

    def _backend_message(
        self, row: platform.KeyedRecord
    ) -> messages.BackendRecord:
        confirmation = self._edge_state.backends.confirmation(row.key)
        return messages.BackendRecord(
            row.key,
            row.position,
            row.value,
            age_ms=math.ceil(confirmation.max_age / _MS),
            uncertain=confirmation.store_was_away,
        )

    async def run(self) -> None:
        """Request newer state from peers until cancelled.

        A read of the store may fail or miss a change that a peer already has.
        A peer is asked at once where waiting for the store is of no use,
        otherwise if it is still ahead at the next check.
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
                # A peer in another domain alone is no reason to ask at once:
                # one in this domain will soon have the same state.
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
        """Return whether waiting for the store is of no use."""
        old = self._edge_state.backends.age() > _STALE_BACKENDS_AGE
        return old or self._depends_on_peers()

    def newer_peers(self) -> list[peer_selection.NewerPeer]:
        """Return the live peers that have newer state."""
        version, end = self._edge_state.version, self._edge_state.backends.end
        return [
            peer_selection.NewerPeer(
                host=peer.host,
                port=peer.heartbeat.state_port,
                newness=(
                    peer.heartbeat.desired_version,
                    peer.heartbeat.covered_end,
                ),
                same_domain=self._is_same_domain(peer.heartbeat),
            )
            for peer in self._peers.live()
            if peer.heartbeat
            and (
                peer.heartbeat.desired_version > version
                or peer.heartbeat.covered_end > end
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
        """Request newer state from a peer and apply it.

        :returns: whether the peer responded with valid state.
        """
        history = self._edge_state.desired_history
        base = history.newest
        req = messages.StateRequest(
            self._edge_state.version,
            self._edge_state.backends.end,
            history.digest,
        )
        begun_at = self._clock.monotonic()
        response = await state_transfer.request_state(host, port, req)
        if response is None:
            return False
        try:
            record = _desired_record(response, base)
        except patches.PatchError as exc:
            logging.warning("invalid state response", extra={"why": str(exc)})
            return False
        logging.info(
            "state received from peer",
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
        self._apply_backends(response, self._clock.monotonic() - begun_at)
        return True

    def _apply_backends(
        self,
        response: messages.StateResponse,
        transfer_time: datetime.timedelta,
    ) -> None:
        backends = self._edge_state.backends
        store_was_away = self._store_was_away()
        backends.apply_confirmed(
            [
                (
                    platform.KeyedRecord(
                        positions.Position(row.position), row.key, row.value
                    ),
                    drain_times.relayed_confirmation(
                        peers_age=_known_age(row),
                        transfer_time=transfer_time,
                        peer_was_uncertain=row.uncertain,
                        store_was_away=store_was_away,
                    ),
                )
                for row in response.backends
            ],
            positions.Position(response.backends_end)
            if response.has_all_records
            else backends.end,
        )


def _known_age(row: messages.BackendRecord) -> datetime.timedelta | None:
    return row.age_ms * _MS if row.age_ms >= 0 else None


def _desired_record(response: messages.StateResponse, base: bytes) -> bytes:
    """Return the desired-state record in a response; empty without one.

    :param base: this process's record when it sent the request; another one
        may be in force by now.
    :raises patches.PatchError: if the record cannot be reconstructed.
    """
    if response.patch is not None:
        return patches.apply(base, response.patch)
    return response.desired or patches.decompress(response.compressed)
