#pragma once

#include <atomic>
#include <functional>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <godwittrestle/base/bounded_ring.hpp>

namespace godwittrestle::daemon
{
	// A thread with an event loop of its own, for one duty.
	class io_thread
	{
	  public:
		io_thread()
			: work(boost::asio::make_work_guard(this->loop))
		{
		}

		~io_thread()
		{
			this->stop();
		}

		io_thread(io_thread const&) = delete;
		io_thread& operator=(io_thread const&) = delete;
		io_thread(io_thread&&) = delete;
		io_thread& operator=(io_thread&&) = delete;

		void start()
		{
			this->thread = std::thread([this] { this->loop.run(); });
		}

		// Ends the loop, whatever is left in it, and waits for the thread.
		void stop()
		{
			this->loop.stop();
			if (this->thread.joinable())
			{
				this->thread.join();
			}
		}

		[[nodiscard]] boost::asio::io_context& context() noexcept
		{
			return this->loop;
		}

	  private:
		boost::asio::io_context loop{1};
		boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
		std::thread thread;
	};

	// A bounded ring that an event loop empties: the loop is woken when something is put in.
	template <typename T>
	class ring_to_loop
	{
	  public:
		// handle: called in the loop's thread for each item, in order.
		ring_to_loop(std::size_t capacity, boost::asio::io_context& target, std::function<void(T&&)> consume)
			: ring(capacity)
			, loop(&target)
			, handle(std::move(consume))
		{
		}

		// Waits for room. The loop never waits for the pushing thread, so this ends.
		void push(T item)
		{
			if (this->ring.push(std::move(item)))
			{
				this->wake();
			}
		}

		// Puts an item in without waiting. Returns false, leaving it untouched, when the ring is full.
		[[nodiscard]] bool try_push(T& item)
		{
			if (!this->ring.try_push(item))
			{
				return false;
			}
			this->wake();
			return true;
		}

		void close()
		{
			this->ring.close();
		}

		[[nodiscard]] std::size_t size() const
		{
			return this->ring.size();
		}

	  private:
		void wake()
		{
			if (!this->is_scheduled.exchange(true))
			{
				boost::asio::post(*this->loop, [this] { this->drain(); });
			}
		}

		void drain()
		{
			this->is_scheduled = false;
			while (auto item = this->ring.try_pop())
			{
				this->handle(std::move(*item));
			}
		}

		bounded_ring<T> ring;
		boost::asio::io_context* loop;
		std::function<void(T&&)> handle;
		std::atomic<bool> is_scheduled = false;
	};
}
