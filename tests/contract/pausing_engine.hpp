#pragma once

#include <cstddef>
#include <functional>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>

#include <godwittrestle/base/units.hpp>
#include <godwittrestle/http/server.hpp>

namespace godwittrestle::testing
{
	// What an engine does with its streams and reservations.
	struct engine_plan
	{
		int events = 4;
		// Id of the last event before the silence; 0 for a silence before the head of the answer.
		int last_before_silence = 4;
		duration silence{};
		// Time until it answers the request for a reservation.
		duration reservation_time{};
		// Whether it refuses streams although it grants reservations.
		bool refuses_streams = false;
	};

	// A decode engine that grants reservations while it has room, and is silent once in each stream.
	class pausing_engine
	{
	  public:
		pausing_engine(boost::asio::io_context& loop, engine_plan plan);

		[[nodiscard]] std::string address() const;

		// Sets whether it grants reservations.
		void set_room(bool value) noexcept
		{
			this->has_room = value;
		}

		// Sets a function that is called for each stream that is sent here, before it is answered.
		void on_stream(std::function<void()> hook)
		{
			this->stream_hook = std::move(hook);
		}

		// Returns how many streams were sent here, and the connections of how many were closed before their end.
		[[nodiscard]] int streams() const noexcept
		{
			return this->begun;
		}

		[[nodiscard]] int left_streams() const noexcept
		{
			return this->left;
		}

		// Returns how many reservations were granted so far, and how many of them are neither used nor given back.
		[[nodiscard]] int granted() const noexcept
		{
			return this->grants;
		}

		[[nodiscard]] std::size_t kept() const noexcept
		{
			return this->held.size();
		}

		// Returns how many requests for a reservation are not answered yet.
		[[nodiscard]] int asked() const noexcept
		{
			return this->unanswered;
		}

	  private:
		[[nodiscard]] boost::asio::awaitable<void> serve(http::request message, http::exchange& http_exchange);
		[[nodiscard]] boost::asio::awaitable<void> reserve(http::exchange& http_exchange);
		[[nodiscard]] boost::asio::awaitable<void> stream(http::request const& message, http::exchange& http_exchange);
		[[nodiscard]] boost::asio::awaitable<void> wait(duration time);

		boost::asio::io_context* loop;
		engine_plan plan;
		bool has_room = true;
		std::function<void()> stream_hook;
		int begun = 0;
		int left = 0;
		int grants = 0;
		int unanswered = 0;
		std::set<std::string> held;
		http::server listener;
	};
}
