#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <godwittrestle/gateway/connection_pool.hpp>
#include <godwittrestle/gateway/counters.hpp>
#include <godwittrestle/gateway/event_log.hpp>
#include <godwittrestle/gateway/permit_exchange.hpp>
#include <godwittrestle/gateway/protocols.hpp>
#include <godwittrestle/gateway/quota_exchange.hpp>
#include <godwittrestle/gateway/server_end_check.hpp>
#include <godwittrestle/gateway/server_watches.hpp>
#include <godwittrestle/gateway/settings.hpp>
#include <godwittrestle/gateway/shared_state.hpp>
#include <godwittrestle/gateway/stream_joiner.hpp>
#include <godwittrestle/gateway/stream_origin_exchange.hpp>
#include <godwittrestle/http/server.hpp>
#include <godwittrestle/routing.hpp>

namespace godwittrestle::gateway
{
	namespace asio = boost::asio;

	class pooled_connection;

	// The exchanges with other daemons that requests use.
	struct forwarder_exchanges
	{
		permit_exchange* permits = nullptr;
		stream_origin_exchange* origins = nullptr;
		// Null where no account has a limit.
		quota_exchange* quotas = nullptr;
	};

	// Asks the registry for what it holds now. The answer, or that there is none, comes as a registry_update.
	// least_interval: time from one answer until the next question.
	using registry_reader = std::function<void(duration least_interval)>;

	// Serves callers' requests: finds the route, chooses a backend server, sends the call, retries it after a failure
	// where that is allowed, and passes the answer on. Each request runs in its own coroutine; all of them use one
	// executor.
	class forwarder
	{
	  public:
		forwarder(asio::any_io_executor executor, shared_state& shared, forwarder_exchanges exchanges,
			call_protocol protocol, counters& totals, event_log log);

		// Sets how the registry is asked. Without it no question is asked.
		void set_registry_reader(registry_reader reader);

		// Serves one request. When the coroutine ends, the caller has its answer, or the answer is missing or
		// incomplete and http::server closes the connection. Passes exceptions on after it has recorded them.
		[[nodiscard]] asio::awaitable<void> serve(http::request message, http::exchange& http_exchange);

		// Sends a request of this daemon's own (report, role order, reservation or release of a KV cache) to a server.
		// Returns nothing when the server is paused, has no free connection or does not answer within the timeout.
		[[nodiscard]] asio::awaitable<std::optional<http::response>> call_server(
			routing::server_pointer server, http::request message, duration timeout);

		// Learns from the engines where streams began before this daemon started: which streams they still run, and
		// which prompt parts they hold. Does nothing for services of which it is known that only one version was in
		// service.
		void learn_origins();

		// Ends the requests that still run, just before this daemon stops: those that are not answered yet get their
		// final answer.
		void end_requests();

		// Asks a few servers for a sign of life, to find out whether this daemon reaches servers again.
		void probe_servers();

		// Returns the number of requests in progress.
		[[nodiscard]] std::size_t running() const noexcept
		{
			return this->requests.size();
		}

		// Returns a uniformly distributed random number in [0, 1).
		[[nodiscard]] double draw();

		// Closes the connections to servers and to other daemons; those in use are closed when they are released. Must
		// be called before the executor ends.
		void close_connections();
		// Closes the idle connections that can't be used any more.
		void close_expired_connections(time_point now);
		// Closes the connections to a server that was removed.
		void forget_server(server_id const& server);

		// Begins and ends the watches of servers, as the versions in service and what servers state have changed.
		void review_watches(time_point now);
		// Records that the registry was read.
		void note_registry_read();
		// Returns the number of idle connections.
		[[nodiscard]] std::size_t idle_connections() const;

	  private:
		struct request_state;
		struct unread_answer;
		struct origin_search;
		struct engine_connection;
		struct holder_question;
		struct reserved_engine;
		struct place_search;
		struct checked_engine;
		struct send_grant;
		struct reservation_question;
		struct margin_probe;

		// What was found out at the end of an answer.
		struct end_outcome
		{
			bool is_whole = false;
			// Whether the answer to the question what follows was passed on, to its end or to the failure.
			bool has_gone_on = false;
			std::optional<routing::send_failure> failure;
		};

		// What became of a stream that was sent to another server while the answer of a silent one was kept.
		struct handover_outcome
		{
			// Whether the other server did not accept it, so that the answer of the silent one is read on.
			bool is_answer_kept = false;
			std::optional<routing::send_failure> failure;
		};

		// What a watch has shown after the end of an answer.
		struct watched_end
		{
			routing::process_state process = routing::process_state::unknown;
			// Whether the process says that it still runs the attempt.
			bool is_still_run = false;
		};

