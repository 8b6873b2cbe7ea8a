#include <catch2/catch.hpp>

#include "gateway_fixture.hpp"
#include "scripted_http_server.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;
using boost::asio::ip::tcp;
using routing::call_kind;
using routing::server_role;

namespace
{
	// Listens, but its queue of new connections is full, so that connecting to it gets no answer.
	class unanswering_listener
	{
	  public:
		explicit unanswering_listener(boost::asio::io_context& loop)
			: acceptor(loop)
			, first(loop)
		{
			tcp::endpoint const any_port(boost::asio::ip::make_address("127.0.0.1"), 0);
			this->acceptor.open(any_port.protocol());
			this->acceptor.bind(any_port);
			constexpr int shortest_queue = 0;
			this->acceptor.listen(shortest_queue);
			this->first.connect(this->acceptor.local_endpoint());
		}

		[[nodiscard]] std::string address() const
		{
			return fmt::format("127.0.0.1:{}", this->acceptor.local_endpoint().port());
		}

	  private:
		tcp::acceptor acceptor;
		tcp::socket first;
	};
}

TEST_CASE("a caller that leaves after its prefill does not break the next request's on the same connection",
	"[gateway][returned_connections]")
{
	gateway_fixture fixture(make_route(call_kind::streaming, 2, false));
	// The second prefill is in progress until the end of the test.
	scripted_http_server prefill_engine({http_answer("200 OK", attempt_header, "h1"), ""});
	unanswering_listener const decode_engine(fixture.loop);
	fixture.add_server("p", http::to_string(prefill_engine.listen_address()), server_role::prefill);
	fixture.add_server("a", decode_engine.address(), server_role::decode);
	auto const has_prefills = [&](std::size_t count)
	{
		return [&prefill_engine, count]
		{
			return prefill_engine.calls().size() == count;
		};
	};
	auto leaving = fixture.begin_request();
	fixture.run_until([&] { return fixture.request_forwarder.idle_connections() == 1; });
	auto const staying = fixture.begin_request();
	fixture.run_until(has_prefills(2));
	REQUIRE(fixture.request_forwarder.idle_connections() == 0);
	leaving.close();
	constexpr auto time_to_notice = milliseconds(200);
	auto const noticed_at = daemon::monotonic_now() + time_to_notice;
	fixture.run_until([&] { return daemon::monotonic_now() > noticed_at; });
	REQUIRE(prefill_engine.closed_connections() == 0);
}
