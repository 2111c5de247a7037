# SPDX-License-Identifier: Apache-2.0
"""A fixed run of requests whose answers are known beforehand."""

from collections.abc import Callable
import time
from typing import final

import click

from lugcross import cfg
from lugcross.demo import calls
from lugcross.demo import fleet as fleet_lib
from lugcross.rpc import lugcross_pb2 as pb

_TOKENS = 12
_IN_FORCE_S = 4.0
_WAIT_S = 0.05


@final
class FixedRun:
    """Sends each kind of request once and tells what came of it."""

    def __init__(self, fleet: fleet_lib.Fleet) -> None:
        self._fleet = fleet
        self._sender = calls.Sender(fleet.rivals[0].key)
        self._failed = 0

    def run(self) -> bool:
        """Run all of it; tell whether everything was as expected."""
        checks: tuple[tuple[str, Callable[[], tuple[bool, str]]], ...] = (
            ("streamed completion", self._streamed),
            ("whole completion", self._whole),
            ("plain, not repeatable", self._charged),
            ("the same again, other entry host", self._repeated),
            ("its key with another body", self._reused),
            ("a key that nobody has", self._bad_key),
            ("share changed while running", self._changed),
            ("completion after the change", self._whole),
        )
        for name, check in checks:
            good, text = check()
            self._failed += not good
            click.echo(f"{'ok  ' if good else 'FAIL'} {name}: {text}")
        return not self._failed

    def _streamed(self) -> tuple[bool, str]:
        return self._complete(stream=True)

    def _whole(self) -> tuple[bool, str]:
        return self._complete(stream=False)

    def _complete(self, *, stream: bool) -> tuple[bool, str]:
        result = self._sender.complete(
            self._fleet.urls[0], "my tap leaks", tokens=_TOKENS, stream=stream
        )
        return result.whole, (
            f"{result.tokens} tokens, first part after "
            f"{result.first_s * 1000:.0f} ms, all after "
            f"{result.took_s * 1000:.0f} ms"
        )

    def _charged(self) -> tuple[bool, str]:
        return self._charge(self._fleet.urls[0])

    def _repeated(self) -> tuple[bool, str]:
        return self._charge(self._fleet.urls[-1])

    def _charge(self, url: str) -> tuple[bool, str]:
        result = self._sender.charge(url, b'{"rent": 7}', key="notice-1")
        ran = self._fleet.service.run_counts["notice-1"]
        return result.whole and ran == 1, (
            f"{result.body.decode()}, the service ran it {ran} time"
        )

    def _reused(self) -> tuple[bool, str]:
        result = self._sender.charge(
            self._fleet.urls[1], b'{"rent": 8}', key="notice-1"
        )
        good = (result.kind, result.outcome) == ("key-reused", "not-run")
        return good, _refusal(result)

    def _bad_key(self) -> tuple[bool, str]:
        result = calls.Sender("lc-nobody").complete(
            self._fleet.urls[0], "hello", tokens=1, stream=False
        )
        good = (result.kind, result.outcome) == ("bad-key", "not-run")
        return good, _refusal(result)

    def _changed(self) -> tuple[bool, str]:
        rival = self._fleet.rivals[0]
        client = self._fleet.client()
        ref = cfg.Ref(cfg.Kind.GROUP, rival.name)
        revision = self._fleet.entries[0].store.config.revision(ref)
        began = time.monotonic()
        reply = client.put(
            cfg.WorkspaceGroup(name=rival.name, share=rival.share + 1),
            expect=revision,
        )
        client.close()
        accepted = reply.standing == pb.STANDING_ACCEPTED
        everywhere = self._wait_in_force(reply.offset)
        took_ms = (time.monotonic() - began) * 1000
        return accepted and everywhere, (
            f"offset {reply.offset} in force in "
            f"{len(self._stores())} processes after {took_ms:.0f} ms"
        )

    def _wait_in_force(self, offset: int) -> bool:
        until = time.monotonic() + _IN_FORCE_S
        while time.monotonic() < until:
            if all(s.config.offset >= offset for s in self._stores()):
                return True
            time.sleep(_WAIT_S)
        return False

    def _stores(self) -> list[cfg.Store]:
        entries = [entry.store for entry in self._fleet.entries]
        return entries + [agent.store for agent in self._fleet.agents]


def _refusal(result: calls.Result) -> str:
    return f"{result.status} {result.kind}, outcome {result.outcome}"
