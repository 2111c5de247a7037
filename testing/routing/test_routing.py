# SPDX-License-Identifier: Apache-2.0
"""Server choice, subsets, rendezvous hashing, retry budget and health."""

import collections
import dataclasses
import datetime
import random

from lugcross import cfg
from lugcross import ids
from lugcross import membership
from lugcross import routing

NEAR = ids.DomainName("near")
FAR = ids.DomainName("far")


def candidate(
    name: str, busy: int = 0, *, domain: str = "near", usable: bool = True
) -> routing.Candidate:
    return routing.Candidate(
        name=ids.BackendName(name),
        domain=ids.DomainName(domain),
        usable=usable,
        reported_requests=busy,
        sent_since_report=0,
        capacity=4,
    )


def choose(
    *candidates: routing.Candidate, tried: tuple[str, ...] = ()
) -> str | None:
    choice = routing.choose_backend(
        candidates,
        own_domain=NEAR,
        tried=[ids.BackendName(name) for name in tried],
        rng=random.Random(1),
    )
    return choice.best.name if choice else None


def test_less_loaded_of_two_is_chosen() -> None:
    assert choose(candidate("a", 3), candidate("b", 1)) == "b"


def test_unusable_and_tried_ones_are_left_out() -> None:
    found = choose(
        candidate("a", usable=False),
        candidate("b"),
        candidate("c", 9),
        tried=("b",),
    )
    assert found == "c"
    assert choose(candidate("a", usable=False)) is None


def test_own_domain_is_left_only_when_that_saves_enough() -> None:
    far = candidate("f", domain="far")
    assert choose(candidate("n", 1), far) == "n"
    assert choose(candidate("n", 4), far) == "f"


def backend(name: str, domain: str) -> cfg.BackendServer:
    return cfg.BackendServer(
        name=name, domain=domain, host="127.0.0.1", port=1
    )


def links(
    node: str, backends: list[cfg.BackendServer], count: int
) -> set[str]:
    chosen = membership.choose_backend_subset(
        ids.NodeName(node), NEAR, backends, max_links=count
    )
    assert len(chosen) == min(count, len(backends))
    return {one.name for one in chosen}


def test_subsets_cover_all_evenly_and_move_little() -> None:
    backends = [backend(f"n{num}", "near") for num in range(60)]
    backends += [backend(f"f{num}", "far") for num in range(40)]
    chosen = {f"e{n}": links(f"e{n}", backends, 24) for n in range(40)}
    counts = collections.Counter(
        name for names in chosen.values() for name in names
    )
    assert set(counts) == {one.name for one in backends}
    fewer = backends[1:]
    for node, before in chosen.items():
        moved = links(node, fewer, 24) - before
        assert len(moved) <= 1


def test_subset_takes_what_there_is_when_one_side_is_small() -> None:
    near = [backend(f"n{num}", "near") for num in range(30)]
    far = [backend("f0", "far")]
    assert "f0" in links("e", near + far, 24)


def test_key_moves_only_when_its_first_backend_is_removed() -> None:
    names = [ids.BackendName(f"b{num}") for num in range(20)]
    for num in range(200):
        before = routing.rendezvous_first(f"key{num}", names)
        others = [n for n in names if n != "b7"]
        after = routing.rendezvous_first(f"key{num}", others)
        assert after == before or before == "b7"


def test_retries_stay_within_the_ratio_of_requests() -> None:
    budget = routing.RetryBudget(ratio=0.1, max_saved=5.0)
    spent = 0
    for _ in range(1000):
        budget.record_request()
        spent += budget.try_spend()
    assert spent <= 105


def test_slow_engine_gets_less_though_its_queue_is_shorter() -> None:
    slow = dataclasses.replace(candidate("slow", 0), step_ms=100.0)
    fast = dataclasses.replace(candidate("fast", 4), step_ms=10.0)
    assert choose(slow, fast) == "fast"


def test_ejected_ones_are_left_out_unless_too_few_are_left() -> None:
    avoided = dataclasses.replace(candidate("out"), avoided=True)
    assert choose(avoided, candidate("in", 9)) == "in"
    more = dataclasses.replace(candidate("more"), avoided=True)
    assert choose(avoided, more, candidate("in", 9)) in ("out", "more")


def seconds(value: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=value)


def failing(count: int) -> routing.BackendHealth:
    health = routing.BackendHealth()
    for _ in range(count):
        health.record_failure(seconds(0))
    return health


def test_faults_in_a_row_eject_and_a_success_between_does_not() -> None:
    assert not failing(2).is_avoided(seconds(0))
    assert failing(3).is_avoided(seconds(0))
    health = failing(2)
    health.record_success()
    health.record_failure(seconds(0))
    assert not health.is_avoided(seconds(0))


def test_one_probe_decides_whether_ejection_ends() -> None:
    health = failing(3)
    later = seconds(2)
    assert not health.is_avoided(later)
    health.record_sent(later)
    assert health.is_avoided(later)
    health.record_failure(later)
    assert health.is_avoided(seconds(3.9))
    assert not health.is_avoided(seconds(4.1))
    health.record_sent(seconds(4.1))
    health.record_success()
    assert not health.is_avoided(seconds(4.1))


def test_probe_without_result_lets_another_through() -> None:
    health = failing(3)
    health.record_sent(seconds(2))
    health.record_no_result()
    assert not health.is_avoided(seconds(2))
