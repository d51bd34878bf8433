#include "http/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <utility>

#include "http/client_error.h"

namespace sycamorestall::http {

namespace {

constexpr int kPollTimeoutMs = 1000;
constexpr std::size_t kSpareHandles = 256;

// Everything that libcurl needs while one call is under way.
struct Transfer {
  std::uint64_t number = 0;
  Call call;
  HttpClient::Callback callback;
  CURL* handle = nullptr;
  curl_slist* headers = nullptr;
  CallResult result;
  std::size_t max_answer_bytes = 0;
  int sends = 0;
};

std::size_t TakeBody(char* bytes, std::size_t size, std::size_t count, void* user) {
  auto* transfer = static_cast<Transfer*>(user);
  const std::size_t length = size * count;
  if (transfer->result.body.size() + length > transfer->max_answer_bytes) {
    return 0;
  }
  transfer->result.body.append(bytes, length);
  return length;
}

std::size_t TakeHeader(char* bytes, std::size_t size, std::size_t count, void* user) {
  auto* transfer = static_cast<Transfer*>(user);
  std::string_view line(bytes, size * count);
  const std::size_t colon = line.find(':');
  if (colon != std::string_view::npos) {
    std::string_view value = line.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    value = value.substr(0, value.find_last_not_of("\r\n") + 1);
    transfer->result.headers.push_back({std::string(line.substr(0, colon)), std::string(value)});
  }
  return size * count;
}

// libcurl calls this before each time it sends the request. It sends a request
// again by itself when a kept connection turns out dead, which for work that is
// not idempotent could run it twice.
int BeforeSend(void* user, char*, char*, int, int) {
  auto* transfer = static_cast<Transfer*>(user);
  transfer->sends += 1;
  const bool again = transfer->sends > 1 && !transfer->call.idempotent;
  return again ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

std::error_code Translate(CURLcode code, const Transfer& transfer) {
  switch (code) {
    case CURLE_OK:
      return {};
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
      return ClientError::kNotConnected;
    case CURLE_OPERATION_TIMEDOUT:
      return transfer.sends == 0 ? ClientError::kNotConnected : ClientError::kTimeout;
    case CURLE_PARTIAL_FILE:
    case CURLE_WRITE_ERROR:
      return ClientError::kBadAnswer;
    default:
      return ClientError::kBroken;
  }
}

}  // namespace

// Owns the thread and libcurl's handles.
class HttpClient::Implementation {
 public:
  explicit Implementation(ClientSettings settings)
      : settings_(settings), multi_(curl_multi_init()) {
    curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS,
                      static_cast<long>(settings_.max_connections_per_host));  // NOLINT
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, 4096L);
    thread_ = std::thread([this] { Run(); });
  }

  ~Implementation() { Stop(); }

