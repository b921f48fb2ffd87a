#include "bamboostile/telemetry/trace.h"

#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <charconv>
#include <fstream>
#include <mutex>
#include <vector>

namespace bamboostile::telemetry {

namespace {

namespace ot = opentracing;
using Json = nlohmann::json;

constexpr const char* kTraceParentHeader = "traceparent";
constexpr std::size_t kTraceParentLength = 55;

std::string
Hex(std::uint64_t aValue)
{
  std::array<char, 17> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx",
                static_cast<unsigned long long>(aValue));
  return { text.data(), 16 };
}

bool
ParseHex(const std::string& aText,
         std::size_t aOffset,
         std::size_t aCount,
         std::uint64_t& aValue)
{
  const char* begin = aText.data() + aOffset;
  const auto [end, error] = std::from_chars(begin, begin + aCount, aValue, 16);
  return error == std::errc{} && end == begin + aCount;
}

std::string
UnixNanos(std::chrono::system_clock::time_point aTime)
{
  const auto nanos = std::chrono::duration_cast<std::chrono::nanoseconds>(
    aTime.time_since_epoch());
  return std::to_string(nanos.count());
}

Json
ToAttribute(const std::string& aKey, const ot::Value& aValue)
{
  Json value;
  if (aValue.is<bool>()) {
    value["boolValue"] = aValue.get<bool>();
  } else if (aValue.is<double>()) {
    value["doubleValue"] = aValue.get<double>();
  } else if (aValue.is<std::int64_t>()) {
    value["intValue"] = std::to_string(aValue.get<std::int64_t>());
  } else if (aValue.is<std::uint64_t>()) {
    value["intValue"] = std::to_string(aValue.get<std::uint64_t>());
  } else if (aValue.is<std::string>()) {
    value["stringValue"] = aValue.get<std::string>();
  } else if (aValue.is<const char*>()) {
    value["stringValue"] = aValue.get<const char*>();
  }
  return Json{ { "key", aKey }, { "value", value } };
}

/** Collects finished spans and passes them to the sink in batches. */
class Exporter
{
public:
  Exporter(TracerOptions aOptions, SpanSink aSink)
    : m_options(std::move(aOptions))
    , m_sink(std::move(aSink))
    , m_idState(m_options.m_seed * 0x9E3779B97F4A7C15ULL + 1)
  {
  }

  void Add(Json aSpan)
  {
    const std::lock_guard lock(m_mutex);
    m_spans.push_back(std::move(aSpan));
    if (m_spans.size() >= m_options.m_batch) {
      FlushLocked();
    }
  }

  void Flush()
  {
    const std::lock_guard lock(m_mutex);
    FlushLocked();
  }

  std::uint64_t NewId()
  {
    constexpr std::uint64_t kStep = 0x9E3779B97F4A7C15ULL;
    std::uint64_t id = m_idState.fetch_add(kStep);
    id = (id ^ (id >> 30)) * 0xBF58476D1CE4E5B9ULL;
    id = (id ^ (id >> 27)) * 0x94D049BB133111EBULL;
    return (id ^ (id >> 31)) | 1;
  }

  bool IsSampled(std::uint64_t aTrace) const
  {
    constexpr std::uint64_t kSampleBuckets = 10'000;
    return static_cast<double>(aTrace % kSampleBuckets) <
           m_options.m_samplePercent * kSampleBuckets / 100;
  }

private:
  void FlushLocked()
  {
    if (m_spans.empty()) {
      return;
    }
    Json spans = Json::array();
    for (Json& span : m_spans) {
      spans.push_back(std::move(span));
    }
    m_spans.clear();
    const Json resource{
      { "attributes",
        Json::array({ ToAttribute("service.name", ot::Value{ "bamboostiled" }),
                      ToAttribute("service.instance.id",
                                  ot::Value{ m_options.m_instance }) }) }
    };
    const Json scope{ { "scope", { { "name", "bamboostile" } } },
                      { "spans", std::move(spans) } };
    const Json document{
      { "resourceSpans",
        Json::array({ { { "resource", resource },
                        { "scopeSpans", Json::array({ scope }) } } }) }
    };
    m_sink(document.dump(-1, ' ', false, Json::error_handler_t::replace));
  }

