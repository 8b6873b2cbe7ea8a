#include "world.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <sstream>
#include <stdexcept>
#include <tuple>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

namespace review
{
	namespace
	{
		using asio::ip::tcp;
		using boost::system::error_code;

		constexpr auto token = asio::as_tuple(asio::use_awaitable);
		constexpr std::size_t max_body_bytes = 4'000'000;
		constexpr milliseconds watch_poll_interval(5);
		constexpr unsigned status_gone = 410;
		constexpr unsigned status_ok = 200;

		std::string query_value(std::string const& target, std::string const& name)
		{
			auto const start = target.find(name + "=");
			if (start == std::string::npos)
			{
				return {};
			}
			auto const from = start + name.size() + 1;
			return target.substr(from, target.find('&', from) - from);
		}

		std::string to_base64(std::string const& bytes)
		{
			namespace base64 = beast::detail::base64;
			std::string text(base64::encoded_size(bytes.size()), '\0');
			text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
			return text;
		}

		std::string format_head(unsigned status, std::vector<header> const& headers)
		{
			std::ostringstream text;
			text << "HTTP/1.1 " << status << " Answer\r\n";
			for (auto const& [name, value] : headers)
			{
				text << name << ": " << value << "\r\n";
			}
			return text.str();
		}
	}

	std::string header_of(incoming_request const& message, std::string const& name)
	{
		auto const found = message.find(name);
		return found == message.end() ? std::string() : std::string(found->value());
	}

	std::string loopback_address(int number)
	{
		constexpr int values_per_octet = 250;
		auto const id = getpid();
		return "127." + std::to_string(1 + id / values_per_octet % values_per_octet) + "." +
			   std::to_string(1 + id % values_per_octet) + "." + std::to_string(number);
	}

	unsigned short free_port(std::string const& address)
	{
		asio::io_context loop;
		tcp::acceptor const probe(loop, tcp::endpoint(asio::ip::make_address(address), 0));
		return probe.local_endpoint().port();
	}

	record::record(std::string const& path)
		: file(path)
	{
	}

	void record::line(std::string const& text)
	{
		this->file << static_cast<long>(this->milliseconds_since_start()) << " ms  " << text << std::endl;
	}

	double record::milliseconds_since_start() const
	{
		return std::chrono::duration<double, std::milli>(clock::now() - this->started).count();
	}

	asio::awaitable<void> sleep_for(clock::duration time)
	{
		asio::steady_timer timer(co_await asio::this_coro::executor, time);
		std::ignore = co_await timer.async_wait(token);
	}

	channel::channel(tcp::socket socket)
		: stream(std::move(socket))
	{
		error_code ignored;
		std::ignore = this->stream.socket().set_option(tcp::no_delay(true), ignored);
	}

	asio::awaitable<bool> channel::write(std::string bytes)
	{
		if (this->is_closed)
		{
			co_return false;
		}
		auto const [error, size] = co_await asio::async_write(this->stream, asio::buffer(bytes), token);
		this->is_closed = this->is_closed || error.failed();
		co_return !this->is_closed;
	}

	asio::awaitable<bool> channel::answer(unsigned status, std::vector<header> const& headers, std::string const& body)
	{
		auto text = format_head(status, headers);
		text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
		this->last_answer = text;
		co_return co_await this->write(std::move(text));
	}

	asio::awaitable<bool> channel::begin_stream(std::vector<header> const& headers)
	{
		this->last_answer.clear();
		co_return co_await this->write(format_head(status_ok, headers) + "Transfer-Encoding: chunked\r\n\r\n");
	}

	asio::awaitable<bool> channel::write_chunk(std::string const& piece)
	{
		std::ostringstream text;
		text << std::hex << piece.size() << "\r\n" << piece << "\r\n";
		co_return co_await this->write(text.str());
	}

	asio::awaitable<bool> channel::end_stream()
	{
		co_return co_await this->write("0\r\n\r\n");
	}

	void channel::close()
	{
		this->is_closed = true;
		this->stream.close();
	}

