#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <godwittrestle/gateway/connection_pool.hpp>
#include <godwittrestle/gateway/counters.hpp>
#include <godwittrestle/gateway/event_log.hpp>
#include <godwittrestle/gateway/protocols.hpp>
#include <godwittrestle/gateway/settings.hpp>
#include <godwittrestle/gateway/stream_joiner.hpp>
#include <godwittrestle/http/server.hpp>
#include <godwittrestle/routing.hpp>

namespace godwittrestle::gateway
{
	namespace asio = boost::asio;

	// What all requests share. Everything in it belongs to the thread that serves callers.
	struct shared_state
	{
		std::shared_ptr<routing::route_table const> routes;
		routing::directory servers;
		std::map<service_id, routing::retry_budget> budgets;
		routing::admission_queue line;
		std::map<service_id, routing::service_observations> observed;
		// Whether this daemon's name is the smallest of those that live.
		bool is_first_daemon = false;
		// Highest fencing number that this daemon or one that it heard has used in an order.
		std::uint64_t highest_fence = 0;
		routing::retry_budget_settings retries;
		data_centre_id data_centre;
		// Daemons that share the retry budget and the servers' connections, this one included.
		std::uint32_t daemons = 1;
		// Once this daemon is told to stop: when it breaks off what still runs.
		std::optional<time_point> stops_at;
	};

	// Serves callers' requests: finds the route, places the call, sends it, decides after each failure whether it may
	// be sent again, and passes the answer on. One coroutine for each request, all on one executor.
	class forwarder
	{
	  public:
		forwarder(asio::any_io_executor executor, shared_state& shared, call_protocol protocol, counters& totals,
			event_log log);

		// Serves one request; every way out has given its answer or broken the connection off.
		[[nodiscard]] asio::awaitable<void> serve(http::request message, http::exchange& talk);

		// Calls a server about its own state: reports, orders, reservations and KV caches. Returns nothing when it did
		// not answer.
		[[nodiscard]] asio::awaitable<std::optional<http::response>> call_server(
			routing::server_pointer server, http::request message, duration timeout);

		// Requests that are being served.
		[[nodiscard]] std::size_t running() const noexcept
		{
			return this->in_progress;
		}

		// Returns a uniform number from 0 up to but not including 1.
		[[nodiscard]] double draw();

		[[nodiscard]] connection_pool& connections() noexcept
		{
			return this->pool;
		}

	  private:
		struct request_state;
		struct answer_begun;

		// A decode engine and the room that it keeps; no reservation where engines keep none.
		struct decode_room
		{
			routing::server_pointer engine;
			std::optional<std::string> reservation;
		};

		using state_pointer = std::shared_ptr<request_state>;
		// The head of a server's answer, or why there is none.
		using send_outcome = std::variant<answer_begun, routing::send_failure>;

		[[nodiscard]] asio::awaitable<void> forward_plain(state_pointer state);
		[[nodiscard]] asio::awaitable<void> forward_stream(state_pointer state);

		// Waits for room at a decode engine. Returns nothing when there is none to be had, or the caller is gone.
		[[nodiscard]] asio::awaitable<std::optional<decode_room>> reserve_room(state_pointer state);
		// Asks the decode engines for room, best first. is_late: whether the stream can't begin in time any more.
		[[nodiscard]] asio::awaitable<std::optional<decode_room>> try_reserve(
			state_pointer state, std::vector<routing::server_pointer> engines, bool is_late);

		// Asks one engine to keep room. Returns the reservation's name; nothing when the engine did not keep it.
		[[nodiscard]] asio::awaitable<std::optional<std::string>> take_room(
			routing::server_pointer engine, token_count tokens, duration lifetime);

		// Sends the call to a server and waits for the head of its answer.
		[[nodiscard]] asio::awaitable<send_outcome> send(
			state_pointer state, routing::server_pointer server, send_terms terms, duration patience);

		// Has the prompt prefilled. Returns the handle, or why there is none.
		[[nodiscard]] asio::awaitable<std::variant<kv_source, routing::send_failure>> prefill(
			state_pointer state, routing::server_pointer server, duration patience);
		// Has the prompt read by the placement's prefill engine. Returns nothing when there is none, or it failed: the
		// decode engine reads the prompt then.
		[[nodiscard]] asio::awaitable<std::optional<kv_source>> prefill_apart(
			state_pointer state, routing::stream_placement const& placement);
		// Gives back what was kept for a stream that did not run.
		void give_back_unused(routing::stream_placement const& placement, std::optional<kv_source> const& source,
			std::optional<std::string> const& reservation);
		// Sends one stream to its decode engine and passes its events on. Returns nothing when the stream is whole.
		[[nodiscard]] asio::awaitable<std::optional<routing::send_failure>> run_stream(
			state_pointer state, routing::stream_placement placement, std::optional<std::string> reservation);
		[[nodiscard]] asio::awaitable<std::optional<routing::send_failure>> pass_events(
			state_pointer state, answer_begun& answer, routing::server_pointer server, call_id call);
		[[nodiscard]] asio::awaitable<std::optional<routing::send_failure>> pass_whole(
			state_pointer state, answer_begun& answer);

		// Whether the call may go out once more; takes the repeat out of the budget.
		[[nodiscard]] bool may_repeat(request_state& state, routing::send_failure failure);
		// Takes over what an answer says about its server.
		void note_facts(routing::server_record& server, answer_facts const& facts);
		void note_outcome(request_state& state, routing::server_record& server, routing::send_failure failure);
		// Notes how fast a stream goes on, as far as nothing held it up.
		void note_pace(request_state const& state, time_point now);
		void note_served(request_state& state, routing::server_record& server, answer_begun& answer);

		[[nodiscard]] asio::awaitable<void> refuse(state_pointer state, unsigned status, std::string reason,
			std::string remedy, std::optional<duration> come_back_after = std::nullopt);
		// When a caller who is refused should come back.
		[[nodiscard]] duration return_time(request_state const& state);
		// Whether this daemon stops before a new stream would be whole, while other daemons can serve it.
		[[nodiscard]] bool must_go_elsewhere(request_state const& state) const;
		[[nodiscard]] asio::awaitable<void> give_up(state_pointer state);
		// Gives room or a KV cache back that was not used.
		[[nodiscard]] asio::awaitable<void> give_back(routing::server_pointer server, http::request message);
		void release_later(routing::server_pointer const& server, http::request message);
		// How fast the engines that serve a stream are.
		[[nodiscard]] routing::engine_speed engine_speed(request_state const& state) const;
		// Tokens of an engine's memory that a stream is expected to need.
		[[nodiscard]] token_count needed_tokens(request_state const& state) const;
		[[nodiscard]] routing::placement_request placement_for(request_state const& state) const;
		void record_placement(request_state const& state, routing::stream_placement const& placement, bool is_reserved);
		// Whether the daemon has started so lately that it may not know where the others' work is.
		[[nodiscard]] bool is_new() const;
		[[nodiscard]] std::optional<duration> longest_reservation(service_id const& service) const;

		void record(request_state const& state, std::string name, std::vector<decide::event_field> fields);
		[[nodiscard]] std::size_t connection_limit(routing::registered_server const& server) const;

		asio::any_io_executor executor;
		shared_state* shared;
		call_protocol protocol;
		counters* totals;
		event_log log;
		connection_pool pool;
		std::mt19937_64 random;
		time_point started;
		std::size_t in_progress = 0;
	};
}
