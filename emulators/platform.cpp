#include "standin.hpp"

#include <list>
#include <map>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <godwittrestle/base/digest.hpp>

namespace godwittrestle::standins
{
	namespace
	{
		constexpr std::string_view values_prefix = "/v1/values/";
		constexpr std::uint64_t max_wait_ms = 60'000;

		class platform final : public standin
		{
		  public:
			explicit platform(asio::io_context& context)
				: loop(&context)
			{
			}

			asio::awaitable<void> handle(http::request message, http::exchange& http_exchange) override
			{
				auto const path = std::string(message.path());
				if (path == "/control")
				{
					this->control(parse_object(message.body));
					co_await http_exchange.reply(make_field_response("calls", this->calls));
					co_return;
				}
				if (message.method == "PUT" && path.starts_with(values_prefix))
				{
					co_await this->put(path.substr(values_prefix.size()), std::move(message.body), http_exchange);
					co_return;
				}
				++this->calls;
				if (this->is_unavailable)
				{
					// Simulates an outage: the connection stays open for 30 s and no answer is sent.
					co_await sleep_for(seconds(30));
					co_return;
				}
				if (path.starts_with(values_prefix))
				{
					co_await this->read(path.substr(values_prefix.size()), message, http_exchange);
					co_return;
				}
				co_await http_exchange.reply(make_json_response(nullptr, 404));
			}

		  private:
			struct value
			{
				std::uint64_t version = 0;
				std::string body;
			};

			void control(boost::json::object const& switches)
			{
				this->is_unavailable = flag_of(switches, "outage", this->is_unavailable);
				if (flag_of(switches, "stale", false))
				{
					this->stale = this->values;
				}
				if (!flag_of(switches, "stale", true))
				{
					this->stale.clear();
				}
			}

			asio::awaitable<void> put(std::string name, std::string body, http::exchange& http_exchange)
			{
				auto& target = this->values[name];
				++target.version;
				target.body = std::move(body);
				for (auto* const watcher : this->watchers)
				{
					watcher->cancel();
				}
				co_await http_exchange.reply(make_field_response("version", target.version));
			}

			asio::awaitable<void> read(std::string name, http::request message, http::exchange& http_exchange)
			{
				auto const after = parse_number(message.query("after")).value_or(0);
				auto const wait_ms = std::min(parse_number(message.query("wait_ms")).value_or(0), max_wait_ms);
				asio::steady_timer timer(*this->loop, milliseconds(wait_ms));
				auto const position = this->watchers.insert(this->watchers.end(), &timer);
				if (this->served_value(name).version <= after && wait_ms > 0)
				{
					co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
				}
				this->watchers.erase(position);
				auto const found = this->served_value(name);
				http::response answer;
				answer.status = found.version > after ? 200 : 304;
				answer.headers.push_back({"X-Version", std::to_string(found.version)});
				answer.body = found.version > after ? found.body : "";
				co_await http_exchange.reply(std::move(answer));
			}

			// Returns the value that readers get: the stale one while stale values are served. A name without a value
			// has version 0.
			[[nodiscard]] value served_value(std::string const& name) const
			{
				auto const& source = this->stale.empty() ? this->values : this->stale;
				auto const found = source.find(name);
				return found == source.end() ? value{} : found->second;
			}

			asio::io_context* loop;
			std::map<std::string, value> values;
			// Copy of the values from the moment at which "stale" was switched on. Empty when current values are
			// served.
			std::map<std::string, value> stale;
			// Timers of the reads in progress. A write cancels them, which wakes the waiting reads.
			std::list<asio::steady_timer*> watchers;
			// Number of requests received, except writes and requests to /control.
			std::uint64_t calls = 0;
			bool is_unavailable = false;
		};
	}

	std::unique_ptr<standin> make_platform(asio::io_context& loop)
	{
		return std::make_unique<platform>(loop);
	}
}
