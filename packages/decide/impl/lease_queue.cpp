#include <godwittrestle/decide/lease_queue.hpp>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <tuple>
#include <utility>

namespace godwittrestle::decide
{
	namespace
	{
		// Number of prompt tokens that cost a cell as much as one output token.
		constexpr std::uint64_t prompt_tokens_per_output_token = 16;

		std::uint64_t cost_of(waiting_request const& request) noexcept
		{
			return request.output_tokens.count() + request.prompt_tokens.count() / prompt_tokens_per_output_token + 1;
		}
	}

	bool is_late(waiting_request const& request, time_point now) noexcept
	{
		return !request.is_resumed &&
			   now + request.min_time_to_first_token > request.waiting_since + request.first_token_target;
	}

	void lease_queue::push(waiting_request request)
	{
		if (auto const known = this->requests.find(request.attempt); known != this->requests.end())
		{
			known->second.asked_at = request.asked_at;
			known->second.asked_clock = request.asked_clock;
			known->second.excluded = std::move(request.excluded);
			return;
		}
		auto& last = this->finish_tags[request.account];
		request.start_tag = std::max(last, this->virtual_time);
		last = request.start_tag + cost_of(request);
		auto attempt = request.attempt;
		this->requests.emplace(std::move(attempt), std::move(request));
	}

	void lease_queue::erase(std::string const& attempt)
	{
		this->requests.erase(attempt);
		if (this->requests.empty())
		{
			// The queue is empty, so no order has to be kept: all accounts start again at equal tags.
			this->finish_tags.clear();
			this->virtual_time = 0;
		}
	}

	std::vector<waiting_request const*> lease_queue::ordered(time_point now) const
	{
		std::vector<waiting_request const*> order;
		order.reserve(this->requests.size());
		std::ranges::transform(this->requests | std::views::values, std::back_inserter(order),
			[](waiting_request const& request) { return &request; });
		auto const key = [&](waiting_request const* request)
		{
			auto const is_promoted = now - request->waiting_since > request->patience / 2;
			return std::tuple(is_late(*request, now), is_promoted ? 0U : request->priority, request->start_tag,
				request->waiting_since, std::string_view(request->attempt));
		};
		std::ranges::sort(order, std::less{}, key);
		return order;
	}

	void lease_queue::advance_virtual_time(waiting_request const& request)
	{
		this->virtual_time = std::max(this->virtual_time, request.start_tag);
	}

	std::vector<std::string> lease_queue::abandoned(time_point asked_before) const
	{
		std::vector<std::string> attempts;
		for (auto const& [attempt, request] : this->requests)
		{
			if (request.asked_at < asked_before)
			{
				attempts.push_back(attempt);
			}
		}
		return attempts;
	}
}
