"""Traces with a span for each hop, kept in a bounded ring and optionally in a file."""

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

REQUESTS_KEPT = 1000
SPANS_PER_REQUEST = 32
ATTRIBUTE_REQUEST = "request"


class SpanRecord(msgspec.Struct, omit_defaults=True):
    """Hold one finished hop; `start_ms` is Unix time, `took_ms` its length."""

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


class Ring(SpanExporter):
    """Keep the spans of the latest requests and append all spans to a file."""

    def __init__(self, entry: str, file: TextIO | None) -> None:
        self._entry = entry
        self._file = file
        self._requests: OrderedDict[str, list[SpanRecord]] = OrderedDict()

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Take finished spans."""
        for span in spans:
            record = make_record(self._entry, span)
            if record.request:
                kept = self._requests.setdefault(record.request, [])
                if len(kept) < SPANS_PER_REQUEST:
                    kept.append(record)
                if len(self._requests) > REQUESTS_KEPT:
                    self._requests.popitem(last=False)
            if self._file is not None:
                self._file.write(msgspec.json.encode(record).decode() + "\n")
        return SpanExportResult.SUCCESS

    def find(self, request: str) -> list[SpanRecord]:
        """Return the spans of a request that are still kept."""
        return list(self._requests.get(request, ()))

    def shutdown(self) -> None:
        """Write out the file."""
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
    """Start spans whose parents may lie in other processes."""

    def __init__(self, entry: str, file: TextIO | None = None) -> None:
        self.ring = Ring(entry, file)
        provider = TracerProvider(resource=Resource({"service.name": "lavenderstall"}))
        provider.add_span_processor(SimpleSpanProcessor(self.ring))
        self._provider = provider
        self._tracer = provider.get_tracer("lavenderstall")
        self._propagator = TraceContextTextMapPropagator()

    @contextmanager
    def hop(self, name: str, request: str, parent: str = "") -> Iterator["Hop"]:
        """Cover one hop; an error inside it is noted and passed on."""
        context = self._propagator.extract({"traceparent": parent}) if parent else None
        span = self._tracer.start_span(name, context=context)
        span.set_attribute(ATTRIBUTE_REQUEST, request)
        try:
            yield Hop(span)
        except Exception as error:
            span.set_status(Status(StatusCode.ERROR, str(error)))
            raise
        finally:
            span.end()

    def close(self) -> None:
        """Write out what is buffered."""
        self._provider.shutdown()


class Hop:
    """Hold a span that has not ended."""

    def __init__(self, span: Span) -> None:
        self._span = span

    @property
    def parent(self) -> str:
        """Return the header that makes this span the parent of the next hop."""
        context = self._span.get_span_context()
        return f"00-{context.trace_id:032x}-{context.span_id:016x}-01"

    def note(self, **details: str) -> None:
        """Add details to the span."""
        self._span.set_attributes(details)
