#pragma once

#include <opentracing/tracer.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bamboostile::telemetry {

/** A W3C trace context: a trace id of 128 bits and a span id of 64 bits. */
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
  /** Returns an invalid context if aText is no traceparent of version 00. */
  static TraceContext FromTraceParent(const std::string& aText);
};

/** Receives one OTLP/JSON document (an ExportTraceServiceRequest) per call. */
using SpanSink = std::function<void(std::string)>;

struct TracerOptions
{
  std::string m_instance;
  double m_samplePercent = 100;
  std::size_t m_batch = 64;
  std::uint64_t m_seed = 0;
};

/** Returns an OpenTracing tracer that reads and writes `traceparent` and passes
 * finished spans to aSink in batches; Close() flushes the last batch. Spans may
 * finish on any thread; aSink is called under a lock. */
std::shared_ptr<opentracing::Tracer> MakeTracer(TracerOptions aOptions,
                                                SpanSink aSink);

/** Returns the context of a span, which a tracer from MakeTracer() must have
 * started; for other spans, an invalid context. */
TraceContext ContextOf(const opentracing::Span& aSpan);

/** Starts a child span of a context received from another process, or a new
 * trace if that context is invalid. */
std::unique_ptr<opentracing::Span> StartChildSpan(opentracing::Tracer& aTracer,
                                                  const std::string& aName,
                                                  const TraceContext& aParent);

/** Returns a sink that appends each document to aFile as a line. */
SpanSink MakeFileSink(const std::string& aFile);

} // namespace bamboostile::telemetry
