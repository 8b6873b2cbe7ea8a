#include <godwittrestle/gateway/counters.hpp>

#include <sstream>

#include <prometheus/text_serializer.h>

namespace godwittrestle::gateway
{
	namespace
	{
		prometheus::Histogram::BucketBoundaries latency_buckets()
		{
			return {0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.9, 2, 5, 14};
		}

		prometheus::Histogram::BucketBoundaries delay_buckets()
		{
			return {0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5};
		}
	}

	counters::counters()
		: requests(&prometheus::BuildCounter()
				  .Name("godwittrestle_requests_total")
				  .Help("Requests of callers that ended, by kind and outcome")
				  .Register(this->registry))
		, unanswered_requests(&prometheus::BuildCounter()
				  .Name("godwittrestle_unanswered_requests_total")
				  .Help("Requests of callers that ended without a complete answer, by reason")
				  .Register(this->registry))
		, internal_errors(&prometheus::BuildCounter()
				  .Name("godwittrestle_internal_errors_total")
				  .Help("Exceptions that ended a request or a step of a loop, by the part that threw")
				  .Register(this->registry))
		, loop_delay(&prometheus::BuildHistogram()
				  .Name("godwittrestle_loop_delay_seconds")
				  .Help("How late the thread that serves callers ran its regular work")
				  .Register(this->registry)
				  .Add({}, delay_buckets()))
		, first_byte(&prometheus::BuildHistogram()
				  .Name("godwittrestle_first_byte_seconds")
				  .Help("Time from a request to the first byte of its answer")
				  .Register(this->registry))
		, sends(&prometheus::BuildCounter()
				  .Name("godwittrestle_sends_total")
				  .Help("Calls sent to backend servers, by part and outcome")
				  .Register(this->registry))
		, identities(&prometheus::BuildCounter()
				  .Name("godwittrestle_identities_total")
				  .Help("Decisions on who calls, by outcome; only while the configuration has accounts")
				  .Register(this->registry))
		, account_requests(&prometheus::BuildCounter()
				  .Name("godwittrestle_account_requests_total")
				  .Help("Decisions on requests of accounts with a limit, by account and outcome")
				  .Register(this->registry))
		, quotas(&prometheus::BuildCounter()
				  .Name("godwittrestle_quotas_total")
				  .Help("Answers of the daemons that issue the quotas of accounts, by outcome")
				  .Register(this->registry))
		, connections(&prometheus::BuildCounter()
				  .Name("godwittrestle_backend_connections_total")
				  .Help("New connections to backend servers")
				  .Register(this->registry)
				  .Add({}))
		, limited_sends(&prometheus::BuildCounter()
				  .Name("godwittrestle_limited_sends_total")
				  .Help("Calls sent to backend servers that state a limit")
				  .Register(this->registry)
				  .Add({}))
		, permits(&prometheus::BuildCounter()
				  .Name("godwittrestle_send_permits_total")
				  .Help("Decisions on permits for calls to backend servers that state a limit, by outcome")
				  .Register(this->registry))
		, limited_requests(&prometheus::BuildCounter()
				  .Name("godwittrestle_limited_requests_total")
				  .Help("Requests of callers that a server's limit kept from it, by outcome")
				  .Register(this->registry))
		, limited_servers(&prometheus::BuildGauge()
				  .Name("godwittrestle_limited_servers")
				  .Help("Backend servers that state a limit")
				  .Register(this->registry)
				  .Add({}))
		, crash_reports(&prometheus::BuildCounter()
				  .Name("godwittrestle_crash_reports_total")
				  .Help(
					  "Servers that ended while they had an unanswered request of this daemon, a line for each request")
				  .Register(this->registry)
				  .Add({}))
		, blocked_requests(&prometheus::BuildCounter()
				  .Name("godwittrestle_blocked_requests_total")
				  .Help("Requests of callers that were blocked because requests like them end servers, by outcome")
				  .Register(this->registry))
		, relayed_requests(&prometheus::BuildCounter()
				  .Name("godwittrestle_relayed_requests_total")
				  .Help("Requests passed on to other daemons, since this one reached no server, by outcome")
				  .Register(this->registry))
		, taken_over_requests(&prometheus::BuildCounter()
				  .Name("godwittrestle_taken_over_requests_total")
				  .Help("Requests that other daemons passed on to this one")
				  .Register(this->registry)
				  .Add({}))
		, taken_up_streams(&prometheus::BuildCounter()
				  .Name("godwittrestle_taken_up_streams_total")
				  .Help("Streams that callers take up, by how it is known which software version began them")
				  .Register(this->registry))
		, sent_streams(&prometheus::BuildCounter()
				  .Name("godwittrestle_streams_sent_total")
				  .Help("Streams sent to servers, by how the process that holds the connection is known")
				  .Register(this->registry))
		, known_streams(&prometheus::BuildGauge()
				  .Name("godwittrestle_known_streams")
				  .Help("Streams of which it is recorded which software version began them")
				  .Register(this->registry)
				  .Add({}))
		, request_blocks(&prometheus::BuildGauge()
				  .Name("godwittrestle_request_blocks")
				  .Help("Blocks of requests that end servers, in force at present")
				  .Register(this->registry)
				  .Add({}))
		, caller_memory(&prometheus::BuildGauge()
				  .Name("godwittrestle_caller_memory_bytes")
				  .Help("What the bodies of all callers' requests hold")
				  .Register(this->registry)
				  .Add({}))
		, registry_calls(&prometheus::BuildCounter()
				  .Name("godwittrestle_registry_calls_total")
				  .Help("Calls to the registry, by outcome")
				  .Register(this->registry))
		, registry_restores(&prometheus::BuildCounter()
				  .Name("godwittrestle_registry_restores_total")
				  .Help("Returns of the registry from a copy")
				  .Register(this->registry)
				  .Add({}))
		, registry_era(&prometheus::BuildGauge()
				  .Name("godwittrestle_registry_era")
				  .Help("The registry's era after its last return from a copy; 0 before the first")
				  .Register(this->registry)
				  .Add({}))
		, configuration(&prometheus::BuildGauge()
				  .Name("godwittrestle_configuration_version")
				  .Help("Version of the configuration in force")
				  .Register(this->registry)
				  .Add({}))
		, servers(&prometheus::BuildGauge()
				  .Name("godwittrestle_backend_servers")
				  .Help("Backend servers that are known")
				  .Register(this->registry)
				  .Add({}))
		, dropped(&prometheus::BuildGauge()
				  .Name("godwittrestle_dropped_log_lines")
				  .Help("Log lines dropped because the log was too slow")
				  .Register(this->registry)
				  .Add({}))
	{
	}

