# SPDX-License-Identifier: Apache-2.0
"""Configuration over several nodes: snapshots, peers, outages, races."""

import datetime

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from lugcross import cfg
from lugcross.cfg import follower as follower_lib
from lugcross.cfg import snapshot
from lugcross import clock as clock_lib
from lugcross import errors
from lugcross import ids
from lugcross import logservice
from lugcross import membership
from lugcross import standin
from lugcross import wire

NAMES = ("e1", "e2", "a1")


def change(num: int, expect: int, share: float = 1.0) -> cfg.Change:
    return cfg.Change(
        id=ids.ChangeId(f"c{num}"),
        author=f"op{num}",
        at=0.0,
        expect=ids.Revision(expect),
        op=cfg.Put(cfg.WorkspaceGroup(name="g", share=share)),
    )


class Node:
    """One process's configuration, driven by hand."""

    def __init__(
        self,
        log: logservice.Log,
        clock: clock_lib.Clock,
        name: str,
        poll_s: float = 0.0,
    ) -> None:
        self.name = name
        self.store = cfg.Store(clock)
        self.feed = cfg.Feed(self.store)
        self.follower = cfg.Follower(
            log, self.store, clock=clock, poll_s=poll_s, writes=True
        )
        self.fresh: list[list[logservice.Record]] = []
        self.store.listen(lambda c, records, a: self.fresh.append([*records]))

    def posts(self) -> list[cfg.Post]:
        """Return what the feed passes on of what is newly in force."""
        found = []
        while self.fresh:
            found += self.feed.on_store(self.fresh.pop(0))
        return found


def filled(count: int) -> tuple[standin.InMemoryLog, cfg.Config]:
    """Return a log with ``count`` changes, and what they lead to."""
    log = standin.InMemoryLog()
    config = cfg.Config()
    for num in range(1, count + 1):
        data = cfg.encode(change(num, num - 1, share=float(num)))
        config, _ = cfg.step(config, log.append(cfg.STREAM, data), data)
    return log, config


