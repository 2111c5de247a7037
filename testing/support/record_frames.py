# SPDX-License-Identifier: Apache-2.0
"""Record the messages and records of a build as that build encodes them.

The result is kept beside the tests. To record those of a commit::

    git archive COMMIT src | tar -x -C /tmp/old
    PYTHONPATH=/tmp/old/src:testing/support python \
        testing/support/record_frames.py testing/edge/frames/COMMIT
"""

import pathlib
import sys
import types

import frame_samples

from lugcross.edge import messages
from lugcross.edge import patches
from lugcross.edge import suspect_store
from lugcross import experts
from lugcross import rate_limits
from lugcross import record_codec

BUILD = types.SimpleNamespace(
    **{name: getattr(messages, name) for name in dir(messages)}
)
BUILD.Patch = patches.Patch
BUILD.Splice = patches.Splice
BUILD.LeaseRecord = experts.LeaseRecord
if not hasattr(BUILD, "ServerLimit"):
    BUILD.ServerLimit = rate_limits.ServerLimitMessage
# The store's record of a suspect has no public type.
BUILD.StoredSuspect = suspect_store._StoredSuspect


def encoded() -> dict[str, bytes]:
    """Return the encoded samples of the imported build, by name."""
    found = {
        name: messages.encode(message)
        for samples in (
            frame_samples.datagrams,
            frame_samples.state_requests,
            frame_samples.state_responses,
            frame_samples.suspect_records,
        )
        for name, message in samples(BUILD).items()
    }
    for name, record in frame_samples.lease_records(BUILD).items():
        found[name] = record_codec.encode(record)
    found[frame_samples.NODE_RECORD] = frame_samples.NODE_ADDRESS.encode()
    return found


def main() -> None:
    """Write one file for each sample to the directory that is named."""
    directory = pathlib.Path(sys.argv[1])
    directory.mkdir(parents=True, exist_ok=True)
    for name, data in encoded().items():
        (directory / name).write_bytes(data)


if __name__ == "__main__":
    main()
