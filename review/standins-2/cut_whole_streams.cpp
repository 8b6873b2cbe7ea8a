// Case: whole streams that end with their connection are broken off since their server cut off another caller's answer.
#include <atomic>
#include <csignal>
#include <memory>
#include <set>
#include <thread>

#include <fmt/format.h>
#include <poll.h>

#include "standins.hpp"

namespace
{
	using namespace review;

	constexpr milliseconds time_limit{14'000};
	constexpr milliseconds beat_interval{1'200};
	constexpr milliseconds event_interval{60};
	constexpr int events_per_stream = 10;
	// An export is answered with this many pieces of this size.
	constexpr std::size_t export_piece_bytes = 65'536;
	constexpr int export_pieces = 400;
	// A server cuts off an answer that remains unread for this long.
	constexpr milliseconds longest_unread{3'000};
	// Slow callers of exports read a piece in each interval for this long, and then read on as fast as they can.
	constexpr milliseconds slow_reading_time{5'000};
	constexpr milliseconds slow_interval{500};
	constexpr std::size_t slow_piece_bytes = 131'072;
	constexpr milliseconds export_interval{400};
	constexpr int receive_buffer_bytes = 1'048'576;
	constexpr int callers_per_daemon = 8;
	constexpr milliseconds time_before_stop{9'000};
	constexpr milliseconds time_after_stop{9'000};
	// The balancer sends no new connection to a daemon that is not ready for longer than this.
	constexpr double balancer_s = 2.0;

	// What the servers know of each stream.
	struct stream_log
	{
		std::mutex mutex;
		// Attempts whose last event was written, followed by an orderly end of the connection.
		std::set<std::string> whole;
		std::atomic<int> cut_exports = 0;

		[[nodiscard]] bool is_whole(std::string const& attempt)
		{
			std::scoped_lock const lock(this->mutex);
			return this->whole.contains(attempt);
		}
	};

	// A sound server. Its streams have neither a length nor chunks. It cuts off an export that remains unread.
	class tell_server
	{
	  public:
		tell_server(std::string const& ip, std::string id, stream_log& shared_log, record_file& lines)
			: name(std::move(id))
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
			return fmt::format(R"({{"service":"tell","address":"{}","zone":"zone-a","version":"v1","slots":64,)"
							   R"("state":"ready","cold-remaining-ms":0,"sequence":{},"born":{}}})",
				this->server.address(), ++this->sequence, this->born);
		}

	  private:
		void serve(connection& to, request const& message)
		{
			auto const attempt = header_of(message, "X-Request-Attempt-Id");
			header_list headers{{"X-Instance-Id", this->name}};
			if (attempt.empty())
			{
				auto const is_report = path_of(message) == "/report";
				auto const body = fmt::format(R"({{"queued":0,"running":0,"runs":[],"born":{}}})", this->born);
				to.write(make_answer(200, headers, is_report ? body : ""));
				return;
			}
			headers.emplace_back("X-Request-Attempt-Id", attempt);
			if (header_of(message, "X-Expect-Instance") != this->name)
			{
				to.write(make_answer(421, headers, ""));
				return;
			}
			headers.emplace_back("X-Server-Seal", "seal-" + this->name);
			if (path_of(message).starts_with("/export/"))
			{
				this->write_export(to, headers, attempt);
				return;
			}
			this->write_stream(to, headers, attempt);
		}

		void write_stream(connection& to, header_list headers, std::string const& attempt) const
		{
			this->record->add(fmt::format("{} runs stream {}", this->name, attempt));
			headers.emplace_back("Content-Type", "text/event-stream");
			auto is_open = to.write(make_unframed_answer(200, headers, ""));
			for (int number = 1; is_open && number <= events_per_stream; ++number)
			{
				std::this_thread::sleep_for(event_interval);
				is_open = to.write(fmt::format("id: {}\ndata: {} {}\n\n", number, attempt, number));
			}
			if (is_open)
			{
				this->record->add(
					fmt::format("{} has written the last event of {} and ends the answer", this->name, attempt));
				std::scoped_lock const lock(this->log->mutex);
				this->log->whole.insert(attempt);
			}
			to.close();
		}

		void write_export(connection& to, header_list const& headers, std::string const& attempt) const
		{
			auto is_open = to.write(make_chunked_head(200, headers));
			auto const piece = make_chunk(std::string(export_piece_bytes, 'x'));
			for (int number = 0; is_open && number < export_pieces; ++number)
			{
				is_open = to.write_unless_unread(piece, longest_unread);
			}
			if (is_open)
			{
				to.write(make_chunk(""));
				return;
			}
			++this->log->cut_exports;
			this->record->add(fmt::format("{} cuts off export {}, which remained unread", this->name, attempt));
		}

		std::string name;
		std::int64_t born;
		int sequence = 0;
		stream_log* log;
		record_file* record;
		http_server server;
	};

	std::string configuration()
	{
		return R"({"version":7,"routes":[)"
			   R"({"name":"tell","host":"desk.example","prefix":"/tell/","kind":"streaming","timeout-ms":14000,)"
			   R"("target-latency-ms":900,"priority":1,"service":"tell","max-attempts":1,"resumable":false,)"
			   R"("gap-aim-ms":300},)"
			   R"({"name":"export","host":"desk.example","prefix":"/export/","kind":"idempotent","timeout-ms":14000,)"
			   R"("target-latency-ms":4000,"priority":2,"service":"tell","max-attempts":1}],)"
			   R"("services":[{"name":"tell","health-path":"/healthz","max-connections":360,"protocol":"h1",)"
			   R"("tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)"
			   R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})";
	}

	struct stream_counts
	{
		std::atomic<int> sent = 0;
		std::atomic<int> served = 0;
		// Streams that their server ended whole and whose caller's channel ended without a whole answer.
		std::atomic<int> lost = 0;
		// Those of a daemon that had got SIGTERM, or got it meanwhile.
		std::atomic<int> lost_around_stop = 0;
	};

	// When the first daemon got SIGTERM, in seconds of the case.
	std::atomic<double> stopped_at = 1e9;

	// Sends one stream after the other on channels that are kept as long as the daemon keeps them.
	void run_caller(std::string const& from, std::vector<daemon_address> const& daemons, std::size_t own,
		std::atomic<bool> const& is_over, stream_log& log, record_file& record, stream_counts& counts)
	{
		std::unique_ptr<caller_channel> channel;
		auto to = own;
		while (!is_over)
		{
			if (own == 0 && record.seconds() > stopped_at + balancer_s && to == 0)
			{
				to = 1;
				channel.reset();
			}
			if (!channel || !channel->is_open())
			{
				channel = std::make_unique<caller_channel>(from, daemons[to].frontend(), time_limit);
			}
			auto const attempt = next_attempt();
			record.add(fmt::format("stream {} is sent to {}", attempt, daemons[to].frontend()));
			auto const got =
				channel->exchange(make_request("POST", "/tell/1", attempt, time_limit, "tell"), time_limit);
			++counts.sent;
			record.add(fmt::format("stream {} got status {}, {}", attempt, got.status, got.is_whole ? "whole" : "cut"));
			counts.served += got.status == 200 && got.is_whole ? 1 : 0;
			if (!got.is_whole && log.is_whole(attempt))
			{
				auto const is_around_stop = to == 0 && record.seconds() >= stopped_at;
				++counts.lost;
				counts.lost_around_stop += is_around_stop ? 1 : 0;
				record.add(
					fmt::format("LOST: {} was whole at its server; its caller's channel ended without a whole answer{}",
						attempt, is_around_stop ? ", around the SIGTERM of the daemon" : ""));
			}
			if (!got.is_connected)
			{
				std::this_thread::sleep_for(milliseconds(200));
			}
		}
	}

	// Asks for an export, reads slowly for a while, and then as fast as it can.
	void run_slow_reader(std::string const& frontend)
	{
		asio::io_context loop;
		tcp::socket socket(loop);
		error_code error;
		auto const colon = frontend.rfind(':');
		tcp::endpoint const target(asio::ip::make_address(frontend.substr(0, colon)),
			static_cast<unsigned short>(std::stoul(frontend.substr(colon + 1))));
		std::ignore = socket.open(tcp::v4(), error);
		std::ignore = socket.set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes), error);
		std::ignore = socket.connect(target, error);
		auto const message = make_request("GET", "/export/1", next_attempt(), time_limit, "");
		if (!error)
		{
			beast::http::write(socket, message, error);
		}
		std::string piece(slow_piece_bytes, '\0');
		auto const slow_until = clock::now() + slow_reading_time;
		while (!error && clock::now() < slow_until)
		{
			std::ignore = socket.read_some(asio::buffer(piece.data(), slow_piece_bytes), error);
			std::this_thread::sleep_for(slow_interval);
		}
		while (!error)
		{
			std::ignore = socket.read_some(asio::buffer(piece), error);
		}
	}

