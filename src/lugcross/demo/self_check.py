# SPDX-License-Identifier: Apache-2.0
"""Checks the demo fleet with requests whose responses are known."""

from collections.abc import Callable
import time
from typing import final

import click

from lugcross import cfg
from lugcross.demo import fleet as fleet_lib
from lugcross.demo import request_sender
from lugcross.rpc import lugcross_pb2 as pb

_MAX_TOKENS = 12
_APPLY_TIMEOUT_S = 4.0
_APPLY_POLL_S = 0.05


@final
class SelfCheck:
    """Runs a fixed sequence of checks and prints the result of each.

    A check returns whether it passed, and a description of the result.
    """

    def __init__(self, fleet: fleet_lib.Fleet) -> None:
        self._fleet = fleet
        self._sender = request_sender.Sender(fleet.groups[0].key)
        self._failure_count = 0

    def run(self) -> bool:
        """Run all checks and return whether all passed."""
        checks: tuple[tuple[str, Callable[[], tuple[bool, str]]], ...] = (
            ("streamed completion", self._check_streamed),
            ("unstreamed completion", self._check_completion),
            ("non-repeatable request", self._check_charge),
            (
                "same idempotency key on another entry host",
                self._check_repeated_charge,
            ),
            ("same idempotency key with another body", self._check_reused_key),
            ("unknown API key", self._check_unknown_api_key),
            ("change of a share", self._check_share_change),
            ("completion after the change", self._check_completion),
        )
        for name, check in checks:
            passed, text = check()
            self._failure_count += not passed
            click.echo(f"{'ok  ' if passed else 'FAIL'} {name}: {text}")
        return not self._failure_count

    def _check_streamed(self) -> tuple[bool, str]:
        return self._complete(stream=True)

    def _check_completion(self) -> tuple[bool, str]:
        return self._complete(stream=False)

    def _complete(self, *, stream: bool) -> tuple[bool, str]:
        result = self._sender.complete(
            self._fleet.urls[0],
            "my tap leaks",
            tokens=_MAX_TOKENS,
            stream=stream,
        )
        return result.correct, (
            f"{result.tokens} tokens, first part after "
            f"{result.first_part_s * 1000:.0f} ms, complete after "
            f"{result.duration_s * 1000:.0f} ms"
        )

    def _check_charge(self) -> tuple[bool, str]:
        return self._charge(self._fleet.urls[0])

    def _check_repeated_charge(self) -> tuple[bool, str]:
        return self._charge(self._fleet.urls[-1])

    def _charge(self, url: str) -> tuple[bool, str]:
        result = self._sender.charge(url, b'{"rent": 7}', key="notice-1")
        ran = self._fleet.service.run_counts["notice-1"]
        return result.correct and ran == 1, (
            f"{result.body.decode()}, run count {ran}"
        )

    def _check_reused_key(self) -> tuple[bool, str]:
        result = self._sender.charge(
            self._fleet.urls[1], b'{"rent": 8}', key="notice-1"
        )
        passed = (result.kind, result.outcome) == ("key-reused", "not-run")
        return passed, _error_summary(result)

    def _check_unknown_api_key(self) -> tuple[bool, str]:
        result = request_sender.Sender("lc-nobody").complete(
            self._fleet.urls[0], "hello", tokens=1, stream=False
        )
        passed = (result.kind, result.outcome) == ("bad-key", "not-run")
        return passed, _error_summary(result)

    def _check_share_change(self) -> tuple[bool, str]:
        group = self._fleet.groups[0]
        client = self._fleet.client()
        ref = cfg.Ref(cfg.Kind.GROUP, group.name)
        revision = self._fleet.entries[0].store.config.revision(ref)
        started_at = time.monotonic()
        reply = client.put(
            cfg.WorkspaceGroup(name=group.name, share=group.share + 1),
            expect=revision,
        )
        client.close()
        accepted = reply.standing == pb.STANDING_ACCEPTED
        applied_everywhere = self._wait_until_applied(reply.offset)
        duration_ms = (time.monotonic() - started_at) * 1000
        return accepted and applied_everywhere, (
            f"offset {reply.offset} applied by "
            f"{len(self._stores())} processes after {duration_ms:.0f} ms"
        )

    def _wait_until_applied(self, offset: int) -> bool:
        deadline = time.monotonic() + _APPLY_TIMEOUT_S
        while time.monotonic() < deadline:
            if all(s.config.offset >= offset for s in self._stores()):
                return True
            time.sleep(_APPLY_POLL_S)
        return False

    def _stores(self) -> list[cfg.Store]:
        entries = [entry.store for entry in self._fleet.entries]
        return entries + [agent.store for agent in self._fleet.agents]


def _error_summary(result: request_sender.Result) -> str:
    return f"{result.status} {result.kind}, outcome {result.outcome}"
