#include <godwittrestle/gateway/forwarder.hpp>

#include <algorithm>
#include <ranges>
#include <tuple>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include <godwittrestle/base/digest.hpp>

#include "forwarder_state.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		// Time that other daemons get to say what they know of a stream.
		constexpr duration origin_timeout = milliseconds(150);
		// A daemon that has just started waits for the others until this time after its start, since it may not have
		// heard of them yet.
		constexpr duration first_contact_time = seconds(1);
		constexpr duration contact_poll_interval = milliseconds(25);
		// Longest wait for the entry of a process that began a stream.
		constexpr duration max_entry_wait = milliseconds(1500);

		// Returns the least that an engine has generated that began a stream: a token for each event that the caller
		// has. Nothing is known where the events are not numbered from 1.
		token_count least_generated(request_metadata const& call)
		{
			auto const events = parse_number(call.last_event.value_or("")).value_or(0);
			return events <= call.max_output.count() ? token_count(static_cast<std::uint32_t>(events)) : token_count();
		}

		// The key under which the version that reads a prompt is known; no caller's attempt has it.
		fingerprint prompt_key(request_metadata const& call)
		{
			return fingerprint_of("prompt " + call.prompt_parts.back());
		}

		bool serves(routing::route const& matched, service_id const& service)
		{
			return std::ranges::find(matched.targets, service, &routing::weighted_service::service) !=
				   matched.targets.end();
		}
	}

	duration forwarder::longest_settle_wait(request_state const& state)
	{
		return std::min(state.time_left(), state.matched_route->caller_patience / 4);
	}

	asio::awaitable<bool> forwarder::find_origin(state_pointer state)
	{
		if (!state->call.last_event)
		{
			co_return true;
		}
		if (!this->apply_known_origin(*state, monotonic_now()))
		{
			co_await this->seek_origin(state);
		}
		auto const* const known = this->shared->origins.find(fingerprint_of(state->call.resumes));
		if (!state->origin && known != nullptr && !known->is_version_known)
		{
			std::function<bool()> has_entry = [this, state]
			{
				return this->apply_known_origin(*state, monotonic_now());
			};
			std::ignore = co_await this->wait_for_entry(state, has_entry);
		}
		if (!state->origin && !this->apply_known_origin(*state, monotonic_now()) &&
			!this->apply_only_version(*state, monotonic_now()) && !this->apply_generated_prompt(*state))
		{
			if (this->lacks_origin(*state))
			{
				co_await this->relay(state);
				co_return false;
			}
			this->totals->count_taken_up_stream("unknown");
			co_await this->refuse(state, unavailable, "it is not known which software version began the stream",
				"send the request without the last event's id, so that the stream begins anew",
				this->retry_after_delay(*state));
			co_return false;
		}
		if (!serves(*state->matched_route, state->origin->service))
		{
			this->totals->count_taken_up_stream("other_service");
			co_await this->refuse(state, unavailable,
				"the route leads to another service than the one that began the stream",
				"send the request without the last event's id, so that the stream begins anew",
				this->retry_after_delay(*state));
			co_return false;
		}
		state->service = state->origin->service;
		co_return true;
	}

	asio::awaitable<void> forwarder::seek_origin(state_pointer state)
	{
		state->is_origin_sought = true;
		// The registry answers while the other daemons do. Where all of them are heard, their answers are enough.
		auto const is_proof_likely = this->shared->fleet_whole_since.has_value() && !this->shared->live_daemons.empty();
		if (!is_proof_likely && this->may_be_only_version(state->service, monotonic_now()))
		{
			this->ask_registry(state->started);
		}
		auto const is_alone = this->shared->live_daemons.empty();
		if (is_alone)
		{
			co_await this->await_registry_read(state, state->started);
		}
		if (is_alone && this->apply_only_version(*state, monotonic_now()))
		{
			co_return;
		}
		co_await this->ask_for_origin(state);
		auto const now = monotonic_now();
		auto const is_recorded = this->shared->origins.find(fingerprint_of(state->call.resumes)) != nullptr;
		if (!is_recorded && this->may_be_only_version(state->service, now) && !this->have_all_denied(*state, now))
		{
			this->ask_registry(state->started);
			co_await this->await_registry_read(state, state->started);
		}
	}

	bool forwarder::apply_known_origin(request_state& state, time_point now)
	{
		auto const attempt = fingerprint_of(state.call.resumes);
		auto const* const known = state.call.resumes.empty() ? nullptr : this->shared->origins.find(attempt);
		if (known != nullptr && !known->is_version_known)
		{
			return false;
		}
		if (known != nullptr)
		{
			state.origin = known->origin;
			this->totals->count_taken_up_stream("recorded");
			this->log_event(state, "stream_origin_found",
				{{"resumes", state.call.resumes.str()}, {"attempt", to_text(attempt)},
					{"service", known->origin.service.str()}, {"version", known->origin.version.str()},
					{"age_ms", milliseconds_text(now - known->begun_at)}, {"learnt_from", known->learnt_from.str()}});
			return true;
		}
		return false;
	}

	bool forwarder::apply_only_version(request_state& state, time_point now)
	{
		auto const* const known = this->shared->origins.find(fingerprint_of(state.call.resumes));
		// The daemon that began a stream whose process is not known may know of other versions.
		auto const is_doubted = known != nullptr && (known->process || !state.have_others_answered);
		auto const is_split = state.matched_route->targets.size() > 1;
		auto const since = now - longest_stream_life(*this->shared);
		auto only = this->shared->versions.only_version_since(state.service, since, now);
		if (is_doubted || is_split || !this->is_only_version_proved(state, now) || !only ||
			this->shared->servers.has_unlisted_process(state.service))
		{
			return false;
		}
		auto const read_before = std::chrono::duration_cast<duration>(state.started - this->shared->view.read_until());
		this->log_event(state, "stream_origin_assumed",
			{{"resumes", state.call.resumes.str()}, {"service", state.service.str()}, {"version", only->str()},
				{"read_before_ms", milliseconds_text(read_before)},
				{"others_answered", state.have_others_answered ? "yes" : "no"},
				{"history_ms", history_text(*this->shared, state.service, now)}});
		state.origin = routing::stream_origin{state.service, std::move(*only)};
		this->totals->count_taken_up_stream("only_version");
		return true;
	}

	bool forwarder::apply_generated_prompt(request_state& state)
	{
		auto const& call = state.call;
		auto const* const known = this->shared->origins.find(fingerprint_of(call.resumes));
		if (known != nullptr || call.prompt_parts.empty() || !state.have_others_answered)
		{
			return false;
		}
		if (this->shared->origins.find(prompt_key(call)) != nullptr)
		{
			// Another stream with this prompt has begun since this daemon started.
			return false;
		}
		routing::unrecorded_stream const stream{
			state.service, fingerprint_of(call.prompt_parts.back()), call.last_part, least_generated(call)};
		auto writer = this->shared->holders.only_writer(stream);
		if (writer)
		{
			this->totals->count_taken_up_stream("generated_prompt");
			this->log_event(state, "stream_origin_generated",
				{{"resumes", call.resumes.str()}, {"service", state.service.str()}, {"version", writer->str()},
					{"generated", std::to_string(stream.generated.count())}});
			state.origin = routing::stream_origin{state.service, std::move(*writer)};
		}
		return writer.has_value();
	}

	asio::awaitable<void> forwarder::ask_for_origin(state_pointer state)
	{
		auto const attempt = fingerprint_of(state->call.resumes);
		auto is_answered = false;
		std::optional<std::uint64_t> query;
		asio::steady_timer timer(this->executor);
		auto ends_at = std::max(monotonic_now() + origin_timeout, this->started + first_contact_time);
		while (!is_answered && !state->is_caller_gone && !state->is_out_of_time() && monotonic_now() < ends_at)
		{
			if (!query)
			{
				query = this->origins->ask(attempt, state->service, monotonic_now(),
					[&is_answered, state](routing::daemon_start const& from, bool is_last)
					{
						state->origin_answers.insert(from);
						is_answered = is_last;
					});
				ends_at = query ? monotonic_now() + origin_timeout : ends_at;
			}
			timer.expires_after(contact_poll_interval);
			std::ignore = co_await timer.async_wait(wait_token);
		}
		if (query)
		{
			this->origins->cancel(*query);
		}
		state->is_origin_unanswered = !is_answered;
		// A daemon that hears no others, but has, may be cut off from them.
		state->have_others_answered = is_answered || !this->shared->has_heard_others;
		auto const now = monotonic_now();
		auto const* const known = this->shared->origins.find(attempt);
		this->log_event(*state, "stream_origin_answered",
			{{"resumes", state->call.resumes.str()}, {"attempt", to_text(attempt)}, {"asked", query ? "yes" : "no"},
				{"answered", is_answered ? "yes" : "no"}, {"known", known != nullptr ? "yes" : "no"},
				{"history_ms", history_text(*this->shared, state->service, now)}});
	}

	asio::awaitable<bool> forwarder::wait_for_entry(state_pointer state, std::function<bool()> is_known)
	{
		auto const longest = std::min(max_entry_wait, state->matched_route->caller_patience / 2);
		auto const ends_at = monotonic_now() + longest;
		asio::steady_timer pause(this->executor);
		auto has_entry = is_known();
		while (!has_entry && !state->is_caller_gone && !state->is_out_of_time() && monotonic_now() < ends_at)
		{
			pause.expires_after(contact_poll_interval);
			std::ignore = co_await pause.async_wait(wait_token);
			has_entry = is_known();
		}
		co_return has_entry;
	}

	asio::awaitable<bool> forwarder::settle_origin(state_pointer state)
	{
		if (!state->writer && !state->unconfirmed_writer)
		{
			co_return true;
		}
		if (auto const server = state->unconfirmed_writer; server && !state->writer)
		{
			std::ignore =
				co_await this->find_writer(state, server, state->sent_to_process, longest_settle_wait(*state));
		}
		if (!state->origin)
		{
			std::function<bool()> is_known = [this, state]
			{
				auto const version = state->writer ? this->shared->servers.version_of(*state->writer)
												   : std::optional<software_version>();
				if (version)
				{
					state->origin = routing::stream_origin{state->service, *version};
				}
				return version.has_value();
			};
			std::ignore = co_await this->wait_for_entry(state, is_known);
		}
		auto const states_start = state->unconfirmed_writer && state->unconfirmed_writer->last_statement;
		auto const may_be_only = !state->writer && !states_start;
		auto const settled_since = monotonic_now();
		if (may_be_only && this->may_be_only_version(state->service, settled_since))
		{
			this->ask_registry(settled_since);
			co_await this->await_registry_read(state, settled_since);
		}
		if (auto const now = monotonic_now();
			may_be_only && this->shared->view.covers(settled_since) && !this->has_several_versions(state->service, now))
		{
			auto const since = now - longest_stream_life(*this->shared);
			auto only = this->shared->versions.only_version_since(state->service, since, now);
			state->origin = routing::stream_origin{state->service, std::move(*only)};
			state->unconfirmed_writer = nullptr;
		}
		if (!state->origin)
		{
			state->no_retry_reason = "origin_unknown";
		}
		co_return state->origin.has_value();
	}

	bool forwarder::has_several_versions(service_id const& service, time_point now) const
	{
		auto const since = now - longest_stream_life(*this->shared);
		return !this->shared->view.is_current(now) || !this->shared->versions.only_version_since(service, since, now) ||
			   this->shared->servers.has_unlisted_process(service);
	}

	void forwarder::note_prompt_version(
		request_state const& state, routing::server_record const& server, time_point now)
	{
		if (state.joiner.last_event() || state.call.prompt_parts.empty())
		{
			return;
		}
		// The process may be a later one than the entry's; its version is learnt when its entry is read.
		auto const version = state.is_holder_known ? this->shared->servers.version_of(state.sent_to_process)
												   : std::optional(server.entry.version);
		routing::known_stream reader{
			{state.service, version.value_or(software_version())}, now, this->shared->own_id, state.sent_to_process};
		reader.is_version_known = version.has_value();
		this->shared->origins.note(prompt_key(state.call), reader);
		this->origins->tell_due(now);
	}

	asio::awaitable<void> forwarder::settle_prompt_version(state_pointer state)
	{
		auto const is_new = !state->origin && !state->joiner.last_event() && !state->call.prompt_parts.empty();
		if (!is_new || !this->has_several_versions(state->service, monotonic_now()))
		{
			co_return;
		}
		std::function<bool()> is_known = [this, state]
		{
			auto const* const known = this->shared->origins.find(prompt_key(state->call));
			return known == nullptr || known->is_version_known;
		};
		std::ignore = co_await this->wait_for_entry(state, is_known);
	}

	std::optional<routing::stream_origin> forwarder::wanted_origin(request_state const& state, time_point now) const
	{
		if (state.origin || state.joiner.last_event() || state.call.prompt_parts.empty())
		{
			return state.origin;
		}
		if (now >= state.first_event_deadline() || !this->has_several_versions(state.service, now))
		{
			// A stream that would be late takes any engine.
			return std::nullopt;
		}
		auto const* const known = this->shared->origins.find(prompt_key(state.call));
		auto const& part = state.call.prompt_parts.back();
		if (known != nullptr && !known->is_version_known)
		{
			return std::nullopt;
		}
		auto wanted = known == nullptr ? this->shared->holders.only_keeper(state.service, fingerprint_of(part))
									   : std::optional(known->origin);
		auto const may_serve = wanted && wanted->service == state.service && this->has_engines(state, wanted, now);
		return may_serve ? wanted : std::nullopt;
	}

	std::optional<routing::stream_origin> forwarder::bound_origin(request_state const& state, time_point now) const
	{
		if (!state.origin)
		{
			return std::nullopt;
		}
		auto const engines = this->shared->servers.stream_servers(state.service, now);
		auto const is_of_origin = [&](routing::server_pointer const& each)
		{
			return each->entry.version == state.origin->version;
		};
		return std::ranges::all_of(engines, is_of_origin) ? std::nullopt : state.origin;
	}

	bool forwarder::has_engines(
		request_state const& state, std::optional<routing::stream_origin> const& bound_to, time_point now) const
	{
		auto const engines = this->shared->servers.stream_servers(state.service, now);
		return std::ranges::any_of(engines,
			[&](routing::server_pointer const& each)
			{
				auto const& entry = each->entry;
				return !bound_to || (entry.version == bound_to->version && !state.excluded.contains(entry.id));
			});
	}
}
