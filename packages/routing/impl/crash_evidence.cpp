#include <godwittrestle/routing/crash_evidence.hpp>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <tuple>

namespace godwittrestle::routing
{
	namespace
	{
		// Number of servers that have to end before a fingerprint counts as the cause.
		constexpr std::size_t min_crashes = 3;
		// A fingerprint with which requests were answered before needs ends at this many different moments: a rack that
		// loses its power ends many servers at once, and each of them may have such a request.
		constexpr std::size_t min_moments_if_answered_before = 5;
		// Ends within this time count as one moment. Busy daemons notice them some time after each other.
		constexpr duration moment_length = milliseconds(500);
		// A single server may be faulty.
		constexpr std::size_t min_servers = 2;
		// Evidence that is older proves nothing any more.
		constexpr duration report_lifetime = std::chrono::hours(1);
		constexpr std::size_t max_reports = 256;
		constexpr std::size_t max_remembered_answers = 4096;
		constexpr duration first_trial_delay = seconds(10);
		constexpr int trial_delay_factor = 4;
		constexpr std::size_t max_trials = 3;
		// A daemon waits this long for each daemon that comes before it, so that two don't try at once; a trial shows
		// its outcome sooner.
		constexpr duration trial_turn = seconds(3);
		constexpr std::size_t max_turns = 10;
	}

	// What speaks against one fingerprint.
	struct crash_evidence::suspicion
	{
		// Positions of the reports that count against it.
		std::set<std::size_t> reports;
		// The crashes with their times.
		std::map<crash, time_point> crashes;
		std::set<server_id> servers;
		// The crashes that each request was lost with.
		std::map<fingerprint, std::set<crash>> by_request;
		bool was_answered_before = false;
		bool is_request = false;

		// Returns whether one request was lost with each of the crashes: the other parts of it may explain them as
		// well.
		[[nodiscard]] bool is_explained_by_one_request() const
		{
			return std::ranges::any_of(this->by_request | std::views::values,
				[this](std::set<crash> const& each) { return each.size() == this->crashes.size(); });
		}

		// Returns the number of different moments at which servers ended.
		[[nodiscard]] std::size_t count_moments() const
		{
			std::vector<time_point> times;
			std::ranges::copy(this->crashes | std::views::values, std::back_inserter(times));
			std::ranges::sort(times);
			std::size_t moments = 0;
			std::optional<time_point> moment;
			for (auto const at : times)
			{
				if (!moment || at - *moment >= moment_length)
				{
					moment = at;
					++moments;
				}
			}
			return moments;
		}

		[[nodiscard]] bool has_enough_crashes() const
		{
			return this->was_answered_before ? this->count_moments() >= min_moments_if_answered_before
											 : this->crashes.size() >= min_crashes;
		}

		[[nodiscard]] bool is_sufficient() const
		{
			return this->has_enough_crashes() && this->servers.size() >= min_servers &&
				   (this->is_request || !this->is_explained_by_one_request());
		}
	};

	crash_evidence::crash_evidence(crash_settings given)
		: settings(std::move(given))
	{
	}

	crash_report crash_evidence::make_report(server_id server, incarnation started, request_identity const& request,
		instance_id reporter, time_point at) const
	{
		crash_report report;
		report.server = std::move(server);
		report.started = started;
		report.request = request;
		std::ranges::copy_if(request.all(), std::inserter(report.answered_before, report.answered_before.end()),
			[this](fingerprint value) { return this->last_answer(value).has_value(); });
		report.at = at;
		report.reported_by = std::move(reporter);
		return report;
	}

	void crash_evidence::note_crash(crash_report report, time_point now)
	{
		if (now - report.at >= report_lifetime)
		{
			return;
		}
		auto const same = std::ranges::find_if(this->known_reports,
			[&](known_report const& each)
			{
				return each.report.server == report.server && each.report.started == report.started &&
					   each.report.request.request == report.request.request;
			});
		if (same != this->known_reports.end())
		{
			// The report has come again on another way. The way that took least time tells the time best.
			same->report.at = std::min(same->report.at, report.at);
			same->report.is_trial = same->report.is_trial || report.is_trial;
			this->review();
			return;
		}
		for (auto const value : report.request.all())
		{
			auto const answered_at = this->last_answer(value);
			if (answered_at && *answered_at > report.at)
			{
				this->known_answers.insert_or_assign(value, known_answer{*answered_at, now});
			}
		}
		this->known_reports.push_back({std::move(report), now});
		++this->news;
		this->limit_reports();
		this->review();
	}

	void crash_evidence::note_answer(request_identity const& request, time_point now)
	{
		for (auto const part : request.shared_parts)
		{
			remember_answer(this->answered_parts, part, now);
			this->note_answer(part, now, now);
		}
		remember_answer(this->answered_requests, request.request, now);
		this->note_answer(request.request, now, now);
	}