		// How long a server may be silent.
		struct silence_limits
		{
			// Time after which the request goes to another server, if it may.
			duration before_move;
			// Time after which the wait ends in any case.
			duration longest;
		};

		using state_pointer = std::shared_ptr<request_state>;
		// The head of a server's answer, or the reason for which there is none.
		using send_outcome = std::variant<unread_answer, routing::send_failure>;

		// Takes a request through its stages: route, caller, service, and then the servers.
		[[nodiscard]] asio::awaitable<void> serve_request(state_pointer state);
		// Decodes what the caller has sent.
		void read_request(state_pointer const& state);
		// Finds the route of the request. Returns false when it has refused the request.
		[[nodiscard]] asio::awaitable<bool> find_route(state_pointer state);
		// Refuses a request that no route matches.
		[[nodiscard]] asio::awaitable<void> refuse_unrouted(state_pointer state);
		// Sets the route of the request in the configuration that it was given; null when none matches.
		static void match_route(request_state& state);
		// Finds the account that calls, if the configuration has accounts. Returns false when it has refused the
		// request: a key that no account has is refused for good only when the registry was asked after the request
		// came.
		[[nodiscard]] asio::awaitable<bool> identify_caller(state_pointer state);
		// Waits for a configuration that has the key, until it is proved that the registry holds none. The registry is
		// asked, and, while this daemon can't read it, the other daemons are asked for theirs.
		[[nodiscard]] asio::awaitable<routing::caller_identity> identify_by_newer_configuration(
			state_pointer state, routing::caller_credential shown);
		// Decides whether the account's limit allows the request, and takes what it uses. Returns false when it has
		// refused the request.
		[[nodiscard]] asio::awaitable<bool> admit_request(state_pointer state);
		// Waits until the issuer of the account's quota has decided on the request, or until it is known to be lost
		// for so long that the request can't wait.
		[[nodiscard]] asio::awaitable<routing::limit_verdict> settle_admission(
			state_pointer state, routing::rate_limit limit);
		// Asks the issuer once.
		[[nodiscard]] asio::awaitable<routing::quota_answer> request_quota(state_pointer state);
		// Returns whether this daemon can't know yet which daemon issues quotas.
		[[nodiscard]] bool is_issuer_unknown(time_point now) const;
		// Returns the daemon that issues the account's quota, for the log.
		[[nodiscard]] std::string issuer_name(account_id const& account) const;
		// Returns what a request has taken of its account's limit when it was sent to no server.
		void return_quota(request_state& state);
		// Chooses the service of the request, and counts the request for its retry budget.
		void choose_service(request_state& state);
		// Runs work that no request waits for. An exception is logged and counted. part: the work's name.
		void run_in_background(std::string_view part, asio::awaitable<void> work);
		// Logs and counts the exception that is being handled, which ended a request.
		void record_exception(request_state const& state) noexcept;
		[[nodiscard]] asio::awaitable<void> forward_plain(state_pointer state);
		[[nodiscard]] asio::awaitable<void> forward_stream(state_pointer state);

