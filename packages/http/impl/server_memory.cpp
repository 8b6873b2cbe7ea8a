#include "server_memory.hpp"

#include <chrono>
#include <tuple>
#include <utility>

namespace godwittrestle::http
{
	namespace
	{
		// Time between two looks at what callers have taken of their answers while the memory is spent.
		constexpr duration look_interval = milliseconds(20);

		time_point monotonic_now()
		{
			auto const reading = std::chrono::steady_clock::now().time_since_epoch();
			return time_point(std::chrono::duration_cast<duration>(reading));
		}
	}

	server_memory::server_memory(memory_limits const& limits, std::function<void()> answer_stopped)
		: budget(limits)
		, on_answer_stopped(std::move(answer_stopped))
	{
	}

	void server_memory::set_limits(memory_limits const& limits)
	{
		this->budget.set_limits(limits);
	}

	std::size_t server_memory::held() const noexcept
	{
		return this->budget.held();
	}

	void server_memory::hold(holder_id id, std::size_t bytes)
	{
		if (!this->budget.has_room())
		{
			std::ignore = this->note_moves();
		}
		this->yield(this->budget.hold(id, bytes, monotonic_now()));
	}

	bool server_memory::note_moves()
	{
		auto const now = monotonic_now();
		if (now - this->looked_at < look_interval)
		{
			return false;
		}
		this->looked_at = now;
		for (auto const& [id, connection] : this->answered)
		{
			if (connection->has_peer_taken_bytes())
			{
				this->budget.note_move(id, now);
			}
		}
		return true;
	}

	void server_memory::yield(std::vector<yielding_request> const& yielding)
	{
		for (auto const& each : yielding)
		{
			auto const answer = this->answered.find(each.id);
			if (answer == this->answered.end())
			{
				this->arriving.at(each.id)->yield_memory(each.reason);
				continue;
			}
			answer->second->reset();
			this->on_answer_stopped();
		}
	}

	request_memory::request_memory(
		std::shared_ptr<server_memory> memory, server_memory::connection_pointer const& connection)
		: owner(std::move(memory))
		, id(this->owner->budget.begin(connection->peer_address(), monotonic_now()))
	{
		this->owner->arriving.emplace(this->id, connection);
	}

	request_memory::~request_memory()
	{
		this->owner->arriving.erase(this->id);
		this->owner->budget.end(this->id);
	}

	void request_memory::hold(std::size_t bytes)
	{
		this->owner->hold(this->id, bytes);
	}

	void request_memory::complete()
	{
		this->owner->budget.complete(this->id);
	}

	answer_memory::answer_memory(
		std::shared_ptr<server_memory> memory, server_memory::connection_pointer const& connection)
		: owner(std::move(memory))
		, id(this->owner->budget.begin_answer(connection->peer_address(), monotonic_now()))
	{
		this->owner->answered.emplace(this->id, connection);
	}

	answer_memory::~answer_memory()
	{
		this->owner->answered.erase(this->id);
		this->owner->budget.end(this->id);
	}

	void answer_memory::hold(std::size_t bytes)
	{
		this->owner->hold(this->id, bytes);
	}

	void answer_memory::begin_wait()
	{
		this->owner->budget.begin_wait(this->id, monotonic_now());
		this->owner->answered.at(this->id)->note_unsent();
	}

	void answer_memory::note_move()
	{
		this->owner->budget.note_move(this->id, monotonic_now());
		this->owner->answered.at(this->id)->note_unsent();
	}

	void answer_memory::end_wait()
	{
		this->owner->budget.end_wait(this->id);
	}

	bool answer_memory::make_room()
	{
		if (!this->owner->budget.has_room() && this->owner->note_moves())
		{
			this->owner->yield(this->owner->budget.make_room(monotonic_now()));
		}
		return this->owner->budget.has_room();
	}
}
