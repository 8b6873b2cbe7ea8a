// Case: servers read requests slowly, and what a daemon holds for them exceeds its machine's memory.
#include <atomic>
#include <csignal>
#include <memory>
#include <set>
#include <thread>

#include <fmt/format.h>

#include "standins.hpp"

namespace
{
	using namespace review;

	constexpr milliseconds time_limit{20'000};
	constexpr milliseconds beat_interval{1'200};
	constexpr milliseconds look_interval{10};
	constexpr milliseconds work_time{10};
	// How slow servers read: a piece in each interval, about 400 KB a second.
	constexpr std::size_t piece_bytes = 16'384;
	constexpr milliseconds piece_interval{40};
	constexpr int receive_buffer_bytes = 65'536;
	// The largest body that the configuration allows.
	constexpr std::size_t body_bytes = 4'194'304;
	constexpr int memory_mb = 260;
	// The larger of the two readings of MB.
	constexpr std::uint64_t bytes_per_megabyte = 1'048'576;
	constexpr int daemon_count = 2;
	constexpr int callers_per_daemon = 40;
	constexpr int caller_addresses = 8;
	constexpr milliseconds between_callers{50};
	// The rule: so many requests may end without an answer.
	constexpr int allowed_losses = 3;

	// The requests that reached a server.
	struct arrival_log
	{
		std::mutex mutex;
		std::set<std::string> arrived;

		[[nodiscard]] bool has(std::string const& attempt)
		{
			std::scoped_lock const lock(this->mutex);
			return this->arrived.contains(attempt);
		}
	};

	// A sound server of the desk service, which may read slowly.
	class desk_server
	{
	  public:
		desk_server(
			std::string const& ip, std::string id, bool reads_slowly, arrival_log& shared_log, record_file& lines)
			: name(std::move(id))
			, is_slow(reads_slowly)
			, born(unix_milliseconds())
			, log(&shared_log)
			, record(&lines)
			, acceptor(this->loop)
		{
			tcp::endpoint const where(asio::ip::make_address(ip), 0);
			this->acceptor.open(where.protocol());
			if (this->is_slow)
			{
				this->acceptor.set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes));
			}
			this->acceptor.bind(where);
			this->acceptor.listen();
			auto const local = this->acceptor.local_endpoint();
			this->address = fmt::format("{}:{}", local.address().to_string(), local.port());
			std::thread([this] { this->accept(); }).detach();
		}

		[[nodiscard]] std::string key() const
		{
			return "servers/" + this->name;
		}

		[[nodiscard]] std::string next_entry()
		{
			return fmt::format(R"({{"service":"desk","address":"{}","zone":"zone-a","version":"v1","slots":64,)"
							   R"("state":"ready","cold-remaining-ms":0,"sequence":{},"born":{}}})",
				this->address, ++this->sequence, this->born);
		}

	  private:
		void accept()
		{
			while (true)
			{
				error_code error;
				auto const socket = std::make_shared<tcp::socket>(this->acceptor.accept(error));
				if (!error)
				{
					std::thread([this, socket] { this->serve(*socket); }).detach();
				}
			}
		}

		void serve(tcp::socket& socket)
		{
			beast::flat_buffer buffer(2 * piece_bytes);
			error_code error;
			while (!error)
			{
				beast::http::request_parser<beast::http::string_body> parser;
				parser.body_limit(boost::none);
				beast::http::read_header(socket, buffer, parser, error);
				if (error)
				{
					return;
				}
				auto const attempt = header_of(parser.get(), "X-Request-Attempt-Id");
				{
					std::scoped_lock const lock(this->log->mutex);
					this->log->arrived.insert(attempt);
				}
				this->record->add(fmt::format("{} gets {}", this->name, attempt));
				while (!error && !parser.is_done())
				{
					beast::http::read_some(socket, buffer, parser, error);
					if (this->is_slow)
					{
						std::this_thread::sleep_for(piece_interval);
					}
				}
				if (!error)
				{
					this->answer(socket, parser.get(), attempt, error);
				}
			}
		}

		void answer(tcp::socket& socket, request const& message, std::string const& attempt, error_code& error) const
		{
			header_list headers{{"X-Instance-Id", this->name}};
			std::string body;
			if (attempt.empty())
			{
				body = path_of(message) == "/report" ? fmt::format(R"({{"born":{}}})", this->born) : "";
			}
			else
			{
				std::this_thread::sleep_for(work_time);
				headers.emplace_back("X-Request-Attempt-Id", attempt);
				headers.emplace_back("X-Server-Seal", "seal-" + this->name);
				body = "done " + attempt;
				this->record->add(fmt::format("{} has run {}", this->name, attempt));
			}
			asio::write(socket, asio::buffer(make_answer(200, headers, body)), error);
		}

		std::string name;
		bool is_slow;
		std::int64_t born;
		int sequence = 0;
		arrival_log* log;
		record_file* record;
		asio::io_context loop;
		tcp::acceptor acceptor;
		std::string address;
	};

