#include "standins.hpp"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <thread>

#include <fmt/format.h>
#include <openssl/evp.h>
#include <poll.h>
#include <sys/socket.h>

namespace review
{
	namespace
	{
		constexpr milliseconds ready_time{15'000};
		constexpr milliseconds ready_poll{100};
		constexpr milliseconds ready_call_timeout{1'000};
		constexpr int argument_count = 5;

		std::string encode_base64(std::string const& bytes)
		{
			constexpr std::size_t bytes_per_group = 3;
			constexpr std::size_t chars_per_group = 4;
			std::string text((bytes.size() + bytes_per_group - 1) / bytes_per_group * chars_per_group + 1, '\0');
			auto* const output = reinterpret_cast<unsigned char*>(text.data());
			auto const* const input = reinterpret_cast<unsigned char const*>(bytes.data());
			auto const size = EVP_EncodeBlock(output, input, static_cast<int>(bytes.size()));
			text.resize(static_cast<std::size_t>(size));
			return text;
		}

		std::string make_head(unsigned status, header_list const& headers)
		{
			auto const reason = beast::http::obsolete_reason(static_cast<beast::http::status>(status));
			auto text = fmt::format("HTTP/1.1 {} {}\r\n", status, std::string(reason));
			for (auto const& [name, value] : headers)
			{
				text += fmt::format("{}: {}\r\n", name, value);
			}
			return text;
		}

		tcp::endpoint to_endpoint(std::string const& address)
		{
			auto const colon = address.rfind(':');
			auto const port = static_cast<unsigned short>(std::stoul(address.substr(colon + 1)));
			return {asio::ip::make_address(address.substr(0, colon)), port};
		}

		std::string address_of(tcp::acceptor const& acceptor)
		{
			auto const local = acceptor.local_endpoint();
			return fmt::format("{}:{}", local.address().to_string(), local.port());
		}
	}

	std::string case_arguments::ip(int host) const
	{
		return fmt::format("{}.{}", this->network, host);
	}

	case_arguments read_arguments(int count, char const* const* arguments)
	{
		std::vector<std::string> const given(arguments + 1, arguments + count);
		if (given.size() + 1 != argument_count)
		{
			std::cerr << "usage: PROGRAM FOLDER NETWORK TROUBLE RECORD\n";
			std::_Exit(case_failed);
		}
		return {given[0], given[1], given[2] != "0", given[3]};
	}

	record_file::record_file(std::string const& path)
		: file(path)
	{
	}

	void record_file::add(std::string const& line)
	{
		std::scoped_lock const lock(this->mutex);
		this->file << fmt::format("{:9.3f} {}", this->seconds(), line) << std::endl;
	}

	double record_file::seconds() const
	{
		return std::chrono::duration<double>(clock::now() - this->started).count();
	}

	connection::connection(tcp::socket opened)
		: socket(std::move(opened))
	{
		error_code ignored;
		std::ignore = this->socket.set_option(tcp::no_delay(true), ignored);
	}

	bool connection::read(request& into)
	{
		beast::http::request_parser<beast::http::string_body> parser;
		parser.body_limit(boost::none);
		error_code error;
		beast::http::read(this->socket, this->buffer, parser, error);
		if (!error)
		{
			into = parser.release();
		}
		return !error;
	}

	bool connection::write(std::string const& bytes)
	{
		error_code error;
		asio::write(this->socket, asio::buffer(bytes), error);
		return !error;
	}

	bool connection::write_unless_unread(std::string const& bytes, milliseconds longest)
	{
		std::size_t written = 0;
		while (written < bytes.size())
		{
			auto const rest = bytes.size() - written;
			auto const size =
				send(this->socket.native_handle(), bytes.data() + written, rest, MSG_DONTWAIT | MSG_NOSIGNAL);
			if (size >= 0)
			{
				written += static_cast<std::size_t>(size);
				continue;
			}
			pollfd wanted{this->socket.native_handle(), POLLOUT, 0};
			auto const is_blocked = errno == EAGAIN || errno == EWOULDBLOCK;
			if (!is_blocked || poll(&wanted, 1, static_cast<int>(longest.count())) <= 0)
			{
				error_code ignored;
				std::ignore = this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
				std::ignore = this->socket.close(ignored);
				return false;
			}
		}
		return true;
	}

	void connection::close()
	{
		error_code ignored;
		std::ignore = this->socket.shutdown(tcp::socket::shutdown_both, ignored);
		std::ignore = this->socket.close(ignored);
	}

	http_server::http_server(std::string const& ip, handler respond)
		: acceptor(this->loop, tcp::endpoint(asio::ip::make_address(ip), 0))
		, where(address_of(this->acceptor))
		, handle(std::move(respond))
	{
		std::thread([this] { this->accept(); }).detach();
	}

	std::string const& http_server::address() const noexcept
	{
		return this->where;
	}

	void http_server::accept()
	{
		while (true)
		{
			error_code error;
			auto socket = this->acceptor.accept(error);
			if (error)
			{
				continue;
			}
			auto const opened = std::make_shared<connection>(std::move(socket));
			auto serve = [this, opened]
			{
				request message;
				while (opened->read(message))
				{
					this->handle(*opened, message);
				}
				opened->close();
			};
			std::thread(serve).detach();
		}
	}

	std::string make_answer(unsigned status, header_list const& headers, std::string const& body)
	{
		return fmt::format("{}Content-Length: {}\r\n\r\n{}", make_head(status, headers), body.size(), body);
	}

	std::string make_unframed_answer(unsigned status, header_list const& headers, std::string const& body)
	{
		return fmt::format("{}Connection: close\r\n\r\n{}", make_head(status, headers), body);
	}

	std::string make_chunked_head(unsigned status, header_list const& headers)
	{
		return make_head(status, headers) + "Transfer-Encoding: chunked\r\n\r\n";
	}

	std::string make_chunk(std::string const& text)
	{
		return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
	}

	std::string header_of(request const& message, std::string const& name)
	{
		auto const found = message.find(name);
		return found == message.end() ? std::string() : std::string(found->value());
	}

	std::string path_of(request const& message)
	{
		std::string const target(message.target());
		return target.substr(0, target.find('?'));
	}

	std::uint64_t query_number(request const& message, std::string const& name)
	{
		std::string const target(message.target());
		auto const begin = target.find(name + "=");
		std::uint64_t number = 0;
		if (begin != std::string::npos)
		{
			auto const* const digits = target.data() + begin + name.size() + 1;
			std::from_chars(digits, target.data() + target.size(), number);
		}
		return number;
	}

	store::store(std::string const& ip)
		: server(ip, [this](connection& to, request const& message) { this->serve(to, message); })
	{
	}

	std::string const& store::address() const noexcept
	{
		return this->server.address();
	}

	void store::put(std::string const& key, std::string const& value)
	{
		std::scoped_lock const lock(this->mutex);
		change const written{key, value, ++this->revision};
		this->items[key] = written;
		this->history.push_back(written);
		this->changed.notify_all();
	}

	void store::remove(std::string const& key)
	{
		std::scoped_lock const lock(this->mutex);
		this->items.erase(key);
		this->history.push_back({key, std::nullopt, ++this->revision});
		this->changed.notify_all();
	}

	void store::serve(connection& to, request const& message)
	{
		header_list const headers{{"Content-Type", "application/json"}, {"Store-Era", "1"}};
		auto const path = path_of(message);
		if (path == "/kv-range")
		{
			to.write(make_answer(200, headers, this->list()));
			return;
		}
		if (path == "/kv-watch")
		{
			auto const wait = milliseconds(static_cast<std::int64_t>(query_number(message, "wait-ms")));
			to.write(make_answer(200, headers, this->watch(query_number(message, "after"), wait)));
			return;
		}
		to.write(make_answer(404, headers, "{}"));
	}

	std::string store::list()
	{
		std::scoped_lock const lock(this->mutex);
		std::string listed;
		for (auto const& [key, item] : this->items)
		{
			listed += (listed.empty() ? "" : ",") + describe(item);
		}
		return fmt::format(R"({{"items":[{}],"truncated":false,"store-revision":{}}})", listed, this->revision);
	}

	std::string store::watch(std::uint64_t after, milliseconds wait)
	{
		std::unique_lock lock(this->mutex);
		this->changed.wait_for(lock, wait, [&] { return this->revision > after; });
		std::string events;
		for (auto const& each : this->history)
		{
			if (each.revision > after)
			{
				events += (events.empty() ? "" : ",") + describe(each);
			}
		}
		return fmt::format(R"({{"events":[{}],"store-revision":{}}})", events, this->revision);
	}

	std::string store::describe(change const& each)
	{
		if (!each.value)
		{
			return fmt::format(R"({{"key":"{}","revision":{},"tombstone":true}})", each.key, each.revision);
		}
		return fmt::format(R"({{"key":"{}","value":"{}","revision":{},"create-revision":{},"lease":0}})", each.key,
			encode_base64(*each.value), each.revision, each.revision);
	}

	silencing_proxy::silencing_proxy(std::string const& ip, std::string passed_to)
		: acceptor(this->loop, tcp::endpoint(asio::ip::make_address(ip), 0))
		, where(address_of(this->acceptor))
		, target(std::move(passed_to))
	{
		std::thread([this] { this->accept(); }).detach();
	}

	std::string const& silencing_proxy::address() const noexcept
	{
		return this->where;
	}

	void silencing_proxy::silence_open_connections()
	{
		++this->present;
	}

	void silencing_proxy::accept()
	{
		while (true)
		{
			error_code error;
			auto const outer = std::make_shared<tcp::socket>(this->acceptor.accept(error));
			auto const inner = std::make_shared<tcp::socket>(this->loop);
			if (!error)
			{
				std::ignore = inner->connect(to_endpoint(this->target), error);
			}
			if (error)
			{
				continue;
			}
			auto const generation = this->present.load();
			std::thread([this, outer, inner, generation] { this->pass_on(*outer, *inner, generation); }).detach();
			std::thread([this, outer, inner, generation] { this->pass_on(*inner, *outer, generation); }).detach();
		}
	}

	void silencing_proxy::pass_on(tcp::socket& from, tcp::socket& to, std::uint64_t generation)
	{
		constexpr std::size_t piece_bytes = 65'536;
		std::string piece(piece_bytes, '\0');
		error_code error;
		while (!error)
		{
			auto const size = from.read_some(asio::buffer(piece), error);
			// Of a silent connection neither bytes nor ends are passed on.
			auto const is_silent = this->present != generation;
			if (is_silent)
			{
				continue;
			}
			if (error)
			{
				error_code ignored;
				std::ignore = to.shutdown(tcp::socket::shutdown_both, ignored);
				return;
			}
			asio::write(to, asio::buffer(piece.data(), size), error);
		}
	}

	caller_answer call(std::string const& address, request message, milliseconds timeout)
	{
		caller_answer got;
		asio::io_context loop;
		beast::tcp_stream stream(loop);
		error_code error;
		auto const finish = [&]
		{
			loop.restart();
			loop.run();
		};
		stream.expires_after(timeout);
		stream.async_connect(to_endpoint(address), [&](error_code const& result) { error = result; });
		finish();
		if (error)
		{
			return got;
		}
		got.is_connected = true;
		auto const note = [&](error_code const& result, std::size_t)
		{
			error = result;
		};
		beast::http::async_write(stream, message, note);
		finish();
		beast::flat_buffer buffer;
		beast::http::response_parser<beast::http::string_body> parser;
		parser.body_limit(boost::none);
		if (!error)
		{
			beast::http::async_read(stream, buffer, parser, note);
			finish();
		}
		got.is_whole = !error && parser.is_done();
		if (parser.is_header_done())
		{
			got.status = parser.get().result_int();
			for (auto const& each : parser.get())
			{
				got.headers[std::string(each.name_string())] = std::string(each.value());
			}
			got.body = parser.get().body();
		}
		return got;
	}

	caller_channel::caller_channel(std::string const& from, std::string const& address, milliseconds timeout)
		: stream(this->loop)
	{
		error_code error;
		std::ignore = this->stream.socket().open(tcp::v4(), error);
		std::ignore = this->stream.socket().bind(tcp::endpoint(asio::ip::make_address(from), 0), error);
		this->stream.expires_after(timeout);
		this->stream.async_connect(
			to_endpoint(address), [this](error_code const& result) { this->is_connected = !result; });
		this->finish();
	}

	void caller_channel::finish()
	{
		this->loop.restart();
		this->loop.run();
	}

	caller_answer caller_channel::exchange(request message, milliseconds timeout)
	{
		caller_answer got;
		got.is_connected = this->is_connected;
		if (!this->is_connected)
		{
			return got;
		}
		error_code error;
		auto const note = [&](error_code const& result, std::size_t)
		{
			error = result;
		};
		this->stream.expires_after(timeout);
		beast::http::async_write(this->stream, message, note);
		this->finish();
		// An answer may come before the whole request was taken.
		beast::http::response_parser<beast::http::string_body> parser;
		parser.body_limit(boost::none);
		beast::http::async_read(this->stream, this->buffer, parser, note);
		this->finish();
		got.is_whole = !error && parser.is_done();
		if (parser.is_header_done())
		{
			got.status = parser.get().result_int();
			got.body = parser.get().body();
		}
		this->is_connected = got.is_whole && parser.get().keep_alive();
		return got;
	}

	bool caller_channel::is_open() const noexcept
	{
		return this->is_connected;
	}

	request make_request(std::string const& method, std::string const& target, std::string const& attempt,
		milliseconds time_limit, std::string const& body)
	{
		request message;
		message.version(11);
		message.method_string(method);
		message.target(target);
		message.set("Host", "desk.example");
		message.set("X-Request-Attempt-Id", attempt);
		message.set("X-Deadline-Ms", std::to_string(time_limit.count()));
		if (method != "GET")
		{
			message.body() = body;
			message.prepare_payload();
		}
		return message;
	}

	std::string next_attempt()
	{
		static std::atomic<std::uint64_t> last = 0;
		return fmt::format("a{:015x}", ++last);
	}

	std::string daemon_address::frontend() const
	{
		return this->ip + ":8144";
	}

	std::string daemon_address::ready() const
	{
		return this->ip + ":8140";
	}

	std::string daemon_address::control() const
	{
		return this->ip + ":8146";
	}

	void write_settings(case_arguments const& arguments, int number, daemon_address const& own,
		std::vector<std::string> const& seeds, std::string const& store_address, int memory_mb)
	{
		std::string seed_list;
		for (auto const& each : seeds)
		{
			seed_list += fmt::format("{}\"{}\"", seed_list.empty() ? "" : ",", each);
		}
		std::ofstream file(fmt::format("{}/daemon-{}.json", arguments.folder, number));
		file << fmt::format(
			R"({{"node-name":"front-zone-a-{}","role":"router","machine-class":"front","serves":["front","control"],)",
			number);
		file << fmt::format(R"("ip":"{}","zone":"zone-a","region":"area","zones":{{"zone-a":"area"}},)", own.ip);
		file << fmt::format(R"("listen-addrs":{{"frontend":"{}","ready":"{}","control":"{}"}},)", own.frontend(),
			own.ready(), own.control());
		file << fmt::format(R"("internal-ports":[7660,7675],"seed-nodes":[{}],"bootstrap":true,)", seed_list);
		file << fmt::format(
			R"("in-failure-budget":false,"limits":{{"cpu-share":0.25,"cpu-cores":1,"memory-mb":{},)", memory_mb);
		file << R"("max-fds":4100,"link-mbps":1000.0,"disk-mb":0},"data-dir":null,"discovery":"platform",)"
			 << R"("entry":"vip","heartbeat-ms":1200,"contracts":["base","drain","config","cost","retry","recover",)"
			 << R"("split","stream","engine","platform"],"fault-tolerance":{"machines":2,"zones":0,"regions":0},)"
			 << R"("bounds":{"seed-lag-s":3,"reuse-after-s":2,"contact-ms":3000,"ack-ms":4000,"catch-up-s":4,)"
			 << R"("drain-ms":2000,"grace-s":8,"loss-slack-ms":200,"config-apply-ms":2000,"downgrade-slack-ms":250,)"
			 << R"("max-skew-ms":5000,"retry-budget-ratio":0.2,"budget-window-s":10,"retry-budget-slack":56,)"
			 << R"("recovery-s":12,"transit-ms":120,"again-s":5,"require-fencing":true,"lease-ms":3000,)"
			 << R"("freeze-slack-ms":300},)";
		file << fmt::format(
			R"("platform":{{"address":"{}","form":"read","writes-per-s":400,"reads-per-s":2000,"history-s":20,)",
			store_address);
		file << R"("value-bytes":1048576,"ttl-min-ms":1000}})" << '\n';
		file.close();
		if (!file)
		{
			throw std::runtime_error("can't write the settings of daemon " + std::to_string(number));
		}
	}

	int process_of(case_arguments const& arguments, int number)
	{
		int process = 0;
		std::ifstream(fmt::format("{}/daemon-{}.pid", arguments.folder, number)) >> process;
		return process;
	}

	void announce_standins(case_arguments const& arguments)
	{
		std::ofstream(arguments.folder + "/standins-serve") << "yes\n";
	}

	bool wait_until_ready(std::vector<daemon_address> const& daemons)
	{
		auto const give_up_at = clock::now() + ready_time;
		auto const is_ready = [](daemon_address const& each)
		{
			auto const message = make_request("GET", "/ready", "", ready_call_timeout, "");
			return call(each.ready(), message, ready_call_timeout).status == 200;
		};
		while (!std::ranges::all_of(daemons, is_ready))
		{
			if (clock::now() > give_up_at)
			{
				return false;
			}
			std::this_thread::sleep_for(ready_poll);
		}
		return true;
	}

	std::int64_t unix_milliseconds()
	{
		auto const now = std::chrono::system_clock::now().time_since_epoch();
		return std::chrono::duration_cast<milliseconds>(now).count();
	}

	void end_case(record_file& record, int code, std::string const& verdict)
	{
		record.add(fmt::format("verdict {}: {}", code, verdict));
		std::cout << verdict << std::endl;
		std::_Exit(code);
	}
}
