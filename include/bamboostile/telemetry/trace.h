#pragma once

#include <opentracing/tracer.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bamboostile::telemetry {

/** A W3C trace context: 128 bits of trace, 64 of span. */
struct TraceContext
{
  std::uint64_t m_traceHigh = 0;
  std::uint64_t m_traceLow = 0;
  std::uint64_t m_span = 0;
  bool m_sampled = true;

  bool IsValid() const
  {
    return (m_traceHigh != 0 || m_traceLow != 0) && m_span != 0;
  }
  std::string ToTraceParent() const;
  /** An invalid context where the text is no traceparent of version 00. */
  static TraceContext FromTraceParent(const std::string& aText);
};

/** Takes one OTLP/JSON document (an ExportTraceServiceRequest). */
using SpanSink = std::function<void(std::string)>;

struct TracerOptions
{
  std::string m_instance;
  double m_samplePercent = 100;
  std::size_t m_batch = 64;
  std::uint64_t m_seed = 0;
};

/** An OpenTracing tracer that reads and writes `traceparent` and hands
 * finished spans to aSink in batches. Close() hands over the rest. Finished
 * spans may come from any thread; aSink is called under a lock. */
std::shared_ptr<opentracing::Tracer> MakeTracer(TracerOptions aOptions,
                                                SpanSink aSink);

/** The context of a span that MakeTracer's tracer made. */
TraceContext ContextOf(const opentracing::Span& aSpan);

/** Starts a span below a context that came from outside. */
std::unique_ptr<opentracing::Span> StartSpanBelow(opentracing::Tracer& aTracer,
                                                  const std::string& aName,
                                                  const TraceContext& aParent);

/** Appends each document as a line. */
SpanSink MakeFileSink(const std::string& aFile);

} // namespace bamboostile::telemetry
