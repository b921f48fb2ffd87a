#include "http/request_parser.h"

#include "check.h"

using namespace bamboostile;
using http::ParseFailure;
using http::RequestParser;

namespace {

constexpr std::size_t kMaxBody = 1000;
constexpr std::size_t kMaxFields = 2000;

} // namespace

TEST_GROUP(RequestParser)
{
  RequestParser m_parser{ { kMaxBody, kMaxFields } };
  std::string m_input;

  void Read(const std::string& aText)
  {
    m_input += aText;
    m_input.erase(0, m_parser.Read(m_input));
  }

  void ReadByteByByte(const std::string& aText)
  {
    for (const char next : aText) {
      Read(std::string(1, next));
    }
  }

  bool HasFailed(ParseFailure aFailure) const
  {
    return m_parser.Failure() == aFailure;
  }
};

TEST(RequestParser, RequestArrivesByteByByte_IsRead)
{
  ReadByteByByte("POST /a?b HTTP/1.1\r\nHost: h\r\nX-Y:  z \r\n"
                 "Content-Length: 3\r\n\r\nabc");
  CHECK(m_parser.IsComplete());
  CHECK_STRING("POST", m_parser.Message().m_method);
  CHECK_STRING("/a?b", m_parser.Message().m_target);
  CHECK_STRING("z", *http::FindHeader(m_parser.Message().m_headers, "x-y"));
  CHECK_STRING("abc", m_parser.Message().m_body);
}

// Guards against memory that grows with the number of chunks.
TEST(RequestParser, BodyInOneByteChunks_TakesItsBytes)
{
  Read("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::size_t before = m_parser.Bytes();
  for (std::size_t i = 0; i < kMaxBody; ++i) {
    Read("1\r\nx\r\n");
  }
  CHECK(m_parser.Bytes() <= before + 2 * kMaxBody);
  Read("0\r\n\r\n");
  CHECK(m_parser.IsComplete());
  LONGS_EQUAL(kMaxBody, m_parser.Message().m_body.size());
}

TEST(RequestParser, ChunksExceedBody_Fails)
{
  Read("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  Read("3e8\r\n" + std::string(kMaxBody, 'x') + "\r\n1\r\n");
  CHECK(HasFailed(ParseFailure::kBodyTooLarge));
}

TEST(RequestParser, LengthExceedsBody_FailsBeforeItArrives)
{
  Read("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n");
  CHECK(HasFailed(ParseFailure::kBodyTooLarge));
}

TEST(RequestParser, HeadWithoutEnd_Fails)
{
  Read("GET / HTTP/1.1\r\n");
  for (int i = 0; i < 200 && !m_parser.Failure(); ++i) {
    Read("F: " + std::string(100, 'x') + "\r\n");
  }
  CHECK(HasFailed(ParseFailure::kHeadTooLarge));
}

TEST(RequestParser, FieldWithoutEnd_Fails)
{
  Read("GET / HTTP/1.1\r\nF: ");
  for (int i = 0; i < 200 && !m_parser.Failure(); ++i) {
    Read(std::string(100, 'x'));
  }
  CHECK(HasFailed(ParseFailure::kHeadTooLarge));
}

// Guards against fields that have no bytes and take memory all the same.
TEST(RequestParser, ManyFields_Fails)
{
  Read("GET / HTTP/1.1\r\n");
  for (int i = 0; i < 201; ++i) {
    Read("F:\r\n");
  }
  Read("\r\n");
  CHECK(HasFailed(ParseFailure::kHeadTooLarge));
}

// Guards against what is read as a whole after the head.
TEST(RequestParser, TrailersOrExtensionsWithoutEnd_Fail)
{
  for (const char* begin : { "0\r\nT: ", "1;e=" }) {
    RequestParser parser{ { kMaxBody, kMaxFields } };
    std::string input = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    input += begin;
    for (int i = 0; i < 200 && !parser.Failure(); ++i) {
      input += std::string(100, 'x');
      input.erase(0, parser.Read(input));
    }
    CHECK(parser.Failure().has_value());
  }
}

TEST(RequestParser, LongTarget_Fails)
{
  Read("GET /" + std::string(8192, 'x') + " HTTP/1.1\r\n\r\n");
  CHECK(HasFailed(ParseFailure::kTargetTooLong));
}

TEST(RequestParser, HeadWithinLimits_IsRead)
{
  Read("GET / HTTP/1.1\r\nF: " + std::string(kMaxFields - 1, 'x') + "\r\n\r\n");
  CHECK(m_parser.IsComplete());
}
