#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include <godwittrestle/base/units.hpp>
#include <godwittrestle/http/memory_budget.hpp>

#include "server_connection.hpp"

namespace godwittrestle::http
{
	// The memory of the requests and answers of one server, with the connections that give theirs up when it is spent.
	class server_memory
	{
	  public:
		using connection_pointer = std::shared_ptr<server_connection>;

		// on_answer_stopped: called when an answer gives up its memory, so that its connection is reset.
		server_memory(memory_limits const& limits, std::function<void()> on_answer_stopped);

		void set_limits(memory_limits const& limits);

		// Returns what all requests and answers hold, in bytes.
		[[nodiscard]] std::size_t held() const noexcept;

	  private:
		friend class request_memory;
		friend class answer_memory;

		// Records what a request or answer holds. Others may have to give theirs up for it.
		void hold(holder_id id, std::size_t bytes);
		// Tells the account which callers have taken some of their answers, unless it was told just before. Returns
		// whether it was told.
		bool note_moves();
		// Ends the reading of requests, and the connections of answers, that give up their memory.
		void yield(std::vector<yielding_request> const& yielding);

		memory_budget budget;
		std::function<void()> on_answer_stopped;
		// The connections of the requests in the account of memory.
		std::map<holder_id, connection_pointer> arriving;
		// The connections of the answers in the account of memory.
		std::map<holder_id, connection_pointer> answered;
		time_point looked_at;
	};

	// The part of a request in the account of memory.
	class request_memory
	{
	  public:
		request_memory(std::shared_ptr<server_memory> memory, server_memory::connection_pointer const& connection);
		~request_memory();

		request_memory(request_memory const&) = delete;
		request_memory& operator=(request_memory const&) = delete;
		request_memory(request_memory&&) = delete;
		request_memory& operator=(request_memory&&) = delete;

		void hold(std::size_t bytes);
		void complete();

	  private:
		std::shared_ptr<server_memory> owner;
		holder_id id;
	};

	// The part of an answer in the account of memory.
	class answer_memory final : public answer_account
	{
	  public:
		answer_memory(std::shared_ptr<server_memory> memory, server_memory::connection_pointer const& connection);
		~answer_memory() override;

		answer_memory(answer_memory const&) = delete;
		answer_memory& operator=(answer_memory const&) = delete;
		answer_memory(answer_memory&&) = delete;
		answer_memory& operator=(answer_memory&&) = delete;

		void hold(std::size_t bytes) override;
		void begin_wait() override;
		void note_move() override;
		void end_wait() override;
		[[nodiscard]] bool make_room() override;

	  private:
		std::shared_ptr<server_memory> owner;
		holder_id id;
	};
}
