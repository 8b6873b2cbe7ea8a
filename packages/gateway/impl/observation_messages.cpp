#include "observation_messages.hpp"

#include <cmath>

#include "message_time.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		// Range of valid averages, in tokens or milliseconds.
		constexpr float minimum = 0;
		constexpr float maximum = 1e7F;
		// Streams that were broken off longer ago are not told.
		constexpr duration max_broken_off_age = seconds(60);
		// A message that is late makes what it tells look later. One proof counts as another only beyond this.
		constexpr duration max_message_delay = seconds(4);

		void write_average(routing::shared_average const& average, wire::Average& message)
		{
			message.set_value(static_cast<float>(average.own().value));
			message.set_samples(average.own().samples);
		}

		// Ignores values that are not finite or out of range.
		void take(wire::Average const& message, routing::shared_average& average)
		{
			if (std::isfinite(message.value()) && message.value() >= minimum && message.value() <= maximum)
			{
				average.merge_report({message.value(), message.samples()});
			}
		}
	}

	wire::ServiceObservations to_wire(
		service_id const& service, routing::service_observations const& observed, time_point now)
	{
		wire::ServiceObservations message;
		message.set_service(service.str());
		write_average(observed.demand.prompt_tokens, *message.mutable_prompt_tokens());
		write_average(observed.demand.output_tokens, *message.mutable_output_tokens());
		write_average(observed.demand.token_ms, *message.mutable_token_ms());
		write_average(observed.speed.token_ms, *message.mutable_prefill_token_ms());
		write_average(observed.speed.overhead_ms, *message.mutable_prefill_overhead_ms());
		write_average(observed.speed.decode_start_ms, *message.mutable_begin_ms());
		if (observed.ends.were_broken_off(max_broken_off_age, now))
		{
			message.set_broken_off_age(age_of(*observed.ends.last_broken_off(), now));
		}
		return message;
	}

	void apply_observations(
		wire::ServiceObservations const& received, routing::service_observations& observed, time_point now)
	{
		take(received.prompt_tokens(), observed.demand.prompt_tokens);
		take(received.output_tokens(), observed.demand.output_tokens);
		take(received.token_ms(), observed.demand.token_ms);
		take(received.prefill_token_ms(), observed.speed.token_ms);
		take(received.prefill_overhead_ms(), observed.speed.overhead_ms);
		take(received.begin_ms(), observed.speed.decode_start_ms);
		if (received.has_broken_off_age())
		{
			auto const at = now - bounded_time(received.broken_off_age(), max_broken_off_age);
			auto const& known = observed.ends.last_broken_off();
			if (!known || at - *known > max_message_delay)
			{
				observed.ends.note_broken_off(at);
			}
		}
	}
}
