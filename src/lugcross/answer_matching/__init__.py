# SPDX-License-Identifier: Apache-2.0
"""Which request an answer on a shared connection belongs to; no I/O."""

from lugcross.answer_matching.matching import is_own_answer

__all__ = ["is_own_answer"]
