#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <godwittrestle/base/bounded_ring.hpp>
#include <godwittrestle/base/exception.hpp>

namespace godwittrestle::daemon
{
	// A thread that runs an event loop of its own.
	class io_thread
	{
	  public:
		// on_exception: called on the thread with the message of each exception that ends a handler; the loop goes on
		// after it. When it is empty, such an exception ends the process.
		explicit io_thread(std::function<void(std::string)> on_exception = {})
			: work(boost::asio::make_work_guard(this->loop))
			, report(std::move(on_exception))
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
			this->thread = std::thread([this] { this->run(); });
		}

		// Stops the event loop without running the handlers that are still queued, and joins the thread.
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
		void run()
		{
			if (!this->report)
			{
				this->loop.run();
				return;
			}
			while (!this->loop.stopped())
			{
				try
				{
					this->loop.run();
				}
				catch (...)
				{
					this->report(describe_current_exception());
				}
			}
		}

		boost::asio::io_context loop{1};
		boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
		std::function<void(std::string)> report;
		std::thread thread;
	};

	// A bounded ring that is emptied by an event loop. Adding an item wakes the loop.
	template <typename T>
	class event_loop_queue
	{
	  public:
		// consume: called on the loop's thread for each item, in order.
		event_loop_queue(std::size_t capacity, boost::asio::io_context& target, std::function<void(T&&)> consume)
			: ring(capacity)
			, loop(&target)
			, handle(std::move(consume))
		{
		}

		// Appends an item; waits while the ring is full. The wait ends, because the loop never waits for the pushing
		// thread. Drops the item when the ring is closed.
		void push(T item)
		{
			if (this->ring.push(std::move(item)))
			{
				this->wake();
			}
		}

		// Appends an item without waiting. Returns false and leaves the item untouched when the ring is full.
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
				try
				{
					boost::asio::post(*this->loop, [this] { this->drain(); });
				}
				catch (...)
				{
					this->is_scheduled = false;
					throw;
				}
			}
		}

		void drain()
		{
			this->is_scheduled = false;
			while (auto item = this->ring.try_pop())
			{
				this->consume(std::move(*item));
			}
		}

		void consume(T&& item)
		{
			try
			{
				this->handle(std::move(item));
			}
			catch (...)
			{
				// The remaining items are consumed in a later turn.
				this->wake();
				throw;
			}
		}

		bounded_ring<T> ring;
		boost::asio::io_context* loop;
		std::function<void(T&&)> handle;
		std::atomic<bool> is_scheduled = false;
	};
}
