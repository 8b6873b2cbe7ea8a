#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <godwittrestle/daemon/core_loop.hpp>
#include <godwittrestle/gateway/forwarder.hpp>

namespace godwittrestle::gateway
{
	using daemon::monotonic_now;
	using routing::send_failure;

	inline constexpr unsigned unavailable = 503;
	// With less time than this left, nothing is sent any more.
	inline constexpr duration least_time = milliseconds(25);
	inline constexpr std::size_t small_body_bytes = 65'536;
	// Larger answers are passed on piece by piece instead of being held until they are whole.
	inline constexpr std::size_t held_answer_bytes = 262'144;
	inline constexpr duration default_patience = seconds(60);
	// This part of a stream's objective is left for what comes unexpected on the way to its first event.
	inline constexpr int margin_divisor = 10;

	// Keeps a call in a server's load until it ends.
	class load_guard
	{
	  public:
		load_guard(routing::server_pointer target, token_count tokens, token_count committed,
			duration patience = duration::max())
			: server(std::move(target))
			, call(this->server->load.begin_call(tokens, committed, monotonic_now(), patience))
		{
		}

		~load_guard()
		{
			this->server->load.end_call(this->call);
		}

		load_guard(load_guard const&) = delete;
		load_guard& operator=(load_guard const&) = delete;
		load_guard(load_guard&&) = delete;
		load_guard& operator=(load_guard&&) = delete;

		[[nodiscard]] call_id id() const noexcept
		{
			return this->call;
		}

	  private:
		routing::server_pointer server;
		call_id call;
	};

	// A connection that goes back to its pool, or is closed when it can't be used again.
	class pooled_connection
	{
	  public:
		pooled_connection(connection_pool& owner, routing::registered_server target, http::upstream_pointer opened)
			: pool(&owner)
			, server(std::move(target))
			, connection(std::move(opened))
		{
		}

		~pooled_connection()
		{
			if (this->connection)
			{
				this->pool->release(this->server, this->connection);
			}
		}

		pooled_connection(pooled_connection const&) = delete;
		pooled_connection& operator=(pooled_connection const&) = delete;
		pooled_connection(pooled_connection&& other) noexcept = default;
		pooled_connection& operator=(pooled_connection&&) = delete;

		[[nodiscard]] http::upstream& operator*() const noexcept
		{
			return *this->connection;
		}

		[[nodiscard]] http::upstream* operator->() const noexcept
		{
			return this->connection.get();
		}

		[[nodiscard]] http::upstream_pointer const& get() const noexcept
		{
			return this->connection;
		}

	  private:
		connection_pool* pool;
		routing::registered_server server;
		http::upstream_pointer connection;
	};

	// Returns what the failure of a connection means for the call that it carried.
	[[nodiscard]] inline send_failure to_send_failure(http::upstream_failure failure) noexcept
	{
		switch (failure)
		{
			case http::upstream_failure::not_sent:
				return send_failure::not_sent;
			case http::upstream_failure::broken:
				return send_failure::broken;
			case http::upstream_failure::silent:
				return send_failure::silent;
		}
		return send_failure::broken;
	}

	[[nodiscard]] inline std::string milliseconds_text(duration span)
	{
		return fmt::format("{:.1f}", to_milliseconds(span));
	}

	// One request of a caller while it is being served.
	struct forwarder::request_state
	{
		http::request message;
		http::exchange* talk = nullptr;
		caller_call call;
		std::shared_ptr<routing::route_table const> routes;
		routing::route const* chosen = nullptr;
		service_id service;
		time_point started;
		time_point ends_at;
		// Servers that may have got the call. Prefills that a server accepted do not count.
		std::set<server_id> sent_to;
		// Servers that are not asked again.
		std::set<server_id> excluded;
		std::vector<std::string> path;
		std::optional<send_failure> failure;
		// Why the call was not sent again after its last failure.
		std::string_view not_repeated;
		// A failure that a server answered itself, to be passed on when nothing better comes.
		std::optional<http::response> server_failure;
		stream_joiner joiner{std::nullopt};
		http::upstream_pointer connection;
		// When the first event of a stream was passed on, and the longest pause between two since.
		std::optional<time_point> first_event_at;
		time_point last_event_at;
		duration longest_gap{};
		// Address of the engine that has read the prompt, and may still keep it when the stream has to go on elsewhere.
		std::optional<std::string> prompt_kept_at;
		// How the last placement had the prompt prefilled, and what it predicted.
		bool is_split = false;
		std::uint64_t tokens_per_event = 0;
		duration predicted_first_event{};
		bool may_have_run = false;
		bool is_caller_gone = false;
		bool is_head_sent = false;
		// Prefilling apart has failed once.
		bool is_split_barred = false;

		[[nodiscard]] duration time_left() const
		{
			return std::max(duration{}, std::chrono::duration_cast<duration>(this->ends_at - monotonic_now()));
		}

		[[nodiscard]] bool is_out_of_time() const
		{
			return this->time_left() < least_time;
		}

		// Until when the first event has to be predicted for the stream to meet its objective.
		[[nodiscard]] time_point in_time_until() const
		{
			return this->started + this->chosen->objective - this->chosen->objective / margin_divisor;
		}

		// Tokens that the stream has made since this daemon began it.
		[[nodiscard]] token_count made_tokens() const
		{
			return token_count(static_cast<std::uint32_t>(this->joiner.events() * this->tokens_per_event));
		}

		void note_event(time_point now)
		{
			if (this->first_event_at)
			{
				this->longest_gap = std::max(this->longest_gap, now - this->last_event_at);
			}
			this->first_event_at = this->first_event_at.value_or(now);
			this->last_event_at = now;
		}

		// Stops the server's work for a caller that is gone. A call that must not be repeated runs to its end.
		void abandon()
		{
			this->is_caller_gone = true;
			auto const runs_on = this->chosen != nullptr && this->chosen->kind == routing::call_kind::non_idempotent;
			if (this->connection && !runs_on)
			{
				this->connection->close();
			}
		}
	};

	struct forwarder::answer_begun
	{
		http::response head;
		pooled_connection connection;
	};
}
