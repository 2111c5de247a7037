# SPDX-License-Identifier: Apache-2.0
"""Configuration changes while real processes and the log fail."""

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
def linked_fleet(fleet: process_fleet.Fleet) -> None:
    """Wait until every entry host is linked to every agent."""
    fleet.wait_linked()


def put_share(
    fleet: process_fleet.Fleet,
    share: float,
    *,
    entry: str = "",
    expect: int | None = None,
    change_id: str = "",
) -> pb.ChangeReply:
    """Change the share of the group through one entry host."""
    with fleet.operator(entry) as client:
        if expect is None:
            expect = share_revision(client.config())
        return client.put(
            cfg.WorkspaceGroup(name="g", share=share),
            expect=expect,
            change_id=change_id,
        )


def share_revision(config: pb.Config) -> int:
    return next(
        item.revision for item in config.items if item.group.name == "g"
    )


def effective_shares(fleet: process_fleet.Fleet) -> list[float]:
    """Return the share that each entry host has applied to the group."""
    found = []
    for name in fleet.entries:
        with fleet.operator(name) as client:
            items = client.config().items
        found += [i.group.share for i in items if i.group.name == "g"]
    return found


def wait_for_share(fleet: process_fleet.Fleet, share: float) -> None:
    process_fleet.wait_until(
        lambda: effective_shares(fleet) == [share] * len(fleet.entries),
        what=f"share {share} at every entry host",
    )


def log_relays(fleet: process_fleet.Fleet) -> list[str]:
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
    assert put_share(fleet, 2.0).standing == pb.STANDING_ACCEPTED
    wait_for_share(fleet, 2.0)


def test_one_of_concurrent_changes_to_an_object_is_accepted(
    fleet: process_fleet.Fleet,
) -> None:
    with fleet.operator() as client:
        expect = share_revision(client.config())
    with concurrent.futures.ThreadPoolExecutor(3) as pool:
        replies = list(
            pool.map(
                lambda pair: put_share(
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
    wait_for_share(fleet, 10.0 + accepted[0])


def test_append_with_lost_answer_is_resolved_by_reading_the_log(
    fleet: process_fleet.Fleet,
) -> None:
    fleet.set_faults("log", lose_answers=1)
    reply = put_share(fleet, 3.0)
    fleet.set_faults("log")
    assert reply.standing == pb.STANDING_ACCEPTED
    wait_for_share(fleet, 3.0)


def test_change_is_not_reported_as_accepted_while_the_log_is_down(
    fleet: process_fleet.Fleet,
) -> None:
    with fleet.operator() as client:
        expect = share_revision(client.config())
    fleet.set_faults("log", down=True)
    reply = put_share(fleet, 4.0, expect=expect, change_id="outage")
    fleet.set_faults("log")
    assert reply.standing == pb.STANDING_NOT_KNOWN_YET
    assert "outage" in reply.reason
    again = put_share(fleet, 4.0, expect=expect, change_id="outage")
    assert again.standing == pb.STANDING_ACCEPTED
    wait_for_share(fleet, 4.0)


def test_killed_log_relay_is_replaced(
    fleet: process_fleet.Fleet,
) -> None:
    process_fleet.wait_until(
        lambda: len(log_relays(fleet)) == 2, what="two log relays"
    )
    first = log_relays(fleet)[0]
    fleet.entries[first].kill()
    others = {n: p for n, p in fleet.entries.items() if n != first}
    all_entries, fleet.entries = fleet.entries, others
    process_fleet.wait_until(
        lambda: len(log_relays(fleet)) == 2,
        what="two log relays after the kill",
    )
    assert put_share(fleet, 5.0).standing == pb.STANDING_ACCEPTED
    wait_for_share(fleet, 5.0)
    fleet.entries = all_entries
    fleet.entries[first].start("http", "rpc")
    wait_for_share(fleet, 5.0)


def test_entry_gets_configuration_from_a_peer_while_the_log_is_down(
    fleet: process_fleet.Fleet,
) -> None:
    assert put_share(fleet, 6.0).standing == pb.STANDING_ACCEPTED
    wait_for_share(fleet, 6.0)
    fleet.set_faults("log", down=True)
    entry = fleet.entries["entry-d0-0"]
    entry.kill()
    entry.start("http", "rpc")
    wait_for_share(fleet, 6.0)
    process_fleet.wait_until(
        lambda: is_ready(fleet, "entry-d0-0"),
        what="entry host ready while the log is down",
    )
    fleet.set_faults("log")


def test_agent_gets_configuration_from_a_peer_while_the_log_is_down(
    fleet: process_fleet.Fleet,
) -> None:
    fleet.set_faults("log", down=True)
    agent = fleet.agents["model-d0-0"]
    agent.kill()
    agent.start("links")
    agent.wait_for_log_line("configuration")
    fleet.set_faults("log")


def test_entry_without_configuration_says_why_it_is_not_ready(
    fleet: process_fleet.Fleet,
) -> None:
    isolated = fleet.add_entry("d9", "isolated", isolated=True)
    url = f"http://{process_fleet.HOST}:{isolated.ports['http']}"
    resp = fleet.control_http.request("GET", f"{url}/readyz")
    del fleet.entries["isolated"]
    isolated.stop()
    assert resp.status == 503
    assert "no configuration" in resp.json()["why"]
    assert "log" in resp.json()["why"]


def test_malformed_record_is_skipped(
    fleet: process_fleet.Fleet,
) -> None:
    url = f"{fleet.standin_url('log')}/streams/{cfg.STREAM}/records"
    fleet.control_http.request("POST", url, body=b"\xff not a record")
    with fleet.operator() as client:
        expect = share_revision(client.config())
    assert (
        put_share(fleet, 7.0, expect=expect).standing == pb.STANDING_ACCEPTED
    )
    wait_for_share(fleet, 7.0)


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


def is_ready(fleet: process_fleet.Fleet, entry: str) -> bool:
    resp = fleet.control_http.request("GET", f"{fleet.url(entry)}/readyz")
    return resp.status == 200
