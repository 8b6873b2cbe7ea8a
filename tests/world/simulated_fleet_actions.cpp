#include "simulated_fleet.hpp"

#include <algorithm>
#include <utility>

// Carries out the actions of the cores on the simulated backend servers, callers and links.
namespace godwittrestle::testing
{
	namespace
	{
		constexpr duration call_timeout = seconds(30);
		// Connecting over a cut link fails after this time.
		constexpr duration connect_timeout = seconds(1);
	}

	void simulated_fleet::perform_action(std::string const& name, decide::action const& action)
	{
		auto const daemon_incarnation = this->daemons.at(name).started;
		if (auto const* const event = std::get_if<decide::record_event>(&action))
		{
			this->emit_event(event->name, name);
		}
		else if (auto const* const message = std::get_if<decide::send_peer>(&action))
		{
			this->send_peer_message(name, *message);
		}
		else if (auto const* const order = std::get_if<decide::probe_peer>(&action))
		{
			this->probe_daemon(name, *order);
		}
		else if (auto const* const begun = std::get_if<decide::start_prefill>(&action))
		{
			this->run_prefill(name, *begun);
		}
		else if (auto const* const decoding = std::get_if<decide::start_decode>(&action))
		{
			this->run_decode(name, *decoding);
		}
		else if (auto const* const plain = std::get_if<decide::start_plain>(&action))
		{
			this->run_plain_call(name, *plain);
		}
		else if (auto const* const poll = std::get_if<decide::poll_load>(&action))
		{
			this->poll_engine(name, *poll);
		}
		else if (auto const* const cancel = std::get_if<decide::cancel_attempt>(&action))
		{
			this->send_over_link(name, cancel->server.str(),
				[this, name, daemon_incarnation, cancel = *cancel]
				{
					auto& engine = this->engines.at(cancel.server.str());
					if (engine.is_dead || engine.is_silent)
					{
						return;
					}
					engine.held.erase(cancel.attempt);
					this->send_over_link(cancel.server.str(), name,
						[this, name, daemon_incarnation, cancel]
						{
							this->deliver(
								name, daemon_incarnation, decide::cancel_acknowledged{cancel.server, cancel.attempt});
						});
				});
		}
		else if (auto const* const wanted = std::get_if<decide::send_order>(&action))
		{
			this->send_over_link(name, wanted->server.str(),
				[this, wanted = *wanted]
				{
					auto& engine = this->engines.at(wanted.server.str());
					if (!engine.is_dead && !engine.is_silent && engine.apply_order(wanted))
					{
						this->emit_event("loaded:" + wanted.model, wanted.server.str());
					}
				});
		}
		else if (std::holds_alternative<decide::exit_process>(action))
		{
			this->daemons.at(name).has_left = true;
			this->schedule(milliseconds(200), [this, name] { this->kill(name); });
		}
		else
		{
			this->answer_caller(name, action);
		}
	}

	void simulated_fleet::answer_caller(std::string const& name, decide::action const& action)
	{
		auto const with_caller = [&](request_id const& request, auto const& change)
		{
			auto* const view = this->find_caller(request);
			if (view != nullptr && !view->has_hung_up && view->daemon == name)
			{
				change(*view);
				if (view->is_answered() && !view->answered_at)
				{
					view->answered_at = this->now;
				}
			}
		};
		if (auto const* const token = std::get_if<decide::answer_token>(&action))
		{
			with_caller(token->request,
				[&](simulated_caller& view)
				{
					view.is_out_of_order = view.is_out_of_order || token->index != view.next_index;
					view.next_index = token->index + 1;
					view.text += token->text;
				});
		}
		else if (auto const* const end = std::get_if<decide::answer_end>(&action))
		{
			with_caller(end->request, [](simulated_caller& view) { view.is_complete = true; });
		}
		else if (auto const* const failed = std::get_if<decide::answer_failure>(&action))
		{
			with_caller(failed->request, [&](simulated_caller& view) { view.failure = *failed; });
		}
		else if (auto const* const reply = std::get_if<decide::answer_plain>(&action))
		{
			with_caller(reply->request, [&](simulated_caller& view) { view.reply = *reply; });
		}
		else if (auto const* const issued = std::get_if<decide::answer_keys>(&action))
		{
			for (auto const& [caller, view] : this->callers)
			{
				if (view.request == issued->request)
				{
					this->keys[caller] = issued->keys.front();
				}
			}
		}
	}

