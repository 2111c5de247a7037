# SPDX-License-Identifier: Apache-2.0
"""Duties: one fencing token is valid at a time, despite pauses and races."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from lugcross import errors
from lugcross import ids
from lugcross import membership

DUTY = membership.DutyName("placement/moe")
NODES = [ids.NodeName(name) for name in ("e1", "e2", "e3")]


def claim(node: str, after: int, life: str = "1") -> membership.DutyClaim:
    return membership.DutyClaim(
        DUTY,
        ids.NodeName(node),
        ids.Incarnation(f"{node}-{life}"),
        membership.FencingToken(after),
    )


def duty_holders(*claims: membership.DutyClaim) -> membership.DutyHolders:
    found = membership.DutyHolders()
    for offset, one in enumerate(claims, start=1):
        found.apply(ids.Offset(offset), membership.encode_duty_claim(one))
    return found


def test_first_of_two_claims_at_once_holds_the_duty() -> None:
    holding = duty_holders(claim("e1", 0), claim("e2", 0)).holder(DUTY)
    assert holding is not None
    assert (holding.node, holding.token) == ("e1", 1)


def test_claim_on_top_of_the_holders_takes_over_with_a_higher_token() -> None:
    holding = duty_holders(claim("e1", 0), claim("e2", 1)).holder(DUTY)
    assert holding is not None
    assert (holding.node, holding.token) == ("e2", 2)


def test_duty_stays_while_its_holder_is_seen() -> None:
    found = duty_holders(claim("e1", 0))
    for node in NODES:
        incarnation = ids.Incarnation(f"{node}-1")
        assert found.next_claim(DUTY, node, incarnation, NODES) is None


def test_restarted_holder_claims_anew_or_another_does() -> None:
    found = duty_holders(claim("e1", 0))
    claims = [
        found.next_claim(DUTY, ids.NodeName("e1"), ids.Incarnation("x"), live)
        for live in (NODES, NODES[:1])
    ]
    assert claims[1] is not None
    assert claims[1].previous_token == 1


def test_exactly_one_of_the_live_takes_a_lost_duty() -> None:
    found = duty_holders(claim("gone", 0))
    claims = [
        found.next_claim(DUTY, node, ids.Incarnation("x"), NODES)
        for node in NODES
    ]
    assert len([one for one in claims if one]) == 1


def test_malformed_record_is_stepped_over_and_a_gap_is_not() -> None:
    found = duty_holders(claim("e1", 0))
    found.apply(ids.Offset(2), b"\xff")
    assert found.offset == 2
    with pytest.raises(errors.ReplayGapError):
        found.apply(ids.Offset(4), b"")


class DutyMachine(stateful.RuleBasedStateMachine):
    """Nodes that disagree on who is alive, pause, restart and race."""

    def __init__(self) -> None:
        super().__init__()
        self.log: list[bytes] = []
        self.views = {node: membership.DutyHolders() for node in NODES}
        self.lives = dict.fromkeys(NODES, 1)
        self.guard = membership.FencingTokenGuard()
        self.admitted: list[int] = []

    def incarnation(self, node: ids.NodeName) -> ids.Incarnation:
        return ids.Incarnation(f"{node}-{self.lives[node]}")

    @stateful.rule(
        node=st.sampled_from(NODES),
        others=st.sets(st.sampled_from(NODES)),
    )
    def maybe_claim(
        self, node: ids.NodeName, others: set[ids.NodeName]
    ) -> None:
        one = self.views[node].next_claim(
            DUTY, node, self.incarnation(node), others | {node}
        )
        if one is not None:
            self.log.append(membership.encode_duty_claim(one))

    @stateful.rule(node=st.sampled_from(NODES))
    def read(self, node: ids.NodeName) -> None:
        for offset, data in enumerate(self.log, start=1):
            self.views[node].apply(ids.Offset(offset), data)

    @stateful.rule(node=st.sampled_from(NODES))
    def restart(self, node: ids.NodeName) -> None:
        self.lives[node] += 1
        self.views[node] = membership.DutyHolders()

    @stateful.rule(node=st.sampled_from(NODES))
    def order(self, node: ids.NodeName) -> None:
        """Let a node that believes that it holds the duty give an order."""
        held = self.views[node].holder(DUTY)
        if held is None or held.incarnation != self.incarnation(node):
            return
        if self.guard.admit(held.token):
            assert held.token >= max(self.admitted, default=0)
            self.admitted.append(held.token)

    @stateful.invariant()
    def views_at_one_offset_agree(self) -> None:
        seen: dict[int, object] = {}
        for view in self.views.values():
            held = seen.setdefault(view.offset, view.holder(DUTY))
            assert held == view.holder(DUTY)


DutyMachine.TestCase.settings = hypothesis.settings(
    hypothesis.settings.get_profile("default"),
    derandomize=True,
    deadline=None,
    max_examples=200,
    stateful_step_count=30,
)
TestDuties = DutyMachine.TestCase