  TracerOptions m_options;
  SpanSink m_sink;
  std::mutex m_mutex;
  std::vector<Json> m_spans;
  std::atomic<std::uint64_t> m_idState;
};

class Context final : public ot::SpanContext
{
public:
  explicit Context(TraceContext aContext)
    : m_context(aContext)
  {
  }

  void ForeachBaggageItem(
    std::function<bool(const std::string&, const std::string&)> /*unused*/)
    const override
  {
  }

  std::unique_ptr<ot::SpanContext> Clone() const noexcept override
  {
    return std::make_unique<Context>(m_context);
  }

  const TraceContext& Get() const { return m_context; }

private:
  TraceContext m_context;
};

class Span final : public ot::Span
{
public:
  Span(std::shared_ptr<const ot::Tracer> aTracer,
       std::shared_ptr<Exporter> aExporter,
       std::string aName,
       TraceContext aContext,
       std::uint64_t aParent)
    : m_tracer(std::move(aTracer))
    , m_exporter(std::move(aExporter))
    , m_name(std::move(aName))
    , m_context(aContext)
    , m_parent(aParent)
    , m_start(std::chrono::system_clock::now())
  {
  }

  ~Span() override
  {
    if (!m_finished) {
      FinishWithOptions({});
    }
  }

  void FinishWithOptions(
    const ot::FinishSpanOptions& /*unused*/) noexcept override
  {
    if (std::exchange(m_finished, true) || !m_context.Get().m_sampled) {
      return;
    }
    const TraceContext& context = m_context.Get();
    Json span{
      { "traceId", Hex(context.m_traceHigh) + Hex(context.m_traceLow) },
      { "spanId", Hex(context.m_span) },
      { "name", m_name },
      { "kind", 1 },
      { "startTimeUnixNano", UnixNanos(m_start) },
      { "endTimeUnixNano", UnixNanos(std::chrono::system_clock::now()) },
      { "attributes", m_attributes }
    };
    if (m_parent != 0) {
      span["parentSpanId"] = Hex(m_parent);
    }
    m_exporter->Add(std::move(span));
  }

  void SetOperationName(ot::string_view aName) noexcept override
  {
    m_name = aName;
  }

  void SetTag(ot::string_view aKey, const ot::Value& aValue) noexcept override
  {
    m_attributes.push_back(ToAttribute(aKey, aValue));
  }

  void SetBaggageItem(ot::string_view /*unused*/,
                      ot::string_view /*unused*/) noexcept override
  {
  }

  std::string BaggageItem(ot::string_view /*unused*/) const noexcept override
  {
    return {};
  }

  void Log(std::initializer_list<std::pair<ot::string_view, ot::Value>>
             aFields) noexcept override
  {
    for (const auto& [key, value] : aFields) {
      SetTag(key, value);
    }
  }

  void Log(ot::SystemTime /*unused*/,
           std::initializer_list<std::pair<ot::string_view, ot::Value>>
             aFields) noexcept override
  {
    Log(aFields);
  }

  void Log(ot::SystemTime /*unused*/,
           const std::vector<std::pair<ot::string_view, ot::Value>>&
             aFields) noexcept override
  {
    for (const auto& [key, value] : aFields) {
      SetTag(key, value);
    }
  }

