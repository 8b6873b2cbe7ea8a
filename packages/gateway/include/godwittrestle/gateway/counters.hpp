#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>

namespace godwittrestle::gateway
{
	// The gateway's counters, gauges and latency histograms, rendered in the Prometheus text format.
	class counters
	{
	  public:
		counters();

		// Counts a caller's request that ended. kind: the route's kind; outcome: served, passed_on_failure, refused,
		// failed or caller_gone.
		void count_request(std::string_view kind, std::string_view outcome);

		// Counts a caller's request that ended without a complete answer. reason: of http::unread_reason, caller_gone
		// or cut (the answer was not written to its end although the caller was not known to be gone).
		void count_unanswered_request(std::string_view reason);

		// Counts an exception that ended a request or a step of a loop. part: what threw. May be called from any
		// thread.
		void count_internal_error(std::string_view part);

		// Records how late the thread that serves callers ran work that was due at a set time.
		void observe_loop_delay(duration delay);

		// Records the time from a request to the first byte of its answer.
		void observe_first_byte(std::string_view kind, duration taken);

		// Counts a call to a backend server that ended.
		void count_send(std::string_view part, std::string_view outcome);

		// Counts a decision on who calls. outcome: of routing::identity_outcome.
		void count_identity(std::string_view outcome);
		// Counts a decision on a request of an account with a limit. outcome: of routing::limit_outcome.
		void count_account_request(account_id const& account, std::string_view outcome);
		// Counts an answer of the issuer of an account's quota. outcome: of routing::quota_outcome.
		void count_quota(std::string_view outcome);
		void count_connection();
		// Counts a call that was sent to a backend server that states a limit.
		void count_limited_send();
		// Counts a decision on a permit for a request to such a server. outcome: of routing::permit_outcome.
		void count_permit(std::string_view outcome);
		// Counts a caller's request that a limit kept from a server. outcome: moved (served by another server) or
		// refused.
		void count_limited_request(std::string_view outcome);
		void set_limited_servers(std::size_t count);
		// Counts a server that ended while it had an unanswered request of this daemon.
		void count_crash_report();
		// Counts a caller's request that was blocked because requests like it end servers. outcome: refused or tried.
		void count_blocked_request(std::string_view outcome);
		// Counts a request that was passed on to another daemon. outcome: served or the failure.
		void count_relayed_request(std::string_view outcome);
		// Counts a request that another daemon has passed on to this one.
		void count_taken_over_request();
		// Counts a stream that a caller takes up. outcome: how this daemon knows where it began (recorded,
		// only_version), or why it is refused (unknown, other_service).
		void count_taken_up_stream(std::string_view outcome);
		// Counts a stream that is sent to a server. process: how the process at the other end of the connection is
		// known (stated, by_entry or unknown); is_begun: whether the caller has events of the stream already.
		void count_stream_sent(std::string_view process, bool is_begun);
		// Sets the number of streams whose beginning is recorded.
		void set_known_streams(std::size_t count);
		// Sets the number of blocks in force.
		void set_request_blocks(std::size_t count);
		// Sets what the bodies of all callers' requests hold.
		void set_caller_memory(std::size_t bytes);
		// Counts a call to the registry. outcome: of registry_hooks::count_call. May be called from any thread.
		void count_registry_call(std::string_view outcome);
		// Counts a return of the registry from a copy. era: the new one.
		void count_registry_restore(std::uint64_t era);
		void set_configuration(std::uint64_t version);
		void set_servers(std::size_t count);
		void set_dropped_log_lines(std::uint64_t count);

		[[nodiscard]] std::string render() const;

	  private:
		prometheus::Registry registry;
		prometheus::Family<prometheus::Counter>* requests;
		prometheus::Family<prometheus::Counter>* unanswered_requests;
		prometheus::Family<prometheus::Counter>* internal_errors;
		prometheus::Histogram* loop_delay;
		prometheus::Family<prometheus::Histogram>* first_byte;
		prometheus::Family<prometheus::Counter>* sends;
		prometheus::Family<prometheus::Counter>* identities;
		prometheus::Family<prometheus::Counter>* account_requests;
		prometheus::Family<prometheus::Counter>* quotas;
		prometheus::Counter* connections;
		prometheus::Counter* limited_sends;
		prometheus::Family<prometheus::Counter>* permits;
		prometheus::Family<prometheus::Counter>* limited_requests;
		prometheus::Gauge* limited_servers;
		prometheus::Counter* crash_reports;
		prometheus::Family<prometheus::Counter>* blocked_requests;
		prometheus::Family<prometheus::Counter>* relayed_requests;
		prometheus::Counter* taken_over_requests;
		prometheus::Family<prometheus::Counter>* taken_up_streams;
		prometheus::Family<prometheus::Counter>* sent_streams;
		prometheus::Gauge* known_streams;
		prometheus::Gauge* request_blocks;
		prometheus::Gauge* caller_memory;
		prometheus::Family<prometheus::Counter>* registry_calls;
		prometheus::Counter* registry_restores;
		prometheus::Gauge* registry_era;
		prometheus::Gauge* configuration;
		prometheus::Gauge* servers;
		prometheus::Gauge* dropped;
	};
}
