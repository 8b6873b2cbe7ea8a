#include <godwittrestle/base/error.hpp>

#include <utility>

#include <fmt/format.h>

namespace godwittrestle
{
	std::string_view to_string(error_kind kind) noexcept
	{
		switch (kind)
		{
			case error_kind::invalid_document:
				return "invalid_document";
			case error_kind::invalid_setting:
				return "invalid_setting";
			case error_kind::invalid_request:
				return "invalid_request";
			case error_kind::not_found:
				return "not_found";
			case error_kind::unauthorised:
				return "unauthorised";
			case error_kind::unavailable:
				return "unavailable";
			case error_kind::timeout:
				return "timeout";
			case error_kind::io:
				return "io";
		}
		return "unknown";
	}

	std::string describe(failure const& error)
	{
		if (error.path.empty())
		{
			return fmt::format("{}; {}", error.message, error.remedy);
		}
		return fmt::format("{}: {}; {}", error.path, error.message, error.remedy);
	}

	boost::leaf::error_id fail(
		error_kind kind, std::string path, std::string message, std::string remedy, boost::source_location where)
	{
		return boost::leaf::new_error(failure{kind, std::move(path), std::move(message), std::move(remedy), where});
	}
}
