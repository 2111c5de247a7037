# SPDX-License-Identifier: Apache-2.0
"""How far a topic of the store has been read, and how to read on."""

from lugcross.topic_reads.progress import ReadProgress
from lugcross.topic_reads.progress import ReadStep

__all__ = ["ReadProgress", "ReadStep"]
