#include "process_fleet.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

namespace godwittrestle::testing
{
	namespace
	{
		constexpr std::array<char const*, 3> data_centres{"manila-north", "manila-south", "pampanga"};
		constexpr auto poll_interval = std::chrono::milliseconds(20);
		constexpr unsigned short ports_per_daemon = 3;

		boost::json::value parse_or_null(std::string const& text)
		{
			boost::system::error_code error;
			auto value = boost::json::parse(text, error);
			return error ? boost::json::value(nullptr) : std::move(value);
		}
	}

	http_caller::http_caller(http::endpoint where, http::request message)
		: client(this->loop.get_executor())
	{
		boost::asio::co_spawn(this->loop, this->run(std::move(where), std::move(message)), boost::asio::detached);
		this->thread = std::jthread([this] { this->loop.run(); });
	}

	http_caller::~http_caller()
	{
		this->loop.stop();
	}

	received_answer http_caller::answer_so_far() const
	{
		std::scoped_lock const lock(this->mutex);
		return this->answer_state;
	}

	void http_caller::add_event(http::sse_event const& event)
	{
		std::scoped_lock const lock(this->mutex);
		if (event.data == "[DONE]")
		{
			this->answer_state.is_complete = true;
			return;
		}
		auto const value = parse_or_null(event.data);
		if (event.id.empty() || !value.is_object())
		{
			return;
		}
		this->answer_state.ids.push_back(event.id);
		this->answer_state.text += value.at("choices").at(0).at("text").as_string();
	}

	boost::asio::awaitable<void> http_caller::run(http::endpoint where, http::request message)
	{
		http::sse_parser parser;
		std::function<boost::asio::awaitable<void>(std::string_view)> on_piece =
			[&](std::string_view piece) -> boost::asio::awaitable<void>
		{
			for (auto const& event : parser.feed(piece))
			{
				this->add_event(event);
			}
			co_return;
		};
		http::call_options const options{seconds(60), true};
		auto const is_stream = message.target == "/v1/completions";
		http::call_result outcome = http::client_failure::not_connected;
		if (is_stream)
		{
			outcome = co_await this->client.stream(where, std::move(message), options, std::move(on_piece));
		}
		else
		{
			outcome = co_await this->client.call(where, std::move(message), options);
		}
		std::scoped_lock const lock(this->mutex);
		this->answer_state.is_done = true;
		auto const* const answer = std::get_if<http::response>(&outcome);
		this->answer_state.has_no_response = answer == nullptr;
		if (answer != nullptr)
		{
			this->answer_state.status = answer->status;
			this->answer_state.outcome = answer->find_header("X-Outcome");
			this->answer_state.replay = answer->find_header("X-Replay");
		}
	}

	process_fleet::process_fleet(
		unsigned short port, std::string folder, int count, std::vector<std::string> extra_arguments)
		: first_port(port)
		, log_folder(std::move(folder))
		, daemon_count(count)
		, daemon_arguments(std::move(extra_arguments))
	{
		auto next_port = static_cast<unsigned short>(port + 50);
		for (auto const* const name :
			{"platform", "prefill-1", "prefill-2", "decode-1", "decode-2", "plain-1", "plain-2"})
		{
			this->ports[name] = next_port++;
		}
		this->start_standin("platform", {"--kind", "platform"});
		for (auto const* const name : {"prefill-1", "prefill-2"})
		{
			this->start_standin(name, {"--kind", "engine", "--role", "prefill", "--model", "m1"});
		}
		for (auto const* const name : {"decode-1", "decode-2"})
		{
			this->start_standin(name, {"--kind", "engine", "--role", "decode", "--model", "m1"});
		}
		this->start_standin("plain-1", {"--kind", "plain"});
		this->start_standin("plain-2", {"--kind", "plain"});
		for (auto index = 0; index < count; ++index)
		{
			this->ports[fmt::format("d{}", index + 1)] = static_cast<unsigned short>(port + ports_per_daemon * index);
		}
		for (auto const& [name, each] : this->ports)
		{
			auto const is_up = [&]
			{
				return !name.starts_with('d') || name.starts_with("decode")
						   ? this->send_request(this->endpoint_of(name), {"POST", "/control", {}, "{}"}).has_value()
						   : true;
			};
			std::ignore = wait_for(is_up, std::chrono::seconds(10));
		}
		this->publish_instances();
		for (auto const& name : this->daemons())
		{
			this->start_daemon(name);
		}
	}

