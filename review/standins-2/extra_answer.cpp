// Case: a late copy of an answer to a daemon's own question is passed to a caller as the answer to its request.
#include <algorithm>
#include <atomic>
#include <memory>
#include <set>
#include <thread>

#include <fmt/format.h>

#include "standins.hpp"

namespace
{
	using namespace review;

	constexpr milliseconds time_limit{2'500};
	constexpr milliseconds play_time{30'000};
	constexpr milliseconds request_interval{25};
	constexpr milliseconds work_time{15};
	// A faulty server sends a second copy of at most one in so many of its answers.
	constexpr int answers_per_extra = 50;
	// Every so many lookups are answered without a length.
	constexpr int lookups_per_unframed = 5;

	// What the servers have done.
	struct desk_log
	{
		std::mutex mutex;
		std::map<std::string, std::string> body_by_attempt;
		std::map<std::string, int> runs_by_attempt;
		int extras = 0;
	};

	// One server of the desk service. It is sound but for the second copies of answers while it is faulty.
	class desk_server
	{
	  public:
		desk_server(std::string ip, std::string id, bool has_fault, desk_log& shared_log, record_file& lines)
			: name(std::move(id))
			, is_faulty(has_fault)
			, born(unix_milliseconds())
			, log(&shared_log)
			, record(&lines)
			, server(ip, [this](connection& to, request const& message) { this->serve(to, message); })
		{
		}

		[[nodiscard]] std::string entry(int sequence) const
		{
			return fmt::format(R"({{"service":"desk","address":"{}","zone":"zone-a","version":"v1","slots":6,)"
							   R"("state":"ready","cold-remaining-ms":0,"sequence":{},"born":{}}})",
				this->server.address(), sequence, this->born);
		}

		[[nodiscard]] std::string const& id() const noexcept
		{
			return this->name;
		}

	  private:
		void serve(connection& to, request const& message)
		{
			if (!to.owed.empty())
			{
				// The copy arrives where the next answer is expected.
				auto const copy = std::exchange(to.owed, {});
				to.write(copy);
				std::scoped_lock const lock(this->log->mutex);
				++this->log->extras;
				this->record->add(fmt::format("{} sends a late copy of its answer to a report question, then runs {}",
					this->name, header_of(message, "X-Request-Attempt-Id")));
			}
			++this->answers;
			auto const attempt = header_of(message, "X-Request-Attempt-Id");
			if (header_of(message, "X-Expect-Instance") != this->name && !attempt.empty())
			{
				to.write(make_answer(421, {{"X-Request-Attempt-Id", attempt}, {"X-Instance-Id", this->name}}, ""));
				return;
			}
			if (path_of(message) == "/report")
			{
				this->answer_report(to);
				return;
			}
			if (attempt.empty())
			{
				to.write(make_answer(200, {{"X-Instance-Id", this->name}}, ""));
				return;
			}
			this->run(to, message, attempt);
		}

		void answer_report(connection& to)
		{
			auto const body = fmt::format(
				R"({{"models":[],"busy":false,"sequence":0,"queued":0,"running":0,"born":{}}})", this->born);
			auto const bytes = make_answer(200, {{"Content-Type", "application/json"}}, body);
			to.write(bytes);
			if (this->is_faulty && this->answers >= this->extra_due)
			{
				to.owed = bytes;
				this->extra_due = this->answers + answers_per_extra;
			}
		}

		void run(connection& to, request const& message, std::string const& attempt)
		{
			auto const body = fmt::format("done {} at {}\n", attempt, this->name);
			{
				std::scoped_lock const lock(this->log->mutex);
				this->log->body_by_attempt[attempt] = body;
				++this->log->runs_by_attempt[attempt];
			}
			this->record->add(fmt::format("{} runs {}", this->name, attempt));
			std::this_thread::sleep_for(work_time);
			header_list const headers{{"X-Request-Attempt-Id", attempt}, {"X-Server-Seal", "seal-" + this->name}};
			auto const is_lookup = message.method() == beast::http::verb::get;
			if (is_lookup && ++this->lookups % lookups_per_unframed == 0)
			{
				to.write(make_unframed_answer(200, headers, body));
				to.close();
				return;
			}
			to.write(make_answer(200, headers, body));
		}

		std::string name;
		bool is_faulty;
		std::int64_t born;
		desk_log* log;
		record_file* record;
		std::atomic<int> answers = 0;
		std::atomic<int> extra_due = answers_per_extra;
		std::atomic<int> lookups = 0;
		http_server server;
	};

	std::string configuration()
	{
		return R"({"version":7,"routes":[)"
			   R"({"name":"lookup","host":"desk.example","prefix":"/lookup/","kind":"idempotent","timeout-ms":1200,)"
			   R"("target-latency-ms":150,"priority":2,"service":"desk","max-attempts":2},)"
			   R"({"name":"booking","host":"desk.example","prefix":"/booking/","kind":"non_idempotent",)"
			   R"("timeout-ms":1200,"target-latency-ms":150,"priority":2,"service":"desk","max-attempts":1}],)"
			   R"("services":[{"name":"desk","health-path":"/healthz","max-connections":110,"protocol":"h1",)"
			   R"("tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)"
			   R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})";
	}

	// Counts what callers got.
	struct verdict_counts
	{
		std::atomic<int> sent = 0;
		std::atomic<int> served = 0;
		std::atomic<int> foreign_lookups = 0;
		std::atomic<int> foreign_bookings = 0;
	};

	void send_one(
		std::string const& frontend, bool is_booking, desk_log& log, record_file& record, verdict_counts& counts)
	{
		auto const attempt = next_attempt();
		auto const message = is_booking ? make_request("POST", "/booking/1", attempt, time_limit, "visit")
										: make_request("GET", "/lookup/1", attempt, time_limit, "");
		++counts.sent;
		record.add(fmt::format("{} {} is sent to {}", is_booking ? "booking" : "lookup", attempt, frontend));
		auto const got = call(frontend, message, time_limit);
		if (got.status < 200 || got.status > 299 || !got.is_whole)
		{
			record.add(fmt::format("{} {} got status {}", is_booking ? "booking" : "lookup", attempt, got.status));
			return;
		}
		std::scoped_lock const lock(log.mutex);
		auto const has_seal = got.headers.contains("X-Server-Seal");
		if (has_seal && got.body == log.body_by_attempt[attempt])
		{
			++counts.served;
			record.add(fmt::format("{} got its server's answer", attempt));
			return;
		}
		++(is_booking ? counts.foreign_bookings : counts.foreign_lookups);
		record.add(fmt::format("BROKEN: {} {} got status {} {} the server's seal and the body: {}",
			is_booking ? "booking" : "lookup", attempt, got.status, has_seal ? "with" : "without", got.body));
	}

	int play(case_arguments const& arguments)
	{
		record_file record(arguments.record);
		desk_log log;
		store platform(arguments.ip(1));
		desk_server first(arguments.ip(2), "i-desk-1", arguments.has_trouble, log, record);
		desk_server second(arguments.ip(3), "i-desk-2", false, log, record);
		std::vector<daemon_address> const daemons{{arguments.ip(11)}, {arguments.ip(12)}};
		std::vector<std::string> const seeds{daemons[0].control(), daemons[1].control()};
		platform.put("op/config", configuration());
		platform.put("servers/" + first.id(), first.entry(1));
		platform.put("servers/" + second.id(), second.entry(1));
		write_settings(arguments, 1, daemons[0], seeds, platform.address());
		write_settings(arguments, 2, daemons[1], seeds, platform.address());
		announce_standins(arguments);
		if (!wait_until_ready(daemons))
		{
			end_case(record, case_failed, "the daemons did not get ready");
		}
		std::thread beats(
			[&]
			{
				for (int sequence = 2;; ++sequence)
				{
					std::this_thread::sleep_for(milliseconds(1'200));
					platform.put("servers/" + first.id(), first.entry(sequence));
					platform.put("servers/" + second.id(), second.entry(sequence));
				}
			});
		beats.detach();
		verdict_counts counts;
		auto const ends_at = clock::now() + play_time;
		for (int number = 0; clock::now() < ends_at; ++number)
		{
			auto const& to = daemons[static_cast<std::size_t>(number) % daemons.size()];
			auto const is_booking = number % 3 == 0;
			std::thread([&, to, is_booking] { send_one(to.frontend(), is_booking, log, record, counts); }).detach();
			std::this_thread::sleep_for(request_interval);
		}
		std::this_thread::sleep_for(time_limit);
		auto const foreign = counts.foreign_lookups + counts.foreign_bookings;
		auto const totals =
			fmt::format("{} requests, {} served rightly, {} lookups and {} bookings got another answer; "
						"{} late copies were sent",
				counts.sent.load(), counts.served.load(), counts.foreign_lookups.load(), counts.foreign_bookings.load(),
				log.extras);
		if (counts.served * 10 < counts.sent * 9)
		{
			end_case(record, case_failed, "too few requests were served: " + totals);
		}
		end_case(record, foreign > 0 ? rule_broken : rule_held, totals);
	}
}

int main(int count, char const* const* arguments)
{
	return play(read_arguments(count, arguments));
}
