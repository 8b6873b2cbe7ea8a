#include "world.hpp"

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

	void world::carry_out(std::string const& name, decide::action const& action)
	{
		auto const of = this->daemons.at(name).started;
		if (auto const* const event = std::get_if<decide::record_event>(&action))
		{
			this->note(event->name, name);
		}
		else if (auto const* const message = std::get_if<decide::send_peer>(&action))
		{
			this->send(name, *message);
		}
		else if (auto const* const order = std::get_if<decide::probe_peer>(&action))
		{
			this->probe(name, *order);
		}
		else if (auto const* const begun = std::get_if<decide::start_prefill>(&action))
		{
			this->prefill(name, *begun);
		}
		else if (auto const* const decoding = std::get_if<decide::start_decode>(&action))
		{
			this->decode(name, *decoding);
		}
		else if (auto const* const plain = std::get_if<decide::start_plain>(&action))
		{
			this->call_plain(name, *plain);
		}
		else if (auto const* const poll = std::get_if<decide::poll_load>(&action))
		{
			this->poll_engine(name, *poll);
		}
		else if (auto const* const cancel = std::get_if<decide::cancel_attempt>(&action))
		{
			this->carry(name, cancel->server.str(),
				[this, name, of, cancel = *cancel]
				{
					auto& engine = this->engines.at(cancel.server.str());
					if (engine.is_dead || engine.is_silent)
					{
						return;
					}
					engine.held.erase(cancel.attempt);
					this->carry(cancel.server.str(), name, [this, name, of, cancel]
						{ this->deliver(name, of, decide::cancel_acknowledged{cancel.server, cancel.attempt}); });
				});
		}
		else if (auto const* const wanted = std::get_if<decide::send_order>(&action))
		{
			this->carry(name, wanted->server.str(),
				[this, wanted = *wanted]
				{
					auto& engine = this->engines.at(wanted.server.str());
					if (!engine.is_dead && !engine.is_silent && engine.obey(wanted))
					{
						this->note("loaded:" + wanted.model, wanted.server.str());
					}
				});
		}
		else if (std::holds_alternative<decide::exit_process>(action))
		{
			this->daemons.at(name).has_left = true;
			this->at(milliseconds(200), [this, name] { this->kill(name); });
		}
		else
		{
			this->answer(name, action);
		}
	}

	void world::answer(std::string const& name, decide::action const& action)
	{
		auto const with_caller = [&](request_id const& request, auto const& change)
		{
			auto* const view = this->find_caller(request);
			if (view != nullptr && !view->is_gone && view->daemon == name)
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
				[&](caller_view& view)
				{
					view.is_out_of_order = view.is_out_of_order || token->index != view.next_index;
					view.next_index = token->index + 1;
					view.text += token->text;
				});
		}
		else if (auto const* const end = std::get_if<decide::answer_end>(&action))
		{
			with_caller(end->request, [](caller_view& view) { view.is_whole = true; });
		}
		else if (auto const* const failed = std::get_if<decide::answer_failure>(&action))
		{
			with_caller(failed->request, [&](caller_view& view) { view.failure = *failed; });
		}
		else if (auto const* const reply = std::get_if<decide::answer_plain>(&action))
		{
			with_caller(reply->request, [&](caller_view& view) { view.reply = *reply; });
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

	void world::send(std::string const& name, decide::send_peer const& message)
	{
		std::uniform_real_distribution<double> chance;
		auto const to = message.to.str();
		if (!this->daemons.contains(to) || chance(this->random) < this->loss)
		{
			return;
		}
		auto const arrive = [this, to, content = message.message]
		{
			auto const& target = this->daemons.at(to);
			this->deliver(to, target.started, decide::peer_received{content});
		};
		this->carry(name, to, arrive);
		if (chance(this->random) < this->doubling)
		{
			this->carry(name, to, arrive);
		}
	}

	void world::probe(std::string const& name, decide::probe_peer const& order)
	{
		auto const of = this->daemons.at(name).started;
		auto const to = order.peer.str();
		this->carry(name, to,
			[this, name, of, to, order]
			{
				auto const outcome =
					this->is_dead(to) ? decide::probe_outcome::refused : decide::probe_outcome::connected;
				this->carry(to, name, [this, name, of, order, outcome]
					{ this->deliver(name, of, decide::peer_probed{order.peer, order.believed, outcome}); });
			});
	}

	void world::prefill(std::string const& name, decide::start_prefill const& call)
	{
		if (this->fails_to_connect(name, call.server, call.call))
		{
			return;
		}
		auto const of = this->daemons.at(name).started;
		auto const server = call.server.str();
		this->carry(name, server,
			[this, name, of, server, call]
			{
				auto const fail = [this, name, of, server, id = call.call](decide::call_failure kind)
				{
					this->fail_call(server, name, of, {id, kind});
				};
				auto& engine = this->engines.at(server);
				if (engine.call_delay > duration{})
				{
					// The call waits in the accept queue of the engine, which serves other connections meanwhile.
					auto const delay = std::exchange(engine.call_delay, duration{});
					this->at(delay, [this, name, call] { this->prefill(name, call); });
					return;
				}
				if (auto const refused = engine.refuse_work())
				{
					fail(*refused);
					return;
				}
				if (engine.is_silent)
				{
					return;
				}
				engine.held[call.attempt] = {*call.prompt, this->now + call.hard_deadline};
				this->note("engine_prefilling", server);
				auto const tokens = call.prompt_tokens.count() + call.resume_at;
				engine.busy_until = std::max(engine.busy_until, this->now) +
									duration(static_cast<duration::rep>(tokens / engine.tokens_per_us));
				this->at(engine.busy_until - this->now,
					[this, name, of, server, call, fail]
					{
						auto& done = this->engines.at(server);
						auto const held = done.held.find(call.attempt);
						if (done.is_dead || held == done.held.end())
						{
							fail(done.is_dead ? decide::call_failure::lost : decide::call_failure::rejected);
							return;
						}
						held->second.drop_at = std::min(held->second.drop_at, this->now + done.retention);
						this->carry(server, name, [this, name, of, server, call]
							{ this->deliver(name, of, decide::prefill_finished{call.call, server, token_count(0)}); });
					});
			});
	}

	void world::decode(std::string const& name, decide::start_decode const& call)
	{
		if (this->fails_to_connect(name, call.server, call.call))
		{
			return;
		}
		auto const of = this->daemons.at(name).started;
		auto const server = call.server.str();
		this->carry(name, server,
			[this, name, of, server, call]
			{
				auto const fail = [this, name, of, server, id = call.call](decide::call_failure kind)
				{
					this->fail_call(server, name, of, {id, kind});
				};
				auto& engine = this->engines.at(server);
				if (auto const refused = engine.refuse_work())
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
				this->note("engine_transferring", server);
				if (is_stalled)
				{
					return;
				}
				this->stream(name, of, call, prompt, call.resume_at);
			});
	}

	void world::stream(
		std::string const& name, incarnation to, decide::start_decode call, std::string prompt, std::uint32_t index)
	{
		auto const server = call.server.str();
		this->at(this->engines.at(server).token_gap,
			[this, name, to, call, prompt, index, server]
			{
				auto& engine = this->engines.at(server);
				if (engine.is_dead)
				{
					// Only the process is dead: the kernel of its machine closes the connection.
					this->carry(server, name, [this, name, to, call]
						{ this->deliver(name, to, decide::call_failed{call.call, decide::call_failure::lost}); });
					return;
				}
				engine.drop_expired(this->now);
				if (!engine.held.contains(call.attempt))
				{
					return;
				}
				if (engine.is_silent)
				{
					this->stream(name, to, call, prompt, index);
					return;
				}
				auto const is_end = index >= call.output_tokens.count();
				decide::event event = decide::decode_finished{call.call, index};
				if (!is_end)
				{
					event = decide::token_received{call.call, index, reference_token(prompt, index)};
				}
				this->carry(server, name, [this, name, to, event] { this->deliver(name, to, event); });
				if (!is_end && std::uniform_real_distribution<double>()(this->random) < this->doubling)
				{
					this->carry(server, name, [this, name, to, event] { this->deliver(name, to, event); });
				}
				if (is_end)
				{
					engine.held.erase(call.attempt);
					return;
				}
				this->stream(name, to, call, prompt, index + 1);
			});
	}

	void world::fail_call(
		std::string const& server, std::string const& name, incarnation of, decide::call_failed const& failed)
	{
		this->carry(server, name, [this, name, of, failed] { this->deliver(name, of, failed); });
	}

	bool world::fails_to_connect(std::string const& name, server_id const& server, call_id call)
	{
		if (!this->cuts.contains({name, server.str()}))
		{
			return false;
		}
		this->at(connect_timeout, [this, name, of = this->daemons.at(name).started, call]
			{ this->deliver(name, of, decide::call_failed{call, decide::call_failure::not_connected}); });
		return true;
	}

	void world::call_plain(std::string const& name, decide::start_plain const& call)
	{
		if (this->fails_to_connect(name, call.server, call.call))
		{
			return;
		}
		auto const of = this->daemons.at(name).started;
		auto const server = call.server.str();
		auto const reply = [this, name, of, server](decide::event event)
		{
			this->carry(server, name, [this, name, of, event] { this->deliver(name, of, event); });
		};
		// The timeout of the HTTP client ends the call if no answer comes.
		this->at(std::min(call.timeout, call_timeout), [this, name, of, id = call.call]
			{ this->deliver(name, of, decide::call_failed{id, decide::call_failure::lost}); });
		this->carry(name, server,
			[this, server, call, reply]
			{
				auto& target = this->plain_servers.at(server);
				++target.work_started;
				if (target.is_dead || target.says_leaving)
				{
					reply(decide::call_failed{call.call,
						target.is_dead ? decide::call_failure::not_connected : decide::call_failure::leaving});
					return;
				}
				if (target.is_silent)
				{
					return;
				}
				this->runs[call.body] += call.fresh_connection ? 1 : 0;
				this->note("service_ran", server);
				this->at(target.delay,
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

	void world::poll_engine(std::string const& name, decide::poll_load const& order)
	{
		auto const of = this->daemons.at(name).started;
		auto const server = order.server.str();
		this->carry(name, server,
			[this, name, of, server, order]
			{
				auto& engine = this->engines.at(server);
				if (engine.is_dead || engine.is_silent)
				{
					return;
				}
				this->carry(server, name, [this, name, of, order, report = engine.report(this->now)]
					{ this->deliver(name, of, decide::load_reported{order.server, report}); });
			});
	}
}
