#pragma once

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <godwittrestle/daemon/core_loop.hpp>
#include <godwittrestle/gateway/fingerprints.hpp>
#include <godwittrestle/gateway/forwarder.hpp>

#include "pooled_connection.hpp"

namespace godwittrestle::gateway
{
	using daemon::monotonic_now;
	using routing::send_failure;

	inline constexpr unsigned status_ok = 200;
	inline constexpr unsigned unavailable = 503;
	// Statuses by which a server, or another daemon, states that it did not run the request.
	inline constexpr std::array<unsigned, 4> not_run_statuses{408, 421, 429, 503};
	inline constexpr duration connect_timeout = milliseconds(250);
	// A connection to a server that was idle for longer is not used again.
	inline constexpr duration max_server_idle = seconds(30);
	// A sound server may fall silent for about a second.
	inline constexpr duration report_timeout = milliseconds(1200);
	// A call is not sent when its caller's deadline is closer than this.
	inline constexpr duration min_time_to_send = milliseconds(25);
	inline constexpr std::size_t max_small_body_bytes = 65'536;
	// Answers up to this size are buffered until they are complete; larger ones are streamed to the caller.
	inline constexpr std::size_t max_buffered_answer_bytes = 262'144;
	inline constexpr duration default_timeout = seconds(60);
	// Time after which a request that waits for a silent server or daemon is looked at again: another try may have
	// become possible. Looking for other servers takes a time that grows with their number.
	inline constexpr duration silence_check_interval = milliseconds(500);
	// Waits return their error instead of throwing it.
	inline constexpr auto wait_token = asio::as_tuple(asio::use_awaitable);
	// A server that has sent this many events of a stream, or the whole stream, can answer the request.
	inline constexpr std::uint64_t min_events_of_answer = 4;
	// A stream's objective divided by this number is kept in reserve for unpredicted delays before its first event.
	inline constexpr int objective_reserve_divisor = 10;

	// Counts a call in a server's load from construction to destruction.
	class load_guard
	{
	  public:
		load_guard(routing::server_pointer target, token_count tokens, token_count committed,
			duration max_silence = duration::max())
			: server(std::move(target))
			, call(this->server->load.begin_call(tokens, committed, monotonic_now(), max_silence))
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

	// Keeps a stream in a queue from construction to destruction.
	class queue_place
	{
	  public:
		queue_place(routing::admission_queue& owner, routing::waiting_stream const& stream)
			: queue(&owner)
			, number(owner.enter(stream))
		{
		}

		~queue_place()
		{
			this->queue->leave(this->number);
			if (this->queue->size() == 0)
			{
				this->queue->note_idle();
			}
		}

		queue_place(queue_place const&) = delete;
		queue_place& operator=(queue_place const&) = delete;
		queue_place(queue_place&&) = delete;
		queue_place& operator=(queue_place&&) = delete;

		[[nodiscard]] routing::queue_ticket ticket() const noexcept
		{
			return this->number;
		}

	  private:
		routing::admission_queue* queue;
		routing::queue_ticket number;
	};

	// Converts the failure of a connection to the failure of the call that was sent on it.
	[[nodiscard]] inline send_failure to_send_failure(http::upstream_failure failure) noexcept
	{
		switch (failure)
		{
			case http::upstream_failure::not_sent:
				return send_failure::not_sent;
			case http::upstream_failure::broken:
				return send_failure::broken;
			case http::upstream_failure::silent:
			case http::upstream_failure::interrupted:
				return send_failure::silent;
		}
		return send_failure::broken;
	}

	[[nodiscard]] inline std::string milliseconds_text(duration span)
	{
		return fmt::format("{:.1f}", to_milliseconds(span));
	}

	// An engine that did not state its start.
	struct unstated_engine
	{
		server_id server;
		time_point asked_at;
	};

	// How a call was last sent to a server.
	struct sent_call
	{
		// Time at which it was sent, and the number of events that had been passed on by then.
		std::optional<time_point> sent_at;
		std::uint64_t events_before_send = 0;
		// Number of times that the call was sent to a server, and the process that held the connection when it was last
		// sent; if that was not known, the newest process that was known of the server.
		std::uint32_t sends = 0;
		routing::server_process sent_to_process;
		// Time by which that connection was open.
		time_point connected_at;
		// Whether that process is known to hold the connection.
		bool is_holder_known = false;
		// Whether the call was last sent with the reservation that was granted for it.
		bool is_reservation_sent = false;
	};

