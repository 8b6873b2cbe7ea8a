#include "world.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include <godwittrestle/policy.hpp>

namespace godwittrestle::testing
{
	namespace
	{
		constexpr duration platform_poll = milliseconds(100);
		constexpr std::array<char const*, 3> data_centres{"manila-north", "manila-south", "pampanga"};

		std::string data_centre_of(int index)
		{
			return data_centres.at(static_cast<std::size_t>(index) % data_centres.size());
		}

		policy::Pool make_pool(std::string const& name, policy::PoolRole role, std::string const& model)
		{
			policy::Pool pool;
			pool.set_name(name);
			pool.set_role(role);
			pool.set_model(model);
			if (role == policy::DECODE)
			{
				pool.set_slots_per_server(20);
			}
			if (role == policy::PREFILL)
			{
				pool.set_prefill_tokens_per_second(20'000);
				pool.set_kv_bytes_per_token(131'072);
				pool.set_link_megabytes_per_second(10'000);
				pool.set_prefill_retention_ms(900);
			}
			return pool;
		}
	}

	world::world(fleet_shape shape, decide::mechanism_set enabled, std::uint64_t seed)
		: mechanisms(enabled)
		, random(seed)
	{
		auto const add_server = [&](std::string const& id, std::string const& pool, int index)
		{
			decide::listed_server server;
			server.id = server_id(id);
			server.pool = pool_id(pool);
			server.data_centre = data_centre_id(data_centre_of(index));
			server.address = id;
			server.started = incarnation(1);
			this->list.servers.push_back(std::move(server));
		};
		for (auto const& [role, count] : {std::pair("prefill", shape.prefill), std::pair("decode", shape.decode)})
		{
			for (int index = 1; index <= count; ++index)
			{
				auto const id = fmt::format("{}-{}", role, index);
				auto& engine = this->engines[id];
				engine.id = id;
				engine.role = role;
				engine.model = "m1";
				add_server(id, role, index);
			}
		}
		for (int index = 1; index <= shape.plain; ++index)
		{
			auto const id = fmt::format("plain-{}", index);
			this->plain_servers[id].id = id;
			add_server(id, "desk", index);
		}
		for (int index = 1; index <= shape.daemons; ++index)
		{
			auto const id = fmt::format("d{}", index);
			this->list.daemons.push_back({instance_id(id), data_centre_id(data_centre_of(index)), id, false});
		}
		this->list.version = platform_version(1);
		this->publish(policy::seal(make_test_policy(), {}));
		for (auto const& listed : this->list.daemons)
		{
			this->start(listed.id.str());
		}
	}

	policy::RoutingPolicy make_test_policy()
	{
		policy::RoutingPolicy document;
		auto& region = *document.add_regions();
		region.set_name("luzon");
		std::ranges::for_each(data_centres, [&](char const* name) { region.add_data_centres(name); });
		*document.add_pools() = make_pool("prefill", policy::PREFILL, "m1");
		*document.add_pools() = make_pool("decode", policy::DECODE, "m1");
		*document.add_pools() = make_pool("desk", policy::PLAIN, "");
		auto& report = *document.add_services();
		report.set_name("report");
		report.set_prefill_pool("prefill");
		report.set_decode_pool("decode");
		report.set_first_token_target_ms(520);
		report.set_token_gap_target_ms(56);
		report.set_patience_ms(2'000);
		report.set_deadline_ms(30'000);
		report.set_objective(policy::WASTE);
		report.set_max_prompt_tokens(64'000);
		report.set_max_output_tokens(4'096);
		auto& desk = *document.add_services();
		desk.set_name("desk");
		desk.set_plain_pool("desk");
		desk.set_deadline_ms(3'000);
		auto& lookups = *desk.add_routes();
		lookups.set_path_prefix("/rosters");
		lookups.set_repeatable(true);
		desk.add_routes()->set_path_prefix("/signoffs");
		auto& account = *document.add_accounts();
		account.set_name("crews");
		account.set_requests_per_second(10'000);
		account.set_concurrent_requests(10'000);
		return document;
	}

	void world::at(duration delay, std::function<void()> run)
	{
		this->queue.push({this->now + delay, ++this->last_order, std::move(run)});
	}

	void world::run_for(duration span)
	{
		std::ignore = this->run_until([] { return false; }, span);
	}

	bool world::run_until(std::function<bool()> const& condition, duration within)
	{
		auto const end = this->now + within;
		while (!condition())
		{
			if (this->queue.empty() || this->queue.top().at > end)
			{
				this->now = end;
				return condition();
			}
			auto next = this->queue.top();
			this->queue.pop();
			this->now = next.at;
			next.run();
		}
		return true;
	}

	duration world::link_delay()
	{
		return duration(std::uniform_int_distribution<int>(300, 900)(this->random));
	}

	void world::carry(std::string const& from, std::string const& to, std::function<void()> run)
	{
		std::set<std::string> const link{from, to};
		if (this->cuts.contains(link))
		{
			return;
		}
		if (auto const held = this->holding.find(link); held != this->holding.end())
		{
			held->second.push_back(std::move(run));
			return;
		}
		this->at(this->link_delay(),
			[this, link, run = std::move(run)]
			{
				if (!this->cuts.contains(link))
				{
					run();
				}
			});
	}

	void world::start(std::string const& name)
	{
		auto& target = this->daemons[name];
		target = daemon{};
		target.started = incarnation(++this->last_incarnation);
		target.is_running = true;
		decide::core_settings settings;
		settings.instance = instance_id(name);
		settings.started = target.started;
		auto const listed = std::ranges::find(this->list.daemons, settings.instance, &decide::listed_daemon::id);
		settings.data_centre = listed->data_centre;
		settings.key_secret = name + std::to_string(target.started.count());
		auto behaviour = decide::default_hooks();
		behaviour.mechanisms = this->mechanisms;
		target.core = std::make_unique<decide::core>(settings, behaviour);
		this->poll_platform(name, target.started);
		this->tick(name, target.started);
	}

	void world::kill(std::string const& name)
	{
		if (auto const engine = this->engines.find(name); engine != this->engines.end())
		{
			engine->second.is_dead = true;
			engine->second.held.clear();
			return;
		}
		if (auto const server = this->plain_servers.find(name); server != this->plain_servers.end())
		{
			server->second.is_dead = true;
			return;
		}
		auto& target = this->daemons.at(name);
		target.is_running = false;
		target.while_paused.clear();
		for (auto& [caller, view] : this->callers)
		{
			view.is_connection_lost = view.is_connection_lost || (view.daemon == name && !view.is_answered());
		}
	}

	void world::pause(std::string const& name)
	{
		this->daemons.at(name).is_paused = true;
	}

	void world::resume(std::string const& name)
	{
		auto& target = this->daemons.at(name);
		target.is_paused = false;
		// Like a resumed process, the daemon reads everything that arrived meanwhile from its sockets before any timer
		// fires.
		auto const missed = std::exchange(target.while_paused, {});
		std::ranges::for_each(missed, [&](decide::event const& event) { this->deliver(name, target.started, event); });
	}

	void world::drain(std::string const& name)
	{
		this->deliver(name, this->daemons.at(name).started, decide::drain_requested{});
	}

	decide::core& world::core_of(std::string const& name)
	{
		return *this->daemons.at(name).core;
	}

	bool world::is_running(std::string const& name) const
	{
		return this->daemons.at(name).is_running;
	}

	bool world::has_left(std::string const& name) const
	{
		return this->daemons.at(name).has_left;
	}

	std::vector<std::string> world::running_daemons() const
	{
		std::vector<std::string> names;
		for (auto const& [name, each] : this->daemons)
		{
			if (each.is_running)
			{
				names.push_back(name);
			}
		}
		return names;
	}

	bool world::is_dead(std::string const& name) const
	{
		if (auto const engine = this->engines.find(name); engine != this->engines.end())
		{
			return engine->second.is_dead;
		}
		if (auto const server = this->plain_servers.find(name); server != this->plain_servers.end())
		{
			return server->second.is_dead;
		}
		auto const found = this->daemons.find(name);
		return found == this->daemons.end() || !found->second.is_running;
	}

	void world::deliver(std::string const& name, incarnation to, decide::event event)
	{
		auto& target = this->daemons.at(name);
		if (!target.is_running || target.started != to)
		{
			return;
		}
		if (target.is_paused)
		{
			target.while_paused.push_back(std::move(event));
			return;
		}
		this->hand_in(name, event);
	}

	void world::hand_in(std::string const& name, decide::event const& event)
	{
		auto const actions = this->daemons.at(name).core->handle(event, this->now);
		this->check_config(name);
		std::ranges::for_each(actions, [&](decide::action const& action) { this->carry_out(name, action); });
	}

	void world::tick(std::string const& name, incarnation of)
	{
		auto const& target = this->daemons.at(name);
		if (!target.is_running || target.started != of)
		{
			return;
		}
		if (!target.is_paused)
		{
			this->hand_in(name, decide::tick{});
		}
		this->at(milliseconds(10), [this, name, of] { this->tick(name, of); });
	}

	void world::check_config(std::string const& name)
	{
		auto& target = this->daemons.at(name);
		auto const version = target.core->config().version();
		if (version < target.highest_in_force)
		{
			this->violations.push_back(fmt::format(
				"{} went back from version {} to {}", name, target.highest_in_force.count(), version.count()));
		}
		target.highest_in_force = std::max(target.highest_in_force, version);
		this->digests_in_force[target.core->config().digest()].insert(name);
	}

	void world::poll_platform(std::string const& name, incarnation of)
	{
		auto& target = this->daemons.at(name);
		if (!target.is_running || target.started != of)
		{
			return;
		}
		this->at(platform_poll, [this, name, of] { this->poll_platform(name, of); });
		if (this->is_out || this->cuts.contains({name, "platform"}))
		{
			return;
		}
		this->carry(name, "platform", [this, name, of] { this->deliver(name, of, decide::platform_confirmed{}); });
		auto const count = this->is_stale ? this->stale_policies : this->published.size();
		platform_version const newest(count);
		if (newest > target.policy_seen && count > 0)
		{
			target.policy_seen = newest;
			this->carry(name, "platform", [this, name, of, newest, document = this->published[count - 1]]
				{ this->deliver(name, of, decide::policy_read{newest, document, {}}); });
		}
		if (this->list.version > target.list_seen)
		{
			target.list_seen = this->list.version;
			this->carry(name, "platform",
				[this, name, of, shown = this->list] { this->deliver(name, of, decide::instances_read{shown}); });
		}
	}

	void world::ask_completion(
		std::string const& caller, std::string const& name, std::string prompt, std::uint32_t tokens)
	{
		auto& view = this->callers[caller];
		view.daemon = name;
		view.asked_at = this->now;
		view.prompt = std::move(prompt);
		view.expected_tokens = tokens;
		view.reference = reference_text(view.prompt, tokens);
		if (!this->is_running(name))
		{
			view.is_connection_lost = true;
			return;
		}
		auto const of = this->daemons.at(name).started;
		view.request = decide::make_request_id(instance_id(name), of, ++this->last_request);
		this->deliver(name, of,
			decide::completion_requested{view.request, service_id("report"), "",
				std::make_shared<std::string const>(view.prompt), token_count(tokens)});
	}

	void world::call_service(std::string const& caller, std::string const& name, std::string method, std::string target,
		std::string body, std::string key)
	{
		auto& view = this->callers[caller];
		view.daemon = name;
		view.asked_at = this->now;
		view.body = body;
		if (!this->is_running(name))
		{
			view.is_connection_lost = true;
			return;
		}
		auto const of = this->daemons.at(name).started;
		view.request = decide::make_request_id(instance_id(name), of, ++this->last_request);
		this->deliver(name, of,
			decide::plain_requested{view.request, service_id("desk"), "", std::move(method), std::move(target), "",
				std::move(body), std::move(key)});
	}

	void world::ask_key(std::string const& name, std::string const& daemon_name)
	{
		auto const of = this->daemons.at(daemon_name).started;
		auto const request = decide::make_request_id(instance_id(daemon_name), of, ++this->last_request);
		this->callers[name].request = request;
		this->callers[name].daemon = daemon_name;
		this->deliver(daemon_name, of, decide::keys_requested{request, "", 1});
	}

	void world::hang_up(std::string const& caller)
	{
		auto& view = this->callers.at(caller);
		view.is_gone = true;
		this->deliver(view.daemon, this->daemons.at(view.daemon).started, decide::caller_gone{view.request});
	}

	caller_view* world::find_caller(request_id const& request)
	{
		auto const found =
			std::ranges::find_if(this->callers, [&](auto const& each) { return each.second.request == request; });
		return found == this->callers.end() ? nullptr : &found->second;
	}

	void world::note(std::string const& event, std::string const& where)
	{
		if (this->on_event)
		{
			this->on_event(event, where);
		}
	}
}