		// Finds out at which software version a stream that the caller takes up must go on. Returns false, and has
		// refused the request, when that can't be known.
		[[nodiscard]] asio::awaitable<bool> find_origin(state_pointer state);
		// Sets the origin of a stream that is taken up from what this daemon knows. Returns false when it does not
		// know.
		[[nodiscard]] bool apply_known_origin(request_state& state, time_point now);
		// Sets the origin of a stream that is taken up, and of which nothing is known, to the only version that was in
		// service during a stream's longest life. Returns false when there were several, or when nothing proves that
		// there was only one.
		[[nodiscard]] bool apply_only_version(request_state& state, time_point now);
		// Asks the registry for what it holds now, unless it was asked after a time and has answered.
		void ask_registry(time_point since);
		// Waits until the registry has answered a question that was sent after a time, or did not answer it.
		[[nodiscard]] asio::awaitable<void> await_registry_read(state_pointer state, time_point since);
		// Returns the time from one answer of the registry until the next question, so that all daemons together stay
		// far below what the registry takes.
		[[nodiscard]] duration registry_read_interval() const;
		// Returns whether this daemon knows of no second version.
		[[nodiscard]] bool may_be_only_version(service_id const& service, time_point now) const;
		// Returns whether every daemon that may have begun the stream has said that it does not know it.
		[[nodiscard]] bool have_all_denied(request_state const& state, time_point now) const;
		// Returns whether this daemon would know of a further version at which the stream may have begun: the registry
		// was asked after the stream was taken up, or no daemon has begun it at another one.
		[[nodiscard]] bool is_only_version_proved(request_state const& state, time_point now) const;
		// Sets the origin of a stream that is taken up, and of which no daemon has a record, to the only version whose
		// engines have generated it.
		[[nodiscard]] bool apply_generated_prompt(request_state& state);
		// Returns how long a stream that has broken off waits for one answer of its server at most.
		[[nodiscard]] static duration longest_settle_wait(request_state const& state);
		// Asks the registry and the other daemons what is needed to know at which version the stream began.
		[[nodiscard]] asio::awaitable<void> seek_origin(state_pointer state);
		// Asks other daemons about the stream, and waits until one knows it, all have replied, or the timeout.
		[[nodiscard]] asio::awaitable<void> ask_for_origin(state_pointer state);
		// Asks one engine what it runs and keeps, and adds it to the search.
		[[nodiscard]] asio::awaitable<void> read_contents(
			routing::server_pointer engine, std::shared_ptr<origin_search> search);
		// Asks an engine which parts of prompts it keeps. Returns nothing when it did not say, or is not known to be
		// the process of its entry.
		[[nodiscard]] asio::awaitable<std::optional<memory_list>> read_memory(routing::server_pointer engine);
		// Records where the streams began that engines were found to run. Returns their number.
		std::size_t note_runs(service_id const& service, origin_search const& search);
		// Asks the engines of a service.
		[[nodiscard]] asio::awaitable<void> search_origins(service_id service);
		// Records that a server has made an event of the stream that was passed on. The stream's origin is recorded at
		// once when it is known which process holds the connection. Otherwise the server is asked, without holding the
		// stream up.
		void note_event_server(state_pointer state, routing::server_pointer server, time_point now);
		// Records which process made the stream's first event, and the origin if the process's version is known.
		void record_writer(request_state& state, routing::server_process const& writer, time_point now);
		// Records the origin of a stream that a caller has taken up, or whose server states no start.
		void record_origin(request_state& state, routing::known_stream stream);
		void log_origin(request_state const& state, std::string_view how);
		// Asks the server that made the stream's first event which process did so, and records it. Returns whether it
		// is known now. longest_wait: for the answer.
		[[nodiscard]] asio::awaitable<bool> find_writer(state_pointer state, routing::server_pointer server,
			routing::server_process sent_to, duration longest_wait);
		// Does so with the watch of a server whose process can be known by it only.
		[[nodiscard]] asio::awaitable<bool> find_watched_writer(
			state_pointer state, server_id server, duration longest_wait);
		// Asks as find_writer() does until the process is known, the stream is complete or sent again, or its caller
		// has been gone for a while. Meanwhile the stream is recorded as one whose process is not known.
		[[nodiscard]] asio::awaitable<void> confirm_origin(
			state_pointer state, routing::server_pointer server, routing::server_process sent_to);
		// Records soon after a stream's first event that it has begun, if its process is not known by then.
		[[nodiscard]] asio::awaitable<void> tell_unconfirmed_origin(state_pointer state);
		// Records that a stream has begun at a process that is not known yet, and tells the daemons that keep the
		// stream's record. Otherwise they could take it for one that began at the only version they know.
		void note_unconfirmed_origin(request_state& state, time_point now);
		// Waits for the entry of the process that made the stream's first event. is_known: whether the stream's origin
		// is known. Returns its last value.
		[[nodiscard]] asio::awaitable<bool> wait_for_entry(state_pointer state, std::function<bool()> is_known);
		// Returns whether the stream may go on at another server: it has no event yet, or its origin is known.
		[[nodiscard]] asio::awaitable<bool> settle_origin(state_pointer state);
		// Returns whether several software versions of a service were in service during a stream's longest life, or may
		// have been: a process is known whose entry was not read yet, or this daemon's view of the servers is old.
		[[nodiscard]] bool has_several_versions(service_id const& service, time_point now) const;
		// Records at which version a new stream's prompt is read, so that other tries of the request and other requests
		// of its session go there too.
		void note_prompt_version(request_state const& state, routing::server_record const& server, time_point now);
		// Waits for the entry of the process that an earlier stream with a new stream's prompt was sent to.
		[[nodiscard]] asio::awaitable<void> settle_prompt_version(state_pointer state);
		// Returns the origin of a stream that has begun; of a new one, that of earlier streams with its prompt as long
		// as an engine of that version may serve it.
		[[nodiscard]] std::optional<routing::stream_origin> wanted_origin(
			request_state const& state, time_point now) const;
		// Returns the origin to which the stream is bound; nothing while all servers that may get streams have its
		// version.
		[[nodiscard]] std::optional<routing::stream_origin> bound_origin(
			request_state const& state, time_point now) const;
		// Returns whether there is a server (directory::stream_servers) that may serve the stream now or later.
		// bound_to: see bound_origin.
		[[nodiscard]] bool has_engines(
			request_state const& state, std::optional<routing::stream_origin> const& bound_to, time_point now) const;
		// Returns the daemons that the request may be relayed to. A stream of unknown origin goes only to one that has
		// answered since it was taken up: the others may be out of reach.
		[[nodiscard]] std::vector<routing::fleet_member> relay_candidates(request_state const& state) const;
		// Returns whether another daemon may and can serve the request.
		[[nodiscard]] bool may_relay(request_state const& state) const;
		// Returns whether another daemon is to serve the request, since this one reaches no server.
		[[nodiscard]] bool should_relay(request_state const& state) const;
		// Returns whether another daemon is to serve a request for which this one has found no server, since it can't
		// open new connections.
		[[nodiscard]] bool lacks_connections(request_state const& state) const;
		// Returns whether the stream is bound to no version, or there is a decode engine of it that may serve the
		// stream.
		[[nodiscard]] bool knows_version(request_state const& state, time_point now) const;
		// Returns whether another daemon is to serve a stream that has begun, since this one knows no server of the
		// version that began it. This daemon may not have heard of servers that others know.
		[[nodiscard]] bool lacks_version(request_state const& state, time_point now) const;
		// Returns whether another daemon is to serve a stream that was taken up, since this one does not know its
		// version and another may: the entry of the process that began it has not been read here, this daemon could not
		// read the registry, or some daemons did not answer in time. When all have answered that they do not know the
		// stream, none can serve it.
		[[nodiscard]] bool lacks_origin(request_state const& state) const;
		// Returns why the request is passed on to another daemon, for the log.
		[[nodiscard]] std::string_view relay_reason(request_state const& state, time_point now) const;
		// Passes the request on to daemons that reach servers, one after the other while that is allowed, and the
		// answer, or the final failure, to the caller.
		[[nodiscard]] asio::awaitable<void> relay(state_pointer state);
		// Passes the request on to one daemon. Returns nothing when the caller has the whole answer or is gone. tried:
		// the daemons that would not be tried after this one; nothing when this is the last that may be tried.
		[[nodiscard]] asio::awaitable<std::optional<routing::send_failure>> relay_to(
			state_pointer state, routing::relay_peer peer, std::optional<std::set<instance_id>> tried);
		// Returns whether there is a daemon besides those that were tried; see relay_to().
		[[nodiscard]] bool has_other_peer(
			std::vector<routing::fleet_member> const& candidates, std::optional<std::set<instance_id>> const& tried);
		// Passes another daemon's answer on.
		[[nodiscard]] asio::awaitable<std::optional<routing::send_failure>> forward_relayed(
			state_pointer state, unread_answer& answer, routing::server_pointer peer);
		// Records that something arrived, or that a call failed, unless it was another daemon that served it.
		void note_heard(request_state const& state, time_point now);
		void note_unheard(request_state const& state, server_id const& server);

