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
#include <godwittrestle/gateway/registry_position.hpp>
#include <godwittrestle/http/message.hpp>
#include <godwittrestle/routing/account.hpp>
#include <godwittrestle/routing/configuration.hpp>
#include <godwittrestle/routing/engine_rank.hpp>
#include <godwittrestle/routing/request_rate.hpp>
#include <godwittrestle/routing/server.hpp>

namespace godwittrestle::gateway
{
	// The decoded headers of a caller's request.
	struct request_metadata
	{
		// The caller's id of this attempt; empty when the caller sent none.
		request_id attempt;
		// How long the caller will wait; nothing when the caller does not say.
		std::optional<duration> time_left;
		token_count prompt;
		// The caller's estimate of the output length, in tokens. It is often far off.
		token_count expected_output;
		// The most output tokens that the caller wants; 0 when the caller sets no limit.
		token_count max_output;
		// The tokens of the prompt and the most output tokens together; nothing when the caller names neither.
		std::optional<std::uint64_t> named_tokens;
		// The id of the last event of the stream that the caller already has.
		std::optional<std::string> last_event;
		// The caller's attempt that brought the first event of the stream, when the caller takes a stream up; empty
		// when the caller names none.
		request_id resumes;
		// Set when another daemon that reaches no server has passed the request on: the number of servers that it may
		// still be sent to.
		std::optional<std::uint32_t> relayed_servers_left;
		// The model that the caller asks for; empty when the caller names none.
		std::string model;
		// Ids of the parts of the prompt, in order. Requests share parts; the last part belongs to this request or to
		// its session.
		std::vector<std::string> prompt_parts;
		// Tokens of the last part.
		token_count last_part;
	};

	// Where a decode engine fetches the KV cache of a prefilled prompt.
	struct kv_source
	{
		std::string address;
		std::string handle;
	};

	enum class call_part
	{
		whole,
		// Only the prefill of the prompt; the answer is a handle of the KV cache.
		prefill,
	};

	// What a backend server is told of the account that calls.
	struct sent_identity
	{
		// Empty for a caller without an account.
		account_id account;
	};

	// What this daemon adds to a caller's request when it sends it to a backend server.
	struct send_options
	{
		duration time_left{};
		server_id server;
		call_part part = call_part::whole;
		std::optional<kv_source> source;
		// Address of an engine that has prefilled the prompt and may still hold its KV cache. The server fetches from
		// there the parts of the KV cache that it does not hold itself.
		std::optional<std::string> fetch_from;
		// The reservation that the engine has granted for the call.
		std::optional<std::string> reservation;
		std::optional<std::string> last_event;
		// Set when the request goes to another daemon, which treats it like a caller's: the number of servers that this
		// daemon may send it to.
		std::optional<std::uint32_t> relayed_servers_left;
		// The attempt that began the stream, when a relayed stream goes on after last_event.
		request_id resumes;
		// Set when the configuration has accounts and the request goes to a server. The caller's key is left out then,
		// and the account is named whatever the caller has sent.
		std::optional<sent_identity> identity;
		// Set when the calls that reach the service differ in priority. Callers can't set it.
		std::optional<routing::engine_rank> rank;
	};

	// What an answer states about the requests that its server takes from all daemons together.
	struct limit_statement
	{
		// Nothing when the answer states no limit, or none that can be read.
		std::optional<routing::request_rate> rate;
		// What is wrong with the statement; empty when nothing is. A statement with a fault may still have a rate.
		std::string fault;
	};

	// What the headers of a backend server's answer say about the call and the server.
	struct answer_metadata
	{
		// The server did not run the call and will not run it later.
		bool is_not_run = false;
		// The server did not run the call because it is not the intended server or not in the intended role.
		bool is_misdirected = false;
		// The server is shutting down and accepts no new calls.
		bool is_leaving = false;
		// The server was full and wants no calls from this daemon for this long.
		std::optional<duration> requested_pause;
		limit_statement limit;
		// The server that answered; empty when the answer does not say.
		server_id server;
		// The id of the caller's attempt that the answer belongs to; empty when the answer does not say.
		request_id attempt;
	};

	// A stream that an engine runs, as it reports it.
	struct running_stream
	{
		// The caller's attempt.
		request_id attempt;
		bool has_events = false;
	};

	// An engine's report about itself.
	struct engine_report
	{
		std::vector<running_stream> running;
		// Whether the engine is carrying out an order.
		bool is_busy = false;
		// Number of orders that the engine has accepted since its start.
		std::uint64_t orders = 0;
		// The engine's start, as registered_server::started; 0 when it does not report it.
		incarnation started;
	};