	http_listener::http_listener(asio::io_context& event_loop, std::string const& address, handler given)
		: loop(&event_loop)
		, ip(asio::ip::make_address(address))
		, respond(std::move(given))
	{
		this->listen(0);
	}

	std::string http_listener::address() const
	{
		return this->ip.to_string() + ":" + std::to_string(this->port);
	}

	void http_listener::listen(unsigned short wanted_port)
	{
		this->listening = std::make_shared<tcp::acceptor>(*this->loop, tcp::endpoint(this->ip, wanted_port));
		this->port = this->listening->local_endpoint().port();
		asio::co_spawn(*this->loop, this->accept(this->listening), asio::detached);
	}

	void http_listener::close()
	{
		error_code ignored;
		std::ignore = this->listening->close(ignored);
		for (auto const& each : this->channels)
		{
			if (auto const link = each.lock())
			{
				std::ignore = link->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
				link->close();
			}
		}
		this->channels.clear();
	}

	void http_listener::open()
	{
		this->listen(this->port);
	}

	asio::awaitable<void> http_listener::accept(std::shared_ptr<tcp::acceptor> acceptor)
	{
		while (acceptor->is_open())
		{
			auto [error, socket] = co_await acceptor->async_accept(token);
			if (!error)
			{
				auto const link = std::make_shared<channel>(std::move(socket));
				std::erase_if(this->channels, [](std::weak_ptr<channel> const& each) { return each.expired(); });
				this->channels.push_back(link);
				asio::co_spawn(*this->loop, this->serve(link), asio::detached);
			}
		}
	}

	asio::awaitable<void> http_listener::serve(std::shared_ptr<channel> link)
	{
		while (!link->is_closed)
		{
			beast::http::request_parser<beast::http::string_body> parser;
			parser.body_limit(max_body_bytes);
			auto const [error, size] = co_await beast::http::async_read(link->stream, link->buffer, parser, token);
			if (error)
			{
				break;
			}
			if (!link->late_extra.empty())
			{
				std::ignore = co_await link->write(std::exchange(link->late_extra, {}));
			}
			co_await this->respond(parser.get(), *link);
		}
		link->close();
	}

	store::store(asio::io_context& loop, std::string const& address)
		: listener(loop, address,
			  [this](incoming_request const& message, channel& link) { return this->serve(message, link); })
	{
	}

	std::string store::address() const
	{
		return this->listener.address();
	}

	void store::put(std::string const& key, std::string const& value)
	{
		item const written{++this->now.revision, key, value};
		this->now.items[key] = written;
		this->now.history.push_back(written);
	}

	void store::remove(std::string const& key)
	{
		this->now.items.erase(key);
		this->now.history.push_back({++this->now.revision, key, std::nullopt});
	}

	std::uint64_t store::revision() const noexcept
	{
		return this->now.revision;
	}

	std::uint64_t store::era() const noexcept
	{
		return this->current_era;
	}

	void store::copy()
	{
		this->saved = this->now;
	}

	void store::go_away()
	{
		this->listener.close();
	}

	void store::come_back()
	{
		this->listener.open();
	}

	void store::come_back_from_copy()
	{
		this->now = this->saved;
		++this->current_era;
		this->listener.open();
	}

	asio::awaitable<void> store::serve(incoming_request const& message, channel& link)
	{
		auto const target = std::string(message.target());
		std::vector<header> headers{
			{"Content-Type", "application/json"}, {"Store-Era", std::to_string(this->current_era)}};
		if (target.starts_with("/kv-range"))
		{
			std::ignore = co_await link.answer(status_ok, headers, this->list());
			co_return;
		}
		auto const after = std::stoull(query_value(target, "after"));
		auto const ends_at = clock::now() + milliseconds(std::stoll(query_value(target, "wait-ms")));
		while (this->now.revision == after && clock::now() < ends_at && !link.is_closed)
		{
			co_await sleep_for(watch_poll_interval);
		}
		if (this->now.revision < after)
		{
			// The watch names a revision that this store does not have.
			std::ignore = co_await link.answer(status_gone, headers, "{}");
			co_return;
		}
		std::ignore = co_await link.answer(status_ok, headers, this->changes_after(after));
	}

