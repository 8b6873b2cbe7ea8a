#include <godwittrestle/daemon/core_loop.hpp>

#include <algorithm>
#include <utility>

namespace godwittrestle::daemon
{
	time_point monotonic_now() noexcept
	{
		auto const reading = std::chrono::steady_clock::now().time_since_epoch();
		return time_point(std::chrono::duration_cast<duration>(reading));
	}

	core_loop::core_loop(
		decide::core_settings settings, std::size_t ring_capacity, std::function<void(decide::action&&)> action_handler)
		: core(std::move(settings), decide::default_hooks())
		, inputs(ring_capacity)
		, carry_out(std::move(action_handler))
	{
	}

	core_loop::~core_loop()
	{
		this->stop();
	}

	void core_loop::start()
	{
		this->thread = std::thread([this] { this->run(); });
	}

	void core_loop::stop()
	{
		this->is_stopping = true;
		this->inputs.close();
		if (this->thread.joinable())
		{
			this->thread.join();
		}
	}

	bool core_loop::try_push(core_input& input)
	{
		return this->inputs.try_push(input);
	}

	std::size_t core_loop::depth() const
	{
		return this->inputs.size();
	}

	void core_loop::run()
	{
		auto const handle_event = [this](decide::event const& event)
		{
			auto actions = this->core.handle(event, monotonic_now());
			std::ranges::for_each(actions, [this](decide::action& action) { this->carry_out(std::move(action)); });
		};
		auto wakeup = monotonic_now();
		while (!this->is_stopping)
		{
			auto input = this->inputs.pop_for(std::max(duration{}, wakeup - monotonic_now()));
			if (input && std::holds_alternative<core_query>(*input))
			{
				std::get<core_query> (*input)(this->core, monotonic_now());
			}
			else if (input)
			{
				handle_event(std::get<decide::event>(*input));
			}
			if (monotonic_now() >= wakeup)
			{
				handle_event(decide::tick{});
				wakeup = this->core.next_wakeup(monotonic_now());
			}
		}
	}
}