	void crash_evidence::note_answer(fingerprint value, time_point answered_at, time_point now)
	{
		auto const is_news = std::ranges::any_of(this->known_reports, [&](known_report const& each)
			{ return each.report.at < answered_at && this->counts_against(each.report, value); });
		if (is_news)
		{
			this->known_answers.insert_or_assign(value, known_answer{answered_at, now});
			++this->news;
			this->review();
		}
	}

	void crash_evidence::expire(time_point now)
	{
		auto const dropped = std::erase_if(
			this->known_reports, [&](known_report const& each) { return now - each.report.at >= report_lifetime; });
		if (dropped > 0)
		{
			this->review();
		}
	}

	crash_block const* crash_evidence::find_block(request_identity const& request) const
	{
		auto const holds = [&](crash_block const& block)
		{
			return std::ranges::all_of(block.fingerprints, [&](fingerprint value) { return request.has(value); });
		};
		auto const found = std::ranges::find_if(this->blocked, holds);
		return found == this->blocked.end() ? nullptr : &*found;
	}

	time_point crash_evidence::next_trial_at(crash_block const& block) const
	{
		auto trials = block.trials;
		auto last = block.last_crash_at;
		if (auto const own = this->own_trials.find(block.fingerprints); own != this->own_trials.end())
		{
			last = std::max(last, own->second.first);
			trials = std::max(trials, own->second.second);
		}
		if (trials >= max_trials)
		{
			return last + report_lifetime;
		}
		auto delay = first_trial_delay;
		for (std::size_t trial = 0; trial < trials; ++trial)
		{
			delay *= trial_delay_factor;
		}
		return last + delay;
	}

	bool crash_evidence::may_try(crash_block const& block, std::size_t position, time_point now) const
	{
		auto const turns = static_cast<duration::rep>(std::min(position, max_turns));
		return now >= this->next_trial_at(block) + turns * trial_turn;
	}

	void crash_evidence::begin_trial(crash_block const& block, time_point now)
	{
		auto& [last, count] = this->own_trials[block.fingerprints];
		last = now;
		++count;
	}

	std::vector<block_change> crash_evidence::take_changes()
	{
		return std::exchange(this->changes, {});
	}

	bool crash_evidence::is_reported(fingerprint value) const
	{
		return std::ranges::any_of(
			this->known_reports, [&](known_report const& each) { return each.report.request.has(value); });
	}

	bool crash_evidence::counts_against(crash_report const& report, fingerprint value) const
	{
		if (!report.request.has(value))
		{
			return false;
		}
		auto const answer = this->known_answers.find(value);
		return answer == this->known_answers.end() || answer->second.answered_at <= report.at;
	}

	bool crash_evidence::is_cleared(crash_report const& report) const
	{
		return std::ranges::none_of(
			report.request.all(), [&](fingerprint value) { return this->counts_against(report, value); });
	}

	crash_evidence::suspicions crash_evidence::gather_suspicions(bool of_requests) const
	{
		suspicions gathered;
		for (std::size_t position = 0; position < this->known_reports.size(); ++position)
		{
			auto const& report = this->known_reports[position].report;
			auto const values =
				of_requests ? std::vector<fingerprint>{report.request.request} : report.request.shared_parts;
			for (auto const value : values)
			{
				if (this->counts_against(report, value) && !this->settings.allowed.contains(value))
				{
					auto& against = gathered[value];
					against.is_request = of_requests;
					against.was_answered_before = against.was_answered_before || report.answered_before.contains(value);
					this->add_report(against, position);
				}
			}
		}
		return gathered;
	}

	void crash_evidence::add_report(suspicion& against, std::size_t position) const
	{
		auto const& report = this->known_reports[position].report;
		crash const lost{report.server, report.started};
		against.reports.insert(position);
		auto const [known, is_first] = against.crashes.try_emplace(lost, report.at);
		known->second = std::min(known->second, report.at);
		against.servers.insert(report.server);
		against.by_request[report.request.request].insert(lost);
	}

	std::vector<crash_block> crash_evidence::find_blocks() const
	{
		std::vector<crash_block> blocks;
		std::set<crash> explained;
		// A shared part first: it also explains the crashes of the single requests.
		this->add_blocks(this->gather_suspicions(false), explained, blocks);
		this->add_blocks(this->gather_suspicions(true), explained, blocks);
		return blocks;
	}