	// A part of a prompt that an engine keeps, and the tokens that it keeps of it; see routing::kept_part.
	struct listed_part
	{
		std::string id;
		token_count tokens;

		[[nodiscard]] bool operator==(listed_part const&) const = default;
	};

	// What an engine says that it keeps of prompts.
	struct memory_list
	{
		std::vector<listed_part> parts;
		// Whether each element of the list could be read.
		bool is_whole = true;
	};

	// An order to an engine to change its role.
	struct role_order
	{
		server_id server;
		routing::server_role role = routing::server_role::decode;
		instance_id holder;
		// Fencing number. An engine that checks it refuses an order whose number is lower than one that it has seen.
		std::uint64_t fence = 0;
		// Number of orders that the engine must have accepted before. It refuses this order otherwise.
		std::uint64_t orders_before = 0;
	};

	// The wire format of calls and answers. The hooks only read and write messages; they make no routing decisions.
	struct call_protocol
	{
		std::function<request_metadata(http::request const&)> read_call;
		// Reads the key that a request shows. Called only when the configuration has accounts.
		std::function<routing::caller_credential(http::request const&)> read_credential;
		// Returns a caller's request as it is sent to a server: with the end-to-end headers, without those that only
		// this daemon may set, and with this daemon's own headers.
		std::function<http::request(http::request const&, send_options const&)> write_call;
		std::function<answer_metadata(http::response const&)> read_answer;
		// Reads the handle of a prefilled prompt; nothing when the body contains none.
		std::function<std::optional<std::string>(std::string_view body)> read_handle;
		// Returns the request that reserves a slot and memory for the given number of tokens.
		std::function<http::request(server_id const& server, token_count tokens, duration lifetime)> reserve;
		// Reads the name of a reservation; nothing when the body contains none.
		std::function<std::optional<std::string>(std::string_view body)> read_reservation;
		// Returns the request that cancels a reservation.
		std::function<http::request(server_id const& server, std::string const& reservation)> cancel_reservation;
		std::function<http::request(server_id const& server)> write_report_request;
		std::function<std::optional<engine_report>(std::string_view body)> read_report;
		// Returns the request for the list of the prompt parts whose KV cache an engine holds.
		std::function<http::request(server_id const& server)> write_memory_request;
		// Reads that list; nothing when the body is none.
		std::function<std::optional<memory_list>(std::string_view body)> read_memory;
		std::function<http::request(role_order const& order)> write_order;
		// Returns the header that tells a caller how long to wait before a retry.
		std::function<http::header(duration)> retry_after;
		// Returns the request that frees the KV cache of a prefilled prompt.
		std::function<http::request(server_id const& server, std::string const& handle)> release;
	};

	// A configuration and the text that it was parsed from. The text is sent to other daemons that ask for it.
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
		// The registry no longer has the changes after the given revision: everything has to be listed again.
		history_lost,
		// The registry refuses to serve this daemon at present.
		refused,
		// The answer can't be parsed.
		malformed,
	};

	// One answer of the registry.
	struct registry_reply
	{
		registry_status status = registry_status::malformed;
		std::vector<registry_change> changes;
		// Descriptions of what can't be parsed: entries, which name no server then, and the era, which is 0 then.
		std::vector<std::string> faults;
		// The registry's position, after which the next watch begins.
		registry_position position;
		// Set when the list has further pages: the key after which the next page begins.
		std::optional<std::string> next_page;
	};

	// A past change of a server's entry.
	struct past_change
	{
		server_id server;
		// The entry as it was written; nothing when it was removed.
		std::optional<routing::registered_server> entry;
		// How often the server had written its entry by then; 0 when the entry does not say.
		std::uint64_t heartbeats = 0;
	};

	// Changes that the registry still keeps, in their order.
	struct registry_past
	{
		registry_status status = registry_status::malformed;
		registry_position position;
		std::vector<past_change> changes;
		// Whether each change could be read.
		bool is_whole = true;
	};

	// The registry's wire format.
	struct registry_protocol
	{
		// after: the key after which the page begins; empty for the first page.
		std::function<http::request(std::string const& after)> list;
		// wait: how long the registry may hold the call while there is no change after the given one.
		std::function<http::request(registry_revision after, duration wait)> watch;
		std::function<registry_reply(http::response const&)> read_list;
		std::function<registry_reply(http::response const&)> read_changes;
		// Reads an answer to a watch for past changes.
		std::function<registry_past(http::response const&)> read_past;
		// Parses the text of a configuration that another daemon has sent.
		std::function<result<routing::configuration>(std::string const& text)> read_configuration;
	};
}
