#include <godwittrestle/gateway/forwarder.hpp>

#include <algorithm>

#include <boost/asio/steady_timer.hpp>

#include "forwarder_state.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		constexpr unsigned unauthorised = 401;
		constexpr unsigned not_found = 404;
		// A daemon that can't read the registry asks the others for a newer configuration several times in this time.
		constexpr duration longest_configuration_wait = milliseconds(600);
		constexpr duration configuration_poll_interval = milliseconds(25);

		std::string_view without_port(std::string_view host)
		{
			return host.substr(0, host.rfind(':'));
		}
	}

	asio::awaitable<void> forwarder::serve_request(state_pointer state)
	{
		this->read_request(state);
		auto is_accepted = co_await this->find_route(state);
		if (is_accepted)
		{
			is_accepted = co_await this->identify_caller(state);
		}
		if (is_accepted)
		{
			is_accepted = co_await this->admit_request(state);
		}
		if (!is_accepted)
		{
			co_return;
		}
		this->choose_service(*state);
		if (state->matched_route->kind == routing::call_kind::streaming)
		{
			co_await this->forward_stream(state);
		}
		else
		{
			co_await this->forward_plain(state);
		}
	}

	void forwarder::read_request(state_pointer const& state)
	{
		state->call = this->protocol.read_call(state->message);
		state->identity = identify(state->message, state->call);
		state->joiner = stream_joiner(state->call.last_event);
		state->routes = this->shared->routes;
		state->deadline = state->started + state->call.time_left.value_or(default_timeout);
		state->http_exchange->on_close([state] { state->handle_caller_gone(); });
		if (state->call.relayed_servers_left)
		{
			this->totals->count_taken_over_request();
			this->log_event(*state, "request_taken_over", {{"cut_off", this->shared->is_cut_off ? "yes" : "no"}});
		}
	}

	asio::awaitable<bool> forwarder::find_route(state_pointer state)
	{
		if (state->call.relayed_servers_left && this->shared->is_cut_off)
		{
			co_await this->refuse(state, unavailable, "this daemon reaches no server either",
				"come back after Retry-After", this->retry_after_delay(*state));
			co_return false;
		}
		if (!state->routes)
		{
			co_await this->refuse(state, unavailable, "no configuration is known yet", "come back after Retry-After",
				this->retry_after_delay(*state));
			co_return false;
		}
		this->match_route(*state);
		if (state->matched_route == nullptr)
		{
			co_await this->refuse_unrouted(state);
			co_return false;
		}
		co_return true;
	}

	asio::awaitable<void> forwarder::refuse_unrouted(state_pointer state)
	{
		co_await this->refuse(
			state, not_found, "no route matches host and path", "ask for a path of the configuration in force");
	}

	void forwarder::match_route(request_state& state)
	{
		state.matched_route = state.routes->find(without_port(state.message.find_header("Host")), state.message.path());
	}

	asio::awaitable<bool> forwarder::identify_caller(state_pointer state)
	{
		if (!state->routes->accounts().is_in_force())
		{
			co_return true;
		}
		auto const shown = this->protocol.read_credential(state->message);
		auto found = state->routes->accounts().identify(shown, state->matched_route->is_key_optional);
		if (found.outcome == routing::identity_outcome::unknown_key)
		{
			found = co_await this->identify_by_newer_configuration(state, shown);
		}
		this->totals->count_identity(routing::to_string(found.outcome));
		if (state->matched_route == nullptr)
		{
			co_await this->refuse_unrouted(state);
			co_return false;
		}
		state->account = found.account;
		auto const is_refused = found.outcome == routing::identity_outcome::unknown_key ||
								found.outcome == routing::identity_outcome::missing_key;
		if (!is_refused)
		{
			co_return true;
		}
		auto const is_final = shown.key == std::nullopt || this->shared->view.covers(state->started);
		if (is_final)
		{
			co_await this->refuse(state, unauthorised, std::string(routing::to_string(found.outcome)),
				"show a key of an account of the configuration in force");
			co_return false;
		}
		co_await this->refuse(state, unavailable, "the key is unknown and the registry may hold a newer configuration",
			"come back after Retry-After", this->retry_after_delay(*state));
		co_return false;
	}

	asio::awaitable<routing::caller_identity> forwarder::identify_by_newer_configuration(
		state_pointer state, routing::caller_credential shown)
	{
		auto const& view = this->shared->view;
		auto const give_up_at = monotonic_now() + std::min(longest_configuration_wait, state->time_left() / 2);
		this->ask_registry(state->started);
		asio::steady_timer pause(this->executor);
		while (true)
		{
			auto const now = monotonic_now();
			if (this->shared->routes->version() > state->routes->version())
			{
				state->routes = this->shared->routes;
				this->match_route(*state);
			}
			auto const is_key_optional = state->matched_route != nullptr && state->matched_route->is_key_optional;
			auto const found = state->routes->accounts().identify(shown, is_key_optional);
			auto const is_over = !shown.key || now >= give_up_at || view.covers(state->started);
			auto const is_settled = found.outcome != routing::identity_outcome::unknown_key;
			if (is_settled || is_over || state->matched_route == nullptr || state->is_caller_gone)
			{
				co_return found;
			}
			pause.expires_after(configuration_poll_interval);
			std::ignore = co_await pause.async_wait(wait_token);
		}
	}

	void forwarder::choose_service(request_state& state)
	{
		auto const& matched = *state.matched_route;
		if (!matched.resumable)
		{
			state.joiner.accept_any_beginning();
		}
		state.service = routing::choose_service(matched, this->draw());
		state.deadline = std::min(state.deadline, state.started + matched.timeout);
		if (!state.call.relayed_servers_left)
		{
			auto& budget = this->shared->retry_budgets[state.service];
			budget.note_request(this->shared->retries.window, state.started);
		}
	}
}
