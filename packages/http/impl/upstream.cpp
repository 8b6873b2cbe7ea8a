#include <godwittrestle/http/upstream.hpp>

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <godwittrestle/base/digest.hpp>
#include <godwittrestle/http/connection_state.hpp>

namespace godwittrestle::http
{
	namespace
	{
		namespace beast = boost::beast;
		using asio::ip::tcp;
		using boost::system::error_code;
		using head_parser = beast::http::response_parser<beast::http::buffer_body>;
		using outgoing_message = beast::http::request<beast::http::string_body>;

		constexpr auto token = asio::as_tuple(asio::use_awaitable);
		constexpr unsigned http_1_1 = 11;
		constexpr std::size_t piece_bytes = 4'096;
		constexpr unsigned first_interim_status = 100;
		constexpr unsigned switching_protocols = 101;
		constexpr unsigned first_final_status = 200;
		constexpr unsigned first_unknown_status = 600;
		constexpr unsigned http_1_0 = 10;
		// Maximum number of interim (1xx) answers before a final answer.
		constexpr int max_interim_answers = 8;
		// Limit of the received bytes that are not parsed yet: a head, or the size line of a chunk. Without it, a
		// server that sends neither could fill the memory.
		constexpr std::size_t max_buffered_bytes = 65'536;
		// Longest wait for the rest of a request to be sent after its answer has ended with the connection.
		constexpr duration longest_upload_wait = milliseconds(1500);

		enum class answer_kind
		{
			interim,
			final,
			// The status or version is none of HTTP/1, or the server has changed to another protocol unasked.
			invalid,
		};

		answer_kind classify(unsigned status, unsigned version) noexcept
		{
			auto const is_known_version = version == http_1_0 || version == http_1_1;
			if (!is_known_version || status < first_interim_status || status >= first_unknown_status ||
				status == switching_protocols)
			{
				return answer_kind::invalid;
			}
			return status < first_final_status ? answer_kind::interim : answer_kind::final;
		}

		outgoing_message to_message(request const& from)
		{
			outgoing_message message;
			message.version(http_1_1);
			message.method_string(from.method);
			message.target(from.target);
			std::ranges::for_each(from.headers, [&](header const& each) { message.insert(each.name, each.value); });
			message.body() = from.body;
			auto const has_body = !from.body.empty() || from.method == "POST" || from.method == "PUT";
			if (has_body)
			{
				message.content_length(from.body.size());
			}
			return message;
		}

		// Returns whether a read failed because the peer had closed or reset the connection.
		bool is_closed_by_peer(error_code const& error)
		{
			return error == asio::error::eof || error == asio::error::connection_reset ||
				   error == asio::error::broken_pipe || error == beast::http::error::end_of_stream ||
				   error == beast::http::error::partial_message;
		}

		// Returns the timeout, in seconds, from the value of a Keep-Alive header, such as "timeout=5, max=100".
		std::optional<duration> parse_idle_timeout(std::string_view value)
		{
			constexpr std::string_view name = "timeout=";
			auto const start = value.find(name);
			if (start == std::string_view::npos)
			{
				return std::nullopt;
			}
			auto const rest = value.substr(start + name.size());
			auto const digits = rest.substr(0, rest.find_first_not_of("0123456789"));
			auto const number = parse_number(digits);
			return number ? std::optional<duration>(seconds(*number)) : std::nullopt;
		}
	}

	class upstream::implementation
	{
	  public:
		implementation(asio::any_io_executor executor, endpoint target)
			: where(std::move(target))
			, socket(executor)
			, timer(executor)
			, send_end(executor)
			, buffer(max_buffered_bytes)
		{
		}

		// Starts a timeout that closes the connection when it expires, so that the operation in progress fails, unless
		// the operation may go on then.
		void start_timeout(duration timeout, std::weak_ptr<upstream> owner, further_wait wait_on = {})
		{
			this->is_timed_out = false;
			++this->timeout_id;
			this->timer.expires_after(std::max(duration{}, timeout));
			this->timer.async_wait(
				[owner = std::move(owner), wait_on = std::move(wait_on), timeout_id = this->timeout_id](
					error_code const& error) mutable
				{
					auto const self = owner.lock();
					// Ignores a timer that expired just before it was cancelled: it belongs to an earlier operation.
					if (error || !self || self->impl->timeout_id != timeout_id)
					{
						return;
					}
					auto const further = wait_on ? wait_on() : duration{};
					if (further > duration{})
					{
						self->impl->start_timeout(further, std::move(owner), std::move(wait_on));
						return;
					}
					self->impl->is_timed_out = true;
					self->close();
				});
		}

