// Case: daemons that start while the seed machines are down each issue a server's whole limit.
#include <algorithm>
#include <atomic>
#include <memory>
#include <thread>

#include <fmt/format.h>

#include "standins.hpp"

namespace
{
	using namespace review;

	constexpr milliseconds time_limit{2'500};
	constexpr milliseconds steady_time{8'000};
	constexpr milliseconds limited_time{25'000};
	constexpr milliseconds request_interval{30};
	constexpr milliseconds work_time{10};
	constexpr milliseconds beat_interval{1'200};
	// The limit that the server names, in requests a second.
	constexpr double limit = 4;
	// The rule: in any window more than limit_factor times what the limit allows, and spare_requests.
	constexpr double window_s = 4;
	constexpr double limit_factor = 1.5;
	constexpr int spare_requests = 5;
	constexpr double contact_s = 3;
	// Daemons with the numbers 1 to 3 are the seeds; the others serve callers.
	constexpr int seed_count = 3;
	constexpr int serving_count = 3;

	// A sound server of the desk service that comes into need.
	class desk_server
	{
	  public:
		desk_server(std::string const& ip, record_file& lines)
			: born(unix_milliseconds())
			, record(&lines)
			, server(ip, [this](connection& to, request const& message) { this->serve(to, message); })
		{
		}

		[[nodiscard]] std::string next_entry()
		{
			return fmt::format(R"({{"service":"desk","address":"{}","zone":"zone-a","version":"v1","slots":6,)"
							   R"("state":"ready","cold-remaining-ms":0,"sequence":{},"born":{}}})",
				this->server.address(), ++this->sequence, this->born);
		}

		void begin_limit()
		{
			this->has_limit = true;
		}

		// Returns the times of the requests, and that of the first answer that named the limit; negative if none has.
		[[nodiscard]] std::pair<std::vector<double>, double> arrivals()
		{
			std::scoped_lock const lock(this->mutex);
			return {this->arrived, this->named_at};
		}

	  private:
		void serve(connection& to, request const& message)
		{
			auto const attempt = header_of(message, "X-Request-Attempt-Id");
			header_list headers{{"X-Instance-Id", "i-desk"}};
			if (!attempt.empty())
			{
				headers.emplace_back("X-Request-Attempt-Id", attempt);
			}
			if (attempt.empty())
			{
				auto const is_report = path_of(message) == "/report";
				auto const body = fmt::format(R"({{"queued":0,"running":0,"born":{}}})", this->born);
				to.write(make_answer(200, headers, is_report ? body : ""));
				return;
			}
			if (header_of(message, "X-Expect-Instance") != "i-desk")
			{
				to.write(make_answer(421, headers, ""));
				return;
			}
			headers.emplace_back("X-Server-Seal", "seal-desk");
			{
				std::scoped_lock const lock(this->mutex);
				auto const now = this->record->seconds();
				this->arrived.push_back(now);
				if (this->has_limit)
				{
					headers.emplace_back("Server-Limit", fmt::format("{:.1f}", limit));
					this->named_at = this->named_at < 0 ? now : this->named_at;
				}
			}
			this->record->add(fmt::format("i-desk runs {}", attempt));
			std::this_thread::sleep_for(work_time);
			to.write(make_answer(200, headers, "done " + attempt));
		}

		std::int64_t born;
		int sequence = 0;
		std::mutex mutex;
		std::vector<double> arrived;
		double named_at = -1;
		std::atomic<bool> has_limit = false;
		record_file* record;
		http_server server;
	};

	std::string configuration()
	{
		return R"({"version":7,"routes":[)"
			   R"({"name":"lookup","host":"desk.example","prefix":"/lookup/","kind":"idempotent","timeout-ms":1200,)"
			   R"("target-latency-ms":150,"priority":2,"service":"desk","max-attempts":2}],)"
			   R"("services":[{"name":"desk","health-path":"/healthz","max-connections":110,"protocol":"h1",)"
			   R"("tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)"
			   R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})";
	}

	// Returns the most requests that arrived in a window of the rule after the time from which it holds.
	std::pair<int, double> find_worst_window(std::vector<double> const& arrived, double from)
	{
		std::pair<int, double> worst{0, 0};
		for (auto const begin : arrived)
		{
			auto const is_inside = [begin](double each)
			{
				return each >= begin && each < begin + window_s;
			};
			auto const count = static_cast<int>(std::ranges::count_if(arrived, is_inside));
			if (begin >= from && count > worst.first)
			{
				worst = {count, begin};
			}
		}
		return worst;
	}

	int play(case_arguments const& arguments)
	{
		record_file record(arguments.record);
		store platform(arguments.ip(1));
		desk_server server(arguments.ip(2), record);
		std::vector<daemon_address> serving;
		std::vector<std::string> seeds;
		platform.put("op/config", configuration());
		platform.put("servers/i-desk", server.next_entry());
		for (int number = 1; number <= seed_count + serving_count; ++number)
		{
			daemon_address const own{arguments.ip(10 + number)};
			if (number <= seed_count)
			{
				seeds.push_back(own.control());
			}
			else
			{
				serving.push_back(own);
			}
		}
		for (int number = 1; number <= seed_count + serving_count; ++number)
		{
			write_settings(arguments, number, {arguments.ip(10 + number)}, seeds, platform.address());
		}
		announce_standins(arguments);
		if (!wait_until_ready(serving))
		{
			end_case(record, case_failed, "the daemons did not get ready");
		}
		record.add(
			arguments.has_trouble ? "the machines of all seeds are down; the others are ready" : "all machines are up");
		std::thread beats(
			[&]
			{
				while (true)
				{
					std::this_thread::sleep_for(beat_interval);
					platform.put("servers/i-desk", server.next_entry());
				}
			});
		beats.detach();
		std::atomic<int> sent = 0;
		std::atomic<int> served = 0;
		std::atomic<int> refused = 0;
		auto const send_one = [&](std::string const& to)
		{
			auto const attempt = next_attempt();
			++sent;
			record.add(fmt::format("lookup {} is sent to {}", attempt, to));
			auto const got = call(to, make_request("GET", "/lookup/1", attempt, time_limit, ""), time_limit);
			record.add(fmt::format("lookup {} got status {}", attempt, got.status));
			served += got.status == 200 ? 1 : 0;
			refused += got.status == 503 ? 1 : 0;
		};
		std::thread callers(
			[&]
			{
				for (std::size_t number = 0;; ++number)
				{
					auto const to = serving[number % serving.size()].frontend();
					std::thread([&send_one, to] { send_one(to); }).detach();
					std::this_thread::sleep_for(request_interval);
				}
			});
		callers.detach();
		std::this_thread::sleep_for(steady_time);
		server.begin_limit();
		record.add(fmt::format("i-desk names a limit of {} requests a second from now on", limit));
		std::this_thread::sleep_for(limited_time);
		auto const [arrived, named_at] = server.arrivals();
		auto const [worst, worst_at] = find_worst_window(arrived, named_at + contact_s);
		auto const allowed = static_cast<int>(limit_factor * limit * window_s) + spare_requests;
		auto const totals =
			fmt::format("{} lookups, {} served, {} refused; at most {} requests reached the server in {} s "
						"(from {:.3f} on), {} are allowed",
				sent.load(), served.load(), refused.load(), worst, window_s, worst_at, allowed);
		if (named_at < 0 || served < 100)
		{
			end_case(record, case_failed, "too few lookups were served: " + totals);
		}
		end_case(record, worst > allowed ? rule_broken : rule_held, totals);
	}
}

int main(int count, char const* const* arguments)
{
	return play(read_arguments(count, arguments));
}
