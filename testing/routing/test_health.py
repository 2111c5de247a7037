# SPDX-License-Identifier: Apache-2.0
"""How long a server that refuses is left alone."""

import datetime

from lugcross.routing import health


def test_refusal_pause_doubles_up_to_its_maximum():
    one = health.BackendHealth()
    now = datetime.timedelta()
    pauses = []
    for _ in range(6):
        one.record_refusal(now)
        begun = now
        while one.is_ejected(now):
            now += datetime.timedelta(milliseconds=50)
        pauses.append((now - begun).total_seconds())
        assert one.on_probation
        one.record_sent(now)
        assert one.is_ejected(now)
        assert not one.is_probing_after_backoff()
    assert pauses == [0.1, 0.2, 0.4, 0.8, 0.8, 0.8]
    one.record_success()
    assert not one.on_probation
    one.record_refusal(now)
    assert not one.is_ejected(now + health.FIRST_REFUSAL_PAUSE)


def test_probe_after_backoff_ends_when_the_answer_starts():
    one = health.BackendHealth()
    now = datetime.timedelta()
    one.record_backoff(now)
    one.record_sent(now)
    assert one.is_probing_after_backoff()
    one.record_answer_started()
    assert not one.is_probing_after_backoff()
    assert not one.is_ejected(now)
    assert not one.on_probation


def test_server_ejected_for_faults_is_on_probation_until_an_answer_completes():
    one = health.BackendHealth()
    now = datetime.timedelta()
    for _ in range(health.FAULTS_TO_EJECT):
        one.record_failure(now)
    now += health.FIRST_EJECTION
    one.record_sent(now)
    one.record_answer_started()
    assert one.is_ejected(now)
    one.record_success()
    assert not one.is_ejected(now)
