#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/routing/request_identity.hpp>

namespace godwittrestle::routing
{
	// Says that a server ended while it had a request that it had not answered yet.
	struct crash_report
	{
		server_id server;
		// The start of the server that has ended.
		incarnation started;
		request_identity request;
		// Those of the request's fingerprints with which the reporting daemon had seen an answer before.
		std::set<fingerprint> answered_before;
		time_point at;
		instance_id reported_by;
		// Whether the request was sent, although it was blocked, to find out whether it still ends servers.
		bool is_trial = false;
	};

	// Requests that get to no server, and why.
	struct crash_block
	{
		// A request is blocked when it has all of these fingerprints: the reports can't tell them apart.
		std::set<fingerprint> fingerprints;
		// Number of servers that have ended, and of different requests that they had.
		std::size_t crashes = 0;
		std::size_t requests = 0;
		// Number of trials among them.
		std::size_t trials = 0;
		time_point first_crash_at;
		time_point last_crash_at;
		std::set<instance_id> reported_by;
	};

	// A block that began or ended.
	struct block_change
	{
		enum class kind : std::uint8_t
		{
			blocked,
			// Such a request was answered, or the evidence has expired.
			released,
		};

		kind what = kind::blocked;
		crash_block block;
	};

	// What an operator has set about blocking.
	struct crash_settings
	{
		bool is_blocking_enabled = true;
		// Fingerprints of requests and parts that are never blocked.
		std::set<fingerprint> allowed;

		[[nodiscard]] bool operator==(crash_settings const&) const = default;
	};

	// Decides which requests are blocked because they end the servers that begin to answer them, a circuit breaker for
	// single requests and for what requests have in common. A server that ends takes sound requests with it, and
	// servers end for other reasons too. So a request, or a part that requests share, counts as the cause only when
	// several servers have ended, each while it had such an unanswered request, and none such has been answered since.
	// Reports of all daemons count; equal reports and answers lead to the same blocks, in whichever order and however
	// often they arrive.
	//
	// What is blocked is tried again with one request after a while, later after each further crash.
	class crash_evidence
	{
	  public:
		crash_evidence() = default;
		explicit crash_evidence(crash_settings given);

		// Returns a report with the present knowledge about the request's parts.
		[[nodiscard]] crash_report make_report(server_id server, incarnation started, request_identity const& request,
			instance_id reporter, time_point at) const;

		// Records a report of this or another daemon.
		void note_crash(crash_report report, time_point now);

		// Records that a server has begun to answer a request.
		void note_answer(request_identity const& request, time_point now);

		// Records that a request with a fingerprint was answered, here or at another daemon.
		void note_answer(fingerprint value, time_point answered_at, time_point now);

		// Drops expired evidence. Must be called at regular intervals.
		void expire(time_point now);

		// Returns the block that holds for a request; null when there is none.
		[[nodiscard]] crash_block const* find_block(request_identity const& request) const;

		// Returns whether one request may be sent in spite of a block. position: number of live daemons that come
		// before this one in the order in which daemons try; 0 for the first.
		[[nodiscard]] bool may_try(crash_block const& block, std::size_t position, time_point now) const;

		// Records that this daemon sends a request in spite of a block.
		void begin_trial(crash_block const& block, time_point now);

		// Returns the time from which the first daemon may try again.
		[[nodiscard]] time_point next_trial_at(crash_block const& block) const;

		// Returns the blocks that began or ended since the last call.
		[[nodiscard]] std::vector<block_change> take_changes();

		[[nodiscard]] std::vector<crash_block> const& blocks() const noexcept
		{
			return this->blocked;
		}

		// Returns a number that grows with each report and answer that is new to this daemon.
		[[nodiscard]] std::uint64_t revision() const noexcept
		{
			return this->news;
		}

		// A report or an answer with the time at which this daemon learnt of it.
		struct known_report
		{
			crash_report report;
			time_point learnt_at;
		};

		struct known_answer
		{
			time_point answered_at;
			time_point learnt_at;
		};

		// Returns whether a report counts against nothing any more.
		[[nodiscard]] bool is_cleared(crash_report const& report) const;

		[[nodiscard]] std::vector<known_report> const& reports() const noexcept
		{
			return this->known_reports;
		}

		// Returns the newest answers to requests with the fingerprints that reports name.
		[[nodiscard]] std::map<fingerprint, known_answer> const& answers() const noexcept
		{
			return this->known_answers;
		}

	  private:
		struct suspicion;
		using crash = std::pair<server_id, incarnation>;
		using suspicions = std::map<fingerprint, suspicion>;
		using answer_times = std::map<fingerprint, time_point>;

		[[nodiscard]] bool is_reported(fingerprint value) const;
		// Returns whether a report still counts against a fingerprint.
		[[nodiscard]] bool counts_against(crash_report const& report, fingerprint value) const;
		// Returns what speaks against the shared parts, and against the requests themselves.
		[[nodiscard]] suspicions gather_suspicions(bool of_requests) const;
		void add_report(suspicion& against, std::size_t position) const;
		[[nodiscard]] crash_block make_block(
			std::set<fingerprint> fingerprints, std::set<std::size_t> const& supporting_reports) const;
		[[nodiscard]] std::vector<crash_block> find_blocks() const;
		// Adds the blocks that the suspicions lead to. explained: the crashes that blocks explain;
		// what else was lost with them is not their cause.
		void add_blocks(suspicions remaining, std::set<crash>& explained, std::vector<crash_block>& blocks) const;
		// Removes the explained crashes from what speaks against a fingerprint.
		void remove_explained(suspicion& against, std::set<crash> const& explained) const;
		// Decides anew which requests are blocked.
		void review();
		void limit_reports();
		// Returns the time of the last answer to a request with a fingerprint, if this daemon remembers one.
		[[nodiscard]] std::optional<time_point> last_answer(fingerprint value) const;
		// Records an answer. Beyond a bound, those that were answered longest ago are forgotten.
		static void remember_answer(answer_times& answered, fingerprint value, time_point now);

		crash_settings settings;
		std::vector<known_report> known_reports;
		std::map<fingerprint, known_answer> known_answers;
		// Parts of requests, and requests, that were answered, with the time of the last answer. Apart, since there
		// are many more requests than parts.
		answer_times answered_parts;
		answer_times answered_requests;
		std::uint64_t news = 0;
		std::vector<crash_block> blocked;
		std::vector<block_change> changes;
		// Trials of this daemon: the time of the last one and their number, by the blocked fingerprints.
		std::map<std::set<fingerprint>, std::pair<time_point, std::size_t>> own_trials;
	};
}