	bool process_fleet::wait_for(std::function<bool()> const& condition, std::chrono::milliseconds within)
	{
		auto const end = std::chrono::steady_clock::now() + within;
		while (!condition())
		{
			if (std::chrono::steady_clock::now() > end)
			{
				return false;
			}
			std::this_thread::sleep_for(poll_interval);
		}
		return true;
	}

	http::endpoint process_fleet::endpoint_of(std::string const& name) const
	{
		return {"127.0.0.1", this->ports.at(name)};
	}

	http::endpoint process_fleet::caller_address(std::string const& daemon) const
	{
		return this->endpoint_of(daemon);
	}

	std::vector<std::string> process_fleet::daemons() const
	{
		std::vector<std::string> names;
		for (auto index = 1; index <= this->daemon_count; ++index)
		{
			names.push_back(fmt::format("d{}", index));
		}
		return names;
	}

	std::optional<http::response> process_fleet::send_request(http::endpoint const& where, http::request message) const
	{
		boost::asio::io_context loop{1};
		http::client client(loop.get_executor());
		std::optional<http::response> answer;
		auto run = [&]() -> boost::asio::awaitable<void>
		{
			http::call_options const options{seconds(3), true};
			auto outcome = co_await client.call(where, std::move(message), options);
			if (auto* const received = std::get_if<http::response>(&outcome))
			{
				answer = std::move(*received);
			}
		};
		boost::asio::co_spawn(loop, run(), boost::asio::detached);
		loop.run();
		return answer;
	}

	void process_fleet::start_standin(std::string const& name, std::vector<std::string> const& arguments)
	{
		std::vector<std::string> all{STANDIN_PROGRAM, "--listen", http::to_string(this->endpoint_of(name))};
		all.insert(all.end(), arguments.begin(), arguments.end());
		this->processes[name] = std::make_unique<child_process>(all, this->log_folder + "/" + name + ".log");
	}

	void process_fleet::start_daemon(std::string const& name)
	{
		auto const port = this->ports.at(name);
		auto const number = static_cast<std::size_t>(std::stoi(name.substr(1)) - 1);
		auto const address = [&](int offset)
		{
			return fmt::format("127.0.0.1:{}", port + offset);
		};
		std::vector<std::string> arguments{DAEMON_PROGRAM, "--instance", name, "--data-centre",
			data_centres.at(number % data_centres.size()), "--platform-address",
			http::to_string(this->endpoint_of("platform")), "--caller-address", address(0), "--operator-address",
			address(1), "--peer-address", address(2)};
		arguments.insert(arguments.end(), this->daemon_arguments.begin(), this->daemon_arguments.end());
		this->processes.erase(name);
		this->processes[name] = std::make_unique<child_process>(arguments, this->log_folder + "/" + name + ".log");
	}

	void process_fleet::signal(std::string const& name, int number)
	{
		this->processes.at(name)->signal(number);
	}

	std::optional<int> process_fleet::exit_code(std::string const& name)
	{
		return this->processes.at(name)->exit_code();
	}

	void process_fleet::set_switches(std::string const& name, boost::json::object const& switches)
	{
		std::ignore =
			this->send_request(this->endpoint_of(name), {"POST", "/control", {}, boost::json::serialize(switches)});
	}

	void process_fleet::publish(std::string const& document)
	{
		std::ignore = this->send_request(this->endpoint_of("platform"), {"PUT", "/v1/values/policy", {}, document});
	}

