#include "standin.hpp"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

namespace godwittrestle::standins
{
	http::response make_json_response(boost::json::value const& body, unsigned status)
	{
		http::response answer;
		answer.status = status;
		answer.headers.push_back({"Content-Type", "application/json"});
		answer.body = boost::json::serialize(body);
		return answer;
	}

	http::response make_field_response(std::string_view name, boost::json::value const& value, unsigned status)
	{
		boost::json::object body;
		body[name] = value;
		return make_json_response(body, status);
	}

	boost::json::object parse_object(std::string const& body)
	{
		boost::system::error_code error;
		auto value = boost::json::parse(body, error);
		return !error && value.is_object() ? std::move(value.as_object()) : boost::json::object{};
	}

	std::string text_of(boost::json::object const& object, std::string_view name)
	{
		auto const* const value = object.if_contains(name);
		return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string{};
	}

	std::int64_t number_of(boost::json::object const& object, std::string_view name, std::int64_t default_value)
	{
		auto const* const value = object.if_contains(name);
		return value != nullptr && value->is_int64() ? value->as_int64() : default_value;
	}

	bool flag_of(boost::json::object const& object, std::string_view name, bool default_value)
	{
		auto const* const value = object.if_contains(name);
		return value != nullptr && value->is_bool() ? value->as_bool() : default_value;
	}

	asio::awaitable<void> sleep_for(duration delay)
	{
		asio::steady_timer timer(co_await asio::this_coro::executor, delay);
		co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
	}

	std::string reference_token(std::string_view prompt_digest, std::uint32_t index)
	{
		return fmt::format("{}-{} ", prompt_digest.substr(0, 4), index);
	}
}
