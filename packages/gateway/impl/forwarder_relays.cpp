#include <godwittrestle/gateway/forwarder.hpp>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include <godwittrestle/base/algorithm.hpp>

#include "forwarder_state.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		constexpr std::size_t max_relays = 3;
		// Another daemon may wait long for the origin of a stream before it refuses, so only one is asked to.
		constexpr std::size_t max_relays_without_origin = 1;
		// A daemon that leaves closes its connections; one that was used a moment ago is most likely still open.
		constexpr duration max_idle = seconds(1);
		constexpr std::size_t max_connections_per_peer = 256;
		constexpr duration probe_timeout = milliseconds(300);
		constexpr std::size_t servers_probed = 2;
	}

	std::vector<routing::fleet_member> forwarder::relay_candidates(request_state const& state) const
	{
		auto candidates = this->shared->live_daemons;
		if (state.is_origin_sought && !state.origin)
		{
			std::erase_if(candidates, [&](routing::fleet_member const& each)
				{ return !state.origin_answers.contains({each.id, each.started}); });
		}
		return candidates;
	}

	bool forwarder::may_relay(request_state const& state) const
	{
		auto const is_wanted = !state.call.relayed_servers_left && !state.is_caller_gone && !state.is_out_of_time();
		return is_wanted && this->shared->relays.has_usable(this->relay_candidates(state), monotonic_now());
	}

	bool forwarder::should_relay(request_state const& state) const
	{
		return this->shared->is_cut_off && this->may_relay(state);
	}

	bool forwarder::lacks_connections(request_state const& state) const
	{
		return !this->shared->reach.can_connect(monotonic_now()) && this->may_relay(state);
	}

	bool forwarder::knows_version(request_state const& state, time_point now) const
	{
		return !state.origin || this->has_engines(state, this->bound_origin(state, now), now);
	}

	bool forwarder::lacks_version(request_state const& state, time_point now) const
	{
		return !this->knows_version(state, now) && !this->must_refuse_before_stop(state) && this->may_relay(state);
	}

	bool forwarder::lacks_origin(request_state const& state) const
	{
		auto const* const known = this->shared->origins.find(fingerprint_of(state.call.resumes));
		auto const is_entry_missing = known != nullptr && !known->is_version_known;
		auto const is_unread =
			this->may_be_only_version(state.service, monotonic_now()) && !this->shared->view.covers(state.started);
		auto const is_known_elsewhere = is_entry_missing || is_unread || state.is_origin_unanswered;
		return !state.origin && !state.call.resumes.empty() && is_known_elsewhere &&
			   !this->must_refuse_before_stop(state) && this->may_relay(state);
	}

	std::string_view forwarder::relay_reason(request_state const& state, time_point now) const
	{
		if (this->shared->is_cut_off)
		{
			return "no_server_in_reach";
		}
		if (this->lacks_origin(state))
		{
			return "origin_unknown";
		}
		return this->knows_version(state, now) ? "no_connection" : "no_server_of_version";
	}

	void forwarder::note_heard(request_state const& state, time_point now)
	{
		if (!state.is_relayed_on)
		{
			this->shared->reach.note_heard(now);
		}
	}

	void forwarder::note_unheard(request_state const& state, server_id const& server)
	{
		if (!state.is_relayed_on)
		{
			this->shared->reach.note_failure(server);
		}
	}

	asio::awaitable<void> forwarder::relay(state_pointer state)
	{
		std::set<instance_id> tried;
		auto const most = this->lacks_origin(*state) ? max_relays_without_origin : max_relays;
		auto const draw_number = [this]
		{
			return this->draw();
		};
		while (tried.size() < most && !state->is_caller_gone && !state->is_out_of_time())
		{
			auto const candidates = this->relay_candidates(*state);
			auto peer = this->shared->relays.choose(candidates, tried, draw_number, monotonic_now());
			if (!peer)
			{
				break;
			}
			tried.insert(peer->id);
			auto untried = tried.size() < most ? std::optional(tried) : std::nullopt;
			auto const failure = co_await this->relay_to(state, std::move(*peer), std::move(untried));
			if (!failure)
			{
				co_return;
			}
			state->failure = failure;
			state->may_have_run = state->may_have_run || !routing::is_proved_not_run(*failure);
			// An error is the other daemon's final answer, after the servers that it was allowed.
			if (*failure == send_failure::server_error || !this->authorize_retry(*state, *failure))
			{
				break;
			}
		}
		co_await this->fail_request(state);
	}

	bool forwarder::has_other_peer(
		std::vector<routing::fleet_member> const& candidates, std::optional<std::set<instance_id>> const& tried)
	{
		auto const draw_number = [this]
		{
			return this->draw();
		};
		return tried && this->shared->relays.choose(candidates, *tried, draw_number, monotonic_now()).has_value();
	}

	asio::awaitable<std::optional<send_failure>> forwarder::relay_to(
		state_pointer state, routing::relay_peer peer, std::optional<std::set<instance_id>> tried)
	{
		auto const target = std::make_shared<routing::server_record>();
		target->entry.id = server_id("daemon " + peer.id.str());
		target->entry.address = peer.caller_address;
		target->entry.started = peer.started;
		auto const& entry = target->entry;
		state->attempted_servers.push_back(entry.id.str());
		auto const time_to_connect = std::min(connect_timeout, state->time_left());
		auto const taken = co_await this->peer_pool.acquire(entry, max_connections_per_peer, max_idle, time_to_connect);
		if (!taken)
		{
			this->totals->count_relayed_request(routing::to_string(send_failure::not_sent));
			co_return send_failure::not_sent;
		}
		auto const connection = taken.stream;
		pooled_connection pooled(this->peer_pool, entry, taken);
		if (state->is_caller_gone || state->is_out_of_time())
		{
			connection->close();
			co_return send_failure::not_sent;
		}
		send_options options;
		options.relayed_servers_left = state->servers_left();
		options.time_left = state->time_left();
		options.last_event = state->joiner.last_event();
		if (options.last_event)
		{
			options.resumes = state->call.last_event ? state->call.resumes : state->call.attempt;
		}
		this->log_event(*state, "request_relayed",
			{{"reason", std::string(this->relay_reason(*state, monotonic_now()))}, {"to", peer.id.str()},
				{"address", peer.caller_address}, {"last_event", options.last_event.value_or("")},
				{"unheard_ms", milliseconds_text(this->shared->reach.unheard_for(monotonic_now()))},
				{"left_ms", milliseconds_text(state->time_left())}});
		auto const outgoing = this->protocol.write_call(state->message, options);
		state->is_relayed_on = true;
		pooled.lend_to(state->connection);
		state->sent_at = monotonic_now();
		state->events_before_send = state->joiner.events();
		connection->send(outgoing);
		state->sent_to.insert(entry.id);
		auto const wait = std::min(routing::relayed_response_timeout(*state->matched_route), state->time_left());
		// A daemon that is only silent is given up for another one, not for nothing.
		http::further_wait wait_on = [this, waiting = std::weak_ptr(state), tried = std::move(tried)]
		{
			auto const relayed = waiting.lock();
			auto const may_be_another =
				!relayed || relayed->is_caller_gone || this->has_other_peer(this->relay_candidates(*relayed), tried);
			return may_be_another ? duration{} : std::min(relayed->time_left(), silence_check_interval);
		};
		auto head = co_await this->read_own_head(connection, state->call.attempt, wait, std::move(wait_on));
		if (auto const* const failed = std::get_if<http::upstream_failure>(&head))
		{
			connection->close();
			auto const failure = to_send_failure(*failed);
			this->totals->count_relayed_request(routing::to_string(failure));
			co_return failure;
		}
		unread_answer answer{std::move(std::get<http::response>(head)), std::move(pooled)};
		auto const failure = co_await this->forward_relayed(state, answer, target);
		if (!failure)
		{
			this->record_success(*state, *target, answer);
		}
		else if (routing::is_proved_not_run(*failure))
		{
			state->sent_to.erase(entry.id);
		}
		this->totals->count_relayed_request(failure ? routing::to_string(*failure) : "served");
		co_return failure;
	}

	asio::awaitable<std::optional<send_failure>> forwarder::forward_relayed(
		state_pointer state, unread_answer& answer, routing::server_pointer peer)
	{
		auto const status = answer.head.status;
		if (std::ranges::find(not_run_statuses, status) != not_run_statuses.end())
		{
			// The other daemon promises that the request has not run and never will.
			auto body = co_await answer.connection->read_rest(state->time_left(), max_small_body_bytes);
			if (auto* const text = std::get_if<std::string>(&body))
			{
				http::response refusal{status, http::end_to_end_headers(answer.head.headers), std::move(*text)};
				state->relayed_refusal = std::move(refusal);
			}
			// It has sent the request to no server, or charged it to its own retry budget.
			co_return send_failure::not_sent;
		}
		if (status == status_ok && state->matched_route->kind == routing::call_kind::streaming)
		{
			load_guard const guard(peer, token_count{}, token_count{});
			silence_limits const first_silence{default_timeout, default_timeout};
			co_return co_await this->forward_events(state, answer, peer, guard.id(), first_silence);
		}
		co_return co_await this->forward_answer(state, answer, peer);
	}

	void forwarder::probe_servers()
	{
		std::vector<routing::server_pointer> ready;
		std::ranges::copy_if(this->shared->servers.all() | std::views::values, std::back_inserter(ready),
			[](routing::server_pointer const& each) { return each->is_ready(); });
		auto const draw_number = [this]
		{
			return this->draw();
		};
		for (auto const& server : random_sample(std::move(ready), servers_probed, draw_number))
		{
			this->run_in_background("probe", this->probe_server(server));
		}
	}

	asio::awaitable<void> forwarder::probe_server(routing::server_pointer server)
	{
		auto const* const terms =
			this->shared->routes ? this->shared->routes->find_service(server->entry.service) : nullptr;
		http::request message;
		message.method = "GET";
		message.target = terms == nullptr || terms->health_path.empty() ? "/" : terms->health_path;
		auto const answer = co_await this->call_server(server, std::move(message), probe_timeout);
		this->totals->count_send("probe", answer ? "served" : "silent");
	}
}
