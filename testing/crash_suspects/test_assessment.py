# SPDX-License-Identifier: Apache-2.0
"""Which request or prompt part is to blame for crashes."""

from collections.abc import Iterable
import datetime

import pytest

from lugcross import crash_suspects
from lugcross.crash_suspects import assessment
from lugcross.crash_suspects import sound_runs as sound_runs_lib

SOFTWARE = frozenset(["v1"])
NOT_SUSPECT = crash_suspects.SuspectStatus.NOT_SUSPECT
SUSPECT = crash_suspects.SuspectStatus.SUSPECT
REFUSED = crash_suspects.SuspectStatus.REFUSED


def at(seconds: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=seconds)


def crash(
    server: str, when: float, ran: float = 0.1
) -> crash_suspects.ServerCrash:
    return crash_suspects.ServerCrash(server, "v1", at(when), at(ran))


def part(name: str) -> crash_suspects.Fingerprint:
    return crash_suspects.part_fingerprint("app", name)


BAD, POPULAR, RARE, REQUEST = map(part, ("bad", "popular", "rare", "request"))


class Evidence:
    """A registry that a test fills with crashes and sound runs."""

    def __init__(self) -> None:
        self.registry = crash_suspects.SuspectRegistry()
        self._runs = 0

    def crash(
        self,
        server: str,
        when: float,
        *suspects: crash_suspects.Fingerprint,
        ran: float = 0.1,
    ) -> None:
        for one in suspects:
            self.registry.record_crash(one, crash(server, when, ran), at(when))

    def sound(
        self,
        suspect: crash_suspects.Fingerprint,
        times: Iterable[float],
        software: str = "v1",
    ) -> None:
        for when in times:
            self._runs += 1
            run = crash_suspects.SoundRun(self._runs, software, at(when))
            self.registry.record_sound_run(suspect, run, at(when))

    def status(
        self, *suspects: crash_suspects.Fingerprint, now: float = 100.0
    ) -> crash_suspects.SuspectStatus:
        return self.registry.assess(suspects, SOFTWARE, at(now)).status


@pytest.fixture
def evidence() -> Evidence:
    return Evidence()


def test_part_is_refused_in_requests_that_are_all_new(evidence):
    for num in range(3):
        evidence.crash(f"s{num}", num, BAD, part(f"request {num}"))
    assert evidence.status(BAD, part("request 3")) is REFUSED
    assert evidence.status(part("request 4")) is NOT_SUSPECT


def test_part_with_sound_runs_before_is_no_suspect(evidence):
    """A first part is in nearly all requests, also in those that crash."""
    evidence.sound(POPULAR, (1, 2, 3))
    for num in range(2):
        evidence.crash(f"s{num}", 10 + num, POPULAR, BAD)
    assert evidence.status(POPULAR) is NOT_SUSPECT
    assert evidence.status(BAD, POPULAR) is SUSPECT
    evidence.crash("s2", 12, POPULAR, BAD)
    assert evidence.status(POPULAR) is NOT_SUSPECT
    assert evidence.status(BAD, POPULAR) is REFUSED


@pytest.mark.parametrize(("runs", "crashes"), [(0, 3), (1, 4), (2, 5)])
def test_each_sound_run_makes_one_more_crash_necessary(
    evidence, runs, crashes
):
    evidence.crash("s0", 0, BAD)
    evidence.sound(BAD, (0.5 + num / 10 for num in range(runs)))
    for num in range(1, crashes):
        assert evidence.status(BAD) is not REFUSED
        evidence.crash(f"s{num}", num, BAD)
    assert evidence.status(BAD) is REFUSED


def test_part_that_has_turned_bad_is_refused_after_five_crashes_in_a_row(
    evidence,
):
    evidence.sound(BAD, (1, 2, 3))
    for num in range(5):
        assert evidence.status(BAD) is not REFUSED
        evidence.crash(f"s{num}", 10 + num, BAD)
    assert evidence.status(BAD) is REFUSED


def test_popular_part_outlives_any_number_of_unrelated_crashes(evidence):
    for num in range(100):
        evidence.crash(f"s{num}", num, POPULAR)
        evidence.sound(POPULAR, (num + 0.5,))
        assert evidence.status(POPULAR, now=num + 0.7) is not REFUSED


def test_sound_runs_on_other_software_do_not_count(evidence):
    evidence.sound(BAD, (1, 2, 3), software="v0")
    for num in range(3):
        evidence.crash(f"s{num}", 10 + num, BAD)
    assert evidence.status(BAD) is REFUSED


def test_parts_that_cannot_be_told_apart_are_refused_only_together(evidence):
    for num in range(3):
        evidence.crash(f"s{num}", num, RARE, BAD)
    assert evidence.status(RARE, BAD) is REFUSED
    assert evidence.status(RARE) is SUSPECT
    assert evidence.status(BAD) is SUSPECT
    evidence.sound(RARE, (4,))
    assert evidence.status(RARE) is NOT_SUSPECT
    assert evidence.status(BAD) is REFUSED


