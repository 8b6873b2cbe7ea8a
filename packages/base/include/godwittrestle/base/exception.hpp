#pragma once

#include <exception>
#include <string>

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

	// Returns the message of the exception that is being handled. Must be called from a catch block.
	[[nodiscard]] inline std::string describe_current_exception()
	{
		return describe_exception(std::current_exception());
	}
}