		// Waits in the queue until a decode engine has memory for the stream. Returns nothing when the service has no
		// decode engine, the wait is too long, the caller has disconnected or this daemon is about to stop. search:
		// while the stream's present server is silent, the search for another one, which ends the wait when it is not
		// wanted any more; null for a stream that no server has.
		[[nodiscard]] asio::awaitable<std::optional<reserved_engine>> wait_for_reservation(
			state_pointer state, std::shared_ptr<place_search> search);
		// Returns whether all decode engines are at the limits that they state, and the next permit comes too late for
		// the stream. gives_up_at: time at which it stops waiting for memory.
		[[nodiscard]] bool is_beyond_limits(request_state const& state, routing::waiting_stream const& waiting,
			time_point gives_up_at, time_point now) const;
		// Tries to reserve memory at the decode engines, best first. is_late: whether the stream can no longer meet its
		// objective.
		[[nodiscard]] asio::awaitable<std::optional<reserved_engine>> try_reserve(
			state_pointer state, std::vector<routing::server_pointer> engines, bool is_late);

		// Takes a connection to an engine whose process has stated its start on it. The question is asked on each
		// connection once; it goes on after the wait for it has ended, and the connection is then kept for later calls.
		// time_left: the longest time for all of it. answer_wait: the longest wait for an answer. holder_is_needed:
		// whether a connection whose process is not known is of no use.
		[[nodiscard]] asio::awaitable<engine_connection> connect_to_engine(
			routing::server_pointer server, duration time_left, duration answer_wait, bool holder_is_needed);
		[[nodiscard]] asio::awaitable<void> ask_holder(
			routing::server_pointer server, std::shared_ptr<holder_question> question);
		// Asks, on a connection, for the start of the process that holds it.
		[[nodiscard]] asio::awaitable<routing::process_evidence> ask_start_on(
			routing::server_pointer server, pooled_connection& connection);
		// Returns whether a question on a connection to the server, for which nobody waits any more, is not answered
		// yet.
		[[nodiscard]] bool has_late_question(server_id const& server);
		// Returns how long a stream waits for an answer of an engine before it tries another one: what the engine's
		// answers have taken so far, bounded by what the caller still waits.
		[[nodiscard]] static duration longest_answer_wait(
			request_state const& state, routing::server_record const& engine);
		// Returns whether the stream may go on only over a connection whose process is known.
		[[nodiscard]] bool needs_holder(
			request_state const& state, routing::server_record const& engine, time_point now) const;
		[[nodiscard]] routing::stream_terms terms_of(
			request_state const& state, routing::server_record const& engine) const;
		// Sends a request of this daemon's own and reads the whole answer. Returns nothing when that fails.
		[[nodiscard]] asio::awaitable<std::optional<http::response>> exchange_on(
			routing::server_pointer server, http::upstream_pointer connection, http::request message, duration timeout);
		// Sends a request of this daemon's own over a connection and reads the answer. Closes the connection when that
		// fails.
		[[nodiscard]] asio::awaitable<std::optional<http::response>> call_on(
			routing::server_pointer server, pooled_connection& pooled, http::request message, duration timeout);
		// Finds out, on a connection to an engine, which process holds it, and whether the engine may get the stream:
		// one that has begun only if that process is of the version that began it, a new one also if the process is not
		// known and nothing speaks against it.
		[[nodiscard]] asio::awaitable<checked_engine> confirm_start(
			state_pointer state, routing::server_pointer engine);
		// Keeps an engine with another start than its entry's from this stream. While its entry can't be trusted it
		// counts as replaced for all streams, until its entry is written again.
		void note_start_refuted(
			request_state& state, routing::server_record& engine, routing::process_evidence const& seen);
		// Returns whether the engine must be asked for its start before it gets the stream, since its process may have
		// ended.
		[[nodiscard]] bool is_start_doubtful(request_state const& state, routing::server_record const& engine) const;