	// State of one caller's request while this daemon serves it.
	struct forwarder::request_state : sent_call
	{
		http::request message;
		http::exchange* http_exchange = nullptr;
		request_metadata call;
		routing::request_identity identity;
		std::shared_ptr<routing::route_table const> routes;
		routing::route const* matched_route = nullptr;
		// The account that calls; null when the caller has none. Belongs to routes.
		routing::client_account const* account = nullptr;
		// What the request has taken of its account's limit.
		double quota = 0;
		service_id service;
		time_point started;
		time_point deadline;
		// Servers that may have received the call. Calls that only prefill the prompt do not count.
		std::set<server_id> sent_to;
		// Servers that this request is not sent to again.
		std::set<server_id> excluded;
		// Every server that a connection was requested for, in order and with repetitions; for the log.
		std::vector<std::string> attempted_servers;
		std::optional<send_failure> failure;
		// Whether the retry for the next try has been spent already.
		bool is_retry_spent = false;
		// Why the call was not retried after its last failure.
		std::string_view no_retry_reason;
		// The last error response of a server. It is passed on when no server serves the request.
		std::optional<http::response> server_failure;
		stream_joiner joiner{std::nullopt};
		// The search for a place at another server while the stream's server is silent; null when there is none.
		std::shared_ptr<place_search> search;
		std::shared_ptr<connection_in_use> const connection = std::make_shared<connection_in_use>();
		// The connection of a silent server whose answer is kept until another server has accepted the stream.
		http::upstream_pointer kept_connection;
		// While the stream waits for an engine: the time at which its caller gives up.
		std::optional<time_point> gives_up_at;
		// Set when the stream's turn would have come too late: the time until then.
		duration turn_after{};
		// Whether the request was last sent to another daemon instead of a server, and that daemon's last refusal.
		bool is_relayed_on = false;
		std::optional<http::response> relayed_refusal;
		// Where the stream began; nothing before its first event. It may go on only there.
		std::optional<routing::stream_origin> origin;
		bool is_origin_recorded = false;
		// Whether a server was asked what follows the end of its answer. If nothing came, nothing follows.
		bool is_end_asked = false;
		// Whether it was asked where the stream began, since nothing is recorded of it.
		bool is_origin_sought = false;
		// Whether other daemons were asked for the stream's origin and did not all answer in time, and those that did
		// answer.
		bool is_origin_unanswered = false;
		std::set<routing::daemon_start> origin_answers;
		// Whether all other daemons, if there are any, have said what they know of the stream.
		bool have_others_answered = false;
		// The process that made the stream's first event, and the send that brought it.
		std::optional<routing::server_process> writer;
		std::uint32_t writer_send = 0;
		// Whether it was recorded, and told to other daemons, that the stream has begun and its process is not known.
		bool is_unconfirmed_told = false;
		// The engine that answered without stating its start and may get the stream all the same, since it is a new
		// one, and when it was asked. Signs of its end since then count.
		std::optional<unstated_engine> accepted_unstated;
		// The server that made the stream's first event, until its process is known.
		routing::server_pointer unconfirmed_writer;
		// Software versions of the servers whose events were passed on, in order and without repetitions.
		std::vector<software_version> event_versions;
		// Whether the call is sent although it is blocked, to find out whether it still ends servers.
		bool is_trial = false;
		// Times of the first and the last event that were passed on, and the longest gap between two events.
		std::optional<time_point> first_event_at;
		time_point last_event_at;
		duration longest_gap{};
		// Time from the last bytes of the answer, once they were passed on, to its end.
		duration end_delay{};
		// Address of the engine that prefilled the prompt. It may still hold the KV cache when the stream is resumed on
		// another decode engine.
		std::optional<std::string> prompt_cache_address;
		// These three fields describe the last placement: whether it used a separate prefill engine, the tokens in each
		// event, and the predicted time from the placement to the first event.
		bool has_separate_prefill = false;
		std::uint64_t tokens_per_event = 0;
		duration predicted_first_event{};
		// Whether a prefill engine has got the prompt, apart from engines that rejected it.
		bool was_prefilled = false;
		bool may_have_run = false;
		// Whether a server's limit has kept this request from it.
		bool was_limited = false;
		bool is_caller_gone = false;
		bool is_head_sent = false;
		// Whether a part of an answer that is no event stream was passed on. No other answer can continue it.
		bool is_plain_answer_begun = false;
		// Whether the decode engine has to prefill the prompt itself, because a separate prefill or the fetch of its KV
		// cache has failed.
		bool is_separate_prefill_disabled = false;

		// Returns what servers are told of the caller's account; nothing when the configuration has no accounts.
		[[nodiscard]] std::optional<sent_identity> identity_to_send() const
		{
			if (!this->routes || !this->routes->accounts().is_in_force())
			{
				return std::nullopt;
			}
			return sent_identity{this->account == nullptr ? account_id() : this->account->id};
		}

		// Returns the priority of the request: 0 goes first.
		[[nodiscard]] std::uint32_t priority() const
		{
			auto const of_account = this->account == nullptr ? std::nullopt : this->account->priority;
			return of_account.value_or(this->matched_route->priority);
		}

		// Returns the rank that servers are told; nothing when all calls to the service have the same priority.
		[[nodiscard]] std::optional<routing::engine_rank> rank_to_send() const
		{
			if (!this->routes || !this->routes->has_priorities(this->service))
			{
				return std::nullopt;
			}
			return routing::rank_for_engine(this->priority(), this->joiner.last_event().has_value());
		}

		[[nodiscard]] duration time_left() const
		{
			return std::max(duration{}, std::chrono::duration_cast<duration>(this->deadline - monotonic_now()));
		}

