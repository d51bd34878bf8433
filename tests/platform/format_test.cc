#include <doctest/doctest.h>

#include <random>
#include <string>

#include "platform/directory_format.h"
#include "platform/endpoint_notice_format.h"
#include "platform/order_format.h"
#include "platform/request_format.h"
#include "router/daemon_message.h"
#include "router/record_codec.h"

using namespace sycamorestall;  // NOLINT
using sycamorestall::platform::PlatformDirectoryFormat;

TEST_CASE("an endpoint entry with a missing or invalid field is rejected") {
  struct Row {
    std::string name;
    std::string text;
    bool valid;
    bool draining;
  };
  const std::string common_fields =
      R"({"service":"s","address":"10.0.0.9:8080","zone":"north","version":"v1",)";
  const Row rows[] = {
      {"ready",
       common_fields +
           R"("max_concurrency":6,"state":"ready","warmup_left_s":0,"seq":4,"born":17})",
       true, false},
      {"draining",
       common_fields + R"("max_concurrency":6,"state":"draining","warmup_left_s":1.5,"seq":4})",
       true, true},
      {"warm-up missing", common_fields + R"("max_concurrency":6,"state":"ready","seq":4})", false,
       false},
      {"unknown state",
       common_fields + R"("max_concurrency":6,"state":"odd","warmup_left_s":0,"seq":4})", false,
       false},
      {"max_concurrency missing", common_fields + R"("state":"ready","warmup_left_s":0,"seq":4})",
       false, false},
      {"max_concurrency of the wrong type",
       common_fields + R"("max_concurrency":"6","state":"ready","warmup_left_s":0,"seq":4})", false,
       false},
      {"no port",
       R"({"service":"s","address":"10.0.0.9","zone":"n","version":"v1","max_concurrency":6,)"
       R"("state":"ready","warmup_left_s":0,"seq":4})",
       false, false},
      {"invalid JSON", "\xff\xfe", false, false},
      {"not an object", "[1,2]", false, false}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::string problem;
    const auto entry =
        PlatformDirectoryFormat{}.ParseEndpoint({"servers/i-1", row.text, {7}}, problem);
    CHECK(entry.has_value() == row.valid);
    CHECK(problem.empty() == row.valid);
    if (entry) {
      CHECK(entry->id == InstanceId{"i-1"});
      CHECK(entry->address == NetworkAddress{"10.0.0.9", 8080});
      CHECK(entry->draining == row.draining);
    }
  }
}

// Guards against an evacuation that is not seen, or seen in another key of the operator.
TEST_CASE("the operator's keys name the failure domains to evacuate") {
  struct Row {
    std::string key;
    std::optional<DomainName> domain;
  };
  const Row rows[] = {{"op/evacuate/north", DomainName{"north"}},
                      {"op/evacuate/a/b", DomainName{"a/b"}},
                      {"op/evacuate/", std::nullopt},
                      {"op/evacuate", std::nullopt},
                      {"op/config", std::nullopt},
                      {"servers/op/evacuate/north", std::nullopt}};
  for (const Row& row : rows) {
    CAPTURE(row.key);
    CHECK(PlatformDirectoryFormat{}.EvacuatedDomain(row.key) == row.domain);
  }
}

