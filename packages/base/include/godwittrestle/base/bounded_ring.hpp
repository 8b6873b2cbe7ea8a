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
	// A thread-safe FIFO queue of fixed capacity. Any thread may push; one thread pops. The queue never grows and never
	// drops an item: when it is full, try_push() fails and push() waits.
	template <typename T>
	class bounded_ring
	{
	  public:
		explicit bounded_ring(std::size_t capacity)
			: items(capacity)
		{
		}

		// Moves the item into the ring and returns true. Returns false and leaves the item unchanged when the ring is
		// full. Never waits, and does not check whether the ring is closed.
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

		// Waits until the ring has space, then moves the item into it. Returns false and discards the item when the
		// ring is closed, also while it waits.
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

		// Removes and returns the oldest item. Waits up to the timeout for one; returns nothing when none arrives or
		// when the ring is closed and empty.
		[[nodiscard]] std::optional<T> pop_for(duration timeout)
		{
			std::unique_lock lock(this->mutex);
			this->not_empty.wait_for(lock, timeout, [this] { return this->closed || !this->items.empty(); });
			return this->pop_locked();
		}

		// Removes and returns the oldest item. Returns nothing when the ring is empty; never waits.
		[[nodiscard]] std::optional<T> try_pop()
		{
			std::scoped_lock const lock(this->mutex);
			return this->pop_locked();
		}

		// Closes the ring: wakes all waiting threads and makes waiting and later calls of push() fail. Items in the
		// ring can still be popped.
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
		// Removes and returns the oldest item, if there is one. The caller holds the mutex.
		[[nodiscard]] std::optional<T> pop_locked()
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