		void cancel_timeout()
		{
			++this->timeout_id;
			this->timer.cancel();
		}

		// Returns whether the request has been sent whole, once it is known or the wait is over. After the peer's end
		// of the connection, a reset shows in the sending alone.
		asio::awaitable<bool> is_sent_whole()
		{
			if (this->is_sending)
			{
				this->send_end.expires_after(longest_upload_wait);
				std::ignore = co_await this->send_end.async_wait(token);
			}
			co_return !this->is_sending && !this->has_send_failed;
		}

		[[nodiscard]] upstream_failure failure() noexcept
		{
			if (this->is_timed_out)
			{
				return upstream_failure::silent;
			}
			if (std::exchange(this->is_interrupted, false))
			{
				return upstream_failure::interrupted;
			}
			return this->has_sent_nothing ? upstream_failure::not_sent : upstream_failure::broken;
		}

		endpoint where;
		tcp::socket socket;
		asio::steady_timer timer;
		// Cancelled when the request has been sent, or sending has failed.
		asio::steady_timer send_end;
		beast::flat_buffer buffer;
		std::optional<head_parser> parser;
		std::array<char, piece_bytes> piece{};
		keep_alive_terms keep_alive;
		// Incremented when a timeout starts or is cancelled, so that the handler of an earlier timer can be recognised.
		std::uint64_t timeout_id = 0;
		bool is_head_request = false;
		bool is_sending = false;
		bool has_send_failed = false;
		// Writing the request failed before any byte was sent.
		bool has_sent_nothing = false;
		bool is_timed_out = false;
		bool is_interrupted = false;
		bool was_closed_by_peer = false;
	};

	upstream::upstream(asio::any_io_executor executor, endpoint where)
		: impl(std::make_unique<implementation>(std::move(executor), std::move(where)))
	{
	}

	upstream::~upstream() = default;

	asio::awaitable<bool> upstream::connect(duration timeout)
	{
		auto const self = this->shared_from_this();
		error_code malformed;
		tcp::endpoint const target(
			asio::ip::make_address(this->impl->where.address, malformed), this->impl->where.port);
		if (malformed)
		{
			co_return false;
		}
		this->impl->start_timeout(timeout, self);
		auto const [error] = co_await this->impl->socket.async_connect(target, token);
		this->impl->cancel_timeout();
		if (error || this->impl->is_timed_out)
		{
			co_return false;
		}
		error_code ignored;
		std::ignore = this->impl->socket.set_option(tcp::no_delay(true), ignored);
		co_return true;
	}

	void upstream::send(request const& message)
	{
		auto const outgoing = std::make_shared<outgoing_message>(to_message(message));
		this->impl->is_head_request = message.method == "HEAD";
		this->impl->is_sending = true;
		this->impl->has_send_failed = false;
		this->impl->has_sent_nothing = false;
		this->impl->is_interrupted = false;
		this->impl->parser.reset();
		beast::http::async_write(this->impl->socket, *outgoing,
			[self = this->shared_from_this(), outgoing](error_code const& error, std::size_t size)
			{
				self->impl->is_sending = false;
				self->impl->has_send_failed = error.failed();
				self->impl->has_sent_nothing = error.failed() && size == 0;
				self->impl->send_end.cancel();
			});
	}

