# SPDX-License-Identifier: Apache-2.0
"""The promises to callers, under failures of real processes."""

from collections.abc import Iterator
import concurrent.futures
import contextlib
import json
import signal
import threading
from typing import final

import pytest
import urllib3

from lugcross import cfg
from lugcross import demo
from lugcross.demo import request_sender
from lugcross import logservice
import procs

AGENTS = ("model-d0-0", "model-d1-0")
ENGINES = ("engine-d0-0", "engine-d1-0")


@pytest.fixture(scope="module")
def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[procs.Fleet]:
    """Two failure domains with a relay before each agent."""
    running = procs.Fleet(
        tmp_path_factory.mktemp("promises"),
        domains=2,
        relays=True,
        resumable=True,
        grace_s=1.5,
    )
    running.timeout_s = 8.0
    try:
        yield running.start()
    finally:
        running.stop()


@pytest.fixture(autouse=True)
def whole_fleet(fleet: procs.Fleet) -> None:
    """Each test begins with every process up and linked."""
    fleet.wait_linked()


@pytest.fixture
def sender(fleet: procs.Fleet) -> demo.Sender:
    """A caller with the fleet's workspace key."""
    return fleet.sender()


@pytest.fixture
def url(fleet: procs.Fleet) -> str:
    """The first entry host, in the domain of the first agent."""
    return fleet.url("entry-d0-0")


@final
class Stream:
    """A stream of which a test reads a part before something happens."""

    def __init__(self, fleet: procs.Fleet, url: str, tokens: int) -> None:
        self._want = request_sender.expected_completion("a prompt", tokens)
        body = {
            "model": procs.MODEL,
            "prompt": "a prompt",
            "max_tokens": tokens,
            "stream": True,
        }
        self.resp = urllib3.PoolManager(retries=False).request(
            "POST",
            f"{url}/v1/completions",
            body=json.dumps(body),
            headers={"Authorization": f"Bearer {fleet.key}"},
            preload_content=False,
            timeout=30,
        )
        self._data = b""

    def read(self, events: int) -> None:
        """Read so many events."""
        while self._data.count(b"\n\n") < events:
            self._data += self.resp.readline()

    def whole(self) -> bool:
        """Read to the end; tell whether it is whole and its own."""
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            self._data += self.resp.read()
        return request_sender.parse_stream(self._data) == self._want

    @property
    def looks_whole(self) -> bool:
        """Whether a caller would take it for whole."""
        return request_sender.parse_stream(self._data) is not None


def runner_of(fleet: procs.Fleet) -> str:
    """Return the agent that runs the only request there is."""
    procs.wait_until(lambda: _running(fleet, ""), what="running")
    return _running(fleet, "")


def wait_running(fleet: procs.Fleet, count: int) -> None:
    """Wait until engines run ``count`` requests."""

    def running() -> bool:
        found = 0
        for name in ENGINES:
            url = f"{fleet.standin_url(name)}/load"
            load = fleet.control.request("GET", url).json()
            found += load["running"]
        return bool(found == count)

    procs.wait_until(running, what=f"{count} running")


# Whole answer, own request.


def test_link_cut_mid_stream_resumes_without_gap_or_double(
    fleet: procs.Fleet, url: str
) -> None:
    stream = Stream(fleet, url, 300)
    stream.read(20)
    relay = fleet.relays[runner_of(fleet)]
    relay.cut()
    relay.mend()
    assert stream.whole()


def test_agent_killed_mid_stream_goes_on_at_another_replica(
    fleet: procs.Fleet, url: str
) -> None:
    stream = Stream(fleet, url, 300)
    stream.read(20)
    agent = fleet.agents[runner_of(fleet)]
    agent.kill()
    whole = stream.whole()
    agent.start("links")
    assert whole


def test_engine_that_closes_early_is_never_taken_for_whole(
    fleet: procs.Fleet, sender: demo.Sender, url: str
) -> None:
    for name in ENGINES:
        fleet.faults(name, close_early=1)
    result = sender.complete(url, "early", tokens=20, stream=True)
    for name in ENGINES:
        fleet.faults(name)
    # Both replicas closed early; a third attempt made it whole.
    assert result.correct


def test_caller_that_hangs_up_frees_its_slot(
    fleet: procs.Fleet, url: str
) -> None:
    stream = Stream(fleet, url, 100_000)
    stream.read(5)
    wait_running(fleet, 1)
    stream.resp.close()
    wait_running(fleet, 0)