@pytest.fixture(autouse=True)
def small_parts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make snapshots of several parts from little configuration."""
    monkeypatch.setattr(snapshot, "PART_BYTES", 4096)


@pytest.fixture
def clock() -> clock_lib.ManualClock:
    return clock_lib.ManualClock()


def test_snapshot_comes_back_as_it_went() -> None:
    _, config = filled(600)
    parts = snapshot.split(config)
    assert len(parts) > 1
    again = [snapshot.decode(snapshot.encode(part)) for part in parts]
    assert snapshot.join(again) == config


@pytest.mark.parametrize("drop", [0, 1, -1])
def test_snapshot_with_a_part_missing_is_refused(drop: int) -> None:
    _, config = filled(900)
    parts = snapshot.split(config)
    del parts[drop]
    with pytest.raises(errors.ChangeError):
        snapshot.join(parts)


def test_writer_killed_half_way_leaves_nothing_that_is_used() -> None:
    _, old = filled(500)
    _, new = filled(900)
    collector = snapshot.Collector()
    for part in snapshot.split(old):
        collector.add(part)
    for part in snapshot.split(new)[:-1]:
        collector.add(part)
    assert snapshot.join(collector.newest) == old


def test_two_writers_at_once_do_no_harm() -> None:
    _, config = filled(900)
    parts = snapshot.split(config)
    collector = snapshot.Collector()
    for part in [*parts, *snapshot.split(config)][::-1]:
        collector.add(part)
    assert snapshot.join(collector.newest) == config


def test_start_from_snapshot_and_tail_when_records_have_expired(
    clock: clock_lib.ManualClock,
) -> None:
    log, config = filled(follower_lib.SNAPSHOT_EVERY + 20)
    writer = Node(log, clock, "e1")
    writer.follower.read_once()
    writer.follower.read_once()
    assert writer.follower.write_once()
    assert not writer.follower.write_once()
    log.expire(cfg.STREAM, before=config.offset + 1)
    reader = Node(log, clock, "e2")
    reader.follower.read_once()
    assert reader.store.config == config
    assert reader.store.ready


def test_node_away_for_longer_than_retention_catches_up_by_a_snapshot(
    clock: clock_lib.ManualClock,
) -> None:
    log, _ = filled(3)
    away = Node(log, clock, "e2")
    away.follower.read_once()
    for num in range(4, follower_lib.SNAPSHOT_EVERY + 10):
        log.append(cfg.STREAM, cfg.encode(change(num, num - 1)))
    writer = Node(log, clock, "e1")
    for _ in range(3):
        writer.follower.read_once()
    writer.follower.write_once()
    log.expire(cfg.STREAM, before=writer.store.config.offset)
    away.follower.read_once()
    assert away.store.config == writer.store.config


def test_expired_records_without_a_snapshot_leave_the_node_not_ready(
    clock: clock_lib.ManualClock,
) -> None:
    log, _ = filled(5)
    log.expire(cfg.STREAM, before=4)
    node = Node(log, clock, "e1")
    with pytest.raises(errors.OffsetExpiredError):
        node.follower.read_once()
    assert not node.store.ready


def test_no_read_waits_for_news_until_one_was_answered(
    clock: clock_lib.ManualClock,
) -> None:
    # Symptom: a change was not in force seconds after the log was back.
    # Sequence: a read that waits for news is sent while the log says
    # nothing, and ends long after the log's return. Cause: its time is that
    # of the wait and of an answer, 15 s with the former figures.
    log, _ = filled(3)
    node = Node(log, clock, "e1", poll_s=9.0)
    node.follower.read_next()
    log.read_waits_s.clear()
    rests = []
    for log.down in (False, True, True, False, False):
        rests.append(bool(node.follower.read_next()))
    assert log.read_waits_s == [9.0, 9.0, 0.0, 0.0, 9.0]
    assert rests == [False, True, True, False, False]


def test_snapshot_is_written_anew_before_the_old_one_expires(
    clock: clock_lib.ManualClock,
) -> None:
    log, _ = filled(3)
    node = Node(log, clock, "e1")
    node.follower.read_once()
    assert not node.follower.due()
    clock.advance(follower_lib.SNAPSHOT_AGE + datetime.timedelta(seconds=1))
    assert node.follower.due()


def give(source: Node, target: Node) -> None:
    """Let two nodes exchange over a link until nothing is left to say."""
    queue: list[tuple[Node, Node, wire.Message]] = []
    for one, other in ((source, target), (target, source)):
        for post in one.feed.on_link(other.name):
            queue.append((one, other, post.msg))
    while queue:
        sender, taker, msg = queue.pop(0)
        for post in taker.feed.on_message(sender.name, msg):
            queue.append((taker, sender, post.msg))
        taker.posts()
    source.feed.on_link_lost(target.name)
    target.feed.on_link_lost(source.name)


def test_node_that_starts_while_the_log_is_away_gets_a_peers_state(
    clock: clock_lib.ManualClock,
) -> None:
    log, config = filled(50)
    peer = Node(log, clock, "e1")
    peer.follower.read_once()
    peer.posts()
    log.down = True
    node = Node(log, clock, "e2")
    with pytest.raises(errors.LogUnavailableError):
        node.follower.read_once()
    assert not node.store.ready
    give(peer, node)
    assert node.store.ready
    assert node.store.config == config


def test_older_peer_never_takes_a_node_back(
    clock: clock_lib.ManualClock,
) -> None:
    log, _ = filled(3)
    old = Node(log, clock, "e1")
    old.follower.read_once()
    old.posts()
    log.append(cfg.STREAM, cfg.encode(change(4, 3, share=9.0)))
    new = Node(log, clock, "e2")
    new.follower.read_once()
    new.posts()
    before = new.store.config
    give(old, new)
    assert new.store.config is before
    assert old.store.config == before


def test_wrong_records_of_a_peer_are_found_and_read_again_from_the_log(
    clock: clock_lib.ManualClock,
) -> None:
    log, config = filled(3)
    forged, _ = filled(2)
    forged.append(cfg.STREAM, cfg.encode(change(3, 2, share=99.0)))
    wrong = Node(forged, clock, "bad")
    wrong.follower.read_once()
    wrong.posts()
    node = Node(log, clock, "e1")
    give(wrong, node)
    good = Node(log, clock, "e2")
    good.follower.read_once()
    good.posts()
    assert node.store.config != config
    give(good, node)
    assert node.store.doubted
    node.follower.read_once()
    assert node.store.config == config


def test_relays_are_two_of_those_that_agents_see() -> None:
    names = [ids.NodeName(f"e{num}") for num in range(8)]
    domain = ids.DomainName("a")

    def seen(name: ids.NodeName) -> wire.LinkedEntry:
        return wire.LinkedEntry(name, domain, ids.Offset(0))

    def relays_among(live: list[ids.NodeName]) -> list[str]:
        found = []
        for name in live:
            near = membership.LiveEntryHosts(name, domain)
            near.update_seen("l1", [seen(one) for one in live[:4]])
            near.update_seen("l2", [seen(one) for one in live[2:]])
            if near.is_log_relay():
                found.append(name)
        return found

    first = relays_among(names)
    assert len(first) == membership.RELAYS_PER_DOMAIN
    left = [name for name in names if name != first[0]]
    after = relays_among(left)
    assert len(after) == membership.RELAYS_PER_DOMAIN
    assert first[1] in after


class SpreadMachine(stateful.RuleBasedStateMachine):
    """Nodes, links and operators against one log that misbehaves.

    The naive model reads the whole log, from its first record, and
    never forgets.
    """

    def __init__(self) -> None:
        super().__init__()
        self.log = standin.InMemoryLog()
        self.clock = clock_lib.ManualClock()
        self.nodes = {name: self.begin(name) for name in NAMES}
        self.links: set[tuple[str, str]] = set()
        self.wires: dict[tuple[str, str], list[wire.Message]] = {}
        self.truth = [cfg.Config()]
        self.highest = dict.fromkeys(NAMES, 0)
        self.accepted: dict[str, int] = {}
        self.count = 0

    def begin(self, name: str) -> Node:
        return Node(self.log, self.clock, name)

    def carry(self, name: str, posts: list[cfg.Post]) -> None:
        for post in posts:
            place = (name, str(post.link))
            if place in self.wires:
                self.wires[place].append(post.msg)

    def settle(self, name: str) -> None:
        node = self.nodes[name]
        self.carry(name, node.posts())
        config = node.store.config
        assert config.offset >= self.highest[name], "went back"
        self.highest[name] = config.offset
        assert config == self.truth[config.offset], "differs at an offset"

    @stateful.rule(
        name=st.sampled_from(NAMES), lag=st.integers(0, 1), bad=st.booleans()
    )
    def operate(self, name: str, lag: int, bad: bool) -> None:
        """An operator changes one object, from what one node shows."""
        self.count += 1
        config = self.nodes[name].store.config
        ref = cfg.Ref(cfg.Kind.GROUP, "g")
        expect = max(0, config.revision(ref) - lag)
        one = change(self.count, expect, share=float(self.count))
        data = b"\xff\x00" if bad else cfg.encode(one)
        before = self.log.append_count
        try:
            self.log.append(cfg.STREAM, data)
        except errors.PlatformError:
            pass
        if self.log.append_count > before:
            offset = ids.Offset(len(self.truth))
            after, applied = cfg.step(self.truth[-1], offset, data)
            self.truth.append(after)
            if applied.verdict is cfg.Verdict.ACCEPTED:
                self.accepted[one.id] = offset

    @stateful.rule(name=st.sampled_from(NAMES))
    def follow(self, name: str) -> None:
        try:
            self.nodes[name].follower.read_once()
        except (errors.LogUnavailableError, errors.OffsetExpiredError):
            pass
        self.settle(name)

    @stateful.rule(name=st.sampled_from(NAMES))
    def write_snapshot(self, name: str) -> None:
        config = self.nodes[name].store.config
        try:
            for part in snapshot.split(config):
                self.log.append(snapshot.STREAM, snapshot.encode(part))
        except errors.PlatformError:
            pass

    @stateful.rule(
        pair=st.sampled_from([("e1", "a1"), ("e2", "a1"), ("e1", "e2")])
    )
    def connect(self, pair: tuple[str, str]) -> None:
        if pair in self.links:
            return
        self.links.add(pair)
        for one, other in (pair, pair[::-1]):
            self.wires[one, other] = []
        for one, other in (pair, pair[::-1]):
            self.carry(one, self.nodes[one].feed.on_link(other))

    @stateful.rule(data=st.data())
    def cut(self, data: st.DataObject) -> None:
        if not self.links:
            return
        pair = data.draw(st.sampled_from(sorted(self.links)))
        self.drop(pair)

    def drop(self, pair: tuple[str, str]) -> None:
        self.links.discard(pair)
        for one, other in (pair, pair[::-1]):
            del self.wires[one, other]
            self.nodes[one].feed.on_link_lost(other)

    @stateful.rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        busy = sorted(place for place, msgs in self.wires.items() if msgs)
        if not busy:
            return
        sender, taker = data.draw(st.sampled_from(busy))
        msg = self.wires[sender, taker].pop(0)
        self.carry(taker, self.nodes[taker].feed.on_message(sender, msg))
        self.settle(taker)

    @stateful.rule(name=st.sampled_from(NAMES))
    def restart(self, name: str) -> None:
        for pair in [pair for pair in self.links if name in pair]:
            self.drop(pair)
        self.nodes[name] = self.begin(name)
        self.highest[name] = 0

    @stateful.rule(down=st.booleans(), lost=st.integers(0, 1))
    def trouble(self, down: bool, lost: int) -> None:
        self.log.down = down
        self.log.lose_answers = lost

    @stateful.rule(before=st.integers(1, 9))
    def expire(self, before: int) -> None:
        covered = max(
            (node.store.config.offset for node in self.nodes.values()),
            default=0,
        )
        self.log.expire(cfg.STREAM, before=min(before, covered + 1))

    def teardown(self) -> None:
        """Once all is well, what was accepted is in force everywhere."""
        self.log.down = False
        self.log.lose_answers = 0
        self.log.expire(cfg.STREAM, before=1)
        for name, node in self.nodes.items():
            for _ in range(3):
                node.follower.read_once()
            self.settle(name)
            assert node.store.config == self.truth[-1]
            settled = node.store.config.settled
            for id, offset in self.accepted.items():
                assert settled[ids.ChangeId(id)].offset == offset


SpreadMachine.TestCase.settings = hypothesis.settings(
    hypothesis.settings.get_profile("default"),
    derandomize=True,
    deadline=None,
    max_examples=300,
    stateful_step_count=40,
)
TestSpread = SpreadMachine.TestCase
