#include <godwittrestle/daemon/backend_link.hpp>

#include <exception>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace godwittrestle::daemon
{
	namespace
	{
		constexpr duration push_retry_interval = milliseconds(1);
		constexpr duration probe_timeout = milliseconds(500);

		template <typename... Handlers>
		struct overloaded : Handlers...
		{
			using Handlers::operator()...;
		};

		template <typename... Handlers>
		overloaded(Handlers...) -> overloaded<Handlers...>;
	}

	backend_link::backend_link(core_loop& given_core, std::size_t ring_capacity)
		: core(&given_core)
		, client(this->thread.context().get_executor())
		, backend(make_http_backend(this->client))
		, inputs(ring_capacity, this->thread.context(),
			  [this](decide::action&& action) { this->carry_out(std::move(action)); })
	{
	}

	void backend_link::start()
	{
		this->thread.start();
	}

	void backend_link::stop()
	{
		this->inputs.close();
		this->thread.stop();
	}

	void backend_link::push(decide::action action)
	{
		this->inputs.push(std::move(action));
	}

	std::size_t backend_link::depth() const
	{
		return this->inputs.size();
	}

	asio::awaitable<void> backend_link::deliver(decide::event event)
	{
		core_input input(std::move(event));
		asio::steady_timer pause(co_await asio::this_coro::executor);
		while (!this->core->try_push(input))
		{
			// The core's ring is full. While this coroutine waits, it reads nothing more from its connection, which
			// slows the sender down.
			pause.expires_after(push_retry_interval);
			co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
		}
	}

	void backend_link::spawn(call_id call, asio::awaitable<decide::event> work)
	{
		auto const signal = std::make_shared<asio::cancellation_signal>();
		this->running.emplace(call, signal);
		auto run = [](backend_link& self, asio::awaitable<decide::event> call_work) -> asio::awaitable<void>
		{
			auto event = co_await std::move(call_work);
			co_await self.deliver(std::move(event));
		};
		asio::co_spawn(this->thread.context(), run(*this, std::move(work)),
			asio::bind_cancellation_slot(signal->slot(),
				[this, call, signal](std::exception_ptr const& /*cancelled*/) { this->running.erase(call); }));
	}

	asio::awaitable<void> backend_link::probe(decide::probe_peer order)
	{
		using namespace asio::experimental::awaitable_operators;
		auto const executor = co_await asio::this_coro::executor;
		decide::peer_probed found{order.peer, order.believed, decide::probe_outcome::no_answer};
		auto const colon = order.address.rfind(':');
		boost::system::error_code malformed;
		auto const address = asio::ip::make_address(order.address.substr(0, colon), malformed);
		auto const port = colon == std::string::npos ? 0 : std::atoi(order.address.c_str() + colon + 1);
		asio::ip::tcp::socket socket(executor);
		asio::steady_timer timer(executor, probe_timeout);
		auto const outcome = co_await (
			socket.async_connect({address, static_cast<unsigned short>(port)}, asio::as_tuple(asio::use_awaitable)) ||
			timer.async_wait(asio::as_tuple(asio::use_awaitable)));
		if (outcome.index() == 0)
		{
			auto const error = std::get<0>(std::get<0>(outcome));
			found.outcome = !error                                     ? decide::probe_outcome::connected
							: error == asio::error::connection_refused ? decide::probe_outcome::refused
																	   : decide::probe_outcome::no_answer;
		}
		decide::event outcome_event(std::move(found));
		co_await this->deliver(std::move(outcome_event));
	}

	void backend_link::carry_out(decide::action&& action)
	{
		auto deliver_if_any = [](backend_link& self,
								  asio::awaitable<std::optional<decide::event>> work) -> asio::awaitable<void>
		{
			if (auto event = co_await std::move(work))
			{
				co_await self.deliver(std::move(*event));
			}
		};
		auto const detach = [this](asio::awaitable<void> work)
		{
			asio::co_spawn(this->thread.context(), std::move(work), asio::detached);
		};
		std::visit(
			overloaded{
				[&](decide::start_prefill& call)
				{
					auto const id = call.call;
					this->spawn(id, this->backend.prefill(std::move(call)));
				},
				[&](decide::start_decode& call)
				{
					auto const id = call.call;
					auto const sink = [this](decide::token_received token) -> asio::awaitable<void>
					{
						return this->deliver(std::move(token));
					};
					this->spawn(id, this->backend.decode(std::move(call), sink));
				},
				[&](decide::start_plain& call)
				{
					auto const id = call.call;
					this->spawn(id, this->backend.plain(std::move(call)));
				},
				[&](decide::abort_call& call)
				{
					if (auto const found = this->running.find(call.call); found != this->running.end())
					{
						auto const signal = found->second;
						signal->emit(asio::cancellation_type::terminal);
					}
				},
				[&](decide::cancel_attempt& call)
				{ detach(deliver_if_any(*this, this->backend.cancel(std::move(call)))); },
				[&](decide::poll_load& call) { detach(deliver_if_any(*this, this->backend.load(std::move(call)))); },
				[&](decide::send_order& call) { detach(this->backend.order(std::move(call))); },
				[&](decide::probe_peer& order) { detach(this->probe(std::move(order))); },
				[](auto&) {},
			},
			action);
	}
}