def test_request_id_used_again_gets_its_own_answer(
    fleet: procs.Fleet, url: str
) -> None:
    texts = []
    for prompt in ("one", "two"):
        resp = fleet.http.request(
            "POST",
            f"{url}/v1/completions",
            body=json.dumps(
                {"model": procs.MODEL, "prompt": prompt, "max_tokens": 3}
            ),
            headers={
                "Authorization": f"Bearer {fleet.key}",
                "X-Request-Id": "the-same",
            },
        )
        texts.append(resp.json()["choices"][0]["text"])
    assert texts == [
        request_sender.expected_completion(p, 3) for p in ("one", "two")
    ]


# "Not run" is true.


def test_backend_that_takes_no_connection_is_not_run(
    fleet: procs.Fleet, sender: demo.Sender, url: str
) -> None:
    ledger = fleet.standins["ledger"]
    port = ledger.ports["http"]
    ledger.kill()
    result = sender.charge(url, b"{}", key="refused")
    ledger.args[1:1] = ["--port", str(port)]
    ledger.start("http")
    assert result.outcome == "not-run"
    assert "refused" not in fleet.ran()


def test_agent_killed_after_dispatch_is_not_called_not_run(
    fleet: procs.Fleet, sender: demo.Sender, url: str
) -> None:
    fleet.faults("ledger", frozen=True)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        fut = pool.submit(sender.charge, url, b"{}", key="killed")
        procs.wait_until(lambda: _plain_runs(fleet), what="dispatch")
        agent = fleet.agents[_plain_runs(fleet)]
        agent.kill()
        result = fut.result()
    fleet.faults("ledger")
    agent.start("links")
    assert result.outcome == "unknown"


def test_entry_killed_is_a_cut_and_not_a_refusal(
    fleet: procs.Fleet, url: str
) -> None:
    stream = Stream(fleet, url, 3000)
    stream.read(5)
    entry = fleet.entries["entry-d0-0"]
    entry.kill()
    assert not stream.whole()
    assert not stream.looks_whole
    entry.start("http", "rpc")


# Not repeatable, at most once.


def test_same_key_at_two_entries_at_once_runs_once(
    fleet: procs.Fleet, sender: demo.Sender
) -> None:
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        results = list(
            pool.map(
                lambda num: sender.charge(
                    fleet.urls()[num % 2], b"{}", key="at once"
                ),
                range(16),
            )
        )
    assert {result.body for result in results} == {results[0].body}
    assert fleet.ran()["at once"] == 1


def test_key_after_its_entry_died_runs_once(
    fleet: procs.Fleet, sender: demo.Sender, url: str
) -> None:
    fleet.faults("ledger", delay_s=0.5)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        fut = pool.submit(sender.charge, url, b"{}", key="orphan")
        procs.wait_until(lambda: _plain_runs(fleet), what="dispatch")
        fleet.entries["entry-d0-0"].kill()
        result = sender.charge(fleet.url("entry-d1-0"), b"{}", key="orphan")
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            fut.result()
    fleet.faults("ledger")
    fleet.entries["entry-d0-0"].start("http", "rpc")
    assert result.correct
    assert fleet.ran()["orphan"] == 1


def test_key_after_its_agent_was_restarted_does_not_run_again(
    fleet: procs.Fleet, sender: demo.Sender, url: str
) -> None:
    assert sender.charge(url, b"{}", key="restart").correct
    for name in ("plain-d0", "plain-d1"):
        fleet.agents[name].kill()
        fleet.agents[name].start("links")
    fleet.wait_linked()
    again = sender.charge(url, b"{}", key="restart")
    assert (again.kind, again.outcome) == ("key-lost", "unknown")
    assert fleet.ran()["restart"] == 1


def test_claim_whose_append_lost_its_answer_still_runs_once(
    fleet: procs.Fleet, sender: demo.Sender, url: str
) -> None:
    fleet.faults("log", lose_answers=1)
    assert sender.charge(url, b"{}", key="lost answer").correct
    fleet.faults("log")
    assert fleet.ran()["lost answer"] == 1