TEST_CASE("a configuration is parsed with its routes, traffic split and limits") {
  const std::string text =
      R"({"version":7,"services":[{"name":"soil","sharded":true,"max_conns":110,"warm_s":2.0},)"
      R"({"name":"pumps"}],"limits":{"max_header_bytes":9000,"max_body_bytes":100,)"
      R"("header_timeout_s":3,"idle_timeout_s":1.5},"hosts":[{"host":"h.example","paths":[)"
      R"({"name":"r","prefix":"/x/","kind":"safe","timeout_s":1.2,"aim_s":0.3,"priority":1,)"
      R"("max_attempts":2,"traffic_split":[{"service":"soil","weight":90},)"
      R"({"service":"pumps","weight":10},{"service":"off","weight":0}]},)"
      R"({"prefix":"/y/","kind":"odd","timeout_s":1,"service":"pumps"}]}]})";
  std::string problem;
  const auto config = PlatformDirectoryFormat{}.ParseConfig(text, problem);
  REQUIRE(config.has_value());
  CHECK(config->version == 7);
  CHECK(config->services.at(ServiceName{"soil"}).has_exclusive_keys);
  CHECK_FALSE(config->services.at(ServiceName{"pumps"}).has_exclusive_keys);
  CHECK(config->limits.max_header_bytes == 9000);
  CHECK(config->limits.idle_timeout == std::chrono::milliseconds{1500});
  REQUIRE(config->routes.size() == 2);
  const Route& route = config->routes.front();
  CHECK(route.kind == RequestKind::kSafe);
  CHECK(route.timeout == std::chrono::milliseconds{1200});
  CHECK(route.services.size() == 2);
  // A route of unknown kind counts as unsafe, so that its requests are never executed twice.
  CHECK(config->routes.back().kind == RequestKind::kUnsafe);
  for (const std::string& invalid : {std::string{"{}"}, std::string{"no"}, text.substr(0, 90)}) {
    CHECK_FALSE(PlatformDirectoryFormat{}.ParseConfig(invalid, problem).has_value());
  }
}

TEST_CASE("an ownership record survives a round trip, and mismatched pieces are rejected") {
  std::mt19937 random{3};
  OwnershipRecord record;
  record.term = {9};
  record.leader = InstanceId{"d1"};
  record.change_id = "d1.9.4";
  record.highest_token = {55};
  KeyNumber first_key = 0;
  while (first_key < kKeyCount) {
    const KeyNumber last_key =
        std::min<KeyNumber>(first_key + static_cast<KeyNumber>(random() % 6000), kKeyCount - 1);
    const InstanceId owner{"e" + std::to_string(random() % 9)};
    record.ranges.push_back({{first_key, last_key}, owner, {random()}, {random() % 50}});
    record.addresses[owner] = {"10.0.0.1", static_cast<std::uint16_t>(random())};
    first_key = last_key + 1;
  }
  const EncodedRecord texts = EncodeRecord(record);
  std::string problem;
  CHECK(DecodeRecord(texts, problem) == record);
  for (std::size_t i = 0; i < kRecordPieces; ++i) {
    EncodedRecord mixed = texts;
    mixed.pieces[i] = R"({"ranges":[],"addresses":{}})";
    CHECK(DecodeRecord(mixed, problem).has_value() == (mixed.pieces[i] == texts.pieces[i]));
  }
  EncodedRecord truncated = texts;
  truncated.head.resize(truncated.head.size() / 2);
  CHECK_FALSE(DecodeRecord(truncated, problem).has_value());
}

TEST_CASE("truncated datagrams are rejected") {
  struct Row {
    std::string name;
    std::size_t loads;
  };
  // The longer message is compressed.
  const Row rows[] = {{"short", 1}, {"long", 300}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    DaemonMessage message;
    message.sender = InstanceId{"d1"};
    for (std::size_t i = 0; i < row.loads; ++i) {
      message.loads.push_back({InstanceId{"e" + std::to_string(i)}, 3});
      message.hashed_loads.push_back({static_cast<std::uint16_t>(200 * i), 9});
    }
    message.demands = {{ServiceName{"soil"}, {{17, 2}, {18, 1}}}};
    message.drain_reports = {{InstanceId{"e1"}, {1700}}};
    message.announcements = {{ServiceName{"soil"}, {2}, 5, 4, 0, 1, {{{0, 9}, InstanceId{"e1"}}}}};
    const std::string bytes = EncodeMessage(message);
    const auto decoded = DecodeMessage(bytes);
    REQUIRE(decoded.has_value());
    CHECK(decoded->demands.front().counts == message.demands.front().counts);
    CHECK(decoded->announcements.front().ranges == message.announcements.front().ranges);
    CHECK(decoded->loads.size() == row.loads);
    CHECK(decoded->hashed_loads == message.hashed_loads);
    REQUIRE(decoded->drain_reports.size() == 1);
    CHECK(decoded->drain_reports.front().endpoint == InstanceId{"e1"});
    CHECK(decoded->drain_reports.front().incarnation == Incarnation{1700});
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CHECK_FALSE(DecodeMessage(bytes.substr(0, size)).has_value());
    }
  }
}

