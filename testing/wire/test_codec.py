# SPDX-License-Identifier: Apache-2.0
"""Frames: any input decodes to messages or raises ``FrameError``."""

import cbor2
import hypothesis
from hypothesis import strategies as st
import pytest

from lugcross import errors
from lugcross import wire


@hypothesis.given(
    st.lists(
        st.one_of(
            st.builds(
                wire.ResponseChunk,
                id=st.integers(0, 2**40),
                seq=st.integers(0, 2**40),
                events=st.lists(st.binary(max_size=20)).map(tuple),
            ),
            st.builds(wire.Leaving, reason=st.text(max_size=20)),
            st.builds(
                wire.Failure,
                id=st.integers(0, 9),
                kind=st.sampled_from(errors.FailureKind),
                outcome=st.sampled_from(errors.Outcome),
                what=st.text(max_size=9),
                remedy=st.text(max_size=9),
            ),
        ),
        max_size=5,
    )
)
def test_decode_restores_encoded_messages(batch: list[wire.Message]) -> None:
    assert wire.decode(wire.encode(batch)) == batch


@hypothesis.given(st.binary(max_size=200))
@hypothesis.example(b"\x81" * 100_000)
@hypothesis.example(b"\xbf" * 5_000)
@hypothesis.example(b"\x9a\xff\xff\xff\xff")
@hypothesis.example(b"\x5b\xff\xff\xff\xff\xff\xff\xff\xff")
def test_arbitrary_bytes_decode_or_raise_frame_error(frame: bytes) -> None:
    try:
        wire.decode(frame)
    except errors.FrameError:
        pass


def test_frame_with_too_many_messages_is_rejected() -> None:
    batch = [wire.Leaving(reason="")] * (wire.MAX_MESSAGES_PER_FRAME + 1)
    with pytest.raises(errors.FrameError):
        wire.decode(wire.encode(batch))


def test_unknown_field_of_a_newer_peer_is_ignored() -> None:
    (array,) = cbor2.loads(wire.encode([wire.Leaving(reason="stop")]))
    newer = cbor2.dumps([[*array, "unknown field"]])
    assert wire.decode(newer) == [wire.Leaving(reason="stop")]
