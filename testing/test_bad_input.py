# SPDX-License-Identifier: Apache-2.0
"""Real processes reject bad input from callers, peers and operators."""

import asyncio
from collections.abc import Iterator
import json
import socket
from typing import Any

from click import testing as click_testing
import pytest
from websockets.asyncio import client as ws_client
from websockets import exceptions as ws_exceptions

from lugcross import cfg
from lugcross.cli import ctl
from lugcross import errors
from lugcross import ids
from lugcross import wire
import process_fleet


@pytest.fixture(scope="module")
def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[process_fleet.Fleet]:
    """A fleet with one entry host and one engine."""
    running = process_fleet.Fleet(tmp_path_factory.mktemp("bad"))
    try:
        yield running.start()
    finally:
        running.stop()


def post_expecting_error(
    fleet: process_fleet.Fleet,
    body: bytes,
    *,
    path: str = "/v1/completions",
    key: str = "",
    headers: dict[str, str] | None = None,
) -> tuple[int, str, str]:
    """Send a request that fails; return status, error kind and outcome."""
    resp = fleet.control_http.request(
        "POST",
        fleet.urls()[0] + path,
        body=body,
        headers={
            "Authorization": f"Bearer {key or fleet.key}",
            **(headers or {}),
        },
    )
    error = resp.json()["error"]
    assert error["message"]
    assert error["outcome"] == resp.headers["Lugcross-Outcome"]
    return resp.status, error["kind"], error["outcome"]


@pytest.mark.parametrize(
    ("body", "key", "path", "expected"),
    [
        (b"{}", "nobody", "/v1/completions", (401, "bad-key")),
        (b"{", "", "/v1/completions", (400, "bad-request")),
        (b"x" * 2**21, "", "/v1/completions", (413, "too-large")),
        (b"x" * 2**23, "", "/v1/completions", (413, "too-large")),
        (b"{}", "", "/v1/nothing", (404, "no-service")),
        (b"{}", "", "/services/none/x", (404, "no-service")),
        (b"{}", "", f"/services/{process_fleet.MODEL}/x", (404, "no-service")),
    ],
    ids=[
        "unknown-key",
        "broken-json",
        "over-service-limit",
        "over-any-limit",
        "unknown-path",
        "unknown-service",
        "model-as-plain",
    ],
)
def test_bad_request_is_refused_as_not_run(
    fleet: process_fleet.Fleet,
    body: bytes,
    key: str,
    path: str,
    expected: tuple[int, str],
) -> None:
    if len(body) == 2**21:
        body = json.dumps(
            {"model": process_fleet.MODEL, "prompt": body.decode()}
        ).encode()
    assert post_expecting_error(fleet, body, key=key, path=path) == (
        *expected,
        "not-run",
    )


def test_slow_headers_do_not_delay_other_callers(
    fleet: process_fleet.Fleet,
) -> None:
    host, port = process_fleet.HOST, int(fleet.urls()[0].rsplit(":", 1)[1])
    slow = [socket.create_connection((host, port)) for _ in range(100)]
    for sock in slow:
        sock.sendall(b"POST /v1/completions HTTP/1.1\r\nHost:")
    resp = fleet.control_http.request("GET", f"{fleet.urls()[0]}/healthz")
    for sock in slow:
        sock.close()
    assert resp.status == 200


def agent_links_port(fleet: process_fleet.Fleet) -> int:
    return fleet.agents["model-d0-0"].ports["links"]


async def open_raw(port: int) -> Any:
    return await ws_client.connect(
        f"ws://{process_fleet.HOST}:{port}", proxy=None, compression=None
    )


@pytest.mark.parametrize(
    "frame",
    [b"\xff", b"\x81" * 1000, wire.encode([wire.Leaving(reason="x")]), "text"],
    ids=["not-cbor", "deep", "wrong-message", "text"],
)
def test_peer_with_bad_handshake_is_disconnected(
    fleet: process_fleet.Fleet, frame: bytes | str
) -> None:
    async def talk() -> None:
        ws = await open_raw(agent_links_port(fleet))
        await ws.recv()
        await ws.send(frame)
        with pytest.raises(ws_exceptions.ConnectionClosed):
            await asyncio.wait_for(ws.recv(), 10)

    asyncio.run(talk())
    fleet.wait_linked()


def test_peer_without_the_secret_is_refused(
    fleet: process_fleet.Fleet,
) -> None:
    async def talk() -> None:
        await wire.connect(
            process_fleet.HOST,
            agent_links_port(fleet),
            secret="not the fleet's secret",
            node=ids.NodeName("intruder"),
            domain=ids.DomainName("d0"),
        )

    with pytest.raises(errors.WireError):
        asyncio.run(talk())
    log = fleet.agents["model-d0-0"].log
    process_fleet.wait_until(
        lambda: any("intruder" in line.get("why", "") for line in log),
        what="refusal of the peer in the agent's log",
    )


