#include "bamboostile/http/client.h"

#include <curl/curl.h>

#include <atomic>
#include <deque>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace bamboostile::http {

namespace {

constexpr int kPollMs = 1000;
constexpr long kIdleConnections = 1024;
constexpr std::uint32_t kFirstFinalStatus = 200;
constexpr std::uint32_t kNoContent = 204;
constexpr std::uint32_t kNotModified = 304;

struct Transfer
{
  Call m_call;
  std::function<void(CallResult)> m_done;
  CURL* m_handle = nullptr;
  curl_slist* m_headerList = nullptr;
  CallResult m_result;
  TimePoint m_startedAt;
  bool m_sent = false;
  bool m_tooLarge = false;

  Transfer(Call aCall, std::function<void(CallResult)> aDone)
    : m_call(std::move(aCall))
    , m_done(std::move(aDone))
  {
  }
  ~Transfer()
  {
    curl_slist_free_all(m_headerList);
    curl_easy_cleanup(m_handle);
  }
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;
};

int
OnBeforeSend(void* aTransfer, char*, char*, int, int)
{
  auto& transfer = *static_cast<Transfer*>(aTransfer);
  // libcurl retransmits a request by itself if a reused connection turns out to
  // be closed, although the upstream may have run the request. A second call of
  // this function for a transfer is such a retransmission.
  if (transfer.m_sent && transfer.m_call.m_atMostOnce) {
    return CURL_PREREQFUNC_ABORT;
  }
  if (transfer.m_call.m_maySend && !transfer.m_call.m_maySend()) {
    return CURL_PREREQFUNC_ABORT;
  }
  if (!transfer.m_sent) {
    transfer.m_result.m_sentAfter = MonotonicNow() - transfer.m_startedAt;
  }
  transfer.m_sent = true;
  return CURL_PREREQFUNC_OK;
}

std::size_t
OnHeader(char* aBytes, std::size_t aSize, std::size_t aCount, void* aTransfer)
{
  auto& response = static_cast<Transfer*>(aTransfer)->m_result.m_response;
  std::string line(aBytes, aSize * aCount);
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
    line.pop_back();
  }
  // A status line starts a new response; the headers before it belong to an
  // interim response.
  if (line.rfind("HTTP/", 0) == 0) {
    response.m_headers.clear();
    const std::size_t code = line.find(' ');
    const std::size_t reason =
      code == std::string::npos ? code : line.find(' ', code + 1);
    response.m_reason =
      reason == std::string::npos ? "" : line.substr(reason + 1);
    return aSize * aCount;
  }
  const std::size_t colon = line.find(':');
  if (colon != std::string::npos) {
    const std::size_t value = line.find_first_not_of(" \t", colon + 1);
    response.m_headers.push_back(
      { line.substr(0, colon),
        value == std::string::npos ? "" : line.substr(value) });
  }
  return aSize * aCount;
}

std::size_t
OnBody(char* aBytes, std::size_t aSize, std::size_t aCount, void* aTransfer)
{
  auto& transfer = *static_cast<Transfer*>(aTransfer);
  std::string& body = transfer.m_result.m_response.m_body;
  if (body.size() + aSize * aCount > transfer.m_call.m_maxAnswerBytes) {
    transfer.m_tooLarge = true;
    return 0;
  }
  body.append(aBytes, aSize * aCount);
  return aSize * aCount;
}

/** Returns whether the framing of the answer marks its end. An answer that ends
 * with its connection cannot be distinguished from a truncated one. */
bool
HasFramedEnd(const Call& aCall, const Response& aResponse)
{
  if (aCall.m_method == "HEAD" || aResponse.m_status == kNoContent ||
      aResponse.m_status == kNotModified) {
    return true;
  }
  return FindHeader(aResponse.m_headers, "content-length").has_value() ||
         FindHeader(aResponse.m_headers, "transfer-encoding").has_value();
}

CallEnd
EndOf(const Transfer& aTransfer, CURLcode aCode)
{
  if (!aTransfer.m_sent) {
    return CallEnd::kNotSent;
  }
  if (aCode == CURLE_OPERATION_TIMEDOUT) {
    return CallEnd::kTimedOut;
  }
  const Response& response = aTransfer.m_result.m_response;
  const bool isComplete = aCode == CURLE_OK &&
                          response.m_status >= kFirstFinalStatus &&
                          HasFramedEnd(aTransfer.m_call, response);
  return isComplete ? CallEnd::kAnswered : CallEnd::kIncomplete;
}

} // namespace