def test_key_while_the_log_is_away_is_refused_at_once_and_runs_later(
    fleet: procs.Fleet, sender: demo.Sender, url: str
) -> None:
    fleet.faults("log", down=True)
    result = sender.charge(url, b"{}", key="no log")
    fleet.faults("log")
    assert (result.kind, result.outcome) == ("once-unavailable", "not-run")
    assert result.retry_after_s > 0
    assert "no log" not in fleet.ran()
    assert sender.charge(url, b"{}", key="no log").correct


def test_key_while_the_log_is_away_runs_once_from_memory_if_so_set(
    fleet: procs.Fleet, sender: demo.Sender, url: str
) -> None:
    with _served_from_memory(fleet):
        fleet.faults("log", down=True)
        results = [
            sender.charge(one, b"{}", key="memory") for one in fleet.urls()
        ]
        fleet.faults("log")
    assert [result.correct for result in results] == [True, True]
    assert fleet.ran()["memory"] == 1
    # The claim was appended when the log came back.
    assert sender.charge(url, b"{}", key="memory").correct
    assert fleet.ran()["memory"] == 1


def test_agent_paused_past_the_deadline_and_woken_runs_no_key_twice(
    fleet: procs.Fleet, sender: demo.Sender, url: str
) -> None:
    frozen = [fleet.agents[name] for name in ("plain-d0", "plain-d1")]
    for agent in frozen:
        agent.signal(signal.SIGSTOP)
    first = sender.charge(url, b"{}", key="paused")
    for agent in frozen:
        agent.signal(signal.SIGCONT)
    assert first.outcome == "unknown"
    fleet.wait_linked()
    sender.charge(url, b"{}", key="paused")
    assert fleet.ran().get("paused", 0) <= 1


def test_domain_that_is_cut_off_gives_its_keys_to_nobody_else(
    fleet: procs.Fleet, sender: demo.Sender, url: str
) -> None:
    assert sender.charge(url, b"{}", key="cut off").correct
    relays = [fleet.relays[name] for name in ("plain-d0", "plain-d1")]
    for relay in relays:
        relay.cut()
        result = sender.charge(url, b"{}", key="cut off")
        relay.mend()
        fleet.wait_linked()
        assert result.correct or result.outcome == "unknown"
    assert fleet.ran()["cut off"] == 1


# Leaving gets nothing new; a planned stop cuts nothing.


def test_backend_set_to_leaving_by_an_operator_gets_nothing_new(
    fleet: procs.Fleet, sender: demo.Sender, url: str
) -> None:
    with _left(fleet, "model-d0-0"):
        before = fleet.model_ran_at(ENGINES[0])
        results = [
            sender.complete(url, f"op {num}", tokens=2, stream=False)
            for num in range(10)
        ]
        after = fleet.model_ran_at(ENGINES[0])
    assert all(result.correct for result in results)
    assert after == before


def test_backend_shown_as_leaving_by_the_late_list_gets_nothing_new(
    fleet: procs.Fleet, sender: demo.Sender, url: str
) -> None:
    fleet.host("model-d0-0", logservice.HostState.LEAVING)
    procs.wait_until(
        lambda: _leaving(fleet, "model-d0-0"), what="leaving by the list"
    )
    before = fleet.model_ran_at(ENGINES[0])
    result = sender.complete(url, "by the list", tokens=2, stream=False)
    after = fleet.model_ran_at(ENGINES[0])
    fleet.host("model-d0-0", logservice.HostState.LIVE)
    procs.wait_until(
        lambda: not _leaving(fleet, "model-d0-0"), what="back by the list"
    )
    assert result.correct
    assert after == before


def test_sigterm_to_entry_and_agent_at_once_cuts_nothing(
    fleet: procs.Fleet, url: str
) -> None:
    stream = Stream(fleet, url, 150)
    stream.read(5)
    agent = fleet.agents[runner_of(fleet)]
    entry = fleet.entries["entry-d0-0"]
    for process in (agent, entry):
        process.signal(signal.SIGTERM)
        process.signal(signal.SIGTERM)
    assert stream.whole()
    assert (agent.wait(), entry.wait()) == (0, 0)
    agent.start("links")
    entry.start("http", "rpc")


def test_stream_longer_than_the_grace_goes_on_at_another_replica(
    fleet: procs.Fleet, url: str
) -> None:
    stream = Stream(fleet, url, 600)
    stream.read(5)
    agent = fleet.agents[runner_of(fleet)]
    agent.signal(signal.SIGTERM)
    assert agent.wait() == 0
    whole = stream.whole()
    agent.start("links")
    assert whole


