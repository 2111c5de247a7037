# SPDX-License-Identifier: Apache-2.0
"""Pauses, backoffs and probes in the health of a backend server."""

import datetime

from lugcross.routing import health


def test_refusal_pause_doubles_up_to_its_maximum():
    server = health.BackendHealth()
    now = datetime.timedelta()
    pauses = []
    for _ in range(6):
        server.record_refusal(now)
        begun = now
        while server.is_avoided(now):
            now += datetime.timedelta(milliseconds=50)
        pauses.append((now - begun).total_seconds())
        assert server.on_probation
        server.record_sent(now)
        assert server.is_avoided(now)
        assert not server.is_probing_after_backoff()
    assert pauses == [0.1, 0.2, 0.4, 0.8, 0.8, 0.8]
    server.record_success()
    assert not server.on_probation
    server.record_refusal(now)
    assert not server.is_avoided(now + health.FIRST_REFUSAL_PAUSE)


def test_probe_after_backoff_ends_when_the_answer_starts():
    server = health.BackendHealth()
    now = datetime.timedelta()
    server.record_backoff(now)
    server.record_sent(now)
    assert server.is_probing_after_backoff()
    server.record_response_started()
    assert not server.is_probing_after_backoff()
    assert not server.is_avoided(now)
    assert not server.on_probation


def test_server_ejected_for_faults_is_on_probation_until_an_answer_completes():
    server = health.BackendHealth()
    now = datetime.timedelta()
    for _ in range(health.FAILURES_TO_EJECT):
        server.record_failure(now)
    now += health.FIRST_EJECTION
    server.record_sent(now)
    server.record_response_started()
    assert server.is_avoided(now)
    server.record_success()
    assert not server.is_avoided(now)
