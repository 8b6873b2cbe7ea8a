#pragma once

#include <tuple>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <godwittrestle/base/units.hpp>

namespace godwittrestle::gateway
{
	namespace asio = boost::asio;

	// The end of work that goes on when the one that waits for it has left. Must be used on one executor.
	class background_work
	{
	  public:
		explicit background_work(asio::any_io_executor const& executor)
			: ended(executor)
		{
		}

		// Waits for the end of the work. Returns whether it came in time; otherwise nobody waits for it any more.
		[[nodiscard]] asio::awaitable<bool> wait(duration longest)
		{
			if (!this->has_ended)
			{
				this->ended.expires_after(longest);
				std::ignore = co_await this->ended.async_wait(asio::as_tuple(asio::use_awaitable));
			}
			this->was_left = !this->has_ended;
			co_return this->has_ended;
		}

		void end()
		{
			this->has_ended = true;
			this->ended.cancel();
		}

		// Returns whether the one that waited has left before the end.
		[[nodiscard]] bool is_abandoned() const noexcept
		{
			return this->was_left;
		}

	  private:
		// Cancelled at the end.
		asio::steady_timer ended;
		bool has_ended = false;
		bool was_left = false;
	};
}
