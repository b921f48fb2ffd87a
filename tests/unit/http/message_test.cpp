#include "bamboostile/http/message.h"

#include "check.h"

using namespace bamboostile::http;

TEST_GROUP(HttpMessage){};

TEST(HttpMessage, HopByHopHeaders_AndHeadersNamedByConnection_AreDropped)
{
  const Headers kept = WithoutHopByHop({ { "Connection", "X-One, close" },
                                         { "x-one", "1" },
                                         { "Transfer-Encoding", "chunked" },
                                         { "Content-Length", "3" },
                                         { "Accept", "a" } });
  LONGS_EQUAL(1, kept.size());
  CHECK_STRING("Accept", kept[0].m_name);
}

TEST(HttpMessage, Header_OtherCase_IsFound)
{
  const Headers headers{ { "Retry-After", "2" } };
  CHECK(FindHeader(headers, "retry-after") == "2");
  CHECK_FALSE(FindHeader(headers, "retry").has_value());
}