	asio::awaitable<std::variant<response, upstream_failure>> upstream::read_head(
		duration timeout, further_wait wait_on)
	{
		auto const self = this->shared_from_this();
		auto& state = *this->impl;
		state.start_timeout(timeout, self, std::move(wait_on));
		auto kind = answer_kind::interim;
		for (int interim = 0; kind == answer_kind::interim; ++interim)
		{
			if (interim > max_interim_answers)
			{
				state.cancel_timeout();
				this->close();
				co_return upstream_failure::broken;
			}
			state.parser.emplace();
			state.parser->body_limit(boost::none);
			state.parser->skip(state.is_head_request);
			auto const [error, size] =
				co_await beast::http::async_read_header(state.socket, state.buffer, *state.parser, token);
			if (error)
			{
				state.cancel_timeout();
				state.was_closed_by_peer = is_closed_by_peer(error);
				co_return state.failure();
			}
			kind = classify(state.parser->get().result_int(), state.parser->get().version());
		}
		state.cancel_timeout();
		if (kind == answer_kind::invalid)
		{
			this->close();
			co_return upstream_failure::broken;
		}
		response head;
		head.status = state.parser->get().result_int();
		for (auto const& field : state.parser->get())
		{
			head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
		}
		state.keep_alive.idle_timeout = parse_idle_timeout(head.find_header("Keep-Alive"));
		co_return head;
	}

	asio::awaitable<std::variant<std::string, upstream_failure>> upstream::read_piece(
		duration timeout, further_wait wait_on)
	{
		auto const self = this->shared_from_this();
		auto& state = *this->impl;
		if (std::exchange(state.is_interrupted, false))
		{
			co_return upstream_failure::interrupted;
		}
		state.start_timeout(timeout, self, std::move(wait_on));
		std::string received;
		while (received.empty() && !state.parser->is_done())
		{
			state.parser->get().body().data = state.piece.data();
			state.parser->get().body().size = state.piece.size();
			auto const [error, size] =
				co_await beast::http::async_read_some(state.socket, state.buffer, *state.parser, token);
			if (error && error != beast::http::error::need_buffer)
			{
				state.cancel_timeout();
				state.was_closed_by_peer = is_closed_by_peer(error);
				co_return state.failure();
			}
			received.assign(state.piece.data(), state.piece.size() - state.parser->get().body().size);
		}
		auto const is_end = received.empty() && state.parser->need_eof();
		auto const is_cut = is_end && !co_await state.is_sent_whole();
		state.cancel_timeout();
		if (is_cut)
		{
			state.was_closed_by_peer = true;
			co_return state.is_timed_out ? upstream_failure::silent : upstream_failure::broken;
		}
		co_return received;
	}

	asio::awaitable<std::variant<std::string, upstream_failure>> upstream::read_rest(
		duration timeout, std::size_t limit)
	{
		auto const self = this->shared_from_this();
		auto const deadline = std::chrono::steady_clock::now() + timeout;
		std::string whole;
		while (whole.size() <= limit)
		{
			auto const remaining = std::chrono::duration_cast<duration>(deadline - std::chrono::steady_clock::now());
			auto piece = co_await this->read_piece(remaining);
			if (std::holds_alternative<upstream_failure>(piece))
			{
				co_return piece;
			}
			auto const& text = std::get<std::string>(piece);
			if (text.empty())
			{
				co_return whole;
			}
			whole += text;
		}
		co_return upstream_failure::broken;
	}

	bool upstream::interrupt()
	{
		if (this->impl->is_sending)
		{
			return false;
		}
		this->impl->is_interrupted = true;
		error_code ignored;
		std::ignore = this->impl->socket.cancel(ignored);
		return true;
	}

	void upstream::cancel_interruption() noexcept
	{
		this->impl->is_interrupted = false;
	}

	bool upstream::is_reusable() const
	{
		auto const& state = *this->impl;
		return state.socket.is_open() && state.parser && state.parser->is_done() && !state.parser->need_eof() &&
			   state.parser->get().keep_alive() && state.buffer.size() == 0 && !state.is_sending &&
			   !state.has_send_failed;
	}

	bool upstream::is_open_without_data()
	{
		return peek_state(this->impl->socket) == connection_state::no_data;
	}

	keep_alive_terms const& upstream::keep_alive() const noexcept
	{
		return this->impl->keep_alive;
	}

	bool upstream::ends_with_connection() const
	{
		return this->impl->parser && this->impl->parser->need_eof();
	}

	bool upstream::was_closed_by_peer() const noexcept
	{
		return this->impl->was_closed_by_peer;
	}

	unsigned short upstream::local_port() const
	{
		error_code not_open;
		auto const local = this->impl->socket.local_endpoint(not_open);
		return not_open ? static_cast<unsigned short>(0) : local.port();
	}

	void upstream::close()
	{
		error_code ignored;
		std::ignore = this->impl->socket.close(ignored);
		this->impl->cancel_timeout();
	}
}