def test_request_sent_again_and_again_does_not_get_its_part_refused(evidence):
    for num in range(3):
        evidence.crash(f"s{num}", num, BAD, REQUEST)
    assert evidence.status(BAD, REQUEST) is REFUSED
    assert evidence.status(BAD, part("other")) is SUSPECT
    evidence.crash("s3", 4, BAD, part("other"))
    assert evidence.status(BAD, part("third")) is REFUSED


def test_crashes_of_a_refused_part_count_against_nothing_else(evidence):
    evidence.crash("s0", 0, BAD, RARE)
    evidence.crash("s1", 1, BAD)
    assert evidence.status(RARE) is SUSPECT
    evidence.crash("s2", 2, BAD)
    assert evidence.status(RARE) is NOT_SUSPECT
    evidence.crash("s3", 3, RARE)
    assert evidence.status(RARE) is SUSPECT


def test_innocent_request_does_not_take_the_crashes_of_the_cause(evidence):
    """It ran beside three crashes; the part had one sound run of ten."""
    evidence.crash("s0", 0, BAD)
    evidence.sound(BAD, (0.5,))
    for num in range(1, 4):
        evidence.crash(f"s{num}", num, BAD, REQUEST)
    assert evidence.status(BAD) is REFUSED
    assert evidence.status(REQUEST) is NOT_SUSPECT


def test_two_causes_are_both_refused(evidence):
    other = part("other")
    for num in range(3):
        evidence.crash(f"s{num}", num, BAD)
        evidence.crash(f"t{num}", num + 0.5, other)
    assert evidence.status(BAD) is REFUSED
    assert evidence.status(other) is REFUSED


def test_very_different_run_times_need_one_more_crash(evidence):
    """An innocent request ran at the first three servers that crashed."""
    for num, ran in enumerate((0.415, 0.954, 0.424)):
        evidence.crash(f"s{num}", num, REQUEST, ran=ran)
    assert evidence.status(REQUEST) is SUSPECT
    evidence.crash("s3", 3, REQUEST, ran=0.4)
    assert evidence.status(REQUEST) is REFUSED


def test_sound_runs_of_two_processes_add_up():
    """Each has seen one run of the part before it hears of the crash."""
    first, second = Evidence(), Evidence()
    for one, num in ((first, 1), (second, 2)):
        run = crash_suspects.SoundRun(num, "v1", at(num))
        one.registry.record_sound_run(RARE, run, at(num))
    first.crash("s0", 5, RARE)
    second.registry.merge(first.registry.find(RARE), at(5))
    first.registry.merge(second.registry.find(RARE), at(5))
    for one in (first, second):
        assert [run.run_id for run in one.registry.find(RARE).sound_runs] == [
            1,
            2,
        ]
        assert one.status(RARE) is NOT_SUSPECT


def test_one_run_reported_twice_counts_once(evidence):
    run = crash_suspects.SoundRun(7, "v1", at(1))
    for when in (1, 2, 3):
        evidence.registry.record_sound_run(RARE, run, at(when))
    evidence.crash("s0", 5, RARE)
    assert len(evidence.registry.find(RARE).sound_runs) == 1


def test_sound_runs_expire(evidence):
    evidence.sound(BAD, (1, 2, 3))
    late = crash_suspects.SUSPICION_TTL.total_seconds()
    for num in range(3):
        evidence.crash(f"s{num}", late + 10 + num, BAD)
    assert evidence.status(BAD, now=late + 20) is REFUSED


def test_remembered_parts_are_bounded():
    history = sound_runs_lib.SoundRunHistory()
    for num in range(2 * sound_runs_lib.MAX_PARTS):
        history.add(
            part(str(num)), crash_suspects.SoundRun(num, "v1", at(num))
        )
    assert len(history) == sound_runs_lib.MAX_PARTS
    assert history.find(part("0"), at(1)) == ()


def test_part_name_belongs_to_its_service():
    assert crash_suspects.part_fingerprint("app", "a") != (
        crash_suspects.part_fingerprint("appa", "")
    )


def test_records_of_parts_outlive_a_flood_of_requests(evidence):
    evidence.crash("s0", 0, BAD)
    evidence.crash("s1", 1, BAD)
    for num in range(2000):
        evidence.crash("s9", 2 + num / 1000, part(f"request {num}"))
    assert evidence.registry.find(BAD) is not None


def test_thresholds_fit_what_is_kept():
    needed = assessment.CRASHES_TO_REFUSE_DESPITE_SOUND_RUNS
    assert needed <= crash_suspects.MAX_CRASHES_KEPT
    most = assessment.CRASHES_TO_REFUSE + crash_suspects.MAX_SOUND_RUNS_KEPT
    assert most > crash_suspects.MAX_CRASHES_KEPT


def test_request_sent_to_a_server_that_had_crashed_has_not_run(evidence):
    """A part of half of all requests was refused when all servers crashed.

    The requests that followed were sent on idle connections, whose servers
    other processes knew to have crashed.
    """
    for num in range(5):
        evidence.crash(f"s{num}", 1, part(f"request {num}"))
        evidence.crash(f"s{num}", 2 + num, POPULAR, ran=0.001)
    assert evidence.status(POPULAR) is NOT_SUSPECT
