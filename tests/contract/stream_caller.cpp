#include "stream_caller.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "test_servers.hpp"

namespace godwittrestle::testing
{
	namespace asio = boost::asio;
	using asio::ip::tcp;

	caller_answer read_answer_text(std::string const& text)
	{
		constexpr std::string_view line_end = "\r\n";
		constexpr int hexadecimal = 16;
		caller_answer answer;
		auto const head_end = text.find("\r\n\r\n");
		if (head_end == std::string::npos)
		{
			return answer;
		}
		auto const head = text.substr(0, head_end + line_end.size());
		answer.status = static_cast<unsigned>(std::stoul(text.substr(text.find(' '))));
		answer.size = head_end + 2 * line_end.size();
		if (header_value(head, "Transfer-Encoding") != "chunked")
		{
			answer.body = text.substr(answer.size, content_length(head));
			answer.is_whole = answer.body.size() == content_length(head);
			answer.size += answer.body.size();
			return answer;
		}
		auto is_there = true;
		while (!answer.is_whole && is_there)
		{
			auto const size_end = text.find(line_end, answer.size);
			if (size_end == std::string::npos)
			{
				break;
			}
			auto const size = std::stoul(text.substr(answer.size, size_end - answer.size), nullptr, hexadecimal);
			auto const chunk = text.substr(size_end + line_end.size(), size + line_end.size());
			answer.body += chunk.substr(0, size);
			answer.is_whole = size == 0 && chunk == line_end;
			answer.size = size_end + line_end.size() + chunk.size();
			is_there = chunk.size() == size + line_end.size();
		}
		return answer;
	}

	stream_caller::stream_caller(http::endpoint const& daemon)
		: socket(this->loop)
	{
		this->socket.connect(tcp::endpoint(asio::ip::make_address(daemon.address), daemon.port));
	}

	void stream_caller::ask(std::string const& attempt, std::string const& headers, std::string const& version)
	{
		auto const text = fmt::format("POST /x/y HTTP/{}\r\nHost: a.example\r\nTime-Left-Ms: 12000\r\n"
									  "Content-Length: 0\r\nAttempt: {}\r\n{}\r\n",
			version, attempt, headers);
		asio::write(this->socket, asio::buffer(text));
	}

	void stream_caller::resume(
		std::string const& attempt, std::string const& resumed, std::string const& last, std::string const& headers)
	{
		this->ask(attempt, fmt::format("Resumes: {}\r\nLast-Event-Id: {}\r\n{}", resumed, last, headers));
	}

	void stream_caller::read_to(int event)
	{
		boost::system::error_code ignored;
		asio::read_until(this->socket, asio::dynamic_buffer(this->received), fmt::format("id: {}\n", event), ignored);
	}

	caller_answer stream_caller::read()
	{
		constexpr std::size_t piece_bytes = 4096;
		boost::system::error_code error;
		auto answer = read_answer_text(this->received);
		while (!answer.is_whole && !error)
		{
			std::string piece(piece_bytes, '\0');
			piece.resize(this->socket.read_some(asio::buffer(piece), error));
			this->received += piece;
			answer = read_answer_text(this->received);
		}
		this->received.erase(0, answer.size);
		return answer;
	}

	caller_answer stream_caller::leave(bool is_reset)
	{
		if (is_reset)
		{
			this->socket.set_option(asio::socket_base::linger(true, 0));
		}
		this->socket.close();
		return read_answer_text(this->received);
	}

	void stream_caller::close_sending_side()
	{
		this->socket.shutdown(tcp::socket::shutdown_send);
	}
}