		// Asks one engine for a reservation. Returns its name; nothing when the engine refuses or does not answer in
		// time. A later answer counts for the next time-out, and what it grants is given back. checked: the connection
		// to ask on, if its process is known; another one of the same process takes its place when it has ended, and
		// one is added when there was none.
		[[nodiscard]] asio::awaitable<std::optional<std::string>> request_reservation(state_pointer state,
			routing::server_pointer engine, checked_engine& checked, token_count tokens, duration lifetime);
		[[nodiscard]] asio::awaitable<void> ask_reservation(
			std::shared_ptr<reservation_question> question, http::request message);
		// Finds out whether an engine has this much memory free, with a reservation that is given back at once.
		// checked: as for request_reservation().
		[[nodiscard]] asio::awaitable<void> probe_margin(state_pointer state, routing::server_pointer engine,
			checked_engine& checked, std::shared_ptr<margin_probe> probe);
		// Does the same beside the reservation, on another connection.
		[[nodiscard]] asio::awaitable<void> probe_margin_beside(
			state_pointer state, routing::server_pointer engine, std::shared_ptr<margin_probe> probe);

		// Sends the call to a server and waits for the head of its answer. Returns not_sent when no connection is
		// available, the caller has disconnected, its deadline has passed, or the server is leaving or paused. Obtains
		// the permit that a server with a limit requires, unless it is granted; returns not_permitted without one.
		[[nodiscard]] asio::awaitable<send_outcome> send(state_pointer state, routing::server_pointer server,
			send_options options, silence_limits max_silence, send_grant grant);

		// Reads the head of the answer to the call just sent. Skips late answers to earlier requests. attempt: the
		// caller's attempt id; empty for calls of this daemon's own, whose answers name none. wait_on: says for how
		// much longer to wait after that time.
		[[nodiscard]] asio::awaitable<std::variant<http::response, http::upstream_failure>> read_own_head(
			http::upstream_pointer connection, request_id attempt, duration wait, http::further_wait wait_on = {});

		// Obtains a permit to send one request to a server. Returns true at once when the server states no limit.
		[[nodiscard]] asio::awaitable<bool> obtain_permit(state_pointer state, routing::server_pointer server);
		// Asks the daemon that issues the permits for the server, and waits for its answer until the timeout.
		[[nodiscard]] asio::awaitable<routing::permit_answer> request_permit(
			routing::server_pointer server, duration timeout);

