"""Traces with a span for each hop, by OpenTelemetry.

Finished spans stay in a bounded buffer of the process, where ``wasabistage trace``
asks for them, and go to a file as JSON lines if the settings name one.
"""

import json
from collections import OrderedDict
from contextlib import contextmanager
from dataclasses import dataclass, field

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

REQUEST_ATTRIBUTE = "request_id"
TRACE_HEADER = "traceparent"
SPANS_PER_REQUEST = 64
PROPAGATOR = TraceContextTextMapPropagator()


@dataclass(frozen=True, kw_only=True)
class SpanRecord:
    """One finished span.

    :param request_id: request that it belongs to.
    :param trace_id: hex identifier of the trace.
    :param span_id: hex identifier of the span.
    :param parent_id: hex identifier of the parent span; empty for none.
    :param instance: instance that made it.
    :param name: name of the hop.
    :param start: wall-clock start, in seconds since 1970.
    :param seconds: its duration.
    :param attributes: further facts, strings.
    """

    request_id: str
    trace_id: str
    span_id: str
    parent_id: str
    instance: str
    name: str
    start: float
    seconds: float
    attributes: dict = field(default_factory=dict)


class SpanBuffer(SpanExporter):
    """Keeps the newest spans in memory, by request.

    :param instance: name of the instance.
    :param limit: most spans kept; those of the oldest request go first.
    :param path: file for JSON lines; empty for none.
    """

    def __init__(self, instance, limit=20_000, path=""):
        self.instance = instance
        self.limit = limit
        self.path = path
        self.spans = OrderedDict()
        self.count = 0
        self.file = open(path, "a", encoding="utf-8") if path else None

    def export(self, spans):
        """Keep finished spans; called by OpenTelemetry.

        :param spans: sequence of finished spans.
        :return: success.
        """
        for span in spans:
            self.add(self._record(span))
        return SpanExportResult.SUCCESS

    def add(self, record):
        """Keep one span.

        :param record: a :class:`SpanRecord`.
        """
        kept = self.spans.setdefault(record.request_id, [])
        if len(kept) < SPANS_PER_REQUEST:
            kept.append(record)
            self.count += 1
        while self.count > self.limit:
            _, dropped = self.spans.popitem(last=False)
            self.count -= len(dropped)
        if self.file is not None:
            self.file.write(json.dumps(record.__dict__) + "\n")

    def find(self, request_id):
        """Return the spans of one request.

        :param request_id: identifier of the request.
        :return: tuple of :class:`SpanRecord`.
        """
        return tuple(self.spans.get(request_id, ()))

    def shutdown(self):
        """Close the file, if there is one."""
        if self.file is not None:
            self.file.close()
            self.file = None

    def _record(self, span):
        attributes = {key: str(value) for key, value in span.attributes.items()}
        context = span.get_span_context()
        return SpanRecord(
            request_id=attributes.pop(REQUEST_ATTRIBUTE, ""),
            trace_id=f"{context.trace_id:032x}",
            span_id=f"{context.span_id:016x}",
            parent_id=f"{span.parent.span_id:016x}" if span.parent else "",
            instance=self.instance,
            name=span.name,
            start=span.start_time / 1e9,
            seconds=(span.end_time - span.start_time) / 1e9,
            attributes=attributes,
        )


class Tracer:
    """Makes the spans of one instance.

    :param instance: name of the instance.
    :param limit: most spans kept in memory.
    :param path: file for JSON lines; empty for none.
    :param share: share of the requests that are traced, 0 to 1.
    """

    def __init__(self, instance, limit=20_000, path="", share=1.0):
        self.buffer = SpanBuffer(instance, limit, path)
        self.provider = TracerProvider(
            sampler=TraceIdRatioBased(share),
            resource=Resource({"service.name": "wasabistage"}),
            shutdown_on_exit=False,
        )
        self.provider.add_span_processor(SimpleSpanProcessor(self.buffer))
        self.tracer = self.provider.get_tracer("wasabistage")

    @contextmanager
    def hop(self, name, request_id, parent=None, **attributes):
        """Measure one hop of a request.

        :param name: name of the hop.
        :param request_id: identifier of the request.
        :param parent: context returned by an outer hop or by :meth:`accept`.
        :param attributes: further facts.
        :return: a context manager of the hop's own context, for inner hops.
        """
        facts = {REQUEST_ATTRIBUTE: request_id, **attributes}
        span = self.tracer.start_span(name, context=parent, attributes=facts)
        try:
            yield trace.set_span_in_context(span)
        except BaseException as error:
            span.set_attribute("error", type(error).__name__)
            raise
        finally:
            span.end()

    def accept(self, carrier):
        """Read the parent's context from the headers of a request.

        :param carrier: mapping with ``traceparent``, if the sender set it.
        :return: a context for :meth:`hop`.
        """
        return PROPAGATOR.extract(carrier)

    def inject(self, context):
        """Build the headers that carry a context to the next hop.

        :param context: what :meth:`hop` yielded.
        :return: a dict of headers; ``traceparent`` alone, as further ones hold what
            the caller wrote.
        """
        carrier = {}
        PROPAGATOR.inject(carrier, context=context)
        return {key: carrier[key] for key in (TRACE_HEADER,) if key in carrier}

    def close(self):
        """Write out and close."""
        self.provider.shutdown()