  const ot::SpanContext& context() const noexcept override { return m_context; }
  const ot::Tracer& tracer() const noexcept override { return *m_tracer; }

private:
  std::shared_ptr<const ot::Tracer> m_tracer;
  std::shared_ptr<Exporter> m_exporter;
  std::string m_name;
  Context m_context;
  std::uint64_t m_parent;
  std::chrono::system_clock::time_point m_start;
  Json m_attributes = Json::array();
  bool m_finished = false;
};

class Tracer final
  : public ot::Tracer
  , public std::enable_shared_from_this<Tracer>
{
public:
  Tracer(TracerOptions aOptions, SpanSink aSink)
    : m_exporter(
        std::make_shared<Exporter>(std::move(aOptions), std::move(aSink)))
  {
  }

  std::unique_ptr<ot::Span> StartSpanWithOptions(
    ot::string_view aName,
    const ot::StartSpanOptions& aOptions) const noexcept override
  {
    TraceContext context;
    std::uint64_t parent = 0;
    for (const auto& [type, reference] : aOptions.references) {
      if (const auto* own = dynamic_cast<const Context*>(reference)) {
        context = own->Get();
        parent = context.m_span;
      }
    }
    if (parent == 0) {
      context.m_traceHigh = m_exporter->NewId();
      context.m_traceLow = m_exporter->NewId();
      context.m_sampled = m_exporter->IsSampled(context.m_traceLow);
    }
    context.m_span = m_exporter->NewId();
    return std::make_unique<Span>(
      shared_from_this(), m_exporter, aName, context, parent);
  }

  ot::expected<void> Inject(const ot::SpanContext& /*unused*/,
                            std::ostream& /*unused*/) const override
  {
    return ot::make_unexpected(ot::invalid_carrier_error);
  }

  ot::expected<void> Inject(const ot::SpanContext& aContext,
                            const ot::TextMapWriter& aWriter) const override
  {
    const auto* own = dynamic_cast<const Context*>(&aContext);
    if (own == nullptr) {
      return ot::make_unexpected(ot::invalid_span_context_error);
    }
    return aWriter.Set(kTraceParentHeader, own->Get().ToTraceParent());
  }

  ot::expected<void> Inject(const ot::SpanContext& aContext,
                            const ot::HTTPHeadersWriter& aWriter) const override
  {
    return Inject(aContext, static_cast<const ot::TextMapWriter&>(aWriter));
  }

  ot::expected<std::unique_ptr<ot::SpanContext>> Extract(
    std::istream& /*unused*/) const override
  {
    return ot::make_unexpected(ot::invalid_carrier_error);
  }

  ot::expected<std::unique_ptr<ot::SpanContext>> Extract(
    const ot::TextMapReader& aReader) const override
  {
    TraceContext context;
    aReader.ForeachKey(
      [&](ot::string_view aKey, ot::string_view aValue) -> ot::expected<void> {
        if (std::string{ aKey } == kTraceParentHeader) {
          context = TraceContext::FromTraceParent(aValue);
        }
        return {};
      });
    if (!context.IsValid()) {
      return std::unique_ptr<ot::SpanContext>{};
    }
    return std::unique_ptr<ot::SpanContext>(std::make_unique<Context>(context));
  }

  ot::expected<std::unique_ptr<ot::SpanContext>> Extract(
    const ot::HTTPHeadersReader& aReader) const override
  {
    return Extract(static_cast<const ot::TextMapReader&>(aReader));
  }

  void Close() noexcept override { m_exporter->Flush(); }

private:
  std::shared_ptr<Exporter> m_exporter;
};

} // namespace

std::string
TraceContext::ToTraceParent() const
{
  return "00-" + Hex(m_traceHigh) + Hex(m_traceLow) + "-" + Hex(m_span) +
         (m_sampled ? "-01" : "-00");
}

TraceContext
TraceContext::FromTraceParent(const std::string& aText)
{
  TraceContext context;
  std::uint64_t flags = 0;
  const bool isValid =
    aText.size() == kTraceParentLength && aText.rfind("00-", 0) == 0 &&
    aText[35] == '-' && aText[52] == '-' &&
    ParseHex(aText, 3, 16, context.m_traceHigh) &&
    ParseHex(aText, 19, 16, context.m_traceLow) &&
    ParseHex(aText, 36, 16, context.m_span) && ParseHex(aText, 53, 2, flags);
  if (!isValid) {
    return {};
  }
  context.m_sampled = (flags & 1) != 0;
  return context;
}

std::shared_ptr<ot::Tracer>
MakeTracer(TracerOptions aOptions, SpanSink aSink)
{
  return std::make_shared<Tracer>(std::move(aOptions), std::move(aSink));
}

TraceContext
ContextOf(const ot::Span& aSpan)
{
  const auto* own = dynamic_cast<const Context*>(&aSpan.context());
  return own != nullptr ? own->Get() : TraceContext{};
}

std::unique_ptr<ot::Span>
StartChildSpan(ot::Tracer& aTracer,
               const std::string& aName,
               const TraceContext& aParent)
{
  if (!aParent.IsValid()) {
    return aTracer.StartSpan(aName);
  }
  const Context parent(aParent);
  return aTracer.StartSpan(aName, { ot::ChildOf(&parent) });
}

SpanSink
MakeFileSink(const std::string& aFile)
{
  auto out = std::make_shared<std::ofstream>(aFile, std::ios::app);
  return [out](const std::string& aDocument) {
    *out << aDocument << "\n";
    out->flush();
  };
}

} // namespace bamboostile::telemetry