	std::string store::list() const
	{
		boost::json::array found;
		for (auto const& [key, held] : this->now.items)
		{
			found.push_back(boost::json::object{{"key", key}, {"value", to_base64(*held.value)},
				{"revision", held.revision}, {"create-revision", held.revision}, {"lease", 0}});
		}
		return boost::json::serialize(boost::json::object{
			{"items", std::move(found)}, {"truncated", false}, {"store-revision", this->now.revision}});
	}

	std::string store::changes_after(std::uint64_t after) const
	{
		boost::json::array events;
		for (auto const& each : this->now.history)
		{
			if (each.revision <= after)
			{
				continue;
			}
			boost::json::object event{{"key", each.key}, {"revision", each.revision}};
			if (each.value)
			{
				event["value"] = to_base64(*each.value);
				event["create-revision"] = each.revision;
				event["lease"] = 0;
			}
			else
			{
				event["tombstone"] = true;
			}
			events.push_back(std::move(event));
		}
		return boost::json::serialize(
			boost::json::object{{"events", std::move(events)}, {"store-revision", this->now.revision}});
	}

	asio::awaitable<client_answer> send_request(std::string address, client_request message, clock::duration time_limit)
	{
		client_answer answer;
		auto const colon = address.rfind(':');
		tcp::endpoint const target(asio::ip::make_address(address.substr(0, colon)),
			static_cast<unsigned short>(std::stoi(address.substr(colon + 1))));
		beast::tcp_stream stream(co_await asio::this_coro::executor);
		stream.expires_after(std::min<clock::duration>(time_limit, seconds(1)));
		auto const [connect_error] = co_await stream.async_connect(target, token);
		if (connect_error)
		{
			co_return answer;
		}
		std::ostringstream text;
		text << message.method << ' ' << message.path << " HTTP/1.1\r\nHost: " << message.host << "\r\n";
		if (!message.attempt.empty())
		{
			text << "X-Request-Attempt-Id: " << message.attempt
				 << "\r\nX-Deadline-Ms: " << std::chrono::duration_cast<milliseconds>(time_limit).count() << "\r\n";
		}
		for (auto const& [name, value] : message.headers)
		{
			text << name << ": " << value << "\r\n";
		}
		text << "Content-Length: " << message.body.size() << "\r\n\r\n";
		stream.expires_after(time_limit);
		auto const is_slow = message.upload_time > clock::duration::zero();
		auto const first_size = is_slow ? message.body.size() / 2 : message.body.size();
		auto const bytes = text.str() + message.body.substr(0, first_size);
		auto [write_error, written] = co_await asio::async_write(stream, asio::buffer(bytes), token);
		if (!write_error && is_slow)
		{
			co_await sleep_for(message.upload_time);
			auto const rest = message.body.substr(first_size);
			std::tie(write_error, written) = co_await asio::async_write(stream, asio::buffer(rest), token);
		}
		if (write_error)
		{
			co_return answer;
		}
		answer.is_sent = true;
		beast::flat_buffer buffer;
		beast::http::response_parser<beast::http::string_body> parser;
		parser.body_limit(max_body_bytes);
		auto const [head_error, head_size] = co_await beast::http::async_read_header(stream, buffer, parser, token);
		if (head_error)
		{
			co_return answer;
		}
		answer.status = parser.get().result_int();
		answer.has_seal = parser.get().find("X-Server-Seal") != parser.get().end();
		answer.says_leaving = parser.get()["Server-Leaving"] == "1";
		answer.server = std::string(parser.get()["X-Instance-Id"]);
		auto const [error, size] = co_await beast::http::async_read(stream, buffer, parser, token);
		answer.is_whole = !error;
		answer.body = parser.get().body();
		co_return answer;
	}

	daemon_addresses choose_daemon_addresses(int number)
	{
		daemon_addresses chosen;
		chosen.name = "front-" + std::to_string(number);
		chosen.ip = loopback_address(number);
		auto const with_port = [&]
		{
			return chosen.ip + ":" + std::to_string(free_port(chosen.ip));
		};
		chosen.frontend = with_port();
		chosen.ready = with_port();
		chosen.control = with_port();
		return chosen;
	}

