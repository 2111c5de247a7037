# SPDX-License-Identifier: Apache-2.0
"""Distributed tracing with W3C trace context: one span per hop."""

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
from typing import final

from absl import logging
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext

from lugcross.cfg import settings

#: Header that passes the parent span to the next hop.
TRACEPARENT_HEADER = "traceparent"

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


@final
class LogExporter(export.SpanExporter):
    """Exports finished spans as log lines."""

    def export(
        self, spans: Sequence[sdk_trace.ReadableSpan]
    ) -> export.SpanExportResult:
        """Log ``spans``."""
        for span in spans:
            _log_span(span)
        return export.SpanExportResult.SUCCESS


@final
class Tracer:
    """Creates the spans of one process.

    :param traces: exporter settings.
    :param node: service name in every span.
    """

    def __init__(self, traces: settings.Traces, node: str) -> None:
        self.enabled = traces.exporter is not settings.Exporter.NONE
        self._provider: sdk_trace.TracerProvider | None = None
        if not self.enabled:
            return
        resource = resources.Resource.create({"service.name": node})
        self._provider = sdk_trace.TracerProvider(resource=resource)
        self._provider.add_span_processor(_processor(traces))
        self._tracer = self._provider.get_tracer("lugcross")

    @contextlib.contextmanager
    def span(self, name: str, parent: str, **attributes: str) -> Iterator[str]:
        """Record a span around a ``with`` block.

        :param parent: ``traceparent`` of the previous hop; may be empty.
        :returns: ``traceparent`` for the next hop.
        """
        if not self.enabled:
            yield parent
            return
        context = _PROPAGATOR.extract({TRACEPARENT_HEADER: parent})
        with self._tracer.start_as_current_span(
            name, context=context, attributes=attributes
        ) as span:
            carrier: dict[str, str] = {}
            _PROPAGATOR.inject(carrier, trace.set_span_in_context(span))
            yield carrier.get(TRACEPARENT_HEADER, parent)

    def close(self) -> None:
        """Export pending spans and shut down."""
        if self._provider is not None:
            self._provider.shutdown()


def _log_span(span: sdk_trace.ReadableSpan) -> None:
    context = span.get_span_context()
    took_ns = (span.end_time or 0) - (span.start_time or 0)
    logging.info(
        "span",
        extra={
            "span": span.name,
            "trace_id": f"{context.trace_id:032x}" if context else "",
            "span_id": f"{context.span_id:016x}" if context else "",
            "parent_id": f"{span.parent.span_id:016x}" if span.parent else "",
            "took_ms": took_ns / 1e6,
            "attributes": dict(span.attributes or {}),
        },
    )


def _processor(traces: settings.Traces) -> sdk_trace.SpanProcessor:
    if traces.exporter is settings.Exporter.LOG:
        return export.SimpleSpanProcessor(LogExporter())
    # Imported lazily: its memory is wasted in processes that do not use it.
    from opentelemetry.exporter.otlp.proto.http import trace_exporter

    exporter = trace_exporter.OTLPSpanExporter(endpoint=traces.endpoint)
    return export.BatchSpanProcessor(exporter)
