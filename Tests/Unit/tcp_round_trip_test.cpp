#include "Libraries/zinnialedge/wire/tcp_round_trip.h"
#include <CppUTest/TestHarness.h>
#include <boost/asio/io_context.hpp>

using namespace zinnialedge;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

TEST_GROUP(TcpRoundTrip) {};

TEST(TcpRoundTrip, OpenConnectionHasRoundTripEstimate)
{
    boost::asio::io_context context;
    tcp::socket caller { context };
    CHECK(!wire::roundTripTimeOf(caller));
    tcp::acceptor acceptor { context, { boost::asio::ip::make_address("127.0.0.1"), 0 } };
    caller.connect(acceptor.local_endpoint());
    auto accepted = acceptor.accept();
    auto const roundTrip = wire::roundTripTimeOf(accepted);
    CHECK(roundTrip.has_value());
    CHECK(*roundTrip > 0us && *roundTrip < 1s);
}
