# SPDX-License-Identifier: Apache-2.0
"""Evacuation records."""

import dataclasses
from typing import final

from lugcross import ids
from lugcross import positions

#: Longest name of a domain; heartbeats with longer ones are dropped.
MAX_DOMAIN_CHARS = 100


@final
@dataclasses.dataclass(frozen=True)
class Record:
    """Whether the operator requests the evacuation of a failure domain.

    :param position: position of the record in the store, or the position
        before the end of a listing that has no record of the domain.
    :param requested: whether the domain is evacuated.
    """

    domain: ids.DomainName
    position: positions.Position
    requested: bool
