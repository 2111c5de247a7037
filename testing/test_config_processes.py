# SPDX-License-Identifier: Apache-2.0
"""Configuration and membership, under failures of real processes."""

from collections.abc import Iterator
import concurrent.futures

import pytest

from lugcross import cfg
from lugcross.rpc import lugcross_pb2 as pb
import process_fleet

GROUP = cfg.Ref(cfg.Kind.GROUP, "g")


@pytest.fixture(scope="module")
def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[process_fleet.Fleet]:
    """One failure domain with three entry hosts."""
    running = process_fleet.Fleet(tmp_path_factory.mktemp("config"), entries=3)
    try:
        yield running.start()
    finally:
        running.stop()


@pytest.fixture(autouse=True)
def whole_fleet(fleet: process_fleet.Fleet) -> None:
    """Each test begins with every process up and linked."""
    fleet.wait_linked()


def put(
    fleet: process_fleet.Fleet,
    share: float,
    *,
    entry: str = "",
    expect: int | None = None,
    change_id: str = "",
) -> pb.ChangeReply:
    """Change the group's share through one entry host."""
    with fleet.operator(entry) as client:
        if expect is None:
            expect = revision(client.config())
        return client.put(
            cfg.WorkspaceGroup(name="g", share=share),
            expect=expect,
            change_id=change_id,
        )


def revision(config: pb.Config) -> int:
    return next(
        item.revision for item in config.items if item.group.name == "g"
    )


def shares(fleet: process_fleet.Fleet) -> list[float]:
    """Return the group's share in force at each entry host."""
    found = []
    for name in fleet.entries:
        with fleet.operator(name) as client:
            items = client.config().items
        found += [i.group.share for i in items if i.group.name == "g"]
    return found


def wait_share(fleet: process_fleet.Fleet, share: float) -> None:
    process_fleet.wait_until(
        lambda: shares(fleet) == [share] * len(fleet.entries),
        what=f"share {share} everywhere",
    )


def relays(fleet: process_fleet.Fleet) -> list[str]:
    """Return the entry hosts that read the log for the others."""
    found = []
    for name in fleet.entries:
        with fleet.operator(name) as client:
            if client.status().relay:
                found.append(name)
    return found


def test_change_at_one_entry_is_in_force_at_all(
    fleet: process_fleet.Fleet,
) -> None:
    assert put(fleet, 2.0).standing == pb.STANDING_ACCEPTED
    wait_share(fleet, 2.0)


def test_two_operators_at_once_on_one_object_one_wins(
    fleet: process_fleet.Fleet,
) -> None:
    with fleet.operator() as client:
        expect = revision(client.config())
    with concurrent.futures.ThreadPoolExecutor(3) as pool:
        replies = list(
            pool.map(
                lambda pair: put(
                    fleet, 10.0 + pair[0], entry=pair[1], expect=expect
                ),
                enumerate(fleet.entries),
            )
        )
    accepted = [
        num
        for num, reply in enumerate(replies)
        if reply.standing == pb.STANDING_ACCEPTED
    ]
    assert len(accepted) == 1
    losers = [r for r in replies if r.standing == pb.STANDING_REJECTED]
    assert [r.current_author for r in losers] == ["bench"] * 2
    wait_share(fleet, 10.0 + accepted[0])


def test_append_whose_answer_is_lost_is_settled_by_reading_on(
    fleet: process_fleet.Fleet,
) -> None:
    fleet.set_faults("log", lose_answers=1)
    reply = put(fleet, 3.0)
    fleet.set_faults("log")
    assert reply.standing == pb.STANDING_ACCEPTED
    wait_share(fleet, 3.0)


def test_change_while_the_log_is_away_is_never_called_accepted(
    fleet: process_fleet.Fleet,
) -> None:
    with fleet.operator() as client:
        expect = revision(client.config())
    fleet.set_faults("log", down=True)
    reply = put(fleet, 4.0, expect=expect, change_id="outage")
    fleet.set_faults("log")
    assert reply.standing == pb.STANDING_NOT_KNOWN_YET
    assert "outage" in reply.reason
    again = put(fleet, 4.0, expect=expect, change_id="outage")
    assert again.standing == pb.STANDING_ACCEPTED
    wait_share(fleet, 4.0)


def test_there_are_two_relays_and_a_killed_one_is_followed(
    fleet: process_fleet.Fleet,
) -> None:
    process_fleet.wait_until(
        lambda: len(relays(fleet)) == 2, what="two relays"
    )
    first = relays(fleet)[0]
    fleet.entries[first].kill()
    others = {n: p for n, p in fleet.entries.items() if n != first}
    whole, fleet.entries = fleet.entries, others
    process_fleet.wait_until(lambda: len(relays(fleet)) == 2, what="two again")
    assert put(fleet, 5.0).standing == pb.STANDING_ACCEPTED
    wait_share(fleet, 5.0)
    fleet.entries = whole
    fleet.entries[first].start("http", "rpc")
    wait_share(fleet, 5.0)


def test_entry_that_starts_while_the_log_is_away_is_supplied_by_a_peer(
    fleet: process_fleet.Fleet,
) -> None:
    assert put(fleet, 6.0).standing == pb.STANDING_ACCEPTED
    wait_share(fleet, 6.0)
    fleet.set_faults("log", down=True)
    entry = fleet.entries["entry-d0-0"]
    entry.kill()
    entry.start("http", "rpc")
    wait_share(fleet, 6.0)
    process_fleet.wait_until(
        lambda: ready(fleet, "entry-d0-0"), what="ready without the log"
    )
    fleet.set_faults("log")


def test_agent_that_starts_while_the_log_is_away_is_supplied_by_a_peer(
    fleet: process_fleet.Fleet,
) -> None:
    fleet.set_faults("log", down=True)
    agent = fleet.agents["model-d0-0"]
    agent.kill()
    agent.start("links")
    agent.wait_for_log_line("configuration")
    fleet.set_faults("log")


def test_entry_with_no_source_at_all_says_why_it_is_not_ready(
    fleet: process_fleet.Fleet,
) -> None:
    lonely = fleet.add_entry("d9", "lonely", isolated=True)
    url = f"http://{process_fleet.HOST}:{lonely.ports['http']}"
    resp = fleet.control_http.request("GET", f"{url}/readyz")
    del fleet.entries["lonely"]
    lonely.stop()
    assert resp.status == 503
    assert "no configuration" in resp.json()["why"]
    assert "log" in resp.json()["why"]


def test_malformed_record_is_kept_out_and_the_rest_goes_on(
    fleet: process_fleet.Fleet,
) -> None:
    url = f"{fleet.standin_url('log')}/streams/{cfg.STREAM}/records"
    fleet.control_http.request("POST", url, body=b"\xff not a record")
    with fleet.operator() as client:
        expect = revision(client.config())
    assert put(fleet, 7.0, expect=expect).standing == pb.STANDING_ACCEPTED
    wait_share(fleet, 7.0)


def test_change_by_an_operator_without_the_role_is_refused(
    fleet: process_fleet.Fleet,
) -> None:
    with pytest.raises(Exception, match="token"):
        with fleet.operator(token="nobody's") as client:
            client.status()
    with fleet.operator(token=process_fleet.VIEWER_TOKEN) as client:
        assert client.status().node
        with pytest.raises(Exception, match="needs editor"):
            client.put(cfg.WorkspaceGroup(name="g", share=1.0), expect=0)


def ready(fleet: process_fleet.Fleet, entry: str) -> bool:
    resp = fleet.control_http.request("GET", f"{fleet.url(entry)}/readyz")
    return resp.status == 200