TEST_CASE("callers cannot set the headers that the daemon sets, in any letter case") {
  HttpRequest request{boost::beast::http::verb::get, "/x/1?a=b", 11};
  request.set("Host", "h.example");
  request.set("X-Request-Id", "a");
  request.set("x-deadline-ms", "99999");
  request.set("X-EXPECT-INSTANCE", "i-other");
  request.set("Connection", "keep-alive, X-Hop");
  request.set("X-Hop", "1");
  request.set("X-End", "kept");
  const std::string head = platform::PlatformRequestFormat{}.FormatRequestHead(
      request, 0, InstanceId{"i-1"}, std::chrono::milliseconds{250});
  CHECK(head.starts_with("GET /x/1?a=b HTTP/1.1\r\n"));
  CHECK(head.find("99999") == std::string::npos);
  CHECK(head.find("i-other") == std::string::npos);
  CHECK(head.find("X-Hop") == std::string::npos);
  CHECK(head.find("X-End: kept\r\n") != std::string::npos);
  CHECK(head.find("X-Deadline-Ms: 250\r\n") != std::string::npos);
  CHECK(head.find("X-Expect-Instance: i-1\r\n") != std::string::npos);
}

TEST_CASE("an endpoint that says in any answer that it leaves is not taken for ready") {
  struct Row {
    std::string name;
    unsigned status;
    std::string header;
    std::string value;
    bool draining;
  };
  const Row rows[] = {{"success", 200, "Server-Leaving", "1", true},
                      {"refusal", 503, "Server-Leaving", "1", true},
                      {"failure", 500, "Server-Leaving", "1", true},
                      {"letter case", 200, "server-leaving", "1", true},
                      {"absent", 200, "X-Other", "1", false},
                      {"not leaving", 200, "Server-Leaving", "0", false},
                      {"another value", 200, "Server-Leaving", "11", false},
                      {"no value", 200, "Server-Leaving", "", false}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    HttpAnswer answer;
    answer.result(row.status);
    answer.set(row.header, row.value);
    CHECK(platform::ParseEndpointNotice(answer).draining == row.draining);
    CHECK(platform::PlatformRequestFormat{}.ParseNotice(answer).draining == row.draining);
    const platform::PlatformOrderFormat orders;
    CHECK(orders.ParseGrantReply(answer).notice.draining == row.draining);
    CHECK(orders.ParseReleaseReply(answer).notice.draining == row.draining);
  }
  // Another endpoint at the address says nothing about the one that the order was meant for.
  HttpAnswer misdirected;
  misdirected.result(421);
  misdirected.set("Server-Leaving", "1");
  CHECK_FALSE(platform::PlatformOrderFormat{}.ParseGrantReply(misdirected).notice.draining);
  CHECK_FALSE(platform::PlatformOrderFormat{}.ParseReleaseReply(misdirected).notice.draining);
}

TEST_CASE("a time to retry that is malformed or absurd does not shut an endpoint out") {
  using std::chrono::milliseconds;
  struct Row {
    std::string name;
    unsigned status;
    std::string value;
    std::optional<Duration> pause;
    bool malformed;
  };
  const std::optional<Duration> none;
  const Row rows[] = {
      {"whole seconds", 503, "2", milliseconds{2000}, false},
      {"fraction", 503, "0.25", milliseconds{250}, false},
      {"zero", 503, "0", milliseconds{0}, false},
      {"absurdly long", 503, "99999999999999999999", std::chrono::minutes{5}, false},
      {"negative", 503, "-1", none, true},
      {"exponent", 503, "1e3", none, true},
      {"too large for a number", 503, std::string(400, '9'), none, true},
      {"infinite", 503, "inf", none, true},
      {"not a number", 503, "nan", none, true},
      {"date", 503, "Wed, 21 Oct 2026 07:28:00 GMT", none, true},
      {"unit", 503, "2s", none, true},
      {"empty", 503, "", none, false},
      {"another refusal", 429, "2", none, false},
      {"success", 200, "2", none, false}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    HttpAnswer answer;
    answer.result(row.status);
    answer.set("Retry-After", row.value);
    const EndpointNotice notice = platform::ParseEndpointNotice(answer);
    CHECK(notice.pause == row.pause);
    CHECK(notice.malformed_pause == (row.malformed ? row.value : ""));
    CHECK_FALSE(notice.draining);
  }
}