	void simulated_fleet::send_peer_message(std::string const& name, decide::send_peer const& message)
	{
		std::uniform_real_distribution<double> chance;
		auto const to = message.to.str();
		if (!this->daemons.contains(to) || chance(this->random) < this->loss_probability)
		{
			return;
		}
		auto const arrive = [this, to, content = message.message]
		{
			auto const& target = this->daemons.at(to);
			this->deliver(to, target.started, decide::peer_received{content});
		};
		this->send_over_link(name, to, arrive);
		if (chance(this->random) < this->duplicate_probability)
		{
			this->send_over_link(name, to, arrive);
		}
	}

	void simulated_fleet::probe_daemon(std::string const& name, decide::probe_peer const& order)
	{
		auto const daemon_incarnation = this->daemons.at(name).started;
		auto const to = order.peer.str();
		this->send_over_link(name, to,
			[this, name, daemon_incarnation, to, order]
			{
				auto const outcome =
					this->is_dead(to) ? decide::probe_outcome::refused : decide::probe_outcome::connected;
				this->send_over_link(to, name,
					[this, name, daemon_incarnation, order, outcome]
					{
						this->deliver(
							name, daemon_incarnation, decide::peer_probed{order.peer, order.believed, outcome});
					});
			});
	}

	void simulated_fleet::run_prefill(std::string const& name, decide::start_prefill const& call)
	{
		if (this->fail_if_link_cut(name, call.server, call.call))
		{
			return;
		}
		auto const daemon_incarnation = this->daemons.at(name).started;
		auto const server = call.server.str();
		this->send_over_link(name, server,
			[this, name, daemon_incarnation, server, call]
			{
				auto const fail = [this, name, daemon_incarnation, server, id = call.call](decide::call_failure kind)
				{
					this->report_call_failure(server, name, daemon_incarnation, {id, kind});
				};
				auto& engine = this->engines.at(server);
				if (engine.call_delay > duration{})
				{
					// The engine leaves this call in its accept queue and serves other connections meanwhile.
					auto const delay = std::exchange(engine.call_delay, duration{});
					this->schedule(delay, [this, name, call] { this->run_prefill(name, call); });
					return;
				}
				if (auto const refused = engine.receive_call())
				{
					fail(*refused);
					return;
				}
				if (engine.is_silent)
				{
					return;
				}
				engine.held[call.attempt] = {*call.prompt, this->now + call.hard_deadline};
				this->emit_event("engine_prefilling", server);
				auto const tokens = call.prompt_tokens.count() + call.resume_at;
				engine.busy_until = std::max(engine.busy_until, this->now) +
									duration(static_cast<duration::rep>(tokens / engine.prefill_tokens_per_us));
				this->schedule(engine.busy_until - this->now,
					[this, name, daemon_incarnation, server, call, fail]
					{
						auto& done = this->engines.at(server);
						auto const held = done.held.find(call.attempt);
						if (done.is_dead || held == done.held.end())
						{
							fail(done.is_dead ? decide::call_failure::lost : decide::call_failure::rejected);
							return;
						}
						held->second.expires_at = std::min(held->second.expires_at, this->now + done.retention);
						this->send_over_link(server, name,
							[this, name, daemon_incarnation, server, call]
							{
								this->deliver(name, daemon_incarnation,
									decide::prefill_finished{call.call, server, token_count(0)});
							});
					});
			});
	}

	void simulated_fleet::run_decode(std::string const& name, decide::start_decode const& call)
	{
		if (this->fail_if_link_cut(name, call.server, call.call))
		{
			return;
		}
		auto const daemon_incarnation = this->daemons.at(name).started;
		auto const server = call.server.str();
		this->send_over_link(name, server,
			[this, name, daemon_incarnation, server, call]
			{
				auto const fail = [this, name, daemon_incarnation, server, id = call.call](decide::call_failure kind)
				{
					this->report_call_failure(server, name, daemon_incarnation, {id, kind});
				};
				auto& engine = this->engines.at(server);
				if (auto const refused = engine.receive_call())
				{
					fail(*refused);
					return;
				}
				if (engine.is_silent)
				{
					return;
				}
				auto& source = this->engines.at(call.transfer);
				source.drop_expired(this->now);
				auto const held = source.held.find(call.attempt);
				if (source.is_dead || held == source.held.end())
				{
					fail(decide::call_failure::rejected);
					return;
				}
				auto const prompt = held->second.prompt;
				engine.held[call.attempt] = {prompt, this->now + call.hard_deadline};
				if (!source.stalls_transfers)
				{
					source.held.erase(held);
				}
				auto const is_stalled = source.stalls_transfers;
				this->emit_event("engine_transferring", server);
				if (is_stalled)
				{
					return;
				}
				this->stream_tokens(name, daemon_incarnation, call, prompt, call.resume_at);
			});
	}

