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

	// Returns the name that answers, logs and metrics use for a kind.
	[[nodiscard]] std::string_view to_string(error_kind kind) noexcept;

	// Describes an error: what failed, where, and how to fix it.
	struct failure
	{
		error_kind kind = error_kind::io;
		// The part of the input with the error, such as a path in a document, a file or the name of a setting; may be
		// empty.
		std::string path;
		std::string message;
		// What an operator or a caller can do about it.
		std::string remedy;
		// The source line that reported the error.
		boost::source_location where;
	};

	// Returns "path: message; remedy", or "message; remedy" when the path is empty.
	[[nodiscard]] std::string describe(failure const& error);

	template <typename T>
	using result = boost::leaf::result<T>;

	// Creates a failure with the source location of the call and returns it as a Boost.LEAF error.
	//
	//     return fail(error_kind::invalid_setting, "--port", "70000 is not a port", "give 1 to 65535");
	[[nodiscard]] boost::leaf::error_id fail(error_kind kind, std::string path, std::string message, std::string remedy,
		boost::source_location where = BOOST_CURRENT_LOCATION);

	// Calls a function that returns a result<T>. Returns its value, or the return value of on_failure when it fails;
	// on_failure must return T. For an error that is not a failure object, on_failure gets a failure of kind io.
	template <typename Function, typename Handler>
	[[nodiscard]] auto handle_failure(Function&& function, Handler&& on_failure)
	{
		return boost::leaf::try_handle_all(
			std::forward<Function>(function), [&](failure const& error) { return on_failure(error); },
			[&] { return on_failure(failure{error_kind::io, "", "unexpected error", "report it with the log", {}}); });
	}
}
