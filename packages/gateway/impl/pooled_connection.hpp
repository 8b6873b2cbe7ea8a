#pragma once

#include <memory>
#include <optional>
#include <utility>

#include <godwittrestle/gateway/connection_pool.hpp>
#include <godwittrestle/routing/directory.hpp>

namespace godwittrestle::gateway
{
	// The connection that a request's call is sent on. It can be closed here only while a pooled_connection owns it:
	// after that it may carry another request. How it stood when it was returned stays known until the next call.
	class connection_in_use
	{
	  public:
		// Forgets the connection of the call before.
		void clear()
		{
			this->connection = nullptr;
			this->has_peer_closed = false;
			this->is_end_of_answer = false;
		}

		void begin(http::upstream_pointer used)
		{
			this->clear();
			this->connection = std::move(used);
		}

		// Must be called before the connection is returned to its pool.
		void end()
		{
			this->has_peer_closed = this->was_closed_by_peer();
			this->is_end_of_answer = this->ends_with_connection();
			this->connection = nullptr;
		}

		void close()
		{
			if (this->connection)
			{
				this->connection->close();
			}
		}

		// Interrupts the reading of the answer; see http::upstream::interrupt().
		[[nodiscard]] bool interrupt()
		{
			return this->connection && this->connection->interrupt();
		}

		void cancel_interruption() noexcept
		{
			if (this->connection)
			{
				this->connection->cancel_interruption();
			}
		}

		[[nodiscard]] bool was_closed_by_peer() const
		{
			return this->connection ? this->connection->was_closed_by_peer() : this->has_peer_closed;
		}

		[[nodiscard]] bool ends_with_connection() const
		{
			return this->connection ? this->connection->ends_with_connection() : this->is_end_of_answer;
		}

	  private:
		http::upstream_pointer connection;
		bool has_peer_closed = false;
		bool is_end_of_answer = false;
	};

	// Owns a connection taken from a pool. The destructor returns it to the pool, which closes it when it can't be
	// reused.
	class pooled_connection
	{
	  public:
		pooled_connection(connection_pool& owner, routing::registered_server target, server_connection opened)
			: pool(&owner)
			, server(std::move(target))
			, taken(std::move(opened))
		{
		}

		// From now on until the connection is returned, the request may close it.
		void lend_to(std::shared_ptr<connection_in_use> request)
		{
			request->begin(this->taken.stream);
			this->borrower = std::move(request);
		}

		// Ends what lend_to() began, so that the request can use another connection beside this one.
		void take_back()
		{
			if (auto const request = std::exchange(this->borrower, nullptr))
			{
				request->end();
			}
		}

		~pooled_connection()
		{
			this->release();
		}

		pooled_connection(pooled_connection const&) = delete;
		pooled_connection& operator=(pooled_connection const&) = delete;
		pooled_connection(pooled_connection&& other) noexcept = default;

		pooled_connection& operator=(pooled_connection&& other) noexcept
		{
			if (this != &other)
			{
				this->release();
				this->pool = other.pool;
				this->server = std::move(other.server);
				this->taken = std::exchange(other.taken, server_connection());
				this->borrower = std::move(other.borrower);
			}
			return *this;
		}

		// Returns the connection to the pool before this object is destroyed.
		void release()
		{
			if (auto const returned = std::exchange(this->taken, server_connection()))
			{
				this->take_back();
				this->pool->release(this->server, returned);
			}
		}

		[[nodiscard]] http::upstream& operator*() const noexcept
		{
			return *this->taken.stream;
		}

		[[nodiscard]] http::upstream* operator->() const noexcept
		{
			return this->taken.stream.get();
		}

		[[nodiscard]] http::upstream_pointer const& get() const noexcept
		{
			return this->taken.stream;
		}

		// Returns the start of the process that holds the connection; nothing when it has not stated it there.
		[[nodiscard]] std::optional<incarnation> holder() const noexcept
		{
			return this->taken.holder;
		}

		// Returns when the process was last asked for its start on this connection, and when it answered.
		[[nodiscard]] std::optional<time_point> asked_at() const noexcept
		{
			return this->taken.asked_at;
		}

		[[nodiscard]] std::optional<time_point> answered_at() const noexcept
		{
			return this->taken.answered_at;
		}

		// Returns the time by which the connection was open.
		[[nodiscard]] time_point opened_at() const noexcept
		{
			return this->taken.opened_at;
		}

		// Records which process holds the connection, where that was found out over another one.
		void note_holder(incarnation process) noexcept
		{
			this->taken.holder = process;
		}

		// Records what the process has stated of its start on this connection; nothing when it answered without it.
		void note_statement(std::optional<incarnation> stated, time_point asked, time_point answered) noexcept
		{
			this->taken.asked_at = asked;
			this->taken.answered_at = answered;
			this->taken.holder = stated ? stated : this->taken.holder;
		}

	  private:
		connection_pool* pool;
		routing::registered_server server;
		server_connection taken;
		std::shared_ptr<connection_in_use> borrower;
	};

	// Returns whether the process that holds a connection to a server has ended, so that the connection is dead though
	// its end may not have been seen: a later process is known of the server.
	[[nodiscard]] inline bool is_held_by_ended_process(
		routing::server_record const& server, pooled_connection const& connection)
	{
		return connection.holder() && *connection.holder() < server.newest_process().started;
	}
}
