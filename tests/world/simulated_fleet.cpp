#include "simulated_fleet.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include <godwittrestle/policy.hpp>

namespace godwittrestle::testing
{
	namespace
	{
		constexpr duration platform_poll_interval = milliseconds(100);
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

	simulated_fleet::simulated_fleet(fleet_size shape, decide::mechanism_set enabled, std::uint64_t seed)
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

	void simulated_fleet::schedule(duration delay, std::function<void()> run)
	{
		this->queue.push({this->now + delay, ++this->last_sequence, std::move(run)});
	}

	void simulated_fleet::run_for(duration span)
	{
		std::ignore = this->run_until([] { return false; }, span);
	}

	bool simulated_fleet::run_until(std::function<bool()> const& condition, duration within)
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

	duration simulated_fleet::draw_link_delay()
	{
		return duration(std::uniform_int_distribution<int>(300, 900)(this->random));
	}

	void simulated_fleet::send_over_link(std::string const& from, std::string const& to, std::function<void()> run)
	{
		std::set<std::string> const link{from, to};
		if (this->cut_links.contains(link))
		{
			return;
		}
		if (auto const held = this->held_links.find(link); held != this->held_links.end())
		{
			held->second.push_back(std::move(run));
			return;
		}
		this->schedule(this->draw_link_delay(),
			[this, link, run = std::move(run)]
			{
				if (!this->cut_links.contains(link))
				{
					run();
				}
			});
	}

	void simulated_fleet::start(std::string const& name)
	{
		auto& target = this->daemons[name];
		target = simulated_daemon{};
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

	void simulated_fleet::kill(std::string const& name)
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
		target.events_while_paused.clear();
		for (auto& [caller, view] : this->callers)
		{
			view.is_connection_lost = view.is_connection_lost || (view.daemon == name && !view.is_answered());
		}
	}

	void simulated_fleet::pause(std::string const& name)
	{
		this->daemons.at(name).is_paused = true;
	}

	void simulated_fleet::resume(std::string const& name)
	{
		auto& target = this->daemons.at(name);
		target.is_paused = false;
		// As in a resumed process, the daemon reads all events that arrived during the pause from its sockets before
		// any timer fires.
		auto const missed = std::exchange(target.events_while_paused, {});
		std::ranges::for_each(missed, [&](decide::event const& event) { this->deliver(name, target.started, event); });
	}

	void simulated_fleet::drain(std::string const& name)
	{
		this->deliver(name, this->daemons.at(name).started, decide::drain_requested{});
	}

	decide::core& simulated_fleet::core_of(std::string const& name)
	{
		return *this->daemons.at(name).core;
	}

	bool simulated_fleet::is_running(std::string const& name) const
	{
		return this->daemons.at(name).is_running;
	}

	bool simulated_fleet::has_left(std::string const& name) const
	{
		return this->daemons.at(name).has_left;
	}

	std::vector<std::string> simulated_fleet::running_daemons() const
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

	bool simulated_fleet::is_dead(std::string const& name) const
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

	void simulated_fleet::deliver(std::string const& name, incarnation receiver_incarnation, decide::event event)
	{
		auto& target = this->daemons.at(name);
		if (!target.is_running || target.started != receiver_incarnation)
		{
			return;
		}
		if (target.is_paused)
		{
			target.events_while_paused.push_back(std::move(event));
			return;
		}
		this->handle_event(name, event);
	}

	void simulated_fleet::handle_event(std::string const& name, decide::event const& event)
	{
		auto const actions = this->daemons.at(name).core->handle(event, this->now);
		this->check_config_version(name);
		std::ranges::for_each(actions, [&](decide::action const& action) { this->perform_action(name, action); });
	}

	void simulated_fleet::tick(std::string const& name, incarnation daemon_incarnation)
	{
		auto const& target = this->daemons.at(name);
		if (!target.is_running || target.started != daemon_incarnation)
		{
			return;
		}
		if (!target.is_paused)
		{
			this->handle_event(name, decide::tick{});
		}
		this->schedule(milliseconds(10), [this, name, daemon_incarnation] { this->tick(name, daemon_incarnation); });
	}

