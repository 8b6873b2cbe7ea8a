#include "limit_events.hpp"

#include <fmt/format.h>

#include <godwittrestle/gateway/event_log.hpp>

namespace godwittrestle::gateway
{
	namespace
	{
		std::string rate_text(std::optional<routing::request_rate> rate)
		{
			return rate ? fmt::format("{:.3f}", rate->per_second()) : "none";
		}
	}

	decide::record_event make_limit_changed_event(
		routing::server_record const& server, std::optional<routing::request_rate> before)
	{
		return make_event("server_limit_changed",
			{{"server", server.entry.id.str()}, {"limit_per_s", rate_text(server.limit.rate())},
				{"before_per_s", rate_text(before)}, {"heard_by", server.limit.report().heard_by.str()}});
	}

	decide::record_event make_limit_unreadable_event(
		routing::server_record const& server, std::string reason, std::optional<routing::request_rate> used)
	{
		return make_event("server_limit_unreadable",
			{{"server", server.entry.id.str()}, {"reason", std::move(reason)}, {"used_per_s", rate_text(used)},
				{"known_per_s", rate_text(server.limit.rate())}});
	}

	std::vector<decide::event_field> limit_fields(routing::server_record const& server, time_point now)
	{
		auto const& report = server.limit.report();
		auto const& refusal = server.limit.last_refusal();
		return {{"limited_by", server.entry.id.str()}, {"limit_per_s", rate_text(report.rate)},
			{"limit_age_ms", fmt::format("{:.1f}", to_milliseconds(now - report.heard_at))},
			{"limit_heard_by", report.heard_by.str()}, {"limit_share", fmt::format("{:.2f}", refusal.share)},
			{"permit", std::string(routing::to_string(refusal.outcome))},
			{"wait_ms", fmt::format("{:.1f}", to_milliseconds(server.limit.refused_for(now)))}};
	}
}
