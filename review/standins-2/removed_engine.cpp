// Case: a stream reaches a decode engine long after the engine's entry was removed, since its prefill took so long.
#include <algorithm>
#include <atomic>
#include <memory>
#include <thread>

#include <fmt/format.h>

#include "standins.hpp"

namespace
{
	using namespace review;

	constexpr milliseconds time_limit{14'000};
	constexpr milliseconds warm_up_time{6'000};
	constexpr milliseconds short_stream_interval{250};
	constexpr milliseconds beat_interval{1'200};
	constexpr milliseconds event_interval{50};
	constexpr milliseconds longest_prefill_wait{3'000};
	// Time from the beginning of a long prefill to the removal of the decode engine's entry.
	constexpr milliseconds removal_delay{250};
	constexpr milliseconds time_of_round{9'000};
	constexpr int rounds = 4;
	constexpr int events_per_stream = 30;
	// Time from the removal of an engine's entry to the end of its process: the drain time and a little longer.
	constexpr milliseconds exit_delay{2'900};
	constexpr int decode_engines = 3;
	constexpr int prefill_engines = 2;
	// Prompt tokens that a prefill engine reads in a millisecond.
	constexpr double prefill_tokens_per_ms = 33.3;
	constexpr std::uint64_t long_prompt = 92'000;
	constexpr std::uint64_t short_prompt = 1'500;
	constexpr std::uint64_t max_output = 500;
	// A bound of the settings, in seconds.
	constexpr double drain_s = 2.0;
	constexpr double judging_margin_s = 0.05;

	// What the engines have seen.
	struct engine_log
	{
		std::mutex mutex;
		// Attempt whose prefill is to be waited for, and whether it has begun.
		std::string long_attempt;
		bool has_prefill_begun = false;
		std::condition_variable changed;
		int broken = 0;
		int cut_by_exit = 0;
		int long_streams_run = 0;
	};

	class engine
	{
	  public:
		engine(std::string const& ip, std::string kind, int number, engine_log& shared_log, record_file& lines)
			: stage(std::move(kind))
			, place(number)
			, born(unix_milliseconds())
			, log(&shared_log)
			, record(&lines)
			, server(ip, [this](connection& to, request const& message) { this->serve(to, message); })
		{
		}

		[[nodiscard]] std::string id() const
		{
			return fmt::format("i-{}-{}-{}", this->stage, this->place, this->start.load());
		}

		[[nodiscard]] std::string next_entry()
		{
			return fmt::format(R"({{"service":"digest","address":"{}","zone":"zone-a","version":"v1","slots":64,)"
							   R"("state":"ready","cold-remaining-ms":0,"stage":"{}",)"
							   R"("models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{},"born":{}}})",
				this->server.address(), this->stage, ++this->sequence, this->born.load());
		}

		// Returns whether a reservation of a long stream is held here.
		[[nodiscard]] bool holds_long_stream()
		{
			std::scoped_lock const lock(this->log->mutex);
			return std::ranges::any_of(this->holds, [](auto const& each) { return each.second >= long_prompt; });
		}

		// The entry has been removed: the engine goes on serving.
		void note_removed(double at)
		{
			this->removed_at = at;
		}

		[[nodiscard]] bool is_removed() const
		{
			return this->removed_at >= 0;
		}

		// Ends the process: its connections end with it.
		void end_process()
		{
			this->has_ended = true;
		}

		// Starts the next process under a new id.
		void start_anew()
		{
			std::scoped_lock const lock(this->log->mutex);
			this->holds.clear();
			this->has_ended = false;
			this->removed_at = -1;
			this->born = unix_milliseconds();
			++this->start;
		}

	  private:
		[[nodiscard]] header_list headers(std::string const& attempt) const
		{
			header_list all{{"X-Request-Attempt-Id", attempt}, {"X-Instance-Id", this->id()}};
			if (attempt.empty())
			{
				all.erase(all.begin());
			}
			if (this->is_removed())
			{
				all.emplace_back("Server-Leaving", "1");
			}
			return all;
		}

		void serve(connection& to, request const& message)
		{
			auto const attempt = header_of(message, "X-Request-Attempt-Id");
			auto const path = path_of(message);
			if (this->has_ended)
			{
				to.close();
				return;
			}
			if (header_of(message, "X-Expect-Instance") != this->id())
			{
				to.write(make_answer(421, this->headers(attempt), ""));
			}
			else if (path == "/report")
			{
				to.write(make_answer(200, this->headers(attempt), this->report()));
			}
			else if (path == "/order")
			{
				// These engines don't change their stage.
				to.write(make_answer(400, this->headers(attempt), "{}"));
			}
			else if (path == "/hold-take")
			{
				to.write(make_answer(200, this->headers(attempt), this->grant(message.body())));
			}
			else if (path.starts_with("/hold-drop/"))
			{
				std::scoped_lock const lock(this->log->mutex);
				this->holds.erase(path.substr(path.rfind('/') + 1));
				to.write(make_answer(200, this->headers(attempt), "{}"));
			}
			else if (attempt.empty())
			{
				to.write(make_answer(200, this->headers(attempt), "{}"));
			}
			else if (header_of(message, "X-Stage") == "prefill")
			{
				this->prefill(to, message, attempt);
			}
			else
			{
				this->stream(to, message, attempt);
			}
		}

		[[nodiscard]] std::string report() const
		{
			return fmt::format(R"({{"stage":"{}","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,)"
							   R"("sequence":0,"queued":0,"running":0,"kv-used":0,"kv-total":120000,"kv-handles":0,)"
							   R"("runs":[],"born":{}}})",
				this->stage, this->born.load());
		}

		std::string grant(std::string const& body)
		{
			std::scoped_lock const lock(this->log->mutex);
			auto const hold = fmt::format("h{}x{}", this->place, ++this->grants);
			auto const digits = body.find("\"tokens\":") + std::string("\"tokens\":").size();
			this->holds[hold] = std::stoull(body.substr(digits));
			return fmt::format(R"({{"hold":"{}"}})", hold);
		}

		void prefill(connection& to, request const& message, std::string const& attempt)
		{
			auto const counts = header_of(message, "X-Token-Counts");
			auto const tokens = std::stoull(counts);
			this->record->add(fmt::format("{} begins to read the {} prompt tokens of {}", this->id(), tokens, attempt));
			{
				std::scoped_lock const lock(this->log->mutex);
				this->log->has_prefill_begun = this->log->has_prefill_begun || attempt == this->log->long_attempt;
				this->log->changed.notify_all();
			}
			{
				// One prompt at a time.
				std::scoped_lock const lock(this->reading);
				auto const taken = static_cast<double>(tokens) / prefill_tokens_per_ms;
				std::this_thread::sleep_for(milliseconds(static_cast<std::int64_t>(taken)));
			}
			auto const body =
				fmt::format(R"({{"handle":"k{}x{}","tokens":{},"version":1}})", this->place, ++this->handles, tokens);
			to.write(make_answer(200, this->headers(attempt), body));
		}

		void stream(connection& to, request const& message, std::string const& attempt)
		{
			auto const now = this->record->seconds();
			auto const removed = this->removed_at.load();
			this->record->add(fmt::format("{} runs {}{}", this->id(), attempt,
				removed >= 0 ? fmt::format(", {:.3f} s after its entry was removed", now - removed) : ""));
			{
				std::scoped_lock const lock(this->log->mutex);
				this->holds.erase(header_of(message, "X-Kv-Hold"));
				this->log->long_streams_run += attempt == this->log->long_attempt ? 1 : 0;
				if (removed >= 0 && now - removed > drain_s + judging_margin_s)
				{
					++this->log->broken;
					this->record->add(
						fmt::format("BROKEN: {} reaches {} {:.3f} s after the store acknowledged that it is "
									"gone",
							attempt, this->id(), now - removed));
				}
			}
			auto all = this->headers(attempt);
			all.emplace_back("X-Server-Seal", "seal-" + this->id());
			all.emplace_back("X-Weight-Versions", "1");
			all.emplace_back("Content-Type", "text/event-stream");
			auto is_open = to.write(make_chunked_head(200, all));
			for (int number = 1; is_open && number <= events_per_stream; ++number)
			{
				std::this_thread::sleep_for(event_interval);
				if (this->has_ended)
				{
					std::scoped_lock const lock(this->log->mutex);
					++this->log->cut_by_exit;
					this->record->add(
						fmt::format("{} ends and cuts {} after {} events", this->id(), attempt, number - 1));
					to.close();
					return;
				}
				is_open = to.write(make_chunk(fmt::format("id: {}\ndata: {} {}\n\n", number, attempt, number)));
			}
			to.write(make_chunk(""));
		}

		std::string stage;
		int place;
		std::atomic<std::int64_t> born;
		std::atomic<int> start = 1;
		int sequence = 0;
		int grants = 0;
		std::atomic<int> handles = 0;
		// Seconds of the case at which the entry was removed; negative while it stands.
		std::atomic<double> removed_at = -1;
		std::atomic<bool> has_ended = false;
		std::map<std::string, std::uint64_t> holds;
		std::mutex reading;
		engine_log* log;
		record_file* record;
		http_server server;
	};

	std::string configuration()
	{
		return R"({"version":7,"routes":[)"
			   R"({"name":"digest","host":"desk.example","prefix":"/digest/","kind":"streaming","timeout-ms":14000,)"
			   R"("target-latency-ms":4000,"priority":1,"service":"digest","max-attempts":1,"sticky-sessions":true,)"
			   R"("resumable":false,"gap-aim-ms":300}],)"
			   R"("services":[{"name":"digest","health-path":"/healthz","max-connections":370,"protocol":"h1",)"
			   R"("tls":false,"engine":{"slots":64,"kv-capacity":120000,"kv-token-bytes":18432,)"
			   R"("link-mbps":1100000.0,"moves":true,"backups":true,"stride":50,"most":12,"kv-hold-s":0.5,)"
			   R"("pin-ms":4000.0,"hold-ms":2000.0,"models":[{"name":"m"}]}}],)"
			   R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,)"
			   R"("idle-timeout-ms":15000}})";
	}

	caller_answer send_stream(
		std::string const& frontend, std::string const& attempt, std::uint64_t prompt, record_file& record)
	{
		auto message = make_request("POST", "/digest/1", attempt, time_limit, "prompt of " + attempt);
		message.set("X-Model", "m");
		message.set("X-Token-Counts", fmt::format("{},{}", prompt, max_output));
		message.set("X-Length-Hint", std::to_string(max_output));
		message.set("X-Prompt-Prefix", fmt::format("5c1e07a2:200,{}:{}", attempt.substr(1), prompt - 200));
		record.add(fmt::format("stream {} with {} prompt tokens is sent to {}", attempt, prompt, frontend));
		auto got = call(frontend, message, time_limit);
		record.add(fmt::format("stream {} got status {}, {}", attempt, got.status, got.is_whole ? "whole" : "cut"));
		return got;
	}

	// Plays one long stream. Returns whether it was served whole.
	bool play_round(std::vector<std::unique_ptr<engine>>& engines, store& platform, std::string const& frontend,
		bool has_trouble, engine_log& log, record_file& record)
	{
		auto const attempt = next_attempt();
		{
			std::scoped_lock const lock(log.mutex);
			log.long_attempt = attempt;
			log.has_prefill_begun = false;
		}
		std::atomic<bool> is_whole = false;
		std::thread caller(
			[&]
			{
				auto const got = send_stream(frontend, attempt, long_prompt, record);
				is_whole = got.status == 200 && got.is_whole;
			});
		{
			std::unique_lock lock(log.mutex);
			log.changed.wait_for(lock, longest_prefill_wait, [&] { return log.has_prefill_begun; });
		}
		std::this_thread::sleep_for(removal_delay);
		auto const chosen = std::ranges::find_if(
			engines, [](std::unique_ptr<engine> const& each) { return each->holds_long_stream(); });
		if (has_trouble && chosen != engines.end())
		{
			auto const id = (*chosen)->id();
			(*chosen)->note_removed(record.seconds());
			platform.remove("servers/" + id);
			record.add(fmt::format("the store acknowledges that {} is gone; it goes on serving for {:.1f} s", id,
				std::chrono::duration<double>(exit_delay).count()));
			std::this_thread::sleep_for(exit_delay);
			(*chosen)->end_process();
			record.add(fmt::format("{} ends", id));
		}
		caller.join();
		std::this_thread::sleep_for(milliseconds(500));
		if (has_trouble && chosen != engines.end())
		{
			(*chosen)->start_anew();
			platform.put("servers/" + (*chosen)->id(), (*chosen)->next_entry());
			record.add(fmt::format("{} starts at the same address", (*chosen)->id()));
		}
		return is_whole;
	}

	int play(case_arguments const& arguments)
	{
		record_file record(arguments.record);
		engine_log log;
		store platform(arguments.ip(1));
		std::vector<std::unique_ptr<engine>> engines;
		for (int number = 0; number < decode_engines + prefill_engines; ++number)
		{
			auto const* const stage = number < decode_engines ? "decode" : "prefill";
			engines.push_back(std::make_unique<engine>(arguments.ip(20 + number), stage, number, log, record));
			platform.put("servers/" + engines.back()->id(), engines.back()->next_entry());
		}
		std::vector<daemon_address> const daemons{{arguments.ip(11)}, {arguments.ip(12)}};
		std::vector<std::string> const seeds{daemons[0].control(), daemons[1].control()};
		platform.put("op/config", configuration());
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
				for (std::size_t next = 0;; ++next)
				{
					auto& each = *engines[next % engines.size()];
					if (!each.is_removed())
					{
						platform.put("servers/" + each.id(), each.next_entry());
					}
					std::this_thread::sleep_for(beat_interval / engines.size());
				}
			});
		beats.detach();
		std::atomic<int> short_sent = 0;
		std::atomic<int> short_served = 0;
		std::thread callers(
			[&]
			{
				for (std::size_t number = 0;; ++number)
				{
					auto const to = daemons[number % daemons.size()].frontend();
					auto const prompt = short_prompt + 100 * (number % 10);
					std::thread(
						[&, to, prompt]
						{
							++short_sent;
							auto const got = send_stream(to, next_attempt(), prompt, record);
							short_served += got.status == 200 && got.is_whole ? 1 : 0;
						})
						.detach();
					std::this_thread::sleep_for(short_stream_interval);
				}
			});
		callers.detach();
		std::this_thread::sleep_for(warm_up_time);
		int long_served = 0;
		for (std::size_t round = 0; round < rounds; ++round)
		{
			auto const next_at = clock::now() + time_of_round;
			auto const& to = daemons[round % daemons.size()];
			long_served += play_round(engines, platform, to.frontend(), arguments.has_trouble, log, record) ? 1 : 0;
			std::this_thread::sleep_until(next_at);
		}
		auto const totals = fmt::format(
			"{} of {} short and {} of {} long streams were served; {} streams reached an engine more than "
			"{:.0f} ms after it was gone, {} were cut by its end",
			short_served.load(), short_sent.load(), long_served, rounds, log.broken, drain_s * 1000, log.cut_by_exit);
		if (short_served * 10 < short_sent * 8 || (log.long_streams_run == 0 && log.broken == 0))
		{
			end_case(record, case_failed, "too few streams were served: " + totals);
		}
		end_case(record, log.broken > 0 ? rule_broken : rule_held, totals);
	}
}

int main(int count, char const* const* arguments)
{
	return play(read_arguments(count, arguments));
}
