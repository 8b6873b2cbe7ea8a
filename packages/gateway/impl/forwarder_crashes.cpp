#include <godwittrestle/gateway/forwarder.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

#include <fmt/format.h>

#include <godwittrestle/decide/rendezvous.hpp>

#include "crash_messages.hpp"
#include "forwarder_state.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		constexpr duration min_retry_after_block = seconds(1);
	}

	bool forwarder::is_blocked(request_state const& state, time_point now) const
	{
		auto const& crashes = this->shared->crashes;
		auto const* const block = state.is_trial ? nullptr : crashes.find_block(state.identity);
		return block != nullptr && !crashes.may_try(*block, this->trial_position(*block), now);
	}

	bool forwarder::begin_send(request_state& state, time_point now)
	{
		if (this->is_blocked(state, now))
		{
			return false;
		}
		auto const* const block = state.is_trial ? nullptr : this->shared->crashes.find_block(state.identity);
		if (block != nullptr)
		{
			state.is_trial = true;
			this->shared->crashes.begin_trial(*block, now);
			this->totals->count_blocked_request("tried");
			this->log_event(state, "blocked_request_tried", block_fields(*block, now));
		}
		return true;
	}

	void forwarder::check_server_end(request_state const& state, routing::server_record const& server)
	{
		auto const at = monotonic_now();
		// The server's record may be older than the process that got the request.
		auto const& sent_to = state.sent_to_process;
		auto const ended = sent_to.server == server.entry.id ? sent_to.started : server.entry.started;
		auto report =
			this->shared->crashes.make_report(server.entry.id, ended, state.identity, this->shared->own_id, at);
		report.is_trial = state.is_trial;
		this->end_check.check_port(server.entry,
			[this, report = std::move(report), attempt = state.call.attempt](routing::process_evidence const& seen)
			{
				if (seen.port != routing::port_evidence::refused || this->shared->reach.is_doubtful())
				{
					return;
				}
				auto const now = monotonic_now();
				this->log(make_event("server_ended_with_request",
					{{"server", report.server.str()}, {"fingerprint", to_text(report.request.request)},
						{"shared_parts", to_text(report.request.shared_parts)},
						{"trial", report.is_trial ? "yes" : "no"}},
					attempt));
				this->totals->count_crash_report();
				this->shared->crashes.note_crash(report, now);
				log_block_changes(this->shared->crashes, this->log, now);
			});
	}

	void forwarder::record_answer_begun(request_state const& state, time_point now)
	{
		this->shared->crashes.note_answer(state.identity, now);
		log_block_changes(this->shared->crashes, this->log, now);
	}

	asio::awaitable<void> forwarder::refuse_blocked(state_pointer state)
	{
		auto const now = monotonic_now();
		auto const* const block = this->shared->crashes.find_block(state->identity);
		std::optional<duration> retry_delay;
		std::string fingerprints;
		if (block != nullptr)
		{
			fingerprints = to_text(block->fingerprints);
			retry_delay = std::max(min_retry_after_block, this->shared->crashes.next_trial_at(*block) - now);
			this->log_event(*state, "request_blocked", block_fields(*block, now));
		}
		this->totals->count_blocked_request("refused");
		auto const status = routing::status_of_failure(state->may_have_run, false);
		auto const remedy =
			fmt::format("don't repeat it unchanged, or ask the operator to allow fingerprint {}", fingerprints);
		co_await this->refuse(state, status, "servers have ended when they began to answer such requests", remedy,
			state->may_have_run ? std::nullopt : retry_delay);
	}

	std::size_t forwarder::trial_position(routing::crash_block const& block) const
	{
		auto const key = to_text(block.fingerprints);
		auto const own_rank = decide::rank(key, this->shared->own_id.str());
		auto const before = std::ranges::count_if(this->shared->live_daemons,
			[&](routing::fleet_member const& each) { return decide::rank(key, each.id.str()) > own_rank; });
		return static_cast<std::size_t>(before);
	}
}
