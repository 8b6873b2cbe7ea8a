#pragma once

#include <random>
#include <set>

#include "world.hpp"

namespace review
{
	// Requests that the servers of a case began to run, by attempt id.
	struct run
	{
		std::string attempt;
		std::string server;
		time_point at;
	};

	// An order to a server to change its stage, as it arrived.
	struct received_order
	{
		std::string server;
		std::string holder;
		std::uint64_t fence = 0;
		std::string stage;
		unsigned status = 0;
		time_point at;
	};

	// Times and sizes of the servers of a case.
	struct server_terms
	{
		std::uint32_t slots = 64;
		// Time that a prefill server takes for one token of a prompt; a decode server takes twice as long.
		std::chrono::microseconds prefill_per_token{18};
		milliseconds event_interval{20};
		// Tokens in one event of a stream.
		int stride = 50;
		milliseconds plain_work{15};
		// The tokens that a model server has memory for.
		int memory = 86'095;
		// How old the values of GET /report are.
		milliseconds report_age{300};
		seconds stage_switch{6};
	};

	// What the servers of a case write down.
	struct server_log
	{
		std::vector<run> runs;
		std::vector<received_order> orders;
		// Extra copies of answers that were sent.
		std::size_t extra_answers = 0;
	};

	[[nodiscard]] std::string event_text(std::string const& attempt, int number, std::string const& version = "v1");
	[[nodiscard]] std::string whole_stream(std::string const& attempt, int events);
	[[nodiscard]] std::string plain_body(std::string const& attempt);

	// A backend server: a plain one, or a model server with a stage.
	class backend_server
	{
	  public:
		// stage: empty for a plain server.
		backend_server(asio::io_context& loop, store& registry, record& lines, server_log& seen, server_terms given,
			std::string id, std::string service, std::string stage, std::string const& ip);

		// Writes the entry to the store.
		void write_entry();
		void remove_entry();
		[[nodiscard]] std::string const& id() const noexcept;

		// The server crashes: all channels are reset and new ones are refused.
		void crash();
		// Starts again under the same id and at the same address. Its entry is not written yet.
		void start_again();

		// The version of the server's software.
		std::string version = "v1";
		// What the server's entry says of its state.
		std::string state = "ready";
		// Whether all answers say that the server leaves.
		bool is_leaving = false;
		// Draws whether an extra copy of an answer is sent when the next request arrives on the channel. None when
		// empty.
		std::function<bool()> draws_extra;
		// A request that a caller waits for is answered after this time instead of plain_work.
		std::optional<milliseconds> work;

	  private:
		[[nodiscard]] asio::awaitable<void> serve(incoming_request const& message, channel& link);
		[[nodiscard]] asio::awaitable<void> answer_control(incoming_request const& message, channel& link);
		[[nodiscard]] asio::awaitable<void> answer_order(incoming_request const& message, channel& link);
		[[nodiscard]] asio::awaitable<void> change_stage(std::string wanted);
		[[nodiscard]] asio::awaitable<void> prefill(incoming_request const& message, channel& link);
		[[nodiscard]] asio::awaitable<void> stream(incoming_request const& message, channel& link);
		[[nodiscard]] asio::awaitable<void> run_plain(incoming_request const& message, channel& link);
		[[nodiscard]] std::vector<header> headers_for(incoming_request const& message) const;
		[[nodiscard]] std::string report() const;
		// Takes a reservation. Returns its name; empty when there is no room.
		[[nodiscard]] std::string take_hold(incoming_request const& message);

		struct reservation
		{
			time_point ends_at;
			int tokens = 0;
		};

		struct order_state
		{
			time_point since;
			bool is_busy = false;
			std::uint64_t orders = 0;
		};

		asio::io_context* loop;
		store* registry;
		record* lines;
		server_log* log;
		server_terms terms;
		std::string name;
		std::string service;
		std::string stage;
		std::int64_t born = 0;
		int handles = 0;
		// The reservations that are neither used nor released.
		std::map<std::string, reservation> holds;
		// The tokens of the running streams.
		int tokens_in_use = 0;
		int running = 0;
		bool is_busy = false;
		std::uint64_t orders = 0;
		std::uint64_t highest_fence = 0;
		std::deque<order_state> history;
		http_listener listener;
	};

	// One route of a configuration.
	struct route_text
	{
		std::string name;
		std::string prefix;
		std::string kind;
		std::string service;
		int timeout_ms = 14'000;
		int target_ms = 900;
		int max_attempts = 2;
		bool resumable = false;
	};

	// Returns a configuration as the operator writes it: routes of app.example, a model service "digest" and a plain
	// service for each other name.
	[[nodiscard]] std::string configuration_text(
		int version, std::vector<route_text> const& routes, std::vector<std::string> const& plain_services);
}
