#include "standin.hpp"

#include <map>
#include <utility>

namespace godwittrestle::standins
{
	namespace
	{
		class plain final : public standin
		{
		  public:
			asio::awaitable<void> handle(http::request message, http::exchange& http_exchange) override
			{
				auto const path = std::string(message.path());
				if (path == "/control")
				{
					auto const switches = parse_object(message.body);
					this->is_leaving = flag_of(switches, "leaving", this->is_leaving);
					this->delay = milliseconds(number_of(switches, "delay_ms", this->delay.count() / 1000));
					this->drops_answers = flag_of(switches, "drop_answers", this->drops_answers);
					co_await http_exchange.reply(make_field_response("done", true));
					co_return;
				}
				if (path == "/runs")
				{
					boost::json::object counts;
					for (auto const& [call, count] : this->runs)
					{
						counts[call] = count;
					}
					co_await http_exchange.reply(make_json_response(counts));
					co_return;
				}
				if (this->is_leaving)
				{
					auto refusal = make_field_response("error", "leaving", 503);
					refusal.headers.push_back({"X-Leaving", "yes"});
					co_await http_exchange.reply(std::move(refusal));
					co_return;
				}
				co_await this->run(std::move(message), http_exchange);
			}

		  private:
			asio::awaitable<void> run(http::request message, http::exchange& http_exchange)
			{
				auto const count = ++this->runs[message.method + " " + message.target + " " + message.body];
				co_await sleep_for(this->delay);
				if (this->drops_answers)
				{
					// The call has run and is counted, but the connection is closed without an answer.
					co_return;
				}
				boost::json::object answer{{"path", message.target}, {"method", message.method}, {"run", count}};
				co_await http_exchange.reply(make_json_response(answer));
			}

			// How often each call ran, keyed by its method, target and body.
			std::map<std::string, std::uint64_t> runs;
			duration delay{};
			bool is_leaving = false;
			bool drops_answers = false;
		};
	}

	std::unique_ptr<standin> make_plain(asio::io_context& /*loop*/)
	{
		return std::make_unique<plain>();
	}
}
