# SPDX-License-Identifier: Apache-2.0
"""Getting a first configuration from agents while the log is away.

An entry host learns from the configuration which agents there are, so
one that starts without the log needs some addresses from its settings.
"""

import asyncio
from collections.abc import Sequence
import contextlib
import random
from typing import final

from absl import logging

from lugcross import cfg
from lugcross import errors
from lugcross import ids
from lugcross import wire

#: Time that the log is given before agents are asked, in seconds.
LOG_FIRST_S = 1.0

_ANSWER_S = 2.0
_AGAIN_S = 1.0


@final
class Seeds:
    """Asks agents, one after the other, until there is a configuration.

    :param addresses: agents to ask; none may be right any more.
    """

    def __init__(
        self,
        addresses: Sequence[cfg.settings.Address],
        store: cfg.Store,
        *,
        secret: str,
        node: ids.NodeName,
        domain: ids.DomainName,
    ) -> None:
        self._addresses = list(addresses)
        self._store = store
        self._secret = secret
        self._node = node
        self._domain = domain

    async def ask(self) -> None:
        """Ask until the store is ready, by whatever way it became so."""
        await asyncio.sleep(LOG_FIRST_S)
        while self._addresses and not self._store.ready:
            random.shuffle(self._addresses)
            for address in self._addresses:
                if not self._store.ready:
                    await self._ask_one(address)
            await asyncio.sleep(_AGAIN_S * random.uniform(0.5, 1))

    async def _ask_one(self, address: cfg.settings.Address) -> None:
        try:
            link, _ = await wire.connect(
                address.host,
                address.port,
                secret=self._secret,
                node=self._node,
                domain=self._domain,
            )
        except errors.WireError as exc:
            logging.info("seed failed", extra={"why": str(exc)})
            return
        feed = cfg.Feed(self._store)
        for post in feed.on_link(link):
            link.post(post.msg)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_ANSWER_S):
                await link.run(lambda msg: self._receive(feed, link, msg))

    def _receive(
        self, feed: cfg.Feed, link: wire.Link, msg: wire.Message
    ) -> None:
        for post in feed.on_message(link, msg):
            link.post(post.msg)
