"""Trace spans, kept in a bounded buffer and optionally appended to a file."""

from collections import OrderedDict
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import TextIO

import msgspec
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor, SpanExporter, SpanExportResult
from opentelemetry.trace import Span, Status, StatusCode
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

MAX_REQUESTS = 1000
MAX_SPANS_PER_REQUEST = 32
ATTRIBUTE_REQUEST = "request"


class SpanRecord(msgspec.Struct, omit_defaults=True):
    """Hold one finished span; `start_ms` is Unix time, `took_ms` the duration."""

    name: str
    trace: str
    span: str
    parent: str
    entry: str
    start_ms: float
    took_ms: float
    request: str = ""
    error: str = ""
    details: dict[str, str] = {}


class SpanBuffer(SpanExporter):
    """Keep the spans of the latest requests and append all spans to a file."""

    def __init__(self, entry: str, file: TextIO | None) -> None:
        self._entry = entry
        self._file = file
        self._requests: OrderedDict[str, list[SpanRecord]] = OrderedDict()

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Store finished spans."""
        for span in spans:
            record = make_record(self._entry, span)
            if record.request:
                kept = self._requests.setdefault(record.request, [])
                if len(kept) < MAX_SPANS_PER_REQUEST:
                    kept.append(record)
                if len(self._requests) > MAX_REQUESTS:
                    self._requests.popitem(last=False)
            if self._file is not None:
                self._file.write(msgspec.json.encode(record).decode() + "\n")
        return SpanExportResult.SUCCESS

    def find(self, request: str) -> list[SpanRecord]:
        """Return the buffered spans of a request."""
        return list(self._requests.get(request, ()))

    def shutdown(self) -> None:
        """Flush the file."""
        if self._file is not None:
            self._file.flush()


def make_record(entry: str, span: ReadableSpan) -> SpanRecord:
    """Return the record of a finished span."""
    attributes = {key: str(value) for key, value in (span.attributes or {}).items()}
    start, end = span.start_time or 0, span.end_time or 0
    context = span.get_span_context()
    return SpanRecord(
        span.name,
        f"{context.trace_id:032x}" if context else "",
        f"{context.span_id:016x}" if context else "",
        f"{span.parent.span_id:016x}" if span.parent else "",
        entry,
        start / 1e6,
        (end - start) / 1e6,
        attributes.pop(ATTRIBUTE_REQUEST, ""),
        (span.status.description or "") if not span.status.is_ok else "",
        attributes,
    )


class Traces:
    """Create spans whose parents may be in other processes."""

    def __init__(self, entry: str, file: TextIO | None = None) -> None:
        self.buffer = SpanBuffer(entry, file)
        provider = TracerProvider(resource=Resource({"service.name": "lavenderstall"}))
        provider.add_span_processor(SimpleSpanProcessor(self.buffer))
        self._provider = provider
        self._tracer = provider.get_tracer("lavenderstall")
        self._propagator = TraceContextTextMapPropagator()

    @contextmanager
    def span(self, name: str, request: str, parent: str = "") -> Iterator["ActiveSpan"]:
        """Run the body in a span; an exception is recorded in the span and re-raised."""
        context = self._propagator.extract({"traceparent": parent}) if parent else None
        span = self._tracer.start_span(name, context=context)
        span.set_attribute(ATTRIBUTE_REQUEST, request)
        try:
            yield ActiveSpan(span)
        except Exception as error:
            span.set_status(Status(StatusCode.ERROR, str(error)))
            raise
        finally:
            span.end()

    def close(self) -> None:
        """Flush and shut down the trace provider."""
        self._provider.shutdown()


class ActiveSpan:
    """Hold a span that has not ended yet."""

    def __init__(self, span: Span) -> None:
        self._span = span

    @property
    def traceparent(self) -> str:
        """Return the `traceparent` header that makes this span the parent of the next."""
        context = self._span.get_span_context()
        return f"00-{context.trace_id:032x}-{context.span_id:016x}-01"

    def add_attributes(self, **details: str) -> None:
        """Set attributes of the span."""
        self._span.set_attributes(details)