	daemon_process::daemon_process(std::string daemon_program, std::string own_folder, daemon_addresses own,
		std::string store_at, std::vector<std::string> seed_addresses)
		: addresses(std::move(own))
		, program(std::move(daemon_program))
		, folder(std::move(own_folder))
		, store_address(std::move(store_at))
		, seeds(std::move(seed_addresses))
	{
	}

	daemon_process::~daemon_process()
	{
		this->kill();
	}

	void daemon_process::start(bool bootstrap)
	{
		boost::json::array const seed_list(this->seeds.begin(), this->seeds.end());
		boost::json::object const settings{{"node-name", this->addresses.name}, {"role", "router"},
			{"machine-class", "front"}, {"serves", {"front", "control"}}, {"ip", this->addresses.ip}, {"zone", "north"},
			{"region", "luzon"}, {"zones", {{"north", "luzon"}}},
			{"listen-addrs", {{"frontend", this->addresses.frontend}, {"ready", this->addresses.ready},
								 {"control", this->addresses.control}}},
			{"seed-nodes", seed_list}, {"bootstrap", bootstrap}, {"heartbeat-ms", 1200},
			{"bounds", {{"seed-lag-s", 3}, {"reuse-after-s", 2}, {"contact-ms", 3000}, {"drain-ms", 2000},
						   {"grace-s", 8}, {"config-apply-ms", 2000}, {"retry-budget-ratio", 0.2},
						   {"budget-window-s", 10}, {"retry-budget-slack", 52}, {"require-fencing", true},
						   {"lease-ms", 3000}, {"freeze-slack-ms", 300}}},
			{"platform", {{"address", this->store_address}, {"form", "read"}, {"reads-per-s", 2000}, {"history-s", 20},
							 {"value-bytes", 1048576}}}};
		auto const path = this->folder + "/" + this->addresses.name + ".json";
		std::ofstream(path) << boost::json::serialize(settings);
		auto const log_path = this->folder + "/" + this->addresses.name + ".log";
		auto const variable = "GODWITTRESTLE_BOOT=" + path;
		this->process = fork();
		if (this->process == 0)
		{
			constexpr int log_mode = 0644;
			auto const log = ::open(log_path.c_str(), O_CREAT | O_APPEND | O_WRONLY | O_CLOEXEC, log_mode);
			::dup2(log, STDOUT_FILENO);
			::dup2(log, STDERR_FILENO);
			// The daemon must not keep the sockets of the stand-ins open.
			::close_range(STDERR_FILENO + 1, ~0U, 0);
			std::string name = this->program;
			std::string setting = variable;
			std::array<char*, 2> arguments{name.data(), nullptr};
			std::array<char*, 2> environment{setting.data(), nullptr};
			::execve(name.c_str(), arguments.data(), environment.data());
			::_exit(127);
		}
	}

	void daemon_process::kill()
	{
		if (this->process > 0)
		{
			::kill(this->process, SIGKILL);
			::waitpid(this->process, nullptr, 0);
			this->process = -1;
		}
	}

	void daemon_process::terminate()
	{
		if (this->process > 0)
		{
			::kill(this->process, SIGTERM);
		}
	}

	bool daemon_process::has_ended()
	{
		if (this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) == this->process)
		{
			this->process = -1;
			return true;
		}
		return false;
	}

	asio::awaitable<bool> wait_until_ready(std::string ready_address, clock::duration time_limit)
	{
		constexpr milliseconds pause(50);
		auto const ends_at = clock::now() + time_limit;
		while (clock::now() < ends_at)
		{
			client_request question;
			question.method = "GET";
			question.path = "/ready";
			auto const answer = co_await send_request(ready_address, std::move(question), seconds(1));
			if (answer.status == status_ok)
			{
				co_return true;
			}
			co_await sleep_for(pause);
		}
		co_return false;
	}
}
