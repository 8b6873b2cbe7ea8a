#include "scripted_http_server.hpp"

#include <tuple>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "test_servers.hpp"

namespace godwittrestle::testing
{
	namespace asio = boost::asio;
	using asio::ip::tcp;

	namespace
	{
		constexpr auto token = asio::as_tuple(asio::use_awaitable);
	}

	scripted_http_server::scripted_http_server(std::deque<std::string> answers, std::string late)
		: late_bytes(std::move(late))
		, acceptor(this->loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
		, script(std::move(answers))
		, runner([this] { this->run(); })
	{
	}

	scripted_http_server::~scripted_http_server()
	{
		this->loop.stop();
		this->runner.join();
	}

	http::endpoint scripted_http_server::listen_address() const
	{
		return {"127.0.0.1", this->acceptor.local_endpoint().port()};
	}

	std::vector<std::string> scripted_http_server::calls()
	{
		std::scoped_lock const lock(this->mutex);
		return this->received;
	}

	void scripted_http_server::run()
	{
		asio::co_spawn(this->loop, this->accept(), asio::detached);
		this->loop.run();
	}

	asio::awaitable<void> scripted_http_server::accept()
	{
		while (true)
		{
			auto [error, socket] = co_await this->acceptor.async_accept(token);
			if (error)
			{
				co_return;
			}
			asio::co_spawn(this->loop, this->serve(std::move(socket)), asio::detached);
		}
	}

	asio::awaitable<void> scripted_http_server::serve(tcp::socket socket)
	{
		std::string bytes;
		for (int call = 0;; ++call)
		{
			auto [error, size] =
				co_await asio::async_read_until(socket, asio::dynamic_buffer(bytes), "\r\n\r\n", token);
			if (error)
			{
				++this->closed_count;
				co_return;
			}
			auto const request_size = size + content_length(bytes.substr(0, size));
			if (bytes.size() < request_size)
			{
				std::ignore = co_await asio::async_read(
					socket, asio::dynamic_buffer(bytes), asio::transfer_exactly(request_size - bytes.size()), token);
			}
			auto const scripted = this->next_answer(bytes.substr(0, bytes.find(" HTTP/")));
			auto const answer = call > 0 && !scripted.empty() ? this->late_bytes + scripted : scripted;
			bytes.erase(0, request_size);
			if (!answer.empty())
			{
				std::ignore = co_await asio::async_write(socket, asio::buffer(answer), token);
			}
		}
	}

	std::string scripted_http_server::next_answer(std::string call)
	{
		std::scoped_lock const lock(this->mutex);
		this->received.push_back(std::move(call));
		if (this->script.empty())
		{
			return {};
		}
		auto text = std::move(this->script.front());
		this->script.pop_front();
		return text;
	}
}