	void simulated_fleet::check_config_version(std::string const& name)
	{
		auto& target = this->daemons.at(name);
		auto const version = target.core->config().version();
		if (version < target.highest_version_in_force)
		{
			this->violations.push_back(fmt::format(
				"{} went back from version {} to {}", name, target.highest_version_in_force.count(), version.count()));
		}
		target.highest_version_in_force = std::max(target.highest_version_in_force, version);
		this->digests_in_force[target.core->config().digest()].insert(name);
	}

	void simulated_fleet::poll_platform(std::string const& name, incarnation daemon_incarnation)
	{
		auto& target = this->daemons.at(name);
		if (!target.is_running || target.started != daemon_incarnation)
		{
			return;
		}
		this->schedule(platform_poll_interval,
			[this, name, daemon_incarnation] { this->poll_platform(name, daemon_incarnation); });
		if (this->is_platform_down || this->cut_links.contains({name, "platform"}))
		{
			return;
		}
		this->send_over_link(name, "platform", [this, name, daemon_incarnation]
			{ this->deliver(name, daemon_incarnation, decide::platform_confirmed{}); });
		auto const count = this->has_policy_limit ? this->visible_policies : this->published.size();
		platform_version const newest(count);
		if (newest > target.policy_version_read && count > 0)
		{
			target.policy_version_read = newest;
			this->send_over_link(name, "platform",
				[this, name, daemon_incarnation, newest, document = this->published[count - 1]]
				{ this->deliver(name, daemon_incarnation, decide::policy_read{newest, document, {}}); });
		}
		if (this->list.version > target.list_version_read)
		{
			target.list_version_read = this->list.version;
			this->send_over_link(name, "platform", [this, name, daemon_incarnation, shown = this->list]
				{ this->deliver(name, daemon_incarnation, decide::instances_read{shown}); });
		}
	}

	void simulated_fleet::request_completion(
		std::string const& caller, std::string const& name, std::string prompt, std::uint32_t tokens)
	{
		auto& view = this->callers[caller];
		view.daemon = name;
		view.requested_at = this->now;
		view.prompt = std::move(prompt);
		view.expected_tokens = tokens;
		view.expected_text = reference_text(view.prompt, tokens);
		if (!this->is_running(name))
		{
			view.is_connection_lost = true;
			return;
		}
		auto const daemon_incarnation = this->daemons.at(name).started;
		view.request = decide::make_request_id(instance_id(name), daemon_incarnation, ++this->last_request);
		this->deliver(name, daemon_incarnation,
			decide::completion_requested{view.request, service_id("report"), "",
				std::make_shared<std::string const>(view.prompt), token_count(tokens)});
	}

	void simulated_fleet::call_service(std::string const& caller, std::string const& name, std::string method,
		std::string target, std::string body, std::string key)
	{
		auto& view = this->callers[caller];
		view.daemon = name;
		view.requested_at = this->now;
		view.body = body;
		if (!this->is_running(name))
		{
			view.is_connection_lost = true;
			return;
		}
		auto const daemon_incarnation = this->daemons.at(name).started;
		view.request = decide::make_request_id(instance_id(name), daemon_incarnation, ++this->last_request);
		this->deliver(name, daemon_incarnation,
			decide::plain_requested{view.request, service_id("desk"), "", std::move(method), std::move(target), "",
				std::move(body), std::move(key)});
	}

	void simulated_fleet::request_key(std::string const& name, std::string const& daemon_name)
	{
		auto const daemon_incarnation = this->daemons.at(daemon_name).started;
		auto const request =
			decide::make_request_id(instance_id(daemon_name), daemon_incarnation, ++this->last_request);
		this->callers[name].request = request;
		this->callers[name].daemon = daemon_name;
		this->deliver(daemon_name, daemon_incarnation, decide::keys_requested{request, "", 1});
	}

	void simulated_fleet::hang_up(std::string const& caller)
	{
		auto& view = this->callers.at(caller);
		view.has_hung_up = true;
		this->deliver(view.daemon, this->daemons.at(view.daemon).started, decide::caller_gone{view.request});
	}

	simulated_caller* simulated_fleet::find_caller(request_id const& request)
	{
		auto const found =
			std::ranges::find_if(this->callers, [&](auto const& each) { return each.second.request == request; });
		return found == this->callers.end() ? nullptr : &found->second;
	}

	void simulated_fleet::emit_event(std::string const& event, std::string const& where)
	{
		if (this->on_event)
		{
			this->on_event(event, where);
		}
	}
}