struct Client::Impl
{
  Impl()
  {
    curl_global_init(CURL_GLOBAL_DEFAULT);
    m_multi = curl_multi_init();
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kIdleConnections);
    m_thread = std::thread([this]() { Run(); });
  }

  void Run()
  {
    while (!m_stop) {
      AddNewTransfers();
      int running = 0;
      curl_multi_perform(m_multi, &running);
      FinishCompleted();
      curl_multi_poll(m_multi, nullptr, 0, kPollMs, nullptr);
    }
    for (auto& [easy, transfer] : m_transfers) {
      curl_multi_remove_handle(m_multi, easy);
    }
    m_transfers.clear();
    curl_multi_cleanup(m_multi);
  }

  void AddNewTransfers()
  {
    std::deque<std::unique_ptr<Transfer>> added;
    {
      const std::lock_guard lock(m_mutex);
      added.swap(m_new);
    }
    for (auto& transfer : added) {
      Begin(std::move(transfer));
    }
  }

  void Begin(std::unique_ptr<Transfer> aTransfer)
  {
    Transfer& transfer = *aTransfer;
    const Call& call = transfer.m_call;
    CURL* easy = curl_easy_init();
    transfer.m_handle = easy;
    for (const Header& header : call.m_headers) {
      const std::string line = header.m_value.empty()
                                 ? header.m_name + ";"
                                 : header.m_name + ": " + header.m_value;
      transfer.m_headerList =
        curl_slist_append(transfer.m_headerList, line.c_str());
    }
    transfer.m_headerList = curl_slist_append(transfer.m_headerList, "Expect:");
    const auto remaining =
      transfer.m_startedAt + call.m_timeout - MonotonicNow();
    const long timeoutMs = std::max<long>(ToMillis(remaining).count(), 1);
    curl_easy_setopt(
      easy, CURLOPT_URL, ("http://" + call.m_address + "/").c_str());
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, call.m_target.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.m_headerList);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeoutMs);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, OnBeforeSend);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    if (call.m_body && !call.m_body->empty()) {
      curl_easy_setopt(easy,
                       CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(call.m_body->size()));
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.m_body->data());
    } else if (call.m_method == "POST" || call.m_method == "PUT" ||
               call.m_method == "PATCH") {
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, 0L);
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
    }
    if (call.m_method == "HEAD") {
      curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    } else {
      curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.m_method.c_str());
    }
    // An idle connection may have failed unnoticed. A request sent on it could
    // be lost or run without an answer, so a new connection is used. That
    // connection is closed afterwards: if kept, such connections accumulate
    // until they reach the peer's connection limit.
    const long newConnection = call.m_atMostOnce ? 1 : 0;
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, newConnection);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, newConnection);
    curl_multi_add_handle(m_multi, easy);
    m_transfers.emplace(easy, std::move(aTransfer));
  }

  void FinishCompleted()
  {
    int remaining = 0;
    while (CURLMsg* message = curl_multi_info_read(m_multi, &remaining)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      CURL* easy = message->easy_handle;
      const CURLcode code = message->data.result;
      auto found = m_transfers.find(easy);
      std::unique_ptr<Transfer> transfer = std::move(found->second);
      m_transfers.erase(found);
      long status = 0;
      curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
      curl_multi_remove_handle(m_multi, easy);
      CallResult& result = transfer->m_result;
      result.m_response.m_status = static_cast<std::uint32_t>(status);
      result.m_end = EndOf(*transfer, code);
      result.m_elapsed = MonotonicNow() - transfer->m_startedAt;
      result.m_detail = transfer->m_tooLarge ? "the answer is too large"
                                             : curl_easy_strerror(code);
      transfer->m_done(std::move(result));
    }
  }

  CURLM* m_multi = nullptr;
  std::mutex m_mutex;
  std::deque<std::unique_ptr<Transfer>> m_new;
  std::unordered_map<CURL*, std::unique_ptr<Transfer>> m_transfers;
  std::atomic<bool> m_stop = false;
  std::thread m_thread;
};

Client::Client()
  : m_impl(std::make_unique<Impl>())
{
}

Client::~Client()
{
  Stop();
}

void
Client::Start(Call aCall, std::function<void(CallResult)> aDone)
{
  auto transfer =
    std::make_unique<Transfer>(std::move(aCall), std::move(aDone));
  transfer->m_startedAt = MonotonicNow();
  {
    const std::lock_guard lock(m_impl->m_mutex);
    m_impl->m_new.push_back(std::move(transfer));
  }
  curl_multi_wakeup(m_impl->m_multi);
}

void
Client::Stop()
{
  if (!m_impl->m_thread.joinable()) {
    return;
  }
  m_impl->m_stop = true;
  curl_multi_wakeup(m_impl->m_multi);
  m_impl->m_thread.join();
}

} // namespace bamboostile::http