		// Returns to how many further servers the call may be sent.
		[[nodiscard]] std::uint32_t servers_left() const
		{
			auto const allowed =
				std::min(this->matched_route->max_servers, this->call.relayed_servers_left.value_or(UINT32_MAX));
			auto const used = static_cast<std::uint32_t>(this->sent_to.size());
			return allowed - std::min(allowed, used);
		}

		[[nodiscard]] bool is_out_of_time() const
		{
			return this->time_left() < min_time_to_send;
		}

		// Returns the latest predicted time of the first event that meets the stream's objective less the reserve.
		[[nodiscard]] time_point first_event_deadline() const
		{
			return this->started + this->matched_route->objective -
				   this->matched_route->objective / objective_reserve_divisor;
		}

		// Returns the tokens that the servers have generated for this request since this daemon started it.
		[[nodiscard]] token_count generated_tokens() const
		{
			return token_count(static_cast<std::uint32_t>(this->joiner.events() * this->tokens_per_event));
		}

		// Returns whether the server that the call was last sent to has not shown yet that it can answer the call.
		[[nodiscard]] bool is_unanswered() const noexcept
		{
			return this->sent_at && this->joiner.events() < this->events_before_send + min_events_of_answer;
		}

		// Returns the mean time between the events that were passed on; zero when it is not known.
		[[nodiscard]] duration mean_gap() const noexcept
		{
			auto const gaps = static_cast<duration::rep>(this->joiner.events()) - 1;
			return gaps > 0 && this->first_event_at ? (this->last_event_at - *this->first_event_at) / gaps : duration{};
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

		void note_event_version(software_version const& version)
		{
			if (std::ranges::find(this->event_versions, version) == this->event_versions.end())
			{
				this->event_versions.push_back(version);
			}
		}

		[[nodiscard]] bool is_repeatable() const noexcept
		{
			return this->matched_route == nullptr || this->matched_route->kind != routing::call_kind::non_idempotent;
		}

		// Returns whether an answer is written to the caller. A caller that has closed only its sending side can't be
		// told from one that is gone; a call that can't be repeated is answered all the same.
		[[nodiscard]] bool wants_answer() const noexcept
		{
			return !this->is_caller_gone || !this->is_repeatable();
		}

		// Gives up the answer that is kept.
		void close_kept()
		{
			if (auto const kept = std::exchange(this->kept_connection, nullptr))
			{
				kept->close();
			}
		}

		void close_connections()
		{
			this->close_kept();
			this->connection->close();
		}

		// Closes the connection to the server after the caller has disconnected. A non-idempotent call runs to its end.
		void handle_caller_gone()
		{
			this->is_caller_gone = true;
			if (this->is_repeatable())
			{
				this->close_connections();
			}
		}
	};

	// A decode engine with the permit to send it one stream, and the reservation of a slot and memory for it.
	struct forwarder::reserved_engine
	{
		routing::server_pointer engine;
		// Nothing when the engines of the service do not offer reservations.
		std::optional<std::string> reservation;
		// The start of the process that granted it, or that was asked where there is none; nothing when it is not
		// known.
		std::optional<incarnation> holder;
		// The connection on which that process has stated its start. The stream is sent on it.
		std::optional<pooled_connection> connection;
	};

	// The search for a place at another server while a stream's server is silent. Its answer is read on meanwhile.
	struct forwarder::place_search
	{
		// Whether the stream still needs the place: its server has not been heard since the search began.
		bool is_wanted = true;
		bool has_ended = false;
		// Whether the reading of the silent server's answer was ended, for the place or for another daemon.
		bool is_reading_ended = false;
		// Whether that answer can still be read on.
		bool is_answer_kept = false;
		std::optional<reserved_engine> place;
	};

	// Whether an engine may get a stream, and the connection on which its process has stated its start.
	struct forwarder::checked_engine
	{
		bool may_get_stream = false;
		// Whether the engine could not be reached, or did not answer in time.
		bool is_silent = false;
		std::optional<pooled_connection> connection;

		[[nodiscard]] std::optional<incarnation> holder() const noexcept
		{
			return this->connection ? this->connection->holder() : std::nullopt;
		}
	};

	// What was obtained for a call before it is sent.
	struct forwarder::send_grant
	{
		// Whether the permit was obtained that a server with a limit requires.
		bool has_permit = false;
		// Start of the process that granted the call's reservation. Another one does not get it.
		std::optional<incarnation> reserved_at = std::nullopt;
		// The connection to send the call on; another one is taken when it has ended.
		std::optional<pooled_connection> connection = std::nullopt;
	};

	// A connection to an engine, and what was learnt of the engine's process while it was obtained.
	struct forwarder::engine_connection
	{
		// Nothing when no connection could be had, or none whose process is known though that was asked for.
		std::optional<pooled_connection> connection;
		routing::process_evidence seen;
		// Whether connecting failed.
		bool is_unreachable = false;
		// Whether the engine did not answer in time.
		bool is_late = false;
	};

	// The head of a server's answer and the connection from which the body is still to be read.
	struct forwarder::unread_answer
	{
		http::response head;
		pooled_connection connection;
	};
}