	void crash_evidence::add_blocks(
		suspicions remaining, std::set<crash>& explained, std::vector<crash_block>& blocks) const
	{
		while (true)
		{
			std::ranges::for_each(
				remaining | std::views::values, [&](suspicion& each) { this->remove_explained(each, explained); });
			std::erase_if(remaining, [](auto const& item) { return !item.second.is_sufficient(); });
			// The fingerprint with most crashes explains them. One that was answered before is the less likely cause,
			// and so is one that more of the lost requests have.
			auto const strength = [](auto const& item)
			{
				auto const& against = item.second;
				auto const report_count = static_cast<std::ptrdiff_t>(against.reports.size());
				return std::tuple(!against.was_answered_before, against.crashes.size(), -report_count);
			};
			auto const strongest = std::ranges::max_element(remaining, {}, strength);
			if (strongest == remaining.end())
			{
				return;
			}
			auto const reports = strongest->second.reports;
			std::set<fingerprint> alike;
			for (auto const& [value, against] : remaining)
			{
				if (against.reports == reports)
				{
					alike.insert(value);
				}
			}
			std::ranges::copy(strongest->second.crashes | std::views::keys, std::inserter(explained, explained.end()));
			blocks.push_back(this->make_block(std::move(alike), reports));
		}
	}

	void crash_evidence::remove_explained(suspicion& against, std::set<crash> const& explained) const
	{
		suspicion left;
		left.was_answered_before = against.was_answered_before;
		left.is_request = against.is_request;
		for (auto const position : against.reports)
		{
			auto const& report = this->known_reports[position].report;
			if (!explained.contains({report.server, report.started}))
			{
				this->add_report(left, position);
			}
		}
		against = std::move(left);
	}

	crash_block crash_evidence::make_block(
		std::set<fingerprint> fingerprints, std::set<std::size_t> const& supporting_reports) const
	{
		crash_block block;
		block.fingerprints = std::move(fingerprints);
		std::set<std::pair<server_id, incarnation>> crashes;
		std::set<fingerprint> requests;
		block.first_crash_at = time_point::max();
		block.last_crash_at = time_point::min();
		for (auto const position : supporting_reports)
		{
			auto const& report = this->known_reports[position].report;
			crashes.insert({report.server, report.started});
			requests.insert(report.request.request);
			block.trials += report.is_trial ? 1 : 0;
			block.first_crash_at = std::min(block.first_crash_at, report.at);
			block.last_crash_at = std::max(block.last_crash_at, report.at);
			block.reported_by.insert(report.reported_by);
		}
		block.crashes = crashes.size();
		block.requests = requests.size();
		return block;
	}

	void crash_evidence::review()
	{
		std::erase_if(this->known_answers, [this](auto const& item) { return !this->is_reported(item.first); });
		auto const before = std::exchange(this->blocked, {});
		if (this->settings.is_blocking_enabled)
		{
			this->blocked = this->find_blocks();
		}
		auto const is_among = [](std::vector<crash_block> const& blocks, crash_block const& block)
		{
			return std::ranges::find(blocks, block.fingerprints, &crash_block::fingerprints) != blocks.end();
		};
		for (auto const& each : before)
		{
			if (!is_among(this->blocked, each))
			{
				this->own_trials.erase(each.fingerprints);
				this->changes.push_back({block_change::kind::released, each});
			}
		}
		for (auto const& each : this->blocked)
		{
			if (!is_among(before, each))
			{
				this->changes.push_back({block_change::kind::blocked, each});
			}
		}
	}

	void crash_evidence::limit_reports()
	{
		if (this->known_reports.size() <= max_reports)
		{
			return;
		}
		auto const supports_block = [this](known_report const& each)
		{
			return this->find_block(each.report.request) != nullptr;
		};
		// Drops a report that counts against nothing any more, else the oldest one that blocks nothing.
		auto const least_useful = std::ranges::min_element(this->known_reports, {}, [&](known_report const& each)
			{ return std::tuple(!this->is_cleared(each.report), supports_block(each), each.report.at); });
		this->known_reports.erase(least_useful);
	}

	std::optional<time_point> crash_evidence::last_answer(fingerprint value) const
	{
		for (auto const* const answered : {&this->answered_parts, &this->answered_requests})
		{
			if (auto const found = answered->find(value); found != answered->end())
			{
				return found->second;
			}
		}
		return std::nullopt;
	}

	void crash_evidence::remember_answer(answer_times& answered, fingerprint value, time_point now)
	{
		answered.insert_or_assign(value, now);
		if (answered.size() <= max_remembered_answers)
		{
			return;
		}
		std::vector<time_point> times;
		std::ranges::copy(answered | std::views::values, std::back_inserter(times));
		auto const middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
		std::ranges::nth_element(times, middle);
		std::erase_if(answered, [&](auto const& item) { return item.second < *middle; });
	}
}