		// Sends the prompt to a prefill engine. Returns where its KV cache can be fetched, or the failure.
		[[nodiscard]] asio::awaitable<std::variant<kv_source, routing::send_failure>> prefill(
			state_pointer state, routing::server_pointer server, duration max_silence);
		// Prefills the prompt on the placement's prefill engine. Returns nothing when there is no such engine or the
		// prefill failed; the decode engine then prefills the prompt.
		[[nodiscard]] asio::awaitable<std::optional<kv_source>> prefill_separately(
			state_pointer state, routing::stream_placement const& placement);
		// Releases the KV cache and the reservation of a stream that did not run.
		void release_unused(routing::stream_placement const& placement, std::optional<kv_source> const& source,
			std::optional<std::string> const& reservation);
		// Chooses a prefill engine for a stream that has a place at a decode engine, and runs it. Returns what
		// run_stream() returns.
		[[nodiscard]] asio::awaitable<std::optional<routing::send_failure>> run_at(
			state_pointer state, reserved_engine granted);
		// Sends the stream to its decode engine and passes its events on. Returns nothing when the stream is complete
		// or its caller has disconnected.
		[[nodiscard]] asio::awaitable<std::optional<routing::send_failure>> run_stream(
			state_pointer state, routing::stream_placement placement, reserved_engine granted);
		// Passes the events of a stream on as they arrive. Returns the failure when the stream ends early or stalls.
		// max_silence: before the first of these events.
		[[nodiscard]] asio::awaitable<std::optional<routing::send_failure>> forward_events(state_pointer state,
			unread_answer& answer, routing::server_pointer server, call_id call, silence_limits max_silence);
		// Passes an answer on. A large one is streamed, whatever its status. A smaller one is passed on when it is
		// complete; if its status is an error of the server, server_error is returned instead.
		[[nodiscard]] asio::awaitable<std::optional<routing::send_failure>> forward_answer(
			state_pointer state, unread_answer& answer, routing::server_pointer server);
		// Finds out whether an answer that has been read to its end is whole. One that has neither a length nor chunks
		// ends with its connection, also when its server is killed or breaks it off. call: of a stream, which may go on
		// then; nothing for other answers.
		[[nodiscard]] asio::awaitable<end_outcome> settle_end(
			state_pointer state, unread_answer& answer, routing::server_pointer server, std::optional<call_id> call);
		// Asks the server of such an answer for its start, and returns what is seen of the end.
		[[nodiscard]] asio::awaitable<routing::answer_end> look_at_end(
			state_pointer state, routing::server_pointer server, time_point ended_at);
		// Asks the process that has ended a stream to let it go on, and passes on what follows its last event. Asks
		// nobody when that process is not listed any more, leaves or can't be reached, or when this part of the retry
		// budget is spent.
		[[nodiscard]] asio::awaitable<end_outcome> let_go_on(
			state_pointer state, routing::server_pointer server, call_id call, double budget_part, time_point deadline);
		// Returns whether a server still names the attempt among those that it runs when it is asked after a while, or
		// does not answer then.
		[[nodiscard]] asio::awaitable<bool> is_still_run(
			state_pointer state, routing::server_pointer server, time_point deadline);
		// Records how long after its last event a stream has ended, unless nothing came since it was last sent.
		void note_end_habit(request_state const& state);
		// Records that a server has broken an answer off, unless its caller is gone.
		void note_answer_broken(request_state const& state, routing::server_record const& server, time_point now);
		// Asks a server for its start, if it states one. called: its record when the call in question was sent.
		[[nodiscard]] asio::awaitable<routing::process_evidence> ask_start(routing::server_pointer called);
		// Returns whether a server can be asked for its start: its entry states one, and a configuration names its
		// service.
		[[nodiscard]] bool can_ask_start(routing::registered_server const& entry) const;
		// Asks on a connection of its own, which counts for no limit of this daemon: the one that has ended has left
		// its place at the server.
		[[nodiscard]] asio::awaitable<routing::process_statement> ask_start_directly(routing::server_pointer called);
		// Returns what a server's answer to the question for its report says, and records it. asked_at: time of the
		// question.
		[[nodiscard]] report_answer read_report(
			routing::server_pointer const& called, http::response const& answer, time_point asked_at) const;
		// Logs over which connection a stream is sent, and what is known of the process that holds it.
		void log_stream_sent(
			request_state const& state, routing::server_record const& server, pooled_connection const& connection);

