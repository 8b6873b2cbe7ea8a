#include "crash_messages.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <godwittrestle/base/algorithm.hpp>
#include <godwittrestle/gateway/fingerprints.hpp>

#include "message_time.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		constexpr std::size_t max_told = 16;
		// Reports, and answers, in each notice that are no news any more.
		constexpr std::size_t told_again = 1;
		// Bounds for messages of other daemons; a report with more comes from a malformed message.
		constexpr int max_accepted_parts = 64;
		constexpr duration max_accepted_age = std::chrono::hours(24);

		wire::CrashReport to_wire(routing::crash_report const& report, time_point now)
		{
			wire::CrashReport message;
			message.set_server(report.server.str());
			message.set_started(report.started.count());
			message.set_request(report.request.request.count());
			std::ranges::for_each(
				report.request.shared_parts, [&](fingerprint part) { message.add_shared_parts(part.count()); });
			std::ranges::for_each(
				report.answered_before, [&](fingerprint part) { message.add_answered_before(part.count()); });
			message.set_age(age_of(report.at, now));
			message.set_reported_by(report.reported_by.str());
			message.set_is_trial(report.is_trial);
			return message;
		}

		routing::crash_report from_wire(wire::CrashReport const& message, time_point now)
		{
			auto const to_fingerprint = [](std::uint64_t value)
			{
				return fingerprint(value);
			};
			routing::crash_report report;
			report.server = server_id(message.server());
			report.started = incarnation(message.started());
			report.request.request = fingerprint(message.request());
			std::ranges::transform(
				message.shared_parts(), std::back_inserter(report.request.shared_parts), to_fingerprint);
			std::ranges::transform(message.answered_before(),
				std::inserter(report.answered_before, report.answered_before.end()), to_fingerprint);
			report.at = now - bounded_time(message.age(), max_accepted_age);
			report.reported_by = instance_id(message.reported_by());
			report.is_trial = message.is_trial();
			return report;
		}

		using known_report = routing::crash_evidence::known_report;
		using known_answer = std::pair<fingerprint const, routing::crash_evidence::known_answer>;

		time_point learnt_at(known_report const& known)
		{
			return known.learnt_at;
		}

		time_point learnt_at(known_answer const& known)
		{
			return known.second.learnt_at;
		}

		template <typename Item>
		using pointers = std::vector<Item const*>;

		// Returns up to max_count items drawn at random: first those that are preferred.
		template <typename Item>
		pointers<Item> sample_preferred(pointers<Item> items, std::function<bool(Item const&)> const& is_preferred,
			std::size_t max_count, std::function<double()> const& draw)
		{
			auto const others =
				std::ranges::stable_partition(items, [&](Item const* each) { return is_preferred(*each); });
			pointers<Item> rest(others.begin(), others.end());
			items.erase(others.begin(), others.end());
			auto chosen = random_sample(std::move(items), max_count, draw);
			std::ranges::copy(
				random_sample(std::move(rest), max_count - chosen.size(), draw), std::back_inserter(chosen));
			return chosen;
		}

		// Returns the items to tell: what may be news to some daemon, and few others for daemons that missed them.
		template <typename Item>
		pointers<Item> choose(pointers<Item> items, std::function<bool(Item const&)> const& is_preferred,
			bool has_arrivals, std::function<double()> const& draw, time_point now)
		{
			auto const is_news = [&](Item const* each)
			{
				return has_arrivals || now - learnt_at(*each) <= news_time;
			};
			auto const old = std::ranges::stable_partition(items, is_news);
			auto again = sample_preferred<Item>(pointers<Item>(old.begin(), old.end()), is_preferred, told_again, draw);
			items.erase(old.begin(), old.end());
			auto chosen = sample_preferred<Item>(std::move(items), is_preferred, max_told, draw);
			std::ranges::copy(again, std::back_inserter(chosen));
			return chosen;
		}
	}

	void add_crash_evidence(wire::GatewayNotice& notice, routing::crash_evidence const& evidence, bool has_arrivals,
		std::function<double()> const& draw, time_point now)
	{
		pointers<known_report> reports;
		for (auto const& each : evidence.reports())
		{
			if (!evidence.is_cleared(each.report))
			{
				reports.push_back(&each);
			}
		}
		auto const blocks_requests = [&](known_report const& each)
		{
			return evidence.find_block(each.report.request) != nullptr;
		};
		for (auto const* const each :
			choose<known_report>(std::move(reports), blocks_requests, has_arrivals, draw, now))
		{
			*notice.add_crashes() = to_wire(each->report, now);
		}
		pointers<known_answer> answers;
		std::ranges::transform(
			evidence.answers(), std::back_inserter(answers), [](known_answer const& each) { return &each; });
		auto const is_preferred = [](known_answer const&)
		{
			return false;
		};
		for (auto const* const each : choose<known_answer>(std::move(answers), is_preferred, has_arrivals, draw, now))
		{
			auto& message = *notice.add_answers();
			message.set_fingerprint(each->first.count());
			message.set_age(age_of(each->second.answered_at, now));
		}
	}

	void apply_crash_evidence(wire::GatewayNotice const& notice, routing::crash_evidence& evidence, time_point now)
	{
		for (auto const& each : notice.crashes())
		{
			if (each.shared_parts_size() <= max_accepted_parts && each.answered_before_size() <= max_accepted_parts)
			{
				evidence.note_crash(from_wire(each, now), now);
			}
		}
		for (auto const& each : notice.answers())
		{
			evidence.note_answer(
				fingerprint(each.fingerprint()), now - bounded_time(each.age(), max_accepted_age), now);
		}
	}

	void log_block_changes(routing::crash_evidence& evidence, event_log const& log, time_point now)
	{
		for (auto const& change : evidence.take_changes())
		{
			auto const is_blocked = change.what == routing::block_change::kind::blocked;
			log(make_event(is_blocked ? "requests_blocked" : "requests_released", block_fields(change.block, now)));
		}
	}

	std::vector<decide::event_field> block_fields(routing::crash_block const& block, time_point now)
	{
		auto const reporters =
			block.reported_by | std::views::transform([](instance_id const& each) { return each.str(); });
		return {{"blocked_fingerprints", to_text(block.fingerprints)}, {"crashes", std::to_string(block.crashes)},
			{"crashed_requests", std::to_string(block.requests)}, {"trials", std::to_string(block.trials)},
			{"first_crash_age_ms", fmt::format("{:.1f}", to_milliseconds(now - block.first_crash_at))},
			{"last_crash_age_ms", fmt::format("{:.1f}", to_milliseconds(now - block.last_crash_at))},
			{"reported_by", fmt::format("{}", fmt::join(reporters.begin(), reporters.end(), ","))}};
	}
}
