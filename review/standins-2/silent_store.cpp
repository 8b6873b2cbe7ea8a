// Case: open connections to the store go silent for good; a daemon in touch again goes by the configuration before.
#include <atomic>
#include <memory>
#include <thread>

#include <fmt/format.h>

#include "standins.hpp"

namespace
{
	using namespace review;

	constexpr milliseconds time_limit{2'500};
	constexpr milliseconds steady_time{6'000};
	constexpr milliseconds change_delay{300};
	constexpr milliseconds play_after_change{9'000};
	constexpr milliseconds request_interval{50};
	constexpr milliseconds work_time{10};
	constexpr milliseconds beat_interval{1'200};
	constexpr int servers_per_service = 4;
	// Bounds of the settings, in seconds.
	constexpr double contact_s = 3.0;
	constexpr double config_apply_s = 2.0;
	// Requests sent so shortly after a bound are not judged.
	constexpr double judging_margin_s = 0.1;

	// Which service ran each attempt.
	struct run_log
	{
		std::mutex mutex;
		std::map<std::string, std::string> service_by_attempt;
	};

	// A sound server of one service.
	class app_server
	{
	  public:
		app_server(
			std::string const& ip, std::string id, std::string of_service, run_log& shared_log, record_file& lines)
			: name(std::move(id))
			, service(std::move(of_service))
			, born(unix_milliseconds())
			, log(&shared_log)
			, record(&lines)
			, server(ip, [this](connection& to, request const& message) { this->serve(to, message); })
		{
		}

		[[nodiscard]] std::string key() const
		{
			return "servers/" + this->name;
		}

		[[nodiscard]] std::string next_entry()
		{
			return fmt::format(R"({{"service":"{}","address":"{}","zone":"zone-a","version":"v1","slots":6,)"
							   R"("state":"ready","cold-remaining-ms":0,"sequence":{},"born":{}}})",
				this->service, this->server.address(), ++this->sequence, this->born);
		}

	  private:
		void serve(connection& to, request const& message) const
		{
			auto const attempt = header_of(message, "X-Request-Attempt-Id");
			if (attempt.empty())
			{
				auto const is_report = path_of(message) == "/report";
				auto const body = fmt::format(R"({{"queued":0,"running":0,"born":{}}})", this->born);
				to.write(make_answer(200, {{"X-Instance-Id", this->name}}, is_report ? body : ""));
				return;
			}
			if (header_of(message, "X-Expect-Instance") != this->name)
			{
				to.write(make_answer(421, {{"X-Request-Attempt-Id", attempt}, {"X-Instance-Id", this->name}}, ""));
				return;
			}
			{
				std::scoped_lock const lock(this->log->mutex);
				this->log->service_by_attempt[attempt] = this->service;
			}
			this->record->add(fmt::format("{} of service {} runs {}", this->name, this->service, attempt));
			std::this_thread::sleep_for(work_time);
			to.write(make_answer(
				200, {{"X-Request-Attempt-Id", attempt}, {"X-Server-Seal", "seal-" + this->name}}, "done " + attempt));
		}

		std::string name;
		std::string service;
		std::int64_t born;
		int sequence = 0;
		run_log* log;
		record_file* record;
		http_server server;
	};

	std::string configuration(int version, std::string const& service)
	{
		return fmt::format(
			R"({{"version":{},"routes":[)"
			R"({{"name":"booking","host":"desk.example","prefix":"/booking/","kind":"non_idempotent",)"
			R"("timeout-ms":1200,"target-latency-ms":150,"priority":2,"service":"{}","max-attempts":1}}],)"
			R"("services":[)"
			R"({{"name":"old-desk","health-path":"/healthz","max-connections":110,"protocol":"h1",)"
			R"("tls":false}},)"
			R"({{"name":"new-desk","health-path":"/healthz","max-connections":110,"protocol":"h1",)"
			R"("tls":false}}],)"
			R"("limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,)"
			R"("idle-timeout-ms":15000}}}})",
			version, service);
	}

	struct judged_counts
	{
		std::atomic<int> sent = 0;
		std::atomic<int> served = 0;
		// Of those sent after the bound.
		std::atomic<int> by_new = 0;
		std::atomic<int> by_old = 0;
	};

	// Sends a booking. must_be_new_from: time from which a booking that is sent must be run by the new service.
	void send_one(
		std::string const& frontend, double must_be_new_from, run_log& log, record_file& record, judged_counts& counts)
	{
		auto const attempt = next_attempt();
		auto const message = make_request("POST", "/booking/1", attempt, time_limit, "visit");
		auto const sent_at = record.seconds();
		++counts.sent;
		record.add(fmt::format("booking {} is sent to {}", attempt, frontend));
		auto const got = call(frontend, message, time_limit);
		record.add(fmt::format("booking {} got status {}", attempt, got.status));
		counts.served += got.status == 200 ? 1 : 0;
		if (sent_at < must_be_new_from)
		{
			return;
		}
		std::scoped_lock const lock(log.mutex);
		auto const found = log.service_by_attempt.find(attempt);
		if (found == log.service_by_attempt.end())
		{
			return;
		}
		auto const is_old = found->second == "old-desk";
		++(is_old ? counts.by_old : counts.by_new);
		if (is_old)
		{
			record.add(
				fmt::format("BROKEN: booking {} was sent at {:.3f}, {:.3f} s after the bound, and was run by old-desk",
					attempt, sent_at, sent_at - must_be_new_from));
		}
	}

	int play(case_arguments const& arguments)
	{
		record_file record(arguments.record);
		run_log log;
		store platform(arguments.ip(1));
		silencing_proxy path(arguments.ip(1), platform.address());
		std::vector<std::unique_ptr<app_server>> servers;
		for (int number = 0; number < 2 * servers_per_service; ++number)
		{
			auto const* const service = number < servers_per_service ? "old-desk" : "new-desk";
			servers.push_back(std::make_unique<app_server>(
				arguments.ip(20 + number), fmt::format("i-{}", number), service, log, record));
			platform.put(servers.back()->key(), servers.back()->next_entry());
		}
		std::vector<daemon_address> const daemons{{arguments.ip(11)}, {arguments.ip(12)}};
		std::vector<std::string> const seeds{daemons[0].control(), daemons[1].control()};
		platform.put("op/config", configuration(7, "old-desk"));
		write_settings(arguments, 1, daemons[0], seeds, path.address());
		write_settings(arguments, 2, daemons[1], seeds, path.address());
		announce_standins(arguments);
		if (!wait_until_ready(daemons))
		{
			end_case(record, case_failed, "the daemons did not get ready");
		}
		std::thread beats(
			[&]
			{
				for (std::size_t next = 0;; ++next)
				{
					auto& server = *servers[next % servers.size()];
					platform.put(server.key(), server.next_entry());
					std::this_thread::sleep_for(beat_interval / servers.size());
				}
			});
		beats.detach();
		judged_counts counts;
		std::atomic<double> must_be_new_from = 1e9;
		std::atomic<bool> is_over = false;
		std::thread callers(
			[&]
			{
				for (std::size_t number = 0; !is_over; ++number)
				{
					auto const to = daemons[number % daemons.size()].frontend();
					std::thread([&, to] { send_one(to, must_be_new_from, log, record, counts); }).detach();
					std::this_thread::sleep_for(request_interval / daemons.size());
				}
			});
		callers.detach();
		std::this_thread::sleep_for(steady_time);
		auto const silent_at = record.seconds();
		if (arguments.has_trouble)
		{
			path.silence_open_connections();
			record.add("the open connections to the store go silent for good; new ones work");
		}
		std::this_thread::sleep_for(change_delay);
		platform.put("op/config", configuration(9, "new-desk"));
		auto const acked_at = record.seconds();
		record.add("the store acknowledges configuration 9: bookings go to new-desk");
		auto const in_touch_at = arguments.has_trouble ? silent_at + contact_s : 0;
		must_be_new_from = std::max(acked_at + config_apply_s, in_touch_at) + judging_margin_s;
		record.add(fmt::format("bookings sent from {:.3f} on must be run by new-desk", must_be_new_from.load()));
		std::this_thread::sleep_for(play_after_change);
		is_over = true;
		std::this_thread::sleep_for(time_limit);
		auto const totals =
			fmt::format("{} bookings, {} served; sent after the bound: {} run by the new service, {} by the "
						"old one",
				counts.sent.load(), counts.served.load(), counts.by_new.load(), counts.by_old.load());
		if (counts.served * 10 < counts.sent * 9 || counts.by_new == 0)
		{
			end_case(record, case_failed, "too few bookings were served: " + totals);
		}
		end_case(record, counts.by_old > 0 ? rule_broken : rule_held, totals);
	}
}

int main(int count, char const* const* arguments)
{
	return play(read_arguments(count, arguments));
}