		// Returns whether another process of a server may have another version. Where a server states no start, several
		// versions have to be known; otherwise it is enough that not all versions of the time are known.
		[[nodiscard]] bool may_differ_in_version(routing::server_record const& server, time_point now) const;
		// Returns whether a stream that has begun may be sent to a server only if its process is known: the server
		// states its start, or its processes may differ in version.
		[[nodiscard]] bool is_process_needed(routing::server_record const& server, time_point now) const;
		// Returns whether the server's process has to be known, and can be by a watch only: its service may have
		// several versions, or streams that end with their connection, and the server states its start nowhere, or in
		// one place only.
		[[nodiscard]] bool is_watch_needed(routing::server_record const& server, time_point now) const;
		// Finds out by the watch of a server which process holds a connection to it. Returns false when the connection
		// can't be of use: its process has ended, or is needed and can't be known since the watch began later.
		[[nodiscard]] asio::awaitable<bool> find_holder(
			routing::server_pointer server, pooled_connection& connection, duration longest_wait, bool is_needed);
		// Returns what a server's watch shows of its process now, as an answer to the question for its start.
		[[nodiscard]] asio::awaitable<routing::process_evidence> ask_watched(
			routing::server_pointer server, duration longest_wait);
		// Records that a server sends a stream that ends with its connection: what has become of its process by then
		// has to be known.
		void expect_end_with_connection(routing::server_record const& server);
		// Returns what has become of the process of a watched server that has made the last event of a stream; nothing
		// when the watch began later.
		[[nodiscard]] asio::awaitable<std::optional<watched_end>> look_at_watched_end(
			request_state const& state, server_id server, time_point ended_at, duration longest_wait);
		// Asks a server for its report on the connection of its watch.
		[[nodiscard]] asio::awaitable<std::optional<report_answer>> ask_report(
			routing::server_pointer server, http::upstream_pointer connection);
		// Fills in the version of the streams that a process has begun whose entry is known now.
		void note_writer_known(routing::server_record const& server);
		// Returns whether a process is the one that the server's entry names, or that its watch shows now.
		[[nodiscard]] bool is_present_process(
			routing::server_record const& server, routing::server_process const& process) const;
		// Puts the engines first whose process is known to have written their entry, if they are watched: a stream that
		// begins there can go on elsewhere.
		void put_known_first(std::vector<routing::server_pointer>& engines, time_point now) const;

		// Returns whether the request may go to another server than this one, and the service has one for it. Otherwise
		// nothing is gained when the server's silence ends the wait for its answer.
		[[nodiscard]] bool may_go_elsewhere(request_state const& state, routing::server_record const& server) const;
		// Returns what decides, when a server has been silent, whether to wait on for it. since: begin of the silence.
		// A stream's wait does not end: its answer is read on while a place at another server is sought. That of
		// another request ends early only for another try, for which a retry has then been spent.
		[[nodiscard]] http::further_wait wait_unless_moved(
			state_pointer const& state, routing::server_pointer const& server, silence_limits limits, time_point since);
		// Returns for how much longer to wait for a silent server; see wait_unless_moved().
		[[nodiscard]] duration decide_further_wait(state_pointer const& state, routing::server_record const& server,
			silence_limits limits, time_point since, time_point now);
		// Begins to seek a place for a stream at another server, unless that is sought already or no retry is left.
		void begin_search(state_pointer const& state, server_id const& silent);
		// Seeks it. When a place is held, and the silent server has not been heard since, ends the reading of its
		// answer.
		[[nodiscard]] asio::awaitable<void> search_place(
			state_pointer state, std::shared_ptr<place_search> search, server_id silent);
		// Returns whether the reading of the silent server's answer was ended for a place elsewhere.
		[[nodiscard]] static bool is_reading_ended(request_state const& state);
		// Returns whether a place is held for a stream whose silent answer can still be read on.
		[[nodiscard]] static bool may_hand_over(request_state const& state);
		// Sends a stream to the place that was found, and keeps the answer of its silent server unread until the other
		// one has accepted the stream. If that fails before, the answer is read on.
		[[nodiscard]] asio::awaitable<handover_outcome> hand_over(
			state_pointer state, unread_answer& answer, routing::server_pointer server);
		// Closes the kept connection when the other server has not refused the stream for a while.
		[[nodiscard]] asio::awaitable<void> close_kept_in_time(state_pointer state, http::upstream_pointer kept);
		// Ends the search, since the server has been heard or the request ends. A place that was found is released.
		void end_search(request_state& state);
		// Ends the search and returns the place that was found.
		[[nodiscard]] static std::optional<reserved_engine> take_place(request_state& state);
		void release_place(std::optional<reserved_engine> place);
		// Logs that a server has been silent for long, by how much later than due that is noticed, for how long this
		// daemon has heard of no server at all, and what was decided. further: the further wait.
		void log_silence(request_state const& state, routing::server_record const& server, silence_limits limits,
			time_point since, duration further, time_point now);
		// Returns whether the call may be sent once more. Spends one retry of the budget unless the failed call was
		// never sent.
		[[nodiscard]] bool authorize_retry(request_state& state, routing::send_failure failure);
		// Spends one retry of the budget of the request's service. Returns false when none is left.
		[[nodiscard]] bool spend_retry(request_state const& state);
		// Returns whether the retry budget allows a separate prefill. The users count each one as a retry but the first
		// that is accepted. So a further one spends a retry, and the first needs one that is left, in case that it is
		// rejected.
		[[nodiscard]] bool authorize_prefill(request_state const& state);
		// Records what an answer says about its server: that the server is alive, whether it is leaving, and whether it
		// asks for a pause.
		void record_server_state(routing::server_record& server, answer_metadata const& metadata);
		// Records what an answer states about the limit of its server. call_sent_at: when the answer is to a caller's
		// request, the time at which that was sent; only such an answer can show that a limit has ended.
		void record_limit(routing::server_record& server, answer_metadata const& metadata, unsigned status,
			std::optional<time_point> call_sent_at);
		// Records a failed call in the request, the server's state, the metrics and the log. The server is not tried
		// again for this request.
		void record_failure(request_state& state, routing::server_record& server, routing::send_failure failure);
		// Returns whether no server may get the request, since requests like it have ended servers. A request that may
		// be tried in spite of that is not blocked.
		[[nodiscard]] bool is_blocked(request_state const& state, time_point now) const;
		// Prepares to send a request. Returns false when it is blocked.
		[[nodiscard]] bool begin_send(request_state& state, time_point now);
		// Finds out whether a server has ended while it had a request that it had not answered, and reports that.
		void check_server_end(request_state const& state, routing::server_record const& server);
		// Records that a server can answer a request.
		void record_answer_begun(request_state const& state, time_point now);
		[[nodiscard]] asio::awaitable<void> refuse_blocked(state_pointer state);
		// Returns how many live daemons come before this one in the order in which daemons try a blocked request.
		[[nodiscard]] std::size_t trial_position(routing::crash_block const& block) const;
		// Records how long a stream has taken for its tokens so far, unless it has stalled or failed over.
		void record_duration(request_state const& state, time_point now);
		void record_success(request_state& state, routing::server_record& server, unread_answer& answer);