	void process_fleet::publish_instances()
	{
		boost::json::array daemons;
		for (std::size_t index = 0; index < static_cast<std::size_t>(this->daemon_count); ++index)
		{
			auto const name = fmt::format("d{}", index + 1);
			daemons.push_back({{"id", name}, {"data_centre", data_centres.at(index % data_centres.size())},
				{"peer_address", fmt::format("127.0.0.1:{}", this->ports.at(name) + 2)}, {"state", "live"}});
		}
		boost::json::array servers;
		for (auto const& [name, port] : this->ports)
		{
			auto const number = static_cast<std::size_t>(name.back() - '1');
			auto const pool = name.substr(0, name.find('-'));
			if (pool == "prefill" || pool == "decode" || pool == "plain")
			{
				servers.push_back({{"id", name}, {"data_centre", data_centres.at(number % data_centres.size())},
					{"pool", pool == "plain" ? "desk" : pool}, {"address", fmt::format("127.0.0.1:{}", port)},
					{"state", "live"}});
			}
		}
		boost::json::object const list{{"daemons", daemons}, {"servers", servers}};
		std::ignore = this->send_request(
			this->endpoint_of("platform"), {"PUT", "/v1/values/instances", {}, boost::json::serialize(list)});
	}

	boost::json::value process_fleet::get_operator_json(std::string const& daemon, std::string const& target)
	{
		http::endpoint const where{"127.0.0.1", static_cast<unsigned short>(this->ports.at(daemon) + 1)};
		auto const answer = this->send_request(where, {"GET", target, {}, {}});
		return answer ? parse_or_null(answer->body) : boost::json::value(nullptr);
	}

	std::string process_fleet::issue_key(std::string const& daemon)
	{
		auto const answer = this->send_request(this->endpoint_of(daemon), {"POST", "/v1/idempotency-keys", {}, {}});
		auto const value = answer ? parse_or_null(answer->body) : boost::json::value(nullptr);
		return value.is_object() ? std::string(value.at("keys").at(0).as_string()) : std::string{};
	}

	std::int64_t process_fleet::count_runs(std::string const& call_text)
	{
		std::int64_t sum = 0;
		for (auto const* const name : {"plain-1", "plain-2"})
		{
			auto const answer = this->send_request(this->endpoint_of(name), {"GET", "/runs", {}, {}});
			auto const value = answer ? parse_or_null(answer->body) : boost::json::value(nullptr);
			if (value.is_object() && value.as_object().contains(call_text))
			{
				sum += value.at(call_text).to_number<std::int64_t>();
			}
		}
		return sum;
	}

	std::size_t process_fleet::count_held_requests()
	{
		std::size_t sum = 0;
		for (auto const* const name : {"prefill-1", "prefill-2", "decode-1", "decode-2"})
		{
			auto const answer = this->send_request(this->endpoint_of(name), {"POST", "/control", {}, "{}"});
			auto const value = answer ? parse_or_null(answer->body) : boost::json::value(nullptr);
			sum += value.is_object() ? value.at("held").as_array().size() : 0;
		}
		return sum;
	}

	bool process_fleet::is_ready(std::string const& daemon)
	{
		auto const answer = this->send_request(this->endpoint_of(daemon), {"GET", "/readyz", {}, {}});
		return answer && answer->status == 200;
	}

	std::size_t process_fleet::count_events(std::string const& event)
	{
		std::size_t count = 0;
		for (auto const& name : this->daemons())
		{
			auto const line =
				this->exit_code(name) ? boost::json::value(nullptr) : this->get_operator_json(name, "/v1/timeline");
			if (line.is_array())
			{
				count += static_cast<std::size_t>(std::ranges::count_if(
					line.as_array(), [&](auto const& each) { return each.at("event").as_string() == event; }));
			}
		}
		return count;
	}
}
