#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <godwittrestle/base/error.hpp>
#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/http/message.hpp>
#include <godwittrestle/routing/configuration.hpp>
#include <godwittrestle/routing/server.hpp>

namespace godwittrestle::gateway
{
	// What a caller's headers say, decoded.
	struct caller_call
	{
		// The caller's id of this attempt; empty when it gave none.
		request_id attempt;
		// How long the caller will wait; nothing when it does not say.
		std::optional<duration> time_left;
		token_count prompt;
		// The caller's estimate of the tokens that will be made; often far off.
		token_count expected_output;
		// The most tokens that the caller wants; 0 when it does not say.
		token_count most_output;
		// The last event of a stream that the caller already has.
		std::optional<std::string> last_event;
	};

	// Where a decode engine fetches a prefilled prompt.
	struct kv_source
	{
		std::string address;
		std::string handle;
	};

	enum class call_part
	{
		// The whole call.
		whole,
		// Only the prefill of its prompt; the answer is a handle.
		prefill,
	};

	// What this daemon adds to a call that it sends to a backend server.
	struct send_terms
	{
		duration time_left{};
		server_id server;
		call_part part = call_part::whole;
		std::optional<kv_source> source;
		// Address of an engine that has read the prompt and may still keep it: the server fetches from there what it
		// does not keep itself.
		std::optional<std::string> fetch_from;
		// The room that the engine keeps for the call.
		std::optional<std::string> reservation;
		std::optional<std::string> last_event;
	};

	// What a backend server's answer says besides status and body.
	struct answer_facts
	{
		// The server did not run the call and never will.
		bool is_not_run = false;
		// The server did not run the call since it is not the one that was meant, or not in the role that was meant.
		bool is_misdirected = false;
		// The server leaves and wants nothing new.
		bool is_leaving = false;
		// The server had no room and wants nothing from this daemon for so long.
		std::optional<duration> wants_pause;
		// The server that answered; empty when the answer does not say.
		server_id server;
		// The id of the caller's attempt that is answered; empty when the answer names none.
		request_id attempt;
	};

	// What an engine says of itself.
	struct engine_report
	{
		// An order is being carried out.
		bool is_busy = false;
		// Orders that the engine has accepted since its start.
		std::uint64_t orders = 0;
	};

	// An order to an engine to change its role.
	struct role_order
	{
		server_id server;
		routing::server_role role = routing::server_role::decode;
		instance_id holder;
		// Engines that check it refuse an order with a lower number than they have seen.
		std::uint64_t fence = 0;
		// Orders that the engine must have accepted before; it refuses this one otherwise.
		std::uint64_t orders_before = 0;
	};

	// How calls and answers are written and read. None of the hooks decides anything.
	struct call_protocol
	{
		std::function<caller_call(http::request const&)> read_call;
		// Returns a caller's request as it goes to a server: end-to-end headers, without those that only this daemon
		// may set, with its own.
		std::function<http::request(http::request const&, send_terms const&)> write_call;
		std::function<answer_facts(http::response const&)> read_answer;
		// Reads the handle of a prefilled prompt; nothing when the text names none.
		std::function<std::optional<std::string>(std::string_view body)> read_handle;
		// Returns the request that makes an engine keep a slot and room for so many tokens.
		std::function<http::request(server_id const& server, token_count tokens, duration lifetime)> reserve;
		// Reads the reservation's name; nothing when the text names none.
		std::function<std::optional<std::string>(std::string_view body)> read_reservation;
		// Returns the request that gives a reservation up.
		std::function<http::request(server_id const& server, std::string const& reservation)> give_up_reservation;
		std::function<http::request(server_id const& server)> ask_report;
		std::function<std::optional<engine_report>(std::string_view body)> read_report;
		std::function<http::request(role_order const& order)> write_order;
		// Returns the header that tells a caller when to come back.
		std::function<http::header(duration)> retry_after;
		// Returns the request that frees a prefilled prompt.
		std::function<http::request(server_id const& server, std::string const& handle)> release;
	};

	// A configuration together with the text that it was read from, which other daemons may be given.
	struct published_configuration
	{
		routing::configuration value;
		std::string text;
	};

	struct server_removed
	{
		server_id server;
	};

	using registry_change = std::variant<published_configuration, routing::registered_server, server_removed>;

	enum class registry_status
	{
		answered,
		// The changes asked for are no longer kept: everything has to be listed again.
		history_lost,
		// The registry answered that it will not serve this daemon now.
		refused,
		// The answer can't be read.
		malformed,
	};

	// One answer of the registry.
	struct registry_reply
	{
		registry_status status = registry_status::malformed;
		std::vector<registry_change> changes;
		// Entries that could not be read; they name no server.
		std::vector<std::string> faults;
		// The registry's revision, from which to go on.
		std::uint64_t revision = 0;
		// Set when a list has further pages: the key after which they begin.
		std::optional<std::string> next_page;
	};

	// How the registry is asked and read.
	struct registry_protocol
	{
		// after: the key after which the page begins; empty for the first page.
		std::function<http::request(std::string const& after)> list;
		// wait: how long the registry may hold the call back until there is a change after the revision.
		std::function<http::request(std::uint64_t revision, duration wait)> watch;
		std::function<registry_reply(http::response const&)> read_list;
		std::function<registry_reply(http::response const&)> read_changes;
		// Reads a configuration's text as another daemon passed it on.
		std::function<result<routing::configuration>(std::string const& text)> read_configuration;
	};
}