  std::uint64_t Start(Call call, Callback callback) {
    auto transfer = std::make_unique<Transfer>();
    transfer->number = next_number_.fetch_add(1);
    transfer->call = std::move(call);
    transfer->callback = std::move(callback);
    transfer->max_answer_bytes = settings_.max_answer_bytes;
    const std::uint64_t number = transfer->number;
    bool first = false;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      first = incoming_.empty();
      incoming_.push_back(std::move(transfer));
    }
    if (first) {
      curl_multi_wakeup(multi_);
    }
    return number;
  }

  void Abandon(std::uint64_t number) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      abandoned_.push_back(number);
    }
    curl_multi_wakeup(multi_);
  }

  void Stop() {
    if (!thread_.joinable()) {
      return;
    }
    stopping_ = true;
    curl_multi_wakeup(multi_);
    thread_.join();
    for (CURL* handle : spare_) {
      curl_easy_cleanup(handle);
    }
    curl_multi_cleanup(multi_);
  }

 private:
  void Run() {
    while (!stopping_) {
      TakeIncoming();
      int running = 0;
      curl_multi_perform(multi_, &running);
      FinishDone();
      TakeAbandoned();
      curl_multi_poll(multi_, nullptr, 0, kPollTimeoutMs, nullptr);
    }
    TakeIncoming();
    while (!transfers_.empty()) {
      End(transfers_.begin()->first, ClientError::kStopped);
    }
  }

  void TakeIncoming() {
    std::vector<std::unique_ptr<Transfer>> incoming;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      incoming.swap(incoming_);
    }
    for (auto& transfer : incoming) {
      Begin(std::move(transfer));
    }
  }

  void TakeAbandoned() {
    std::vector<std::uint64_t> abandoned;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      abandoned.swap(abandoned_);
    }
    for (const std::uint64_t number : abandoned) {
      End(number, ClientError::kStopped);
    }
  }

  CURL* TakeHandle() {
    if (spare_.empty()) {
      return curl_easy_init();
    }
    CURL* handle = spare_.back();
    spare_.pop_back();
    return handle;
  }

  void Begin(std::unique_ptr<Transfer> owned) {
    Transfer* transfer = owned.get();
    transfer->handle = TakeHandle();
    transfers_[transfer->number] = std::move(owned);
    SetOptions(*transfer);
    curl_multi_add_handle(multi_, transfer->handle);
  }

  void SetOptions(Transfer& transfer) {
    CURL* handle = transfer.handle;
    const Call& call = transfer.call;
    for (const Header& header : call.headers) {
      const std::string line = header.name + ": " + header.value;
      transfer.headers = curl_slist_append(transfer.headers, line.c_str());
    }
    transfer.headers = curl_slist_append(transfer.headers, "Expect:");
    curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer.headers);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(call.timeout.count()));  // NOLINT
    const auto connect = std::min(settings_.connect_timeout, call.timeout);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(connect.count()));  // NOLINT
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, call.fresh_connection ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &TakeBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &TakeHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &BeforeSend);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, &transfer);
    if (call.method == Method::kPost || call.method == Method::kPut) {
      curl_easy_setopt(handle, CURLOPT_POST, 1L);
      curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
      curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(call.body.size()));
    }
    if (call.method != Method::kGet && call.method != Method::kPost) {
      curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, ToString(call.method));
    }
  }

  void FinishDone() {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const CURLcode code = message->data.result;
      Transfer* transfer = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      long status = 0;  // NOLINT(google-runtime-int)
      curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE, &status);
      transfer->result.status = static_cast<std::uint16_t>(status);
      End(transfer->number, Translate(code, *transfer));
    }
  }

  void End(std::uint64_t number, std::error_code error) {
    const auto found = transfers_.find(number);
    if (found == transfers_.end()) {
      return;
    }
    const std::unique_ptr<Transfer> transfer = std::move(found->second);
    transfers_.erase(found);
    curl_multi_remove_handle(multi_, transfer->handle);
    curl_easy_reset(transfer->handle);
    if (spare_.size() < kSpareHandles) {
      spare_.push_back(transfer->handle);
    } else {
      curl_easy_cleanup(transfer->handle);
    }
    curl_slist_free_all(transfer->headers);
    transfer->result.error = error;
    transfer->result.perhaps_sent = transfer->sends > 0;
    transfer->callback(std::move(transfer->result));
  }

  ClientSettings settings_;
  CURLM* multi_;
  std::thread thread_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint64_t> next_number_{1};
  std::mutex mutex_;
  std::vector<std::unique_ptr<Transfer>> incoming_;
  std::vector<std::uint64_t> abandoned_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>> transfers_;
  std::vector<CURL*> spare_;
};

HttpClient::HttpClient(ClientSettings settings)
    : implementation_(std::make_unique<Implementation>(settings)) {}

HttpClient::~HttpClient() = default;

std::uint64_t HttpClient::Start(Call call, Callback callback) {
  return implementation_->Start(std::move(call), std::move(callback));
}

void HttpClient::Abandon(std::uint64_t number) { implementation_->Abandon(number); }

void HttpClient::Stop() { implementation_->Stop(); }

}  // namespace sycamorestall::http