	void counters::count_request(std::string_view kind, std::string_view outcome)
	{
		this->requests->Add({{"kind", std::string(kind)}, {"outcome", std::string(outcome)}}).Increment();
	}

	void counters::count_unanswered_request(std::string_view reason)
	{
		this->unanswered_requests->Add({{"reason", std::string(reason)}}).Increment();
	}

	void counters::count_internal_error(std::string_view part)
	{
		this->internal_errors->Add({{"part", std::string(part)}}).Increment();
	}

	void counters::observe_loop_delay(duration delay)
	{
		this->loop_delay->Observe(std::chrono::duration<double>(delay).count());
	}

	void counters::observe_first_byte(std::string_view kind, duration taken)
	{
		auto const seconds_taken = std::chrono::duration<double>(taken).count();
		this->first_byte->Add({{"kind", std::string(kind)}}, latency_buckets()).Observe(seconds_taken);
	}

	void counters::count_send(std::string_view part, std::string_view outcome)
	{
		this->sends->Add({{"part", std::string(part)}, {"outcome", std::string(outcome)}}).Increment();
	}

	void counters::count_identity(std::string_view outcome)
	{
		this->identities->Add({{"outcome", std::string(outcome)}}).Increment();
	}

	void counters::count_account_request(account_id const& account, std::string_view outcome)
	{
		this->account_requests->Add({{"account", account.str()}, {"outcome", std::string(outcome)}}).Increment();
	}

	void counters::count_quota(std::string_view outcome)
	{
		this->quotas->Add({{"outcome", std::string(outcome)}}).Increment();
	}

	void counters::count_connection()
	{
		this->connections->Increment();
	}

	void counters::count_limited_send()
	{
		this->limited_sends->Increment();
	}

	void counters::count_permit(std::string_view outcome)
	{
		this->permits->Add({{"outcome", std::string(outcome)}}).Increment();
	}

	void counters::count_limited_request(std::string_view outcome)
	{
		this->limited_requests->Add({{"outcome", std::string(outcome)}}).Increment();
	}

	void counters::set_limited_servers(std::size_t count)
	{
		this->limited_servers->Set(static_cast<double>(count));
	}

	void counters::count_crash_report()
	{
		this->crash_reports->Increment();
	}

	void counters::count_blocked_request(std::string_view outcome)
	{
		this->blocked_requests->Add({{"outcome", std::string(outcome)}}).Increment();
	}

	void counters::count_relayed_request(std::string_view outcome)
	{
		this->relayed_requests->Add({{"outcome", std::string(outcome)}}).Increment();
	}

	void counters::count_taken_over_request()
	{
		this->taken_over_requests->Increment();
	}

	void counters::count_stream_sent(std::string_view process, bool is_begun)
	{
		this->sent_streams->Add({{"process", std::string(process)}, {"begun", is_begun ? "yes" : "no"}}).Increment();
	}

	void counters::count_taken_up_stream(std::string_view outcome)
	{
		this->taken_up_streams->Add({{"outcome", std::string(outcome)}}).Increment();
	}

	void counters::set_known_streams(std::size_t count)
	{
		this->known_streams->Set(static_cast<double>(count));
	}

	void counters::set_request_blocks(std::size_t count)
	{
		this->request_blocks->Set(static_cast<double>(count));
	}

	void counters::set_caller_memory(std::size_t bytes)
	{
		this->caller_memory->Set(static_cast<double>(bytes));
	}

	void counters::count_registry_call(std::string_view outcome)
	{
		this->registry_calls->Add({{"outcome", std::string(outcome)}}).Increment();
	}

	void counters::count_registry_restore(std::uint64_t era)
	{
		this->registry_restores->Increment();
		this->registry_era->Set(static_cast<double>(era));
	}

	void counters::set_configuration(std::uint64_t version)
	{
		this->configuration->Set(static_cast<double>(version));
	}

	void counters::set_servers(std::size_t count)
	{
		this->servers->Set(static_cast<double>(count));
	}

	void counters::set_dropped_log_lines(std::uint64_t count)
	{
		this->dropped->Set(static_cast<double>(count));
	}

	std::string counters::render() const
	{
		std::ostringstream out;
		prometheus::TextSerializer().Serialize(out, this->registry.Collect());
		return out.str();
	}
}