	std::string configuration()
	{
		return R"({"version":7,"routes":[)"
			   R"({"name":"upload","host":"desk.example","prefix":"/upload/","kind":"non_idempotent",)"
			   R"("timeout-ms":20000,"target-latency-ms":10000,"priority":2,"service":"desk","max-attempts":1}],)"
			   R"("services":[{"name":"desk","health-path":"/healthz","max-connections":360,"protocol":"h1",)"
			   R"("tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)"
			   R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})";
	}

	// Returns the anonymous memory of a process in bytes; 0 when it has ended.
	std::uint64_t memory_of(int process)
	{
		std::ifstream status(fmt::format("/proc/{}/status", process));
		std::string word;
		std::uint64_t kilobytes = 0;
		while (status >> word)
		{
			if (word == "RssAnon:")
			{
				status >> kilobytes;
			}
		}
		return kilobytes * 1024;
	}

	struct caller_counts
	{
		std::atomic<int> sent = 0;
		std::atomic<int> served = 0;
		std::atomic<int> refused = 0;
		std::atomic<int> lost = 0;
	};

	// Sends a small request and then one of the largest size on the same channel.
	void run_caller(std::string const& from, std::string const& frontend, arrival_log& log, record_file& record,
		caller_counts& counts)
	{
		caller_channel channel(from, frontend, time_limit);
		auto const first = next_attempt();
		std::ignore = channel.exchange(make_request("POST", "/upload/1", first, time_limit, "small"), time_limit);
		auto const attempt = next_attempt();
		++counts.sent;
		record.add(fmt::format("{} is sent to {} with {} bytes", attempt, frontend, body_bytes));
		auto const message = make_request("POST", "/upload/1", attempt, time_limit, std::string(body_bytes, 'x'));
		auto const got = channel.exchange(message, time_limit);
		record.add(
			fmt::format("{} got status {}, {}", attempt, got.status, got.is_whole ? "whole" : "no whole answer"));
		counts.served += got.status == 200 ? 1 : 0;
		counts.refused += got.status == 503 ? 1 : 0;
		if (!got.is_whole && log.has(attempt))
		{
			++counts.lost;
			record.add(
				fmt::format("LOST: {} was passed on to a server, and its channel ended without an answer", attempt));
		}
	}

	int play(case_arguments const& arguments)
	{
		record_file record(arguments.record);
		arrival_log log;
		store platform(arguments.ip(1));
		std::vector<std::unique_ptr<desk_server>> servers;
		for (int number = 1; number <= 2; ++number)
		{
			servers.push_back(std::make_unique<desk_server>(
				arguments.ip(1 + number), fmt::format("i-desk-{}", number), arguments.has_trouble, log, record));
			platform.put(servers.back()->key(), servers.back()->next_entry());
		}
		platform.put("op/config", configuration());
		std::vector<daemon_address> daemons;
		std::vector<std::string> seeds;
		for (int number = 1; number <= daemon_count; ++number)
		{
			daemons.push_back({arguments.ip(10 + number)});
			seeds.push_back(daemons.back().control());
		}
		for (int number = 1; number <= daemon_count; ++number)
		{
			write_settings(
				arguments, number, daemons[static_cast<std::size_t>(number) - 1], seeds, platform.address(), memory_mb);
		}
		announce_standins(arguments);
		if (!wait_until_ready(daemons))
		{
			end_case(record, case_failed, "the daemons did not get ready");
		}
		std::thread(
			[&]
			{
				while (true)
				{
					std::this_thread::sleep_for(beat_interval);
					for (auto const& each : servers)
					{
						platform.put(each->key(), each->next_entry());
					}
				}
			})
			.detach();
		std::atomic<std::uint64_t> most = 0;
		std::atomic<int> killed = 0;
		// The platform: it kills a process that exceeds the memory of its machine.
		std::thread(
			[&]
			{
				std::set<int> ended;
				while (true)
				{
					for (int number = 1; number <= daemon_count; ++number)
					{
						auto const process = process_of(arguments, number);
						auto const held = ended.contains(number) ? 0 : memory_of(process);
						most = std::max(most.load(), held);
						if (held > static_cast<std::uint64_t>(memory_mb) * bytes_per_megabyte)
						{
							ended.insert(number);
							++killed;
							record.add(
								fmt::format("daemon {} holds {} bytes, more than its machine's {} MB: the platform "
											"kills it",
									number, held, memory_mb));
							kill(process, SIGKILL);
						}
					}
					std::this_thread::sleep_for(look_interval);
				}
			})
			.detach();
		caller_counts counts;
		std::vector<std::thread> callers;
		for (int number = 0; number < daemon_count * callers_per_daemon; ++number)
		{
			auto const to = daemons[static_cast<std::size_t>(number % daemon_count)].frontend();
			auto const from = arguments.ip(101 + number / daemon_count % caller_addresses);
			callers.emplace_back([&, to, from] { run_caller(from, to, log, record, counts); });
			std::this_thread::sleep_for(between_callers);
		}
		for (auto& each : callers)
		{
			each.join();
		}
		auto const totals =
			fmt::format("{} large requests, {} served, {} refused, {} lost; a daemon held {:.1f} MB of {} "
						"MB at most, {} were killed",
				counts.sent.load(), counts.served.load(), counts.refused.load(), counts.lost.load(),
				static_cast<double>(most.load()) / 1e6, memory_mb, killed.load());
		if (counts.sent == 0 || (counts.served == 0 && counts.lost == 0))
		{
			end_case(record, case_failed, "no request was served: " + totals);
		}
		end_case(record, counts.lost > allowed_losses ? rule_broken : rule_held, totals);
	}
}

int main(int count, char const* const* arguments)
{
	return play(read_arguments(count, arguments));
}
