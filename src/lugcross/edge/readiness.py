# SPDX-License-Identifier: Apache-2.0
"""Handler for the platform's readiness checks."""

from collections.abc import Callable
from collections.abc import Coroutine
import http
from typing import Any

from lugcross import http1


def handler(
    unready_reason: Callable[[], str],
) -> Callable[
    [http1.ResponseWriter, http1.Request], Coroutine[Any, Any, None]
]:
    """Return a handler that answers 200 when ready, else 503 with the reason.

    :param unready_reason: returns why this process is not ready; empty if it
        is.
    """

    async def answer(
        response: http1.ResponseWriter, req: http1.Request
    ) -> None:
        del req
        why = unready_reason()
        status = (
            http.HTTPStatus.SERVICE_UNAVAILABLE if why else http.HTTPStatus.OK
        )
        headers = [(b"Content-Type", b"text/plain")]
        await response.write_head(status, headers, why.encode(), complete=True)

    return answer
