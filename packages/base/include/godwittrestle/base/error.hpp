#pragma once

#include <string>
#include <string_view>

#include <boost/assert/source_location.hpp>
#include <boost/leaf.hpp>

namespace godwittrestle
{
	enum class error_kind
	{
		invalid_document,
		invalid_setting,
		invalid_request,
		not_found,
		unauthorised,
		unavailable,
		timeout,
		io,
	};

	// Returns the name of a kind as it stands in answers, logs and metrics.
	[[nodiscard]] std::string_view to_string(error_kind kind) noexcept;

	// What went wrong, where, and what to do about it.
	struct failure
	{
		error_kind kind = error_kind::io;
		// The place in the input, such as a path into a document or the name of a setting; may be empty.
		std::string path;
		std::string message;
		std::string remedy;
		boost::source_location where;
	};

	// Returns "path: message; remedy" in one line.
	[[nodiscard]] std::string describe(failure const& error);

	template <typename T>
	using result = boost::leaf::result<T>;

	// Returns a LEAF error that carries the failure and the place of the call.
	//
	//     return fail(error_kind::invalid_setting, "--port", "70000 is not a port", "give 1 to 65535");
	[[nodiscard]] boost::leaf::error_id fail(error_kind kind, std::string path, std::string message, std::string remedy,
		boost::source_location where = BOOST_CURRENT_LOCATION);

	// Runs a function that returns a result and hands its failure, if any, to on_failure. Both must return the same
	// type once the result is unwrapped.
	template <typename Function, typename Handler>
	[[nodiscard]] auto handle_failure(Function&& function, Handler&& on_failure)
	{
		return boost::leaf::try_handle_all(
			std::forward<Function>(function), [&](failure const& error) { return on_failure(error); },
			[&] { return on_failure(failure{error_kind::io, "", "unexpected error", "report it with the log", {}}); });
	}
}