def test_rolling_stop_of_every_process_under_load_cuts_nothing(
    fleet: procs.Fleet, sender: demo.Sender
) -> None:
    stop = threading.Event()
    results: list[request_sender.Result] = []
    keys: list[str] = []

    def call_on(num: int) -> None:
        own = fleet.sender()
        for count in range(100_000):
            if stop.is_set():
                return
            key = f"roll {num} {count}"
            result = _on_ready(fleet, own, num, key)
            results.append(result)
            if result.correct and num % 2:
                keys.append(key)

    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        futs = [pool.submit(call_on, num) for num in range(6)]
        for process in (*fleet.entries.values(), *fleet.agents.values()):
            ports = tuple(process.ports)
            process.signal(signal.SIGTERM)
            assert process.wait() == 0
            process.start(*ports)
            fleet.wait_linked()
        stop.set()
        for fut in futs:
            fut.result()
    broken = [
        result
        for result in results
        if not result.correct and result.outcome != "not-run"
    ]
    assert broken == []
    ran = fleet.ran()
    assert {ran[key] for key in keys} == {1}


def _on_ready(
    fleet: procs.Fleet, sender: demo.Sender, num: int, key: str
) -> request_sender.Result:
    """Send as behind the platform's balancer: only to ready hosts."""
    while True:
        for url in fleet.urls():
            if not _ready(fleet, url):
                continue
            if num % 2:
                return sender.charge(url, b"{}", key=key)
            return sender.complete(url, key, tokens=10, stream=True)


def _ready(fleet: procs.Fleet, url: str) -> bool:
    """Ask for readiness as the balancer does, over a new connection."""
    try:
        resp = fleet.control.request(
            "GET",
            f"{url}/readyz",
            headers={"Connection": "close"},
            retries=False,
        )
    except urllib3.exceptions.HTTPError:
        return False
    return resp.status == 200


def _plain_runs(fleet: procs.Fleet) -> str:
    """Return the plain agent that runs something, if any."""
    return _running(fleet, "plain")


def _running(fleet: procs.Fleet, kind: str) -> str:
    """Return an agent of a kind that runs something, if any."""
    with fleet.operator("entry-d1-0") as client:
        peers = client.status().peers
    running = [p.backend for p in peers if p.running and kind in p.backend]
    return running[0] if running else ""


def _leaving(fleet: procs.Fleet, backend: str) -> bool:
    with fleet.operator("entry-d0-0") as client:
        peers = client.status().peers
    return any(p.backend == backend and p.leaving for p in peers)


@contextlib.contextmanager
def _served_from_memory(fleet: procs.Fleet) -> Iterator[None]:
    """Let the plain service run from memory while the log is away."""
    for away in (cfg.OnceLogAway.MEMORY, cfg.OnceLogAway.REFUSE):
        service = cfg.Service(
            name=procs.LEDGER,
            type=cfg.ServiceType.PLAIN,
            repeatable=False,
            timeout_s=fleet.timeout_s,
            once_log_away=away,
        )
        with fleet.operator("entry-d0-0") as client:
            revision = next(
                item.revision
                for item in client.config().items
                if item.service.name == service.name
            )
            offset = client.put(service, expect=revision).offset
        procs.wait_until(
            lambda want=offset: _agents_have(fleet, want),
            what="service in force",
        )
        if away is cfg.OnceLogAway.MEMORY:
            yield


def _agents_have(fleet: procs.Fleet, offset: int) -> bool:
    with fleet.operator("entry-d0-0") as client:
        return all(p.offset >= offset for p in client.status().peers)


@contextlib.contextmanager
def _left(fleet: procs.Fleet, backend: str) -> Iterator[None]:
    """Let an operator set a backend server to leaving for a while."""
    ref = cfg.Ref(cfg.Kind.BACKEND, backend)
    for leaving in (True, False):
        with fleet.operator("entry-d0-0") as client:
            revision = next(
                item.revision
                for item in client.config().items
                if item.backend.name == ref.name
            )
            client.set_leaving(backend, leaving, expect=revision)
        procs.wait_until(
            lambda want=leaving: _leaving(fleet, backend) == want,
            what="leaving in force",
        )
        if leaving:
            yield