	int play(case_arguments const& arguments)
	{
		record_file record(arguments.record);
		stream_log log;
		store platform(arguments.ip(1));
		std::vector<std::unique_ptr<tell_server>> servers;
		for (int number = 1; number <= 2; ++number)
		{
			servers.push_back(
				std::make_unique<tell_server>(arguments.ip(1 + number), fmt::format("i-tell-{}", number), log, record));
			platform.put(servers.back()->key(), servers.back()->next_entry());
		}
		platform.put("op/config", configuration());
		std::vector<daemon_address> const daemons{{arguments.ip(11)}, {arguments.ip(12)}};
		std::vector<std::string> const seeds{daemons[0].control(), daemons[1].control()};
		write_settings(arguments, 1, daemons[0], seeds, platform.address());
		write_settings(arguments, 2, daemons[1], seeds, platform.address());
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
		std::atomic<bool> is_over = false;
		stream_counts counts;
		std::vector<std::thread> callers;
		callers.reserve(daemons.size() * callers_per_daemon);
		for (std::size_t number = 0; number < daemons.size() * callers_per_daemon; ++number)
		{
			callers.emplace_back([&, number]
				{ run_caller(arguments.ip(100), daemons, number % daemons.size(), is_over, log, record, counts); });
		}
		if (arguments.has_trouble)
		{
			std::thread(
				[&]
				{
					while (!is_over)
					{
						std::thread([to = daemons[0].frontend()] { run_slow_reader(to); }).detach();
						std::this_thread::sleep_for(export_interval);
					}
				})
				.detach();
		}
		std::this_thread::sleep_for(time_before_stop);
		stopped_at = record.seconds();
		record.add("daemon 1 gets SIGTERM");
		kill(process_of(arguments, 1), SIGTERM);
		std::this_thread::sleep_for(time_after_stop);
		is_over = true;
		for (auto& each : callers)
		{
			each.join();
		}
		auto const totals =
			fmt::format("{} streams, {} served whole; servers cut off {} unread exports; {} whole streams "
						"were broken off, {} of them around the SIGTERM",
				counts.sent.load(), counts.served.load(), log.cut_exports.load(), counts.lost.load(),
				counts.lost_around_stop.load());
		if (counts.served < 100)
		{
			end_case(record, case_failed, "too few streams were served: " + totals);
		}
		end_case(record, counts.lost_around_stop > 0 ? rule_broken : rule_held, totals);
	}
}

int main(int count, char const* const* arguments)
{
	return play(read_arguments(count, arguments));
}
