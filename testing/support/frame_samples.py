# SPDX-License-Identifier: Apache-2.0
"""Messages and records of edge processes, built from any build's types.

``testing/support/record_frames.py`` builds them from the types of an old
build and records their encoding; tests build them from the types of today and
from a copy of the old ones.
"""

from typing import Any

REQUEST = bytes(range(16))
#: Parts of a desired-state record, in which one changes.
BASE = b'{"routes":[{"name":"a"},{"name":"b"},{"name":"c"}]}'
NEWER = b'{"routes":[{"name":"a"},{"name":"d"},{"name":"c"}]}'


def suspect(types: Any) -> Any:
    """Return a suspect with the most crashes that are kept."""
    crashes = [
        types.ServerCrash(f"i-{num}@1764770000000", "v1.2", 1500 + num, 640)
        for num in range(5)
    ]
    return types.Suspect(REQUEST, crashes, 59_000)


def full_heartbeat(types: Any) -> Any:
    """Return a heartbeat in which each field of 76ebb2a has a value."""
    return types.Heartbeat(
        node="edge-17",
        incarnation="4f0c3a2e9d",
        domain="d2",
        state_port=9003,
        leaving=True,
        desired_version=41,
        backends_end=70_368_744_177_912,
        running_requests={"i-0@1764770000000": 3, "i-1": 1_000_000},
        known_addresses=["10.0.0.1:9004", "10.0.0.2:9004"],
        started_ms=1_764_770_000_123,
        broken_backends=["i-2", "i-3"],
        lease_generation=16_777_219,
        reads_store=True,
        relay=True,
        sequence=4_294_967_296,
        workspace_uses={0: 1, 4_294_967_295: 12},
        desired_age_ms=60_000,
        backends_age_ms=0,
        slow_backends=["i-4"],
        suspects=[suspect(types), types.Suspect(REQUEST[::-1], [])],
        leaving_backends=["i-5"],
        server_reports=[
            types.ServerReport("i-6", 7, 60_000, -1),
            types.ServerReport("i-7", 0, 0, 60_000),
        ],
        server_limits=[
            types.ServerLimit("i-8", 12.5, 3_600_000),
            types.ServerLimit("i-9", None, 0),
        ],
    )


def minimal_heartbeat(types: Any) -> Any:
    """Return a heartbeat of a process that knows nothing yet."""
    return types.Heartbeat(
        node="edge-1",
        incarnation="0",
        domain="d1",
        state_port=1,
        leaving=False,
        desired_version=0,
        backends_end=0,
        running_requests={},
        known_addresses=[],
    )


def datagrams(types: Any) -> dict[str, Any]:
    """Return heartbeats and relayed heartbeats by name of their frame."""
    full, minimal = full_heartbeat(types), minimal_heartbeat(types)
    return {
        "heartbeat_full": full,
        "heartbeat_minimal": minimal,
        "relayed_full": types.RelayedHeartbeat("10.0.0.3:9004", full),
        "relayed_minimal": types.RelayedHeartbeat("10.0.0.3:9004", minimal),
    }


def state_requests(types: Any) -> dict[str, Any]:
    """Return state requests by name of their frame."""
    return {
        "state_request_none": types.StateRequest(0, 0, b""),
        "state_request_whole": types.StateRequest(3, 17),
        "state_request_digest": types.StateRequest(41, 2**46 + 9, b"12345678"),
    }


def state_responses(types: Any) -> dict[str, Any]:
    """Return state responses by name of their frame."""
    records = [
        types.BackendRecord("i-0", 2**46 + 3, b'{"service":"s"}'),
        types.BackendRecord("i-1", 2**46 + 4, b""),
    ]
    patch = types.Patch(
        digest=b"\xd8\x1f\xb2\xd1@\xde\x96\x01",
        splices=[
            types.Splice(0, 1, b',{"name":"d"}'),
            types.Splice(2, 2),
        ],
    )
    return {
        "state_response_empty": types.StateResponse(b"", 0, []),
        "state_response_whole": types.StateResponse(NEWER, 5, records),
        "state_response_compressed": types.StateResponse(
            b"", 2**46 + 5, records, compressed=b"\x78\x01deflated"
        ),
        "state_response_patch": types.StateResponse(
            b"", 2**46 + 5, records, patch=patch
        ),
    }


def suspect_records(types: Any) -> dict[str, Any]:
    """Return records of crash suspects in the store, by name."""
    stored = types.StoredSuspect(suspect(types), 1_764_770_012_345)
    return {"record_suspect": stored}


def lease_records(types: Any) -> dict[str, Any]:
    """Return records of leases in the store, by name."""
    lease = types.LeaseRecord
    return {
        "record_lease_held": lease(holder="4f0c3a2e9d", generation=16_777_219),
        "record_lease_released": lease(
            holder="4f0c3a2e9d", generation=16_777_219, released=True
        ),
    }


#: Address in the record by which a process registers in the store.
NODE_ADDRESS = "10.0.0.17:9004"
NODE_RECORD = "record_node"
