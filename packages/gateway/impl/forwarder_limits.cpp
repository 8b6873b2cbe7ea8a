#include <godwittrestle/gateway/forwarder.hpp>

#include <fmt/format.h>

#include "forwarder_state.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		std::string rate_text(std::optional<routing::request_rate> rate)
		{
			return rate ? fmt::format("{:.3f}", rate->per_second()) : "none";
		}
	}

	void forwarder::record_limit(routing::server_record& server, answer_metadata const& metadata, unsigned status,
		std::optional<time_point> call_sent_at)
	{
		constexpr unsigned first_success = 200;
		constexpr unsigned first_redirect = 300;
		auto const now = monotonic_now();
		auto const rate_before = server.limit.rate();
		auto const& statement = metadata.limit;
		if (!statement.fault.empty() && server.limit.note_fault(statement.fault))
		{
			this->log(make_event("server_limit_unreadable",
				{{"server", server.entry.id.str()}, {"reason", statement.fault},
					{"used_per_s", rate_text(statement.rate)}, {"known_per_s", rate_text(rate_before)}}));
		}
		routing::limit_report const report{statement.rate, now, this->shared->own_id};
		auto const is_success = status >= first_success && status < first_redirect;
		auto is_changed = false;
		if (statement.rate)
		{
			is_changed = server.limit.note(report, now);
		}
		else if (statement.fault.empty() && call_sent_at && is_success)
		{
			is_changed = server.limit.note_absence(*call_sent_at, report, now);
		}
		if (is_changed)
		{
			this->log(make_event("server_limit_changed",
				{{"server", server.entry.id.str()}, {"limit_per_s", rate_text(server.limit.rate())},
					{"before_per_s", rate_text(rate_before)}, {"heard_by", report.heard_by.str()}}));
		}
	}
}
