#include "streaming_servers.hpp"

#include <algorithm>
#include <charconv>
#include <future>
#include <iterator>
#include <set>
#include <thread>
#include <tuple>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <godwittrestle/base/digest.hpp>

#include "daemon_group.hpp"
#include "test_servers.hpp"

namespace godwittrestle::testing
{
	namespace
	{
		namespace asio = boost::asio;

		constexpr auto token = asio::as_tuple(asio::use_awaitable);
		constexpr std::chrono::milliseconds event_interval{20};
		constexpr std::chrono::milliseconds time_to_notice_loss{1000};
		constexpr std::chrono::milliseconds pause_after_failure{100};
		constexpr int max_tries = 8;

		struct received_events
		{
			std::set<std::string> versions;
			int last_id = 0;
		};

		// Collects the whole events of an answer, whose texts are "id: NUMBER\ndata: VERSION\n\n".
		void collect_events(std::string const& answer, received_events& events)
		{
			constexpr std::string_view id_label = "id: ";
			constexpr std::string_view data_label = "\ndata: ";
			for (auto start = answer.find(id_label); start != std::string::npos;
				start = answer.find(id_label, start + 1))
			{
				auto const end = answer.find("\n\n", start);
				auto const data = answer.find(data_label, start);
				if (end == std::string::npos || data == std::string::npos || data > end)
				{
					continue;
				}
				auto const id_start = start + id_label.size();
				std::from_chars(answer.data() + id_start, answer.data() + data, events.last_id);
				auto const version_start = data + data_label.size();
				events.versions.insert(answer.substr(version_start, end - version_start));
			}
		}
	}

	streaming_server::streaming_server(std::string given_id, std::string given_version, routing::server_role given_role)
		: id(std::move(given_id))
		, version(std::move(given_version))
		, role(given_role)
	{
		this->listen(0);
		this->thread.start();
	}

	void streaming_server::listen(unsigned short port)
	{
		this->listener =
			std::make_unique<http::server>(this->thread.context().get_executor(), http::endpoint{"127.0.0.1", port},
				http::server_limits{}, [this](http::request message, http::exchange& http_exchange)
				{ return this->serve(std::move(message), http_exchange); });
		this->listener->start();
	}

	void streaming_server::set_reporting(bool reports)
	{
		this->is_reporting = reports;
	}

	void streaming_server::set_start_stated(bool in_entry, bool in_report)
	{
		this->is_start_in_entry = in_entry;
		this->is_start_in_report = in_report;
	}

	void streaming_server::set_report_delay(std::chrono::milliseconds delay)
	{
		this->report_delay = delay;
	}

	void streaming_server::restart(std::string const& new_version)
	{
		std::promise<void> done;
		asio::post(this->thread.context(),
			[&]
			{
				this->replace_process(new_version);
				done.set_value();
			});
		done.get_future().wait();
	}

	void streaming_server::replace_process(std::string const& new_version)
	{
		++this->breaks;
		this->running.clear();
		auto const port = this->listener->port();
		this->listener->stop();
		this->version = new_version;
		++this->starts;
		this->listen(port);
	}

	void streaming_server::restart_at_next_report(std::string new_version)
	{
		std::scoped_lock const lock(this->mutex);
		this->version_after_report = std::move(new_version);
	}

	bool streaming_server::has_restarted_at_report() const
	{
		return this->was_ended_by_report;
	}

	void streaming_server::close_after_answers()
	{
		std::promise<void> done;
		asio::post(this->thread.context(),
			[&]
			{
				this->listener->drain();
				done.set_value();
			});
		done.get_future().wait();
	}

	streaming_server::~streaming_server()
	{
		this->thread.stop();
	}

	routing::registered_server streaming_server::entry() const
	{
		auto entry = make_server(this->id, http::to_string({"127.0.0.1", this->listener->port()}), this->role);
		entry.version = software_version(this->version);
		entry.started = incarnation(this->is_start_in_entry ? this->starts : 0);
		return entry;
	}

	void streaming_server::break_streams()
	{
		++this->breaks;
	}

	std::map<std::string, int> streaming_server::run_counts() const
	{
		std::scoped_lock const lock(this->mutex);
		return this->runs;
	}

	asio::awaitable<void> streaming_server::serve(http::request message, http::exchange& http_exchange)
	{
		if (message.path() == "/report")
		{
			constexpr unsigned not_found = 404;
			asio::steady_timer timer(this->thread.context(), this->report_delay.load());
			std::ignore = co_await timer.async_wait(token);
			http::response answer;
			answer.status = this->is_reporting ? answer.status : not_found;
			answer.body =
				fmt::format("{};{}", this->is_start_in_report ? this->starts : 0, fmt::join(this->running, ","));
			std::string next_version;
			{
				std::scoped_lock const lock(this->mutex);
				next_version = std::exchange(this->version_after_report, {});
			}
			if (!next_version.empty())
			{
				this->was_ended_by_report = true;
				this->replace_process(next_version);
			}
			std::ignore = co_await http_exchange.reply(std::move(answer));
			co_return;
		}
		if (message.method != "POST")
		{
			http::response answer;
			std::ignore = co_await http_exchange.reply(std::move(answer));
			co_return;
		}
		co_await this->stream(message, http_exchange);
	}

