# SPDX-License-Identifier: Apache-2.0
"""The promises to callers hold while real processes fail."""

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
import process_fleet

AGENTS = ("model-d0-0", "model-d1-0")
ENGINES = ("engine-d0-0", "engine-d1-0")


@pytest.fixture(scope="module")
def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[process_fleet.Fleet]:
    """A fleet with two failure domains and a TCP relay before each agent."""
    running = process_fleet.Fleet(
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
def linked_fleet(fleet: process_fleet.Fleet) -> None:
    """Wait until every entry host is linked to every agent."""
    fleet.wait_linked()


@pytest.fixture
def sender(fleet: process_fleet.Fleet) -> demo.Sender:
    """A caller that uses the workspace key of the fleet."""
    return fleet.new_sender()


@pytest.fixture
def url(fleet: process_fleet.Fleet) -> str:
    """Base URL of the entry host in the domain of the first agent."""
    return fleet.url("entry-d0-0")


@final
class Stream:
    """A streamed completion that a test reads in steps."""

    def __init__(
        self, fleet: process_fleet.Fleet, url: str, tokens: int
    ) -> None:
        self._expected = request_sender.expected_completion("a prompt", tokens)
        body = {
            "model": process_fleet.MODEL,
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

    def read_events(self, events: int) -> None:
        """Read until ``events`` events have arrived in all."""
        while self._data.count(b"\n\n") < events:
            self._data += self.resp.readline()

    def read_to_end(self) -> bool:
        """Read to the end; return whether the text is what was requested."""
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            self._data += self.resp.read()
        return request_sender.parse_stream(self._data) == self._expected

    @property
    def looks_complete(self) -> bool:
        """Whether a caller would take the answer for complete."""
        return request_sender.parse_stream(self._data) is not None


def wait_for_running_agent(fleet: process_fleet.Fleet) -> str:
    """Wait for an agent that runs a request, and return its name."""
    process_fleet.wait_until(
        lambda: _running_agent(fleet, ""), what="agent that runs a request"
    )
    return _running_agent(fleet, "")


def wait_running(fleet: process_fleet.Fleet, count: int) -> None:
    """Wait until the engines run ``count`` requests in all."""

    def running() -> bool:
        found = 0
        for name in ENGINES:
            url = f"{fleet.standin_url(name)}/load"
            load = fleet.control_http.request("GET", url).json()
            found += load["running"]
        return bool(found == count)

    process_fleet.wait_until(running, what=f"{count} running requests")


# An answer is complete and belongs to its request.


def test_stream_resumes_after_link_cut_without_gap_or_duplicate(
    fleet: process_fleet.Fleet, url: str
) -> None:
    stream = Stream(fleet, url, 300)
    stream.read_events(20)
    relay = fleet.relays[wait_for_running_agent(fleet)]
    relay.cut()
    relay.restore()
    assert stream.read_to_end()


def test_stream_continues_at_another_agent_after_a_kill(
    fleet: process_fleet.Fleet, url: str
) -> None:
    stream = Stream(fleet, url, 300)
    stream.read_events(20)
    agent = fleet.agents[wait_for_running_agent(fleet)]
    agent.kill()
    whole = stream.read_to_end()
    agent.start("links")
    assert whole


def test_early_close_by_engine_is_not_taken_for_a_complete_answer(
    fleet: process_fleet.Fleet, sender: demo.Sender, url: str
) -> None:
    for name in ENGINES:
        fleet.set_faults(name, close_early=1)
    result = sender.complete(url, "early", tokens=20, stream=True)
    for name in ENGINES:
        fleet.set_faults(name)
    # Both engines closed early; a third attempt completed the answer.
    assert result.correct


def test_disconnected_caller_frees_its_slot(
    fleet: process_fleet.Fleet, url: str
) -> None:
    stream = Stream(fleet, url, 100_000)
    stream.read_events(5)
    wait_running(fleet, 1)
    stream.resp.close()
    wait_running(fleet, 0)


def test_reused_request_id_gets_its_own_answer(
    fleet: process_fleet.Fleet, url: str
) -> None:
    texts = []
    for prompt in ("one", "two"):
        resp = fleet.http.request(
            "POST",
            f"{url}/v1/completions",
            body=json.dumps(
                {
                    "model": process_fleet.MODEL,
                    "prompt": prompt,
                    "max_tokens": 3,
                }
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


# A request that is reported as "not-run" has not run.


def test_request_to_unreachable_backend_is_reported_as_not_run(
    fleet: process_fleet.Fleet, sender: demo.Sender, url: str
) -> None:
    ledger = fleet.standins["ledger"]
    port = ledger.ports["http"]
    ledger.kill()
    result = sender.charge(url, b"{}", key="refused")
    ledger.args[1:1] = ["--port", str(port)]
    ledger.start("http")
    assert result.outcome == "not-run"
    assert "refused" not in fleet.ledger_run_counts()


def test_agent_kill_after_dispatch_is_reported_as_unknown(
    fleet: process_fleet.Fleet, sender: demo.Sender, url: str
) -> None:
    fleet.set_faults("ledger", frozen=True)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        fut = pool.submit(sender.charge, url, b"{}", key="killed")
        process_fleet.wait_until(
            lambda: _running_plain_agent(fleet), what="dispatch"
        )
        agent = fleet.agents[_running_plain_agent(fleet)]
        agent.kill()
        result = fut.result()
    fleet.set_faults("ledger")
    agent.start("links")
    assert result.outcome == "unknown"


def test_entry_kill_visibly_truncates_the_stream(
    fleet: process_fleet.Fleet, url: str
) -> None:
    stream = Stream(fleet, url, 3000)
    stream.read_events(5)
    entry = fleet.entries["entry-d0-0"]
    entry.kill()
    assert not stream.read_to_end()
    assert not stream.looks_complete
    entry.start("http", "rpc")


# A request that must not be repeated runs at most once.


def test_same_key_at_two_entries_at_once_runs_once(
    fleet: process_fleet.Fleet, sender: demo.Sender
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
    assert fleet.ledger_run_counts()["at once"] == 1


def test_key_runs_once_after_its_entry_was_killed(
    fleet: process_fleet.Fleet, sender: demo.Sender, url: str
) -> None:
    fleet.set_faults("ledger", delay_s=0.5)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        fut = pool.submit(sender.charge, url, b"{}", key="orphan")
        process_fleet.wait_until(
            lambda: _running_plain_agent(fleet), what="dispatch"
        )
        fleet.entries["entry-d0-0"].kill()
        result = sender.charge(fleet.url("entry-d1-0"), b"{}", key="orphan")
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            fut.result()
    fleet.set_faults("ledger")
    fleet.entries["entry-d0-0"].start("http", "rpc")
    assert result.correct
    assert fleet.ledger_run_counts()["orphan"] == 1


def test_key_after_its_agent_was_restarted_does_not_run_again(
    fleet: process_fleet.Fleet, sender: demo.Sender, url: str
) -> None:
    assert sender.charge(url, b"{}", key="restart").correct
    for name in ("plain-d0", "plain-d1"):
        fleet.agents[name].kill()
        fleet.agents[name].start("links")
    fleet.wait_linked()
    again = sender.charge(url, b"{}", key="restart")
    assert (again.kind, again.outcome) == ("key-lost", "unknown")
    assert fleet.ledger_run_counts()["restart"] == 1


def test_claim_with_lost_append_answer_runs_once(
    fleet: process_fleet.Fleet, sender: demo.Sender, url: str
) -> None:
    fleet.set_faults("log", lose_answers=1)
    assert sender.charge(url, b"{}", key="lost answer").correct
    fleet.set_faults("log")
    assert fleet.ledger_run_counts()["lost answer"] == 1


def test_key_is_refused_while_the_log_is_down_and_runs_later(
    fleet: process_fleet.Fleet, sender: demo.Sender, url: str
) -> None:
    fleet.set_faults("log", down=True)
    result = sender.charge(url, b"{}", key="no log")
    fleet.set_faults("log")
    assert (result.kind, result.outcome) == ("once-unavailable", "not-run")
    assert result.retry_after_s > 0
    assert "no log" not in fleet.ledger_run_counts()
    assert sender.charge(url, b"{}", key="no log").correct


def test_key_runs_once_from_memory_while_the_log_is_down(
    fleet: process_fleet.Fleet, sender: demo.Sender, url: str
) -> None:
    with _claims_from_memory(fleet):
        fleet.set_faults("log", down=True)
        results = [
            sender.charge(one, b"{}", key="memory") for one in fleet.urls()
        ]
        fleet.set_faults("log")
    assert [result.correct for result in results] == [True, True]
    assert fleet.ledger_run_counts()["memory"] == 1
    # The claim was appended once the log was up again.
    assert sender.charge(url, b"{}", key="memory").correct
    assert fleet.ledger_run_counts()["memory"] == 1


def test_agent_resumed_after_the_deadline_runs_no_key_twice(
    fleet: process_fleet.Fleet, sender: demo.Sender, url: str
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
    assert fleet.ledger_run_counts().get("paused", 0) <= 1


def test_key_is_not_run_again_while_its_agent_is_cut_off(
    fleet: process_fleet.Fleet, sender: demo.Sender, url: str
) -> None:
    assert sender.charge(url, b"{}", key="cut off").correct
    relays = [fleet.relays[name] for name in ("plain-d0", "plain-d1")]
    for relay in relays:
        relay.cut()
        result = sender.charge(url, b"{}", key="cut off")
        relay.restore()
        fleet.wait_linked()
        assert result.correct or result.outcome == "unknown"
    assert fleet.ledger_run_counts()["cut off"] == 1


# Leaving servers get no requests; planned stops truncate no answers.


def test_backend_set_to_leaving_by_an_operator_gets_no_requests(
    fleet: process_fleet.Fleet, sender: demo.Sender, url: str
) -> None:
    with _set_leaving_by_operator(fleet, "model-d0-0"):
        before = fleet.engine_run_count(ENGINES[0])
        results = [
            sender.complete(url, f"op {num}", tokens=2, stream=False)
            for num in range(10)
        ]
        after = fleet.engine_run_count(ENGINES[0])
    assert all(result.correct for result in results)
    assert after == before


def test_backend_listed_as_leaving_by_the_platform_gets_no_requests(
    fleet: process_fleet.Fleet, sender: demo.Sender, url: str
) -> None:
    fleet.set_host_state("model-d0-0", logservice.HostState.LEAVING)
    process_fleet.wait_until(
        lambda: _is_leaving(fleet, "model-d0-0"),
        what="backend leaving by the host list",
    )
    before = fleet.engine_run_count(ENGINES[0])
    result = sender.complete(url, "by the list", tokens=2, stream=False)
    after = fleet.engine_run_count(ENGINES[0])
    fleet.set_host_state("model-d0-0", logservice.HostState.LIVE)
    process_fleet.wait_until(
        lambda: not _is_leaving(fleet, "model-d0-0"),
        what="backend live by the host list",
    )
    assert result.correct
    assert after == before


def test_simultaneous_sigterm_to_entry_and_agent_truncates_nothing(
    fleet: process_fleet.Fleet, url: str
) -> None:
    stream = Stream(fleet, url, 150)
    stream.read_events(5)
    agent = fleet.agents[wait_for_running_agent(fleet)]
    entry = fleet.entries["entry-d0-0"]
    for process in (agent, entry):
        process.signal(signal.SIGTERM)
        process.signal(signal.SIGTERM)
    assert stream.read_to_end()
    assert (agent.wait(), entry.wait()) == (0, 0)
    agent.start("links")
    entry.start("http", "rpc")


def test_stream_longer_than_the_grace_continues_at_another_agent(
    fleet: process_fleet.Fleet, url: str
) -> None:
    stream = Stream(fleet, url, 600)
    stream.read_events(5)
    agent = fleet.agents[wait_for_running_agent(fleet)]
    agent.signal(signal.SIGTERM)
    assert agent.wait() == 0
    whole = stream.read_to_end()
    agent.start("links")
    assert whole


def test_rolling_restart_under_load_truncates_nothing(
    fleet: process_fleet.Fleet, sender: demo.Sender
) -> None:
    stop = threading.Event()
    results: list[request_sender.Result] = []
    keys: list[str] = []

    def send_until_stopped(num: int) -> None:
        own = fleet.new_sender()
        for count in range(100_000):
            if stop.is_set():
                return
            key = f"roll {num} {count}"
            result = _send_to_ready_host(fleet, own, num, key)
            results.append(result)
            if result.correct and num % 2:
                keys.append(key)

    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        futs = [pool.submit(send_until_stopped, num) for num in range(6)]
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
    ran = fleet.ledger_run_counts()
    assert {ran[key] for key in keys} == {1}


def _send_to_ready_host(
    fleet: process_fleet.Fleet, sender: demo.Sender, num: int, key: str
) -> request_sender.Result:
    """Send to a ready entry host, as the platform's load balancer does."""
    while True:
        for url in fleet.urls():
            if not _is_ready(fleet, url):
                continue
            if num % 2:
                return sender.charge(url, b"{}", key=key)
            return sender.complete(url, key, tokens=10, stream=True)


def _is_ready(fleet: process_fleet.Fleet, url: str) -> bool:
    """Check readiness as the load balancer does, over a new connection."""
    try:
        resp = fleet.control_http.request(
            "GET",
            f"{url}/readyz",
            headers={"Connection": "close"},
            retries=False,
        )
    except urllib3.exceptions.HTTPError:
        return False
    return resp.status == 200


def _running_plain_agent(fleet: process_fleet.Fleet) -> str:
    """Return the plain agent that runs a request, or an empty string."""
    return _running_agent(fleet, "plain")


def _running_agent(fleet: process_fleet.Fleet, kind: str) -> str:
    """Return an agent of a kind that runs a request, or an empty string."""
    with fleet.operator("entry-d1-0") as client:
        peers = client.status().peers
    running = [p.backend for p in peers if p.running and kind in p.backend]
    return running[0] if running else ""


def _is_leaving(fleet: process_fleet.Fleet, backend: str) -> bool:
    with fleet.operator("entry-d0-0") as client:
        peers = client.status().peers
    return any(p.backend == backend and p.leaving for p in peers)


@contextlib.contextmanager
def _claims_from_memory(fleet: process_fleet.Fleet) -> Iterator[None]:
    """Let agents claim keys in memory while the log is down."""
    for away in (cfg.OnceLogAway.MEMORY, cfg.OnceLogAway.REFUSE):
        service = cfg.Service(
            name=process_fleet.LEDGER,
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
        process_fleet.wait_until(
            lambda want=offset: _agents_applied(fleet, want),
            what="service applied by all agents",
        )
        if away is cfg.OnceLogAway.MEMORY:
            yield


def _agents_applied(fleet: process_fleet.Fleet, offset: int) -> bool:
    with fleet.operator("entry-d0-0") as client:
        return all(p.offset >= offset for p in client.status().peers)


@contextlib.contextmanager
def _set_leaving_by_operator(
    fleet: process_fleet.Fleet, backend: str
) -> Iterator[None]:
    """Set a backend server to leaving through the operator API."""
    ref = cfg.Ref(cfg.Kind.BACKEND, backend)
    for leaving in (True, False):
        with fleet.operator("entry-d0-0") as client:
            revision = next(
                item.revision
                for item in client.config().items
                if item.backend.name == ref.name
            )
            client.set_leaving(backend, leaving, expect=revision)
        process_fleet.wait_until(
            lambda want=leaving: _is_leaving(fleet, backend) == want,
            what="leaving state applied",
        )
        if leaving:
            yield