		[[nodiscard]] asio::awaitable<void> refuse(state_pointer state, unsigned status, std::string reason,
			std::string remedy, std::optional<duration> retry_delay = std::nullopt);
		// Returns the delay for the Retry-After header of a refused request.
		[[nodiscard]] duration retry_after_delay(request_state const& state);
		// Returns whether this daemon stops before a new stream would be complete and another daemon is live that can
		// serve it.
		[[nodiscard]] bool must_refuse_before_stop(request_state const& state) const;
		// Logs and counts a request whose answer was not sent to its end.
		void record_end(request_state const& state);
		// Ends a request that no server has served: passes a server's error response on, refuses the request or leaves
		// the answer incomplete.
		[[nodiscard]] asio::awaitable<void> fail_request(state_pointer state);
		// Sends a request that releases a reservation or a KV cache.
		// Calls a server like call_server(). Returns the body of a successful answer.
		[[nodiscard]] asio::awaitable<std::optional<std::string>> fetch(
			routing::server_pointer server, http::request message, duration timeout);
		[[nodiscard]] asio::awaitable<void> probe_server(routing::server_pointer server);
		[[nodiscard]] asio::awaitable<void> send_release(routing::server_pointer server, http::request message);
		void release_in_background(routing::server_pointer const& server, http::request message);
		// Returns the measured speed of the engines that serve the stream.
		[[nodiscard]] routing::engine_speed engine_speed(request_state const& state) const;
		// Returns the KV cache capacity, in tokens, that the stream is expected to need.
		[[nodiscard]] token_count needed_tokens(request_state const& state) const;
		[[nodiscard]] routing::placement_request placement_for(request_state const& state) const;
		void record_placement(request_state const& state, routing::stream_placement const& placement, bool is_reserved);
		// Returns whether this daemon started so recently that it may not know the load that other daemons put on the
		// servers.
		[[nodiscard]] bool is_recently_started() const;
		// Returns the value in force or, when the service has been taken out of the configuration since the request
		// arrived, the value of then. Without it a stream would go to an engine without room.
		[[nodiscard]] std::optional<duration> longest_reservation(request_state const& state) const;

		void log_event(request_state const& state, std::string name, std::vector<decide::event_field> fields);
		[[nodiscard]] std::size_t connection_limit(routing::registered_server const& server) const;
		// Returns the present record of a server that was chosen a while ago; the one given when the server is not
		// listed any more, or has another address, service or role.
		[[nodiscard]] routing::server_pointer present_record(routing::server_pointer const& server) const;

		asio::any_io_executor executor;
		shared_state* shared;
		permit_exchange* permits;
		stream_origin_exchange* origins;
		quota_exchange* quotas;
		call_protocol protocol;
		counters* totals;
		event_log log;
		connection_pool pool;
		// Connections to other daemons.
		connection_pool peer_pool;
		server_end_check end_check;
		server_watches watches;
		registry_reader read_registry;
		std::mt19937_64 random;
		time_point started;
		// The requests in progress.
		std::set<state_pointer> requests;
		// The question for which nobody waits any more, of each server that has one.
		std::map<server_id, std::weak_ptr<holder_question>> late_questions;
	};
}
