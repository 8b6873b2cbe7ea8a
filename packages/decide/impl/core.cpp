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

	std::vector<action> core::handle(event const& happened, time_point present)
	{
		std::vector<action> actions;
		turn now(this->own_settings, this->clock, present, actions);
		this->detect_pause(now);
		std::visit([&](auto const& each) { this->handle(each, now); }, happened);
		this->deliver_local(now);
		this->refresh_cells(now);
		this->deliver_local(now);
		this->last_turn = present;
		return actions;
	}

	time_point core::next_wakeup(time_point now) const noexcept
	{
		return now + tick_interval;
	}

	void core::handle(tick const& /*happened*/, turn& now)
	{
		if (!this->fleet_checked_at || now.now() - *this->fleet_checked_at >= check_interval)
		{
			this->fleet_checked_at = now.now();
			this->check_fleet(now);
		}
		this->cancels.handle_tick(this->members, now);
		this->owner.handle_tick(this->members, this->authority, now);
		this->streams.handle_tick(this->members, now);
		this->repeatable_calls.handle_tick(this->members, now);
		this->keyed.handle_tick(this->members, now);
		this->continue_leaving(now);
	}

	void core::check_fleet(turn& now)
	{
		this->end_pause_check(now);
		this->members.handle_tick(this->make_heartbeat_payload(), now);
		this->authority = {!this->unverified_since, this->is_policy_current(now.now())};
		this->update_readiness(now);
		this->choose_watchers(now);
	}

	void core::handle(completion_requested const& happened, turn& now)
	{
		auto const* const account = this->admit(happened.request, happened.service, happened.bearer_token, now);
		if (account == nullptr)
		{
			return;
		}
		account_id const id(account->name());
		auto const& policy = this->policies.active();
		auto const* const service = policy->find_service(happened.service);
		auto const tokens = this->behaviour.count_tokens(*happened.prompt);
		auto reject = [&](refusal_kind kind, std::string message, std::string remedy)
		{
			this->request_limits.finish(id);
			this->refuse(happened.request, kind, std::move(message), std::move(remedy), duration{}, now);
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
		else if (happened.output_tokens.count() > service->max_output_tokens())
		{
			reject(refusal_kind::invalid_request, fmt::format("max_tokens is {}", happened.output_tokens.count()),
				fmt::format("ask for at most {} tokens", service->max_output_tokens()));
		}
		else if (happened.prompt->empty())
		{
			reject(refusal_kind::invalid_request, "the prompt is empty", "send a prompt");
		}
		else
		{
			this->streams.start(happened, policy, id, now);
			this->streams.update(this->cells, this->members, now);
		}
	}

	void core::handle(plain_requested const& happened, turn& now)
	{
		auto const* const account = this->admit(happened.request, happened.service, happened.bearer_token, now);
		if (account == nullptr)
		{
			return;
		}
		account_id const id(account->name());
		auto const& policy = this->policies.active();
		auto const* const route = find_route(*policy->find_service(happened.service), happened.method, happened.target);
		auto const key = parse_key(happened.idempotency_key);
		if (route != nullptr && route->repeatable())
		{
			this->repeatable_calls.start(happened, policy, id, this->members, now);
		}
		else if (route != nullptr && key)
		{
			this->keyed.start(happened, *key, policy, id, this->members, now);
		}
		else
		{
			this->request_limits.finish(id);
			auto const kind = route == nullptr                   ? refusal_kind::unknown_service
							  : happened.idempotency_key.empty() ? refusal_kind::key_required
																 : refusal_kind::key_invalid;
			this->refuse(happened.request, kind,
				route == nullptr ? "no route of the service takes this method and path"
								 : "this call must not be repeated and needs an idempotency key",
				route == nullptr ? "see the service's routes in the policy"
								 : "get a key from POST /v1/idempotency-keys and send it as Idempotency-Key",
				duration{}, now);
		}
	}

	void core::handle(keys_requested const& happened, turn& now)
	{
		auto const* const account = this->admit(happened.request, {}, happened.bearer_token, now);
		if (account != nullptr)
		{
			this->request_limits.finish(account_id(account->name()));
			this->keyed.issue(happened, account_id(account->name()), now);
		}
	}

	void core::handle(caller_gone const& happened, turn& now)
	{
		this->streams.handle(happened, this->members, now);
		this->repeatable_calls.handle(happened, now);
		this->keyed.handle(happened);
	}

	void core::handle(peer_received const& happened, turn& now)
	{
		this->receive(happened.message, now);
	}

	void core::handle(peer_unreachable const& /*happened*/, turn& /*now*/)
	{
		// Does nothing: the sender repeats a message until it takes effect, and liveness depends on received messages
		// and probes alone.
	}

	void core::handle(peer_probed const& happened, turn& now)
	{
		this->members.handle(happened, now);
	}

	void core::handle(prefill_finished const& happened, turn& now)
	{
		this->streams.handle(happened, this->members, now);
	}

	void core::handle(token_received const& happened, turn& now)
	{
		this->streams.handle(happened, this->members, now);
	}

	void core::handle(decode_finished const& happened, turn& now)
	{
		this->streams.handle(happened, this->members, now);
	}

	void core::handle(plain_answered const& happened, turn& now)
	{
		if (!this->repeatable_calls.handle(happened, this->members, now))
		{
			this->keyed.handle(happened, this->members, now);
		}
	}

	void core::handle(call_failed const& happened, turn& now)
	{
		if (!this->streams.handle(happened, this->members, now) &&
			!this->repeatable_calls.handle(happened, this->members, now))
		{
			this->keyed.handle(happened, this->members, now);
		}
	}

	void core::handle(cancel_acknowledged const& happened, turn& /*now*/)
	{
		this->cancels.handle(happened);
	}

	void core::handle(load_reported const& happened, turn& now)
	{
		this->owner.handle(happened, this->members, now);
	}

	void core::handle(policy_read const& happened, turn& now)
	{
		if (!happened.fault.empty())
		{
			this->policies.refuse_unreadable(happened.version, happened.fault, now);
		}
		else if (this->policies.offer(happened.version, happened.document, now))
		{
			this->announce_config_change(now);
		}
	}

	void core::handle(platform_confirmed const& /*happened*/, turn& now)
	{
		this->confirmed_at = now.now();
	}

	void core::handle(instances_read const& happened, turn& now)
	{
		this->first_list_at = this->first_list_at.value_or(now.now());
		this->members.apply(happened.list, now);
	}

	void core::handle(drain_requested const& /*happened*/, turn& now)
	{
		if (this->leaving_since)
		{
			return;
		}
		this->leaving_since = now.now();
		this->state = readiness::leaving;
		this->members.start_leaving();
		this->keyed.start_leaving();
		now.record("leaving", {});
		this->members.send_heartbeats(this->make_heartbeat_payload(), false, now);
	}

	void core::receive(wire::PeerMessage const& message, turn& now)
	{
		this->clock.observe(message.timestamp(),
			this->own_settings.wall_offset + static_cast<std::uint64_t>(now.now().time_since_epoch().count()));
		if (message.has_heartbeat())
		{
			this->handle_heartbeat(message, now);
		}
		else if (this->members.record_contact(instance_id(message.from()), incarnation(message.incarnation()), now))
		{
			this->dispatch(message, now);
		}
	}

	void core::handle_heartbeat(wire::PeerMessage const& message, turn& now)
	{
		if (!this->members.handle(message, this->make_heartbeat_payload(), now))
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
			now.send(peer, this->members.address_of(peer), std::move(pull));
		}
		this->end_pause_check(now);
	}

	void core::dispatch(wire::PeerMessage const& message, turn& now)
	{
		instance_id const from(message.from());
		switch (message.body_case())
		{
			case wire::PeerMessage::kConfigPull:
			{
				wire::PeerMessage reply;
				*reply.mutable_config_push() = this->policies.answer(message.config_pull());
				now.send(from, this->members.address_of(from), std::move(reply));
				break;
			}
			case wire::PeerMessage::kConfigPush:
				if (this->policies.handle(message.config_push(), now))
				{
					this->announce_config_change(now);
				}
				break;
			case wire::PeerMessage::kLeaseRequest:
				this->owner.handle(message, message.lease_request(), this->members, now);
				break;
			case wire::PeerMessage::kLeaseGrant:
				this->streams.handle(message.lease_grant(), message, this->members, now);
				break;
			case wire::PeerMessage::kLeaseRefusal:
				this->streams.handle(message.lease_refusal(), this->members, now);
				break;
			case wire::PeerMessage::kLeaseUpdate:
				this->owner.handle(message, message.lease_update(), this->members, now);
				break;
			case wire::PeerMessage::kLeaseRenewal:
				std::ranges::for_each(message.lease_renewal().leases(),
					[&](wire::LeaseUpdate const& update) { this->owner.handle(message, update, this->members, now); });
				break;
			case wire::PeerMessage::kDisownQuery:
				this->streams.handle(message.disown_query(), message, this->members, now);
				break;
			case wire::PeerMessage::kDisownReply:
				this->owner.handle(message, message.disown_reply(), this->members, now);
				break;
			case wire::PeerMessage::kKeyedCall:
				this->keyed.handle(message.keyed_call(), message, this->members, now);
				break;
			case wire::PeerMessage::kKeyedOutcome:
				this->keyed.handle(message.keyed_outcome(), message, now);
				break;
			case wire::PeerMessage::kKeyTableMove:
				this->keyed.handle(message.key_table_move(), message, this->members, now);
				this->members.send_heartbeats(this->make_heartbeat_payload(), false, now);
				break;
			case wire::PeerMessage::kKeyTableTaken:
				this->keyed.handle(message.key_table_taken(), now);
				break;
			default:
				break;
		}
	}

	void core::deliver_local(turn& now)
	{
		wire::PeerMessage message;
		while (now.take_local(message))
		{
			this->dispatch(message, now);
		}
	}

	policy::Account const* core::admit(
		request_id const& request, service_id const& service, std::string const& bearer_token, turn& now)
	{
		if (this->state != readiness::ready)
		{
			auto const is_leaving = this->state == readiness::leaving;
			this->refuse(request, is_leaving ? refusal_kind::draining : refusal_kind::not_ready,
				is_leaving ? "this daemon is leaving" : "this daemon is starting",
				"ask again; another daemon will answer", default_retry_after, now);
			return nullptr;
		}
		auto const& policy = this->policies.active();
		auto const* const account = policy->find_account_by_token(bearer_token);
		if (account == nullptr)
		{
			this->refuse(request, refusal_kind::unauthorised, "no account has this bearer token",
				"send the account's token as 'Authorization: Bearer ...'", duration{}, now);
			return nullptr;
		}
		if (!service.empty() && policy->find_service(service) == nullptr)
		{
			this->refuse(request, refusal_kind::unknown_service, fmt::format("there is no service '{}'", service.str()),
				"name a service of the policy in force", duration{}, now);
			return nullptr;
		}
		auto const daemons = this->members.eligible(now.now()).size();
		if (auto const wait = this->request_limits.admit(*account, daemons, now.now()))
		{
			this->refuse(request, refusal_kind::rate_limited,
				fmt::format("the account '{}' is at its limit", account->name()),
				"come back after the time in Retry-After", *wait, now);
			return nullptr;
		}
		return account;
	}

	void core::refuse(request_id const& request, refusal_kind kind, std::string message, std::string remedy,
		duration retry_after, turn& now)
	{
		++this->totals.refusals[kind];
		now.record("request_refused", request, std::string(to_string(kind)));
		now.emit(answer_failure{request, kind, std::move(message), std::move(remedy), retry_after, false});
	}
}
