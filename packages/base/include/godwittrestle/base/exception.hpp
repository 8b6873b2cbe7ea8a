#pragma once

#include <cstdio>
#include <exception>
#include <string>
#include <tuple>

namespace godwittrestle
{
	// Returns the message of an exception.
	[[nodiscard]] inline std::string describe_exception(std::exception_ptr const& thrown)
	{
		try
		{
			std::rethrow_exception(thrown);
		}
		catch (std::exception const& error)
		{
			return error.what();
		}
		catch (...)
		{
			return "an exception without a message";
		}
	}

	// Says on standard error that an exception could not be logged for lack of memory. Needs no memory itself.
	inline void report_lost_log_line() noexcept
	{
		std::ignore = std::fputs("godwittrestle: no memory to log an exception\n", stderr);
	}

	// Returns the message of the exception that is being handled. Must be called from a catch block.
	[[nodiscard]] inline std::string describe_current_exception()
	{
		return describe_exception(std::current_exception());
	}
}
