#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

#include <boost/circular_buffer.hpp>

#include <godwittrestle/base/units.hpp>

namespace godwittrestle
{
	// A queue of fixed capacity between threads. Any thread may push; one thread pops. A full ring refuses, it
	// never grows and never drops.
	template <typename T>
	class bounded_ring
	{
	  public:
		explicit bounded_ring(std::size_t capacity)
			: items(capacity)
		{
		}

		// Moves the item in and returns true, or leaves it untouched and returns false when the ring is full.
		[[nodiscard]] bool try_push(T& item)
		{
			{
				std::scoped_lock const lock(this->mutex);
				if (this->items.full())
				{
					return false;
				}
				this->items.push_back(std::move(item));
			}
			this->not_empty.notify_one();
			return true;
		}

		// Waits for room, then moves the item in. Returns false, without the item, once the ring is closed.
		[[nodiscard]] bool push(T item)
		{
			{
				std::unique_lock lock(this->mutex);
				this->not_full.wait(lock, [this] { return this->closed || !this->items.full(); });
				if (this->closed)
				{
					return false;
				}
				this->items.push_back(std::move(item));
			}
			this->not_empty.notify_one();
			return true;
		}

		// Returns the oldest item, waiting for one no longer than the timeout.
		[[nodiscard]] std::optional<T> pop_for(duration timeout)
		{
			std::unique_lock lock(this->mutex);
			this->not_empty.wait_for(lock, timeout, [this] { return this->closed || !this->items.empty(); });
			return this->take();
		}

		// Returns the oldest item, or nothing at once.
		[[nodiscard]] std::optional<T> try_pop()
		{
			std::scoped_lock const lock(this->mutex);
			return this->take();
		}

		// Wakes everyone who waits; later pushes fail.
		void close()
		{
			{
				std::scoped_lock const lock(this->mutex);
				this->closed = true;
			}
			this->not_empty.notify_all();
			this->not_full.notify_all();
		}

		[[nodiscard]] std::size_t size() const
		{
			std::scoped_lock const lock(this->mutex);
			return this->items.size();
		}

	  private:
		[[nodiscard]] std::optional<T> take()
		{
			if (this->items.empty())
			{
				return std::nullopt;
			}
			std::optional<T> item(std::move(this->items.front()));
			this->items.pop_front();
			this->not_full.notify_one();
			return item;
		}

		mutable std::mutex mutex;
		std::condition_variable not_empty;
		std::condition_variable not_full;
		boost::circular_buffer<T> items;
		bool closed = false;
	};
}
