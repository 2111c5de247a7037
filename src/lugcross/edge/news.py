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
from lugcross.edge import catchup
from lugcross.edge import messages
from lugcross.edge import patches
from lugcross.edge import peers as peers_lib
from lugcross.edge import questions
from lugcross.edge import settings as settings_lib
from lugcross.edge import world as world_lib
from lugcross import platform
from lugcross import positions

#: Time between two looks whether a peer knows more, in seconds.
_LOOK_S = 0.25
#: Age of the list of backend servers past which a peer that knows more is
#: asked at once; a read that waits for news ends sooner.
_OLD = datetime.timedelta(seconds=5)
#: How long a process that knows nothing yet leaves the seeds alone: the
#: store usually answers at once.
_SEEDS_AFTER_S = 0.5


@final
class News:
    """What peers tell each other of what the store holds.

    :param adopt: takes over a record of the desired state.
    :param unread: whether there is no use in waiting for the store.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        world: world_lib.World,
        peers: peers_lib.Peers,
        *,
        adopt: Callable[[bytes], None],
        unread: Callable[[], bool],
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._world = world
        self._peers = peers
        self._adopt = adopt
        self._unread = unread
        self.questions = catchup.Questions(clock, rng)

    def answer(self, ask: messages.Ask) -> messages.State:
        """Return what this process knows beyond ``ask``."""
        state = self._world.desired
        newer = state is not None and state.version > ask.version
        records = self._world.records
        whole = newer and ask.digest is None
        patch = records.patch(ask.digest) if newer and ask.digest else None
        packs = newer and ask.digest is not None and patch is None
        return messages.State(
            desired=records.newest if whole else b"",
            end=self._world.backends.end,
            rows=[
                messages.Row(row.key, row.position, row.value)
                for row in self._world.backends.records.values()
                if row.position >= ask.end
            ],
            packed=records.packed() if packs else b"",
            patch=patch,
        )

    async def run(self) -> None:
        """Ask peers that know more, if the store does not tell it.

        The store may not answer, or may leave a read waiting past the
        news; peers that were told cost nothing to listen to.
        """
        await asyncio.sleep(_SEEDS_AFTER_S)
        if self._world.desired is None:
            await self._ask_seeds()
        behind = False
        async with asyncio.TaskGroup() as tasks:
            while True:
                await asyncio.sleep(_LOOK_S)
                ahead = self.ahead()
                was_behind, behind = behind, bool(ahead)
                # A peer nearby will know as much as one far away in a moment.
                near = self._lost() and any(one.near for one in ahead)
                peer = self.questions.pick(ahead)
                if peer is not None and (was_behind or near):
                    self.questions.asked(peer)
                    tasks.create_task(self._ask_peer(peer))

    def _is_near(self, beat: messages.Beat) -> bool:
        return beat.domain == self._settings.domain

    def _lost(self) -> bool:
        """Tell whether there is no use in waiting for the store."""
        old = self._world.backends.age() > _OLD
        return old or self._unread()

    def ahead(self) -> list[catchup.Ahead]:
        """Return the live peers that know more."""
        version, end = self._world.version, self._world.backends.end
        return [
            catchup.Ahead(
                host=peer.host,
                port=peer.beat.state_port,
                newness=(peer.beat.version, peer.beat.end),
                near=self._is_near(peer.beat),
            )
            for peer in self._peers.live()
            if peer.beat
            and (peer.beat.version > version or peer.beat.end > end)
        ]

    async def _ask_seeds(self) -> None:
        for seed in self._settings.seeds:
            if seed != self._settings.listen.state:
                await self._ask(*address.split_host_port(seed))

    async def _ask_peer(self, peer: catchup.Ahead) -> None:
        answered = await self._ask(peer.host, peer.port)
        self.questions.ended(peer, answered=answered)

    async def _ask(self, host: str, port: int) -> bool:
        """Ask a peer and take over what it tells; tell whether it did."""
        records = self._world.records
        base = records.newest
        question = messages.Ask(
            self._world.version, self._world.backends.end, records.digest
        )
        answer = await questions.ask(host, port, question)
        if answer is None:
            return False
        try:
            record = _record(answer, base)
        except patches.PatchError as exc:
            logging.warning("bad answer", extra={"why": str(exc)})
            return False
        logging.info(
            "peer told",
            extra={
                "peer": host,
                "desired": bool(record),
                "patched": answer.patch is not None,
                "rows": len(answer.rows),
                "end": answer.end,
            },
        )
        if record:
            self._adopt(record)
        rows = tuple(
            platform.KeyedRecord(
                positions.Position(row.offset), row.key, row.value
            )
            for row in answer.rows
        )
        tail = platform.ReadResult(
            end=positions.Position(answer.end), records=rows
        )
        self._world.backends.apply(tail, store_was_away=True)
        return True


def _record(answer: messages.State, base: bytes) -> bytes:
    """Return the desired state's record in an answer, if it has one.

    :param base: record that the question named: another may be in force by
        now.
    :raises patches.PatchError: when it cannot be put together.
    """
    if answer.patch is not None:
        return patches.apply(base, answer.patch)
    return answer.desired or patches.unpack(answer.packed)
