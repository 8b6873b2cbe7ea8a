#include <godwittrestle/decide/core.hpp>

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace godwittrestle::decide
{
	namespace
	{
		constexpr duration tick_interval = milliseconds(10);
	}

	core::core(core_settings settings, hooks injected_hooks)
		: own_settings(std::move(settings))
		, behaviour(std::move(injected_hooks))
		, members(this->own_settings, this->behaviour.mechanisms)
		, policies(this->behaviour.mechanisms)
		, cancels(this->behaviour.mechanisms, this->totals)
		, servers(this->own_settings.data_centre)
		, owner(this->own_settings, this->behaviour, this->cancels, this->totals)
		, streams(this->own_settings, this->behaviour, this->request_limits, this->cancels, this->calls, this->totals)
		, repeatable_calls(this->request_limits, this->servers, this->calls, this->totals)
		, keyed(this->own_settings, this->behaviour.mechanisms, this->request_limits, this->servers, this->calls,
			  this->totals)
	{
	}

	std::vector<action> core::handle(event const& input, time_point present)
	{
		std::vector<action> actions;
		event_context context(this->own_settings, this->clock, present, actions);
		this->detect_pause(context);
		std::visit([&](auto const& each) { this->handle(each, context); }, input);
		this->deliver_local(context);
		this->refresh_cells(context);
		this->deliver_local(context);
		this->last_turn = present;
		return actions;
	}

	time_point core::next_wakeup(time_point now) const noexcept
	{
		return now + tick_interval;
	}

	void core::handle(tick const& /*input*/, event_context& context)
	{
		if (!this->fleet_checked_at || context.now() - *this->fleet_checked_at >= check_interval)
		{
			this->fleet_checked_at = context.now();
			this->check_fleet(context);
		}
		this->cancels.handle_tick(this->members, context);
		this->owner.handle_tick(this->members, this->authority, context);
		this->streams.handle_tick(this->members, context);
		this->repeatable_calls.handle_tick(this->members, context);
		this->keyed.handle_tick(this->members, context);
		this->continue_leaving(context);
	}

	void core::check_fleet(event_context& context)
	{
		this->end_pause_check(context);
		this->members.handle_tick(this->make_heartbeat_payload(), context);
		this->authority = {!this->unverified_since, this->is_policy_current(context.now())};
		this->update_readiness(context);
		this->choose_watchers(context);
	}

	void core::handle(completion_requested const& input, event_context& context)
	{
		auto const* const account = this->admit(input.request, input.service, input.bearer_token, context);
		if (account == nullptr)
		{
			return;
		}
		account_id const id(account->name());
		auto const& policy = this->policies.active();
		auto const* const service = policy->find_service(input.service);
		auto const tokens = this->behaviour.count_tokens(*input.prompt);
		auto reject = [&](refusal_kind kind, std::string message, std::string remedy)
		{
			this->request_limits.finish(id);
			this->refuse(input.request, kind, std::move(message), std::move(remedy), duration{}, context);
		};
		if (service->prefill_pool().empty())
		{
			reject(refusal_kind::unknown_service, fmt::format("'{}' is not a model service", service->name()),
				"call it under /services/" + service->name());
		}
		else if (tokens.count() > service->max_prompt_tokens())
		{
			reject(refusal_kind::too_large, fmt::format("the prompt has about {} tokens", tokens.count()),
				fmt::format("send at most {} tokens", service->max_prompt_tokens()));
		}
		else if (input.output_tokens.count() > service->max_output_tokens())
		{
			reject(refusal_kind::invalid_request, fmt::format("max_tokens is {}", input.output_tokens.count()),
				fmt::format("ask for at most {} tokens", service->max_output_tokens()));
		}
		else if (input.prompt->empty())
		{
			reject(refusal_kind::invalid_request, "the prompt is empty", "send a prompt");
		}
		else
		{
			this->streams.start(input, policy, id, context);
			this->streams.update(this->cells, this->members, context);
		}
	}

	void core::handle(plain_requested const& input, event_context& context)
	{
		auto const* const account = this->admit(input.request, input.service, input.bearer_token, context);
		if (account == nullptr)
		{
			return;
		}
		account_id const id(account->name());
		auto const& policy = this->policies.active();
		auto const* const route = find_route(*policy->find_service(input.service), input.method, input.target);
		auto const key = parse_key(input.idempotency_key);
		if (route != nullptr && route->repeatable())
		{
			this->repeatable_calls.start(input, policy, id, this->members, context);
		}
		else if (route != nullptr && key)
		{
			this->keyed.start(input, *key, policy, id, this->members, context);
		}
		else
		{
			this->request_limits.finish(id);
			auto const kind = route == nullptr                ? refusal_kind::unknown_service
							  : input.idempotency_key.empty() ? refusal_kind::key_required
															  : refusal_kind::key_invalid;
			this->refuse(input.request, kind,
				route == nullptr ? "no route of the service takes this method and path"
								 : "this call must not be repeated and needs an idempotency key",
				route == nullptr ? "see the service's routes in the policy"
								 : "get a key from POST /v1/idempotency-keys and send it as Idempotency-Key",
				duration{}, context);
		}
	}

	void core::handle(keys_requested const& input, event_context& context)
	{
		auto const* const account = this->admit(input.request, {}, input.bearer_token, context);
		if (account != nullptr)
		{
			this->request_limits.finish(account_id(account->name()));
			this->keyed.issue(input, account_id(account->name()), context);
		}
	}

	void core::handle(caller_gone const& input, event_context& context)
	{
		this->streams.handle(input, this->members, context);
		this->repeatable_calls.handle(input, context);
		this->keyed.handle(input);
	}

	void core::handle(peer_received const& input, event_context& context)
	{
		this->receive(input.message, context);
	}

	void core::handle(peer_unreachable const& /*input*/, event_context& /*context*/)
	{
		// Does nothing: the sender repeats a message until it takes effect, and liveness depends on received messages
		// and probes alone.
	}

	void core::handle(peer_probed const& input, event_context& context)
	{
		this->members.handle(input, context);
	}

	void core::handle(prefill_finished const& input, event_context& context)
	{
		this->streams.handle(input, this->members, context);
	}

	void core::handle(token_received const& input, event_context& context)
	{
		this->streams.handle(input, this->members, context);
	}

	void core::handle(decode_finished const& input, event_context& context)
	{
		this->streams.handle(input, this->members, context);
	}

	void core::handle(plain_answered const& input, event_context& context)
	{
		if (!this->repeatable_calls.handle(input, this->members, context))
		{
			this->keyed.handle(input, this->members, context);
		}
	}

	void core::handle(call_failed const& input, event_context& context)
	{
		if (!this->streams.handle(input, this->members, context) &&
			!this->repeatable_calls.handle(input, this->members, context))
		{
			this->keyed.handle(input, this->members, context);
		}
	}

	void core::handle(cancel_acknowledged const& input, event_context& /*context*/)
	{
		this->cancels.handle(input);
	}

	void core::handle(load_reported const& input, event_context& context)
	{
		this->owner.handle(input, this->members, context);
	}

	void core::handle(policy_read const& input, event_context& context)
	{
		if (!input.fault.empty())
		{
			this->policies.refuse_unreadable(input.version, input.fault, context);
		}
		else if (this->policies.offer(input.version, input.document, context))
		{
			this->announce_config_change(context);
		}
	}

	void core::handle(platform_confirmed const& /*input*/, event_context& context)
	{
		this->confirmed_at = context.now();
	}

	void core::handle(instances_read const& input, event_context& context)
	{
		this->first_list_at = this->first_list_at.value_or(context.now());
		this->members.apply(input.list, context);
	}

	void core::handle(drain_requested const& /*input*/, event_context& context)
	{
		if (this->leaving_since)
		{
			return;
		}
		this->leaving_since = context.now();
		this->state = readiness::leaving;
		this->members.start_leaving();
		this->keyed.start_leaving();
		context.record("leaving", {});
		this->members.send_heartbeats(this->make_heartbeat_payload(), false, context);
	}

	void core::receive(wire::PeerMessage const& message, event_context& context)
	{
		this->clock.observe(message.timestamp(),
			this->own_settings.wall_offset + static_cast<std::uint64_t>(context.now().time_since_epoch().count()));
		if (message.has_heartbeat())
		{
			this->handle_heartbeat(message, context);
		}
		else if (this->members.record_contact(instance_id(message.from()), incarnation(message.incarnation()), context))
		{
			this->dispatch(message, context);
		}
	}

	void core::handle_heartbeat(wire::PeerMessage const& message, event_context& context)
	{
		if (!this->members.handle(message, this->make_heartbeat_payload(), context))
		{
			return;
		}
		this->keyed.note_successions(message.heartbeat());
		auto const is_ahead = platform_version(message.heartbeat().config_version()) > this->policies.version();
		if (is_ahead && this->behaviour.mechanisms.peer_config_exchange)
		{
			wire::PeerMessage pull;
			pull.mutable_config_pull()->set_have_digest(this->policies.digest());
			instance_id const peer(message.from());
			context.send(peer, this->members.address_of(peer), std::move(pull));
		}
		this->end_pause_check(context);
	}

	void core::dispatch(wire::PeerMessage const& message, event_context& context)
	{
		instance_id const from(message.from());
		switch (message.body_case())
		{
			case wire::PeerMessage::kConfigPull:
			{
				wire::PeerMessage reply;
				*reply.mutable_config_push() = this->policies.answer(message.config_pull());
				context.send(from, this->members.address_of(from), std::move(reply));
				break;
			}
			case wire::PeerMessage::kConfigPush:
				if (this->policies.handle(message.config_push(), context))
				{
					this->announce_config_change(context);
				}
				break;
			case wire::PeerMessage::kLeaseRequest:
				this->owner.handle(message, message.lease_request(), this->members, context);
				break;
			case wire::PeerMessage::kLeaseGrant:
				this->streams.handle(message.lease_grant(), message, this->members, context);
				break;
			case wire::PeerMessage::kLeaseRefusal:
				this->streams.handle(message.lease_refusal(), this->members, context);
				break;
			case wire::PeerMessage::kLeaseUpdate:
				this->owner.handle(message, message.lease_update(), this->members, context);
				break;
			case wire::PeerMessage::kLeaseRenewal:
				std::ranges::for_each(message.lease_renewal().leases(), [&](wire::LeaseUpdate const& update)
					{ this->owner.handle(message, update, this->members, context); });
				break;
			case wire::PeerMessage::kDisownQuery:
				this->streams.handle(message.disown_query(), message, this->members, context);
				break;
			case wire::PeerMessage::kDisownReply:
				this->owner.handle(message, message.disown_reply(), this->members, context);
				break;
			case wire::PeerMessage::kKeyedCall:
				this->keyed.handle(message.keyed_call(), message, this->members, context);
				break;
			case wire::PeerMessage::kKeyedOutcome:
				this->keyed.handle(message.keyed_outcome(), message, context);
				break;
			case wire::PeerMessage::kKeyTableMove:
				this->keyed.handle(message.key_table_move(), message, this->members, context);
				this->members.send_heartbeats(this->make_heartbeat_payload(), false, context);
				break;
			case wire::PeerMessage::kKeyTableTaken:
				this->keyed.handle(message.key_table_taken(), context);
				break;
			default:
				break;
		}
	}

	void core::deliver_local(event_context& context)
	{
		wire::PeerMessage message;
		while (context.take_local(message))
		{
			this->dispatch(message, context);
		}
	}

	policy::Account const* core::admit(
		request_id const& request, service_id const& service, std::string const& bearer_token, event_context& context)
	{
		if (this->state != readiness::ready)
		{
			auto const is_leaving = this->state == readiness::leaving;
			this->refuse(request, is_leaving ? refusal_kind::draining : refusal_kind::not_ready,
				is_leaving ? "this daemon is leaving" : "this daemon is starting",
				"ask again; another daemon will answer", default_retry_after, context);
			return nullptr;
		}
		auto const& policy = this->policies.active();
		auto const* const account = policy->find_account_by_token(bearer_token);
		if (account == nullptr)
		{
			this->refuse(request, refusal_kind::unauthorised, "no account has this bearer token",
				"send the account's token as 'Authorization: Bearer ...'", duration{}, context);
			return nullptr;
		}
		if (!service.empty() && policy->find_service(service) == nullptr)
		{
			this->refuse(request, refusal_kind::unknown_service, fmt::format("there is no service '{}'", service.str()),
				"name a service of the policy in force", duration{}, context);
			return nullptr;
		}
		auto const daemons = this->members.eligible(context.now()).size();
		if (auto const wait = this->request_limits.admit(*account, daemons, context.now()))
		{
			this->refuse(request, refusal_kind::rate_limited,
				fmt::format("the account '{}' is at its limit", account->name()),
				"come back after the time in Retry-After", *wait, context);
			return nullptr;
		}
		return account;
	}

	void core::refuse(request_id const& request, refusal_kind kind, std::string message, std::string remedy,
		duration retry_after, event_context& context)
	{
		++this->totals.refusals[kind];
		context.record("request_refused", request, std::string(to_string(kind)));
		context.emit(answer_failure{request, kind, std::move(message), std::move(remedy), retry_after, false});
	}
}