// Guards against an overflow that turns a long time into one that has passed.
TEST_CASE("timeouts of callers that are absurdly long count as a day") {
  struct Row {
    std::string value;
    std::optional<Duration> timeout;
  };
  const Row rows[] = {{"250", std::chrono::milliseconds{250}},
                      {"99999999999999999", std::chrono::hours{24}},
                      {"9223372036854775807", std::chrono::hours{24}},
                      {"9223372036854775808", std::nullopt}};
  for (const Row& row : rows) {
    CAPTURE(row.value);
    HttpRequest request;
    request.set("X-Deadline-Ms", row.value);
    CHECK(platform::PlatformRequestFormat{}.ParseRequest(request).caller_timeout == row.timeout);
  }
}

// Guards against loads of an endpoint that were never meant, such as a negative one read as a large
// one.
TEST_CASE("a reported load is parsed, and ignored if it is malformed") {
  struct Row {
    std::string value;
    std::optional<ReportedLoad> load;
  };
  const std::optional<ReportedLoad> none;
  const Row rows[] = {{"3,0,8", ReportedLoad{3, 0, 8, std::nullopt}},
                      {"3, 12, 8, 250", ReportedLoad{3, 12, 8, 250}},
                      {"3,0,8,100,7", ReportedLoad{3, 0, 8, 100}},
                      {"999999,0,999999", ReportedLoad{999'999, 0, 999'999, std::nullopt}},
                      {"3,0", none},
                      {"3,,8", none},
                      {"-1,0,8", none},
                      {"3,0,1000000", none},
                      {"3,0,8,0", none},
                      {"3,0,8,-5", none},
                      {"3,0,8.5", none},
                      {"3;0;8", none},
                      {"many", none}};
  for (const Row& row : rows) {
    CAPTURE(row.value);
    HttpAnswer answer;
    answer.result(200);
    answer.set("X-Server-Load", row.value);
    const EndpointNotice notice = platform::ParseEndpointNotice(answer);
    CHECK(notice.load == row.load);
    CHECK(notice.malformed_load == (row.load ? "" : row.value));
  }
}

// Guards against keys that are never granted again after one spoiled answer to a release
// (review/13).
TEST_CASE("a release is only confirmed by an answer with a sound state of its keys") {
  struct Row {
    std::string name;
    std::optional<std::string> state;
    bool confirms;
  };
  const Row rows[] = {{"hexadecimal", "5c0e7a21d94b36f8", true},
                      {"other printable text", "from soil-1~", true},
                      {"empty", "", true},
                      {"missing", std::nullopt, false},
                      {"bytes that are no text", "5c0e7a21\xd9\x4b\x36\xf8", false},
                      {"a control character", "5c0e\x01", false}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    HttpAnswer answer{boost::beast::http::status::ok, 11};
    if (row.state) {
      answer.set("X-Handover", *row.state);
    }
    const platform::PlatformOrderFormat orders;
    const OrderReply reply = orders.ParseReleaseReply(answer);
    CHECK((reply.outcome == OrderReply::Outcome::kDone) == row.confirms);
    CHECK(reply.handover_state == (row.confirms ? *row.state : ""));
    const KeyGrant grant{{0, 9}, {1}, std::chrono::milliseconds{4000}, reply.handover_state};
    CHECK_NOTHROW(orders.FormatGrant("id", InstanceId{"a"}, grant));
  }
}