	asio::awaitable<void> streaming_server::stream(http::request const& message, http::exchange& http_exchange)
	{
		auto const breaks_before = this->breaks.load();
		auto const attempt = message.find_header("Attempt");
		auto const first = parse_number(message.find_header("Last-Event-Id")).value_or(0) + 1;
		http::response head;
		head.headers = {{"Attempt", attempt}, {"Content-Type", "text/event-stream"}};
		auto const last = parse_number(message.find_header("Events")).value_or(events_per_stream);
		{
			std::scoped_lock const lock(this->mutex);
			++this->runs[attempt];
		}
		auto is_open = co_await http_exchange.begin_stream(std::move(head));
		asio::steady_timer timer(this->thread.context());
		for (auto number = first; is_open && number <= last; ++number)
		{
			timer.expires_after(event_interval);
			std::ignore = co_await timer.async_wait(token);
			if (this->breaks != breaks_before)
			{
				this->running.erase(attempt);
				co_return;
			}
			this->running.insert(attempt);
			is_open = co_await http_exchange.write(fmt::format("id: {}\ndata: {}\n\n", number, this->version));
		}
		if (is_open)
		{
			std::ignore = co_await http_exchange.end_stream();
		}
		else
		{
			timer.expires_after(time_to_notice_loss);
			std::ignore = co_await timer.async_wait(token);
		}
		this->running.erase(attempt);
	}

	server_list make_servers(std::size_t count, std::string const& version, routing::server_role role)
	{
		server_list servers;
		for (std::size_t number = 0; number < count; ++number)
		{
			servers.push_back(
				std::make_unique<streaming_server>(fmt::format("{}-s{}", version, number), version, role));
		}
		return servers;
	}

	std::vector<routing::registered_server> entries_of(server_list const& servers)
	{
		std::vector<routing::registered_server> entries;
		std::ranges::transform(servers, std::back_inserter(entries),
			[](std::unique_ptr<streaming_server> const& each) { return each->entry(); });
		return entries;
	}

	stream_callers::stream_callers(std::vector<http::endpoint> daemons, std::size_t count)
		: addresses(std::move(daemons))
		, counts(count)
	{
		for (std::size_t caller = 0; caller < count; ++caller)
		{
			this->threads.emplace_back([this, caller] { this->run(caller); });
		}
	}

	stream_callers::~stream_callers()
	{
		std::ignore = this->finish();
	}

	stream_counts stream_callers::finish()
	{
		this->is_over = true;
		std::ranges::for_each(this->threads, [](std::thread& each) { each.join(); });
		this->threads.clear();
		stream_counts sum;
		for (auto const& each : this->counts)
		{
			sum.begun += each.begun;
			sum.complete += each.complete;
			sum.mixed += each.mixed;
			sum.taken_up += each.taken_up;
			sum.went_on += each.went_on;
		}
		return sum;
	}

	void stream_callers::run(std::size_t caller)
	{
		auto& own = this->counts[caller];
		for (std::size_t number = 0; !this->is_over; ++number)
		{
			auto const outcome = this->run_stream(fmt::format("c{}-{}", caller, number), caller + number);
			own.begun += outcome.has_begun ? 1 : 0;
			own.complete += outcome.is_complete ? 1 : 0;
			own.mixed += outcome.is_mixed ? 1 : 0;
			own.taken_up += outcome.was_taken_up ? 1 : 0;
			own.went_on += outcome.went_on ? 1 : 0;
		}
	}

	stream_outcome stream_callers::run_stream(std::string const& name, std::size_t first_daemon) const
	{
		received_events events;
		std::string begun_by;
		stream_outcome outcome;
		for (int number = 0; number < max_tries && !outcome.is_complete; ++number)
		{
			auto const attempt = fmt::format("{}-{}", name, number);
			std::vector<http::header> headers{{"Attempt", attempt}};
			if (!begun_by.empty())
			{
				outcome.was_taken_up = true;
				headers.push_back({"Resumes", begun_by});
				headers.push_back({"Last-Event-Id", std::to_string(events.last_id)});
			}
			auto const last_before = events.last_id;
			std::string answer;
			try
			{
				auto const position = (first_daemon + static_cast<std::size_t>(number)) % this->addresses.size();
				answer = send_to_daemon(this->addresses[position], "POST", headers);
			}
			catch (boost::system::system_error const&)
			{
				// The daemon has been killed.
				answer.clear();
			}
			collect_events(answer, events);
			if (events.last_id > last_before)
			{
				outcome.went_on = outcome.went_on || !begun_by.empty();
				begun_by = begun_by.empty() ? attempt : begun_by;
			}
			outcome.is_complete = events.last_id == events_per_stream;
			if (events.last_id == last_before)
			{
				std::this_thread::sleep_for(pause_after_failure);
			}
		}
		outcome.has_begun = !begun_by.empty();
		outcome.is_mixed = events.versions.size() > 1;
		return outcome;
	}
}
