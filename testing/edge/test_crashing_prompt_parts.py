# SPDX-License-Identifier: Apache-2.0
"""A prompt part that crashes every server, in requests that are all new.

Servers crashed one after the other, and rank groups were down for most of a
minute. Each request that crashed a server was a new one, so that no request
had a second crash, and none was refused.
"""

import itertools

import crash_part_scenario

#: Requests a second with the part that crashes servers.
RATES_PER_S = (0.7, 3.0, 12.0)


def test_no_more_than_three_late_sends(monkeypatch):
    late = {}
    for case in itertools.product(RATES_PER_S, (1, 2)):
        per_s, seed = case
        fleet = crash_part_scenario.run_crashing(
            monkeypatch, per_s, "f0", crash_part_scenario.BAD_PART, seed=seed
        )
        late[case] = crash_part_scenario.late_sends(fleet)
    assert max(late.values()) <= 3, late


def test_sound_requests_with_the_same_first_part_begin(monkeypatch):
    """At least half as many begin as before the first crash."""
    ratios = {}
    for per_s in RATES_PER_S:
        fleet = crash_part_scenario.run_crashing(
            monkeypatch, per_s, "f0", crash_part_scenario.BAD_PART
        )
        ratios[per_s] = crash_part_scenario.started_ratio_change(fleet, "f0")
    assert min(ratios.values()) >= 0.5, ratios
