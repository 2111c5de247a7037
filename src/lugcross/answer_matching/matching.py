# SPDX-License-Identifier: Apache-2.0
"""Matching of answers and requests on connections to backend servers.

A faulty server may send an answer once more, in the place of the next one on
the connection. Answers to callers' requests name their request. Those to the
calls of this process, such as orders and queries to engines, name none.
Therefore:

- A call skips named answers: they belong to callers' requests.
- A caller's request that follows a call on its connection skips answers
  without a name: they may belong to the call.
"""


def is_own_answer(
    answer_id: str, request_id: str, *, last_answer_named: bool
) -> bool:
    """Return whether an answer belongs to the request that was sent last.

    :param answer_id: id of the request that the answer names; empty if none.
    :param request_id: id of the request; empty for a call of this process.
    :param last_answer_named: whether the answer before it on the connection
        named its request, or the connection was new.
    """
    if answer_id:
        return answer_id == request_id
    return last_answer_named or not request_id
