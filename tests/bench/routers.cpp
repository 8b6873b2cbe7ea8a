#include "routers.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include <godwittrestle/base/digest.hpp>
#include <godwittrestle/decide/rendezvous.hpp>
#include <godwittrestle/policy.hpp>

namespace godwittrestle::bench
{
	namespace
	{
		constexpr duration network_delay = microseconds(500);
		constexpr duration report_lag = milliseconds(100);
		constexpr duration baseline_report_interval = milliseconds(200);
		constexpr std::uint32_t deadline_ms = 120'000;

		void record_token(outcome& target, std::uint32_t index, time_point now)
		{
			if (!target.first_token)
			{
				target.first_token = now;
			}
			else
			{
				target.gaps.push_back(now - target.last_token);
			}
			target.last_token = now;
			target.tokens = index + 1;
		}

		policy::RoutingPolicy make_policy(user_profile const& user, policy::Objective objective)
		{
			engine_parameters const parameters;
			policy::RoutingPolicy document;
			auto& region = *document.add_regions();
			region.set_name("here");
			region.add_data_centres("dc");
			auto& prefill = *document.add_pools();
			prefill.set_name("prefill");
			prefill.set_role(policy::PREFILL);
			prefill.set_model("m");
			prefill.set_prefill_tokens_per_second(static_cast<std::uint32_t>(parameters.prefill_tokens_per_us * 1e6));
			prefill.set_kv_bytes_per_token(parameters.kv_bytes_per_token);
			prefill.set_link_megabytes_per_second(static_cast<std::uint32_t>(user.link_bytes_per_us));
			prefill.set_prefill_retention_ms(900);
			auto& decode = *document.add_pools();
			decode.set_name("decode");
			decode.set_role(policy::DECODE);
			decode.set_model("m");
			decode.set_slots_per_server(parameters.slots);
			auto& service = *document.add_services();
			service.set_name("summary");
			service.set_prefill_pool("prefill");
			service.set_decode_pool("decode");
			service.set_first_token_target_ms(520);
			service.set_token_gap_target_ms(56);
			service.set_patience_ms(static_cast<std::uint32_t>(user.patience.count() / 1000));
			service.set_deadline_ms(deadline_ms);
			service.set_objective(objective == policy::OBJECTIVE_UNSPECIFIED ? user.objective : objective);
			service.set_max_prompt_tokens(64'000);
			service.set_max_output_tokens(4'000);
			for (auto index = 0; index < 8; ++index)
			{
				auto& account = *document.add_accounts();
				account.set_name(fmt::format("account-{}", index));
				account.set_token_sha256(sha256_hex(account.name()));
				account.set_requests_per_second(100'000);
				account.set_concurrent_requests(100'000);
			}
			return document;
		}

		class core_router final : public router
		{
		  public:
			core_router(
				event_queue& queue, engine_set& set, user_profile const& user, core_options chosen, std::uint64_t seed)
				: events(&queue)
				, engines(&set)
				, options(chosen)
				, random(seed)
				, core(make_settings(), make_hooks(chosen))
			{
				this->process(decide::instances_read{make_instance_list(set)});
				this->process(decide::policy_read{
					platform_version(1), policy::seal(make_policy(user, chosen.objective), {}), {}});
				this->tick();
			}

			void begin(std::size_t index, outcome& target) override
			{
				auto const request = decide::make_request_id(instance_id("d1"), incarnation(1), index);
				this->outcomes[request] = &target;
				// Only the length and the blocks of the prompt matter to the core. Four bytes count as one token.
				auto prompt = std::make_shared<std::string>(std::size_t{4} * target.requested.prompt_tokens, 'x');
				this->write_blocks(*prompt, index, target.requested.blocks);
				this->process(decide::completion_requested{request, service_id("summary"), target.requested.account,
					std::move(prompt), token_count(target.requested.output_tokens)});
			}

			void disconnect(std::size_t index) override
			{
				auto const request = decide::make_request_id(instance_id("d1"), incarnation(1), index);
				this->process(decide::caller_gone{request});
			}

		  private:
			static decide::core_settings make_settings()
			{
				decide::core_settings settings;
				settings.instance = instance_id("d1");
				settings.started = incarnation(1);
				settings.data_centre = data_centre_id("dc");
				settings.key_secret = "bench";
				settings.load_poll_interval = milliseconds(200);
				return settings;
			}

			static decide::hooks make_hooks(core_options chosen)
			{
				auto behaviour = decide::default_hooks();
				behaviour.slots = chosen.slots;
				behaviour.mechanisms.immediate_refusal = chosen.refuses_immediately;
				return behaviour;
			}

			static decide::instance_list make_instance_list(engine_set const& set)
			{
				decide::instance_list list;
				list.version = platform_version(1);
				list.daemons.push_back({instance_id("d1"), data_centre_id("dc"), "d1", false});
				auto const add = [&](std::string const& id, std::string const& pool)
				{
					list.servers.push_back(
						{server_id(id), data_centre_id("dc"), pool_id(pool), id, incarnation(1), false});
				};
				for (std::size_t index = 0; index < set.prefill.size(); ++index)
				{
					add(fmt::format("p{}", index), "prefill");
				}
				for (std::size_t index = 0; index < set.decode.size(); ++index)
				{
					add(fmt::format("d{}", index), "decode");
				}
				return list;
			}

			// Writes text that depends on the block's hash into each block, so that equal blocks get equal hashes in
			// the core.
			void write_blocks(std::string& prompt, std::size_t index, std::vector<std::uint64_t> const& chain) const
			{
				if (!this->options.uses_prefixes || chain.empty())
				{
					// Starts the prompt with the request's index, so that it shares no prefix with any other prompt.
					auto const mark = fmt::format("{:016}", index);
					prompt.replace(0, std::min(mark.size(), prompt.size()), mark.substr(0, prompt.size()));
					return;
				}
				auto const size = std::size_t{4} * decide::block_tokens;
				for (std::size_t block = 0; block < chain.size(); ++block)
				{
					auto const mark = std::to_string(chain[block]);
					prompt.replace(block * size, mark.size(), mark);
				}
			}

			void tick()
			{
				this->process(decide::tick{});
				this->events->schedule_after(milliseconds(10), [this] { this->tick(); });
			}

			void process(decide::event const& event)
			{
				auto const actions = this->core.handle(event, this->events->now());
				std::ranges::for_each(actions, [this](decide::action const& action) { this->execute(action); });
			}

			void process_after_delay(decide::event event)
			{
				this->events->schedule_after(network_delay, [this, event = std::move(event)] { this->process(event); });
			}

			prefill_model& prefill_engine_of(std::string const& id)
			{
				return *this->engines->prefill.at(std::stoul(id.substr(1)));
			}

			decode_model& decode_engine_of(std::string const& id)
			{
				return *this->engines->decode.at(std::stoul(id.substr(1)));
			}

			static decide::call_failure to_call_failure(engine_failure kind)
			{
				return kind == engine_failure::lost ? decide::call_failure::lost : decide::call_failure::rejected;
			}

			void execute(decide::action const& action)
			{
				if (auto const* const token = std::get_if<decide::answer_token>(&action))
				{
					record_token(*this->outcomes.at(token->request), token->index, this->events->now());
				}
				else if (auto const* const end = std::get_if<decide::answer_end>(&action))
				{
					this->outcomes.at(end->request)->is_complete = true;
				}
				else if (auto const* const failed = std::get_if<decide::answer_failure>(&action))
				{
					auto& target = *this->outcomes.at(failed->request);
					target.is_refused = target.tokens == 0;
					target.is_failed = target.tokens > 0;
					target.refused_after = this->events->now() - target.requested.at;
					target.retry_after = failed->retry_after;
				}
				else if (auto const* const begun = std::get_if<decide::start_prefill>(&action))
				{
					this->events->schedule_after(network_delay, [this, call = *begun] { this->run_prefill(call); });
				}
				else if (auto const* const decoding = std::get_if<decide::start_decode>(&action))
				{
					this->events->schedule_after(network_delay, [this, call = *decoding] { this->run_decode(call); });
				}
				else if (auto const* const cancel = std::get_if<decide::cancel_attempt>(&action))
				{
					this->events->schedule_after(network_delay, [this, call = *cancel] { this->run_cancel(call); });
				}
				else if (auto const* const poll = std::get_if<decide::poll_load>(&action))
				{
					this->run_poll(*poll);
				}
			}

			void run_prefill(decide::start_prefill const& call)
			{
				auto const* const target = this->outcomes.at(decide::request_of(call.attempt));
				this->prefill_engine_of(call.server.str())
					.run(
						call.attempt, call.prompt_tokens.count() + call.resume_at, target->tokens > 0,
						this->options.uses_prefixes ? target->requested.blocks : std::vector<std::uint64_t>{},
						[this, call](std::uint32_t cached)
						{
							this->process_after_delay(
								decide::prefill_finished{call.call, call.server.str(), token_count(cached)});
						},
						[this, call](engine_failure kind)
						{ this->process_after_delay(decide::call_failed{call.call, to_call_failure(kind)}); });
			}

			void run_decode(decide::start_decode const& call)
			{
				this->decode_engine_of(call.server.str())
					.run(
						call.attempt, this->prefill_engine_of(call.transfer), call.resume_at,
						call.output_tokens.count(), [this, call](std::uint32_t index)
						{ this->process_after_delay(decide::token_received{call.call, index, "t"}); },
						[this, call](std::uint32_t total)
						{ this->process_after_delay(decide::decode_finished{call.call, total}); },
						[this, call](engine_failure kind)
						{ this->process_after_delay(decide::call_failed{call.call, to_call_failure(kind)}); });
			}

			void run_cancel(decide::cancel_attempt const& call)
			{
				if (call.server.str().starts_with('p'))
				{
					this->prefill_engine_of(call.server.str()).cancel(call.attempt);
				}
				else
				{
					this->decode_engine_of(call.server.str()).cancel(call.attempt);
				}
				this->process_after_delay(decide::cancel_acknowledged{call.server, call.attempt});
			}

			void run_poll(decide::poll_load const& order)
			{
				auto const is_prefill = order.server.str().starts_with('p');
				auto const is_alive = is_prefill ? this->prefill_engine_of(order.server.str()).is_alive()
												 : this->decode_engine_of(order.server.str()).is_alive();
				if (!is_alive)
				{
					return;
				}
				auto report =
					is_prefill ? this->prefill_engine_of(order.server.str()).report(order.cache_sequence, this->random)
							   : this->decode_engine_of(order.server.str()).report();
				report.model = "m";
				this->events->schedule_after(
					report_lag, [this, order, report] { this->process(decide::load_reported{order.server, report}); });
			}

			event_queue* events;
			engine_set* engines;
			core_options options;
			std::mt19937_64 random;
			decide::core core;
			std::map<request_id, outcome*> outcomes;
		};

		class baseline_router final : public router
		{
		  public:
			baseline_router(event_queue& queue, engine_set& set, baseline chosen, std::uint64_t seed)
				: events(&queue)
				, engines(&set)
				, kind(chosen)
				, random(seed)
			{
				this->read_reports();
			}

			void begin(std::size_t index, outcome& target) override
			{
				this->attempt(index, target, 0);
			}

			void disconnect(std::size_t index) override
			{
				for (auto number = 0; number < 2; ++number)
				{
					auto const id = fmt::format("{}#{}", index, number);
					std::ranges::for_each(this->engines->prefill, [&](auto const& engine) { engine->cancel(id); });
					std::ranges::for_each(this->engines->decode, [&](auto const& engine) { engine->cancel(id); });
				}
			}

		  private:
			// Returns the load of each engine. A dead engine reports nothing and gets `dead_engine_load`, so that any
			// living engine is preferred to it.
			template <typename Engines>
			static std::vector<std::size_t> loads_of(Engines const& engines)
			{
				std::vector<std::size_t> loads;
				std::ranges::transform(engines, std::back_inserter(loads),
					[](auto const& engine) { return engine->is_alive() ? engine->load() : dead_engine_load; });
				return loads;
			}

			void read_reports()
			{
				auto const prefill = loads_of(this->engines->prefill);
				auto const decode = loads_of(this->engines->decode);
				this->events->schedule_after(report_lag,
					[this, prefill, decode]
					{
						this->prefill_load = prefill;
						this->decode_load = decode;
					});
				this->events->schedule_after(baseline_report_interval, [this] { this->read_reports(); });
			}

			std::size_t choose(std::vector<std::size_t> const& load, std::size_t count, std::size_t& position)
			{
				auto const load_of = [&](std::size_t index)
				{
					return index < load.size() ? load[index] : 0;
				};
				if (this->kind == baseline::round_robin)
				{
					do
					{
						++position;
					} while (load_of(position % count) == dead_engine_load);
					return position % count;
				}
				if (this->kind == baseline::two_choices)
				{
					auto const first = this->random() % count;
					auto const second = this->random() % count;
					return load_of(second) < load_of(first) ? second : first;
				}
				std::size_t best = 0;
				for (std::size_t index = 1; index < count; ++index)
				{
					best = load_of(index) < load_of(best) ? index : best;
				}
				return best;
			}

			void attempt(std::size_t index, outcome& target, int number)
			{
				auto const id = fmt::format("{}#{}", index, number);
				auto const fail = [this, index, &target, number](engine_failure)
				{
					if (number == 0 && !target.is_cancelled)
					{
						this->attempt(index, target, 1);
						return;
					}
					target.is_failed = true;
				};
				auto& source = *this->engines->prefill[this->choose(
					this->prefill_load, this->engines->prefill.size(), this->prefill_position)];
				this->events->schedule_after(2 * network_delay,
					[this, id, &target, &source, fail]
					{
						source.run(
							id, target.requested.prompt_tokens + target.tokens, target.tokens > 0,
							target.requested.blocks, [this, id, &target, &source, fail](std::uint32_t)
							{ this->decode(id, target, source, fail); }, fail);
					});
			}

			void decode(std::string const& id, outcome& target, prefill_model& source,
				std::function<void(engine_failure)> const& fail)
			{
				auto& engine =
					*this->engines
						 ->decode[this->choose(this->decode_load, this->engines->decode.size(), this->decode_position)];
				this->events->schedule_after(2 * network_delay,
					[this, id, &target, &source, &engine, fail]
					{
						engine.run(
							id, source, target.tokens, target.requested.output_tokens,
							[this, &target](std::uint32_t index) { record_token(target, index, this->events->now()); },
							[&target](std::uint32_t) { target.is_complete = true; }, fail);
					});
			}

			static constexpr std::size_t dead_engine_load = SIZE_MAX;

			event_queue* events;
			engine_set* engines;
			baseline kind;
			std::mt19937_64 random;
			std::vector<std::size_t> prefill_load;
			std::vector<std::size_t> decode_load;
			std::size_t prefill_position = 0;
			std::size_t decode_position = 0;
		};
	}

	std::unique_ptr<router> make_core_router(
		event_queue& events, engine_set& engines, user_profile const& user, core_options options, std::uint64_t seed)
	{
		return std::make_unique<core_router>(events, engines, user, options, seed);
	}

	std::unique_ptr<router> make_baseline_router(
		event_queue& events, engine_set& engines, baseline kind, std::uint64_t seed)
	{
		return std::make_unique<baseline_router>(events, engines, kind, seed);
	}
}
