#include <godwittrestle/http/message.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

#include <godwittrestle/base/digest.hpp>

namespace godwittrestle::http
{
	namespace
	{
		constexpr std::uint64_t max_port = 65535;
		// Content-Length is included because each message that is sent on gets its own.
		constexpr std::array<std::string_view, 10> hop_by_hop_headers{"Connection", "Keep-Alive", "Proxy-Connection",
			"Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
			"Content-Length"};
		constexpr std::string_view expect_header = "Expect";

		std::string find_value(std::vector<header> const& headers, std::string_view name)
		{
			auto const found = std::ranges::find_if(
				headers, [&](header const& each) { return boost::algorithm::iequals(each.name, name); });
			return found == headers.end() ? std::string{} : found->value;
		}
	}

	std::string request::find_header(std::string_view name) const
	{
		return find_value(this->headers, name);
	}

	std::string_view request::path() const noexcept
	{
		return std::string_view(this->target).substr(0, this->target.find('?'));
	}

	std::string request::query(std::string_view name) const
	{
		auto const start = this->target.find('?');
		auto rest = start == std::string::npos ? std::string_view{} : std::string_view(this->target).substr(start + 1);
		while (!rest.empty())
		{
			auto const pair = rest.substr(0, rest.find('&'));
			rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
			auto const equals = pair.find('=');
			if (pair.substr(0, equals) == name && equals != std::string_view::npos)
			{
				return std::string(pair.substr(equals + 1));
			}
		}
		return {};
	}

	std::string response::find_header(std::string_view name) const
	{
		return find_value(this->headers, name);
	}

	std::vector<header> end_to_end_headers(std::vector<header> const& headers)
	{
		std::vector<std::string> connection_options;
		auto const connection_value = find_value(headers, "Connection");
		boost::algorithm::split(connection_options, connection_value, boost::algorithm::is_any_of(","));
		std::ranges::for_each(connection_options, [](std::string& name) { boost::algorithm::trim(name); });
		auto const is_left_out = [&](header const& each)
		{
			auto const has_name = [&](std::string_view name)
			{
				return boost::algorithm::iequals(each.name, name);
			};
			return std::ranges::any_of(hop_by_hop_headers, has_name) ||
				   std::ranges::any_of(connection_options, has_name) || has_name(expect_header);
		};
		std::vector<header> kept;
		std::ranges::remove_copy_if(headers, std::back_inserter(kept), is_left_out);
		return kept;
	}

	result<endpoint> parse_endpoint(std::string_view text, std::string path)
	{
		auto const colon = text.rfind(':');
		auto const digits = colon == std::string_view::npos ? std::string_view{} : text.substr(colon + 1);
		auto const port = parse_number(digits).value_or(max_port + 1);
		std::string address(text.substr(0, std::min(colon, text.size())));
		boost::system::error_code error;
		boost::asio::ip::make_address(address, error);
		if (port > max_port || error)
		{
			return fail(error_kind::invalid_setting, std::move(path), fmt::format("'{}' is not an address", text),
				"give an IP number and a port, such as 127.0.0.1:7000");
		}
		return endpoint{std::move(address), static_cast<unsigned short>(port)};
	}

	std::string to_string(endpoint const& where)
	{
		return fmt::format("{}:{}", where.address, where.port);
	}
}