	void simulated_fleet::stream_tokens(std::string const& name, incarnation receiver_incarnation,
		decide::start_decode call, std::string prompt, std::uint32_t index)
	{
		auto const server = call.server.str();
		this->schedule(this->engines.at(server).token_gap,
			[this, name, receiver_incarnation, call, prompt, index, server]
			{
				auto& engine = this->engines.at(server);
				if (engine.is_dead)
				{
					// The engine's process is dead but its machine runs, so the machine's kernel closes the connection.
					this->send_over_link(server, name,
						[this, name, receiver_incarnation, call]
						{
							this->deliver(
								name, receiver_incarnation, decide::call_failed{call.call, decide::call_failure::lost});
						});
					return;
				}
				engine.drop_expired(this->now);
				if (!engine.held.contains(call.attempt))
				{
					return;
				}
				if (engine.is_silent)
				{
					this->stream_tokens(name, receiver_incarnation, call, prompt, index);
					return;
				}
				auto const is_end = index >= call.output_tokens.count();
				decide::event event = decide::decode_finished{call.call, index};
				if (!is_end)
				{
					event = decide::token_received{call.call, index, reference_token(prompt, index)};
				}
				this->send_over_link(server, name,
					[this, name, receiver_incarnation, event] { this->deliver(name, receiver_incarnation, event); });
				if (!is_end && std::uniform_real_distribution<double>()(this->random) < this->duplicate_probability)
				{
					this->send_over_link(server, name, [this, name, receiver_incarnation, event]
						{ this->deliver(name, receiver_incarnation, event); });
				}
				if (is_end)
				{
					engine.held.erase(call.attempt);
					return;
				}
				this->stream_tokens(name, receiver_incarnation, call, prompt, index + 1);
			});
	}

	void simulated_fleet::report_call_failure(std::string const& server, std::string const& name,
		incarnation daemon_incarnation, decide::call_failed const& failed)
	{
		this->send_over_link(server, name,
			[this, name, daemon_incarnation, failed] { this->deliver(name, daemon_incarnation, failed); });
	}

	bool simulated_fleet::fail_if_link_cut(std::string const& name, server_id const& server, call_id call)
	{
		if (!this->cut_links.contains({name, server.str()}))
		{
			return false;
		}
		this->schedule(connect_timeout,
			[this, name, daemon_incarnation = this->daemons.at(name).started, call]
			{
				this->deliver(name, daemon_incarnation, decide::call_failed{call, decide::call_failure::not_connected});
			});
		return true;
	}

	void simulated_fleet::run_plain_call(std::string const& name, decide::start_plain const& call)
	{
		if (this->fail_if_link_cut(name, call.server, call.call))
		{
			return;
		}
		auto const daemon_incarnation = this->daemons.at(name).started;
		auto const server = call.server.str();
		auto const reply = [this, name, daemon_incarnation, server](decide::event event)
		{
			this->send_over_link(server, name,
				[this, name, daemon_incarnation, event] { this->deliver(name, daemon_incarnation, event); });
		};
		// The timeout of the HTTP client ends the call if no answer comes.
		this->schedule(std::min(call.timeout, call_timeout), [this, name, daemon_incarnation, id = call.call]
			{ this->deliver(name, daemon_incarnation, decide::call_failed{id, decide::call_failure::lost}); });
		this->send_over_link(name, server,
			[this, server, call, reply]
			{
				auto& target = this->plain_servers.at(server);
				++target.calls_received;
				if (target.is_dead || target.reports_leaving)
				{
					reply(decide::call_failed{call.call,
						target.is_dead ? decide::call_failure::not_connected : decide::call_failure::leaving});
					return;
				}
				if (target.is_silent)
				{
					return;
				}
				this->run_counts[call.body] += call.fresh_connection ? 1 : 0;
				this->emit_event("service_ran", server);
				this->schedule(target.delay,
					[this, server, call, reply]
					{
						auto const& done = this->plain_servers.at(server);
						if (done.is_dead || done.drops_answers)
						{
							reply(decide::call_failed{call.call, decide::call_failure::lost});
							return;
						}
						reply(decide::plain_answered{call.call, 200, "text/plain", "done: " + call.body});
					});
			});
	}

	void simulated_fleet::poll_engine(std::string const& name, decide::poll_load const& order)
	{
		auto const daemon_incarnation = this->daemons.at(name).started;
		auto const server = order.server.str();
		this->send_over_link(name, server,
			[this, name, daemon_incarnation, server, order]
			{
				auto& engine = this->engines.at(server);
				if (engine.is_dead || engine.is_silent)
				{
					return;
				}
				this->send_over_link(server, name,
					[this, name, daemon_incarnation, order, report = engine.make_load_report(this->now)]
					{ this->deliver(name, daemon_incarnation, decide::load_reported{order.server, report}); });
			});
	}
}
