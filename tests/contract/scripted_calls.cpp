#include "scripted_calls.hpp"

#include <charconv>
#include <tuple>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace godwittrestle::testing
{
	namespace asio = boost::asio;
	using asio::ip::tcp;

	namespace
	{
		constexpr auto token = asio::as_tuple(asio::use_awaitable);

		// Size of the body that a head announces.
		std::size_t body_size(std::string_view head)
		{
			constexpr std::string_view name = "Content-Length: ";
			auto const at = head.find(name);
			std::size_t size = 0;
			if (at != std::string_view::npos)
			{
				auto const digits = head.substr(at + name.size());
				std::ignore = std::from_chars(digits.data(), digits.data() + digits.size(), size);
			}
			return size;
		}
	}

	scripted_calls::scripted_calls(std::deque<std::string> texts)
		: acceptor(this->loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
		, script(std::move(texts))
		, runner([this] { this->run(); })
	{
	}

	scripted_calls::~scripted_calls()
	{
		this->loop.stop();
		this->runner.join();
	}

	http::endpoint scripted_calls::where() const
	{
		return {"127.0.0.1", this->acceptor.local_endpoint().port()};
	}

	std::vector<std::string> scripted_calls::calls()
	{
		std::scoped_lock const lock(this->mutex);
		return this->received;
	}

	void scripted_calls::run()
	{
		asio::co_spawn(this->loop, this->accept(), asio::detached);
		this->loop.run();
	}

	asio::awaitable<void> scripted_calls::accept()
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

	asio::awaitable<void> scripted_calls::serve(tcp::socket socket)
	{
		std::string bytes;
		while (true)
		{
			auto [error, size] =
				co_await asio::async_read_until(socket, asio::dynamic_buffer(bytes), "\r\n\r\n", token);
			if (error)
			{
				++this->ended;
				co_return;
			}
			auto const whole = size + body_size(std::string_view(bytes).substr(0, size));
			if (bytes.size() < whole)
			{
				std::ignore = co_await asio::async_read(
					socket, asio::dynamic_buffer(bytes), asio::transfer_exactly(whole - bytes.size()), token);
			}
			auto const answer = this->next(bytes.substr(0, bytes.find(" HTTP/")));
			bytes.erase(0, whole);
			if (!answer.empty())
			{
				std::ignore = co_await asio::async_write(socket, asio::buffer(answer), token);
			}
		}
	}

	std::string scripted_calls::next(std::string call)
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
