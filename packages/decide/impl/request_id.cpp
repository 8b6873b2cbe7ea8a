#include <godwittrestle/decide/request_id.hpp>

#include <fmt/format.h>

#include <godwittrestle/base/digest.hpp>

namespace godwittrestle::decide
{
	request_id make_request_id(instance_id const& instance, incarnation started, std::uint64_t sequence)
	{
		return request_id(fmt::format("{}~{}~{}", instance.str(), started.count(), sequence));
	}

	std::optional<request_origin> origin_of(std::string_view request)
	{
		auto const first = request.find('~');
		auto const second = request.find('~', first + 1);
		if (first == std::string_view::npos || second == std::string_view::npos)
		{
			return std::nullopt;
		}
		auto const started = parse_number(request.substr(first + 1, second - first - 1));
		if (!started)
		{
			return std::nullopt;
		}
		return request_origin{instance_id(std::string(request.substr(0, first))), incarnation(*started)};
	}

	std::string attempt_id(request_id const& request, std::uint32_t attempt)
	{
		return fmt::format("{}#{}", request.str(), attempt);
	}

	request_id request_of(std::string_view attempt)
	{
		return request_id(std::string(attempt.substr(0, attempt.rfind('#'))));
	}
}