@pytest.mark.parametrize(
    "frame",
    [b"\x82\x01", b"\x00" * (wire.MAX_FRAME_BYTES + 1)],
    ids=["malformed", "oversized"],
)
def test_bad_frame_closes_only_its_own_link(
    fleet: process_fleet.Fleet, frame: bytes
) -> None:
    async def talk() -> None:
        ws = await open_raw(agent_links_port(fleet))
        shake = wire.Handshake(process_fleet.SECRET)
        (challenge,) = wire.decode(await ws.recv())
        hello = shake.hello(
            challenge, ids.NodeName("broken"), ids.DomainName("d0")
        )
        await ws.send(wire.encode([hello]))
        (welcome,) = wire.decode(await ws.recv())
        shake.verify_welcome(welcome)
        with pytest.raises(ws_exceptions.ConnectionClosed):
            await ws.send(frame)
            while True:
                await asyncio.wait_for(ws.recv(), 10)

    with fleet.operator() as client:
        before = client.status().peers
    asyncio.run(talk())
    with fleet.operator() as client:
        after = client.status().peers
    assert all(peer.linked for peer in (*before, *after))


# lugcross ctl


def run_ctl(fleet: process_fleet.Fleet, *args: str, code: int = 0) -> str:
    target = f"{process_fleet.HOST}:{fleet.entries['entry-d0-0'].ports['rpc']}"
    result = click_testing.CliRunner().invoke(
        ctl.ctl, ["--entry", target, "--token", process_fleet.TOKEN, *args]
    )
    assert result.exit_code == code, result.output
    return result.output


def test_ctl_puts_shows_and_removes_a_group(
    fleet: process_fleet.Fleet,
) -> None:
    run_ctl(fleet, "put-group", "new", "--share", "2.5")
    assert "share=2.5" in run_ctl(fleet, "config")
    reply = json.loads(run_ctl(fleet, "--json", "remove", "group", "new"))
    assert reply["standing"] == "STANDING_ACCEPTED"
    again = run_ctl(fleet, "change", reply["change_id"])
    assert "accepted" in again


def test_ctl_prints_why_a_change_was_rejected(
    fleet: process_fleet.Fleet,
) -> None:
    text = run_ctl(
        fleet, "put-group", "g", "--share", "1", "--expect", "0", code=1
    )
    assert "rejected" in text
    assert "by bench" in text


def test_ctl_makes_a_key_that_works(fleet: process_fleet.Fleet) -> None:
    text = run_ctl(
        fleet, "put-workspace", "keyed", "--group", "g", "--new-key"
    )
    key = text.split("key, shown only now: ")[1].split()[0]
    assert key not in run_ctl(fleet, "config")
    with fleet.operator() as client:
        hashes = [
            h for i in client.config().items for h in i.workspace.key_hashes
        ]
    assert cfg.hash_key(key) in hashes


def test_ctl_apply_shows_the_difference_and_applies_it_once(
    fleet: process_fleet.Fleet, tmp_path: Any
) -> None:
    path = tmp_path / "wanted.yaml"
    path.write_text("groups: [{name: applied, share: 4.0}]\n")
    dry = run_ctl(fleet, "apply", "-f", str(path), "--dry-run")
    assert dry.strip() == "+ group/applied"
    assert "1 changes in force" in run_ctl(fleet, "apply", "-f", str(path))
    assert "nothing to change" in run_ctl(fleet, "apply", "-f", str(path))


def test_ctl_explains_a_request(fleet: process_fleet.Fleet) -> None:
    fleet.control_http.request(
        "POST",
        f"{fleet.urls()[0]}/v1/completions",
        body=json.dumps(
            {"model": process_fleet.MODEL, "prompt": "p", "max_tokens": 1}
        ),
        headers={
            "Authorization": f"Bearer {fleet.key}",
            "X-Request-Id": "why-there",
        },
    )
    assert "model-d0-0" in run_ctl(fleet, "explain", "why-there")


def test_ctl_status_shows_every_node(fleet: process_fleet.Fleet) -> None:
    fields = json.loads(run_ctl(fleet, "--json", "status"))
    assert {peer["backend"] for peer in fields["peers"]} == set(fleet.agents)
    assert all(peer["linked"] for peer in fields["peers"])
    text = run_ctl(fleet, "status")
    assert "model-d0-0" in text and "relay of the log" in text
