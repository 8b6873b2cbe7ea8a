// Runs three cores in one process. A policy that only the first core has read reaches the others, and a non-idempotent
// call that is sent through two of them with the same idempotency key runs once.

#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <string>

#include <godwittrestle/decide.hpp>
#include <godwittrestle/policy.hpp>

namespace
{
	using namespace godwittrestle;

	policy::RoutingPolicy make_policy()
	{
		policy::RoutingPolicy document;
		auto& pool = *document.add_pools();
		pool.set_name("desk");
		pool.set_role(policy::PLAIN);
		auto& service = *document.add_services();
		service.set_name("round-desk");
		service.set_plain_pool("desk");
		service.set_deadline_ms(3000);
		service.add_routes()->set_path_prefix("/signoffs");
		auto& account = *document.add_accounts();
		account.set_name("crews");
		account.set_requests_per_second(100);
		account.set_concurrent_requests(100);
		return document;
	}

	decide::instance_list make_instance_list()
	{
		decide::instance_list list;
		list.version = platform_version(1);
		for (auto const* const name : {"entry-1", "entry-2", "entry-3"})
		{
			list.daemons.push_back({instance_id(name), data_centre_id("manila-north"), name, false});
		}
		list.servers.push_back(
			{server_id("desk-1"), data_centre_id("manila-north"), pool_id("desk"), "desk-1", incarnation(1), false});
		return list;
	}

	// Three cores that exchange messages without delay, and a backend server that answers at once and counts its calls.
	class small_fleet
	{
	  public:
		small_fleet()
		{
			for (auto const& daemon : make_instance_list().daemons)
			{
				decide::core_settings settings;
				settings.instance = daemon.id;
				settings.started = incarnation(1);
				settings.data_centre = daemon.data_centre;
				settings.key_secret = daemon.id.str();
				this->cores.emplace(daemon.id, std::make_unique<decide::core>(settings, decide::default_hooks()));
				this->process(daemon.id, decide::instances_read{make_instance_list()});
			}
		}

		void process(instance_id const& to, decide::event const& event)
		{
			this->pending.emplace_back(to, event);
			while (!this->pending.empty())
			{
				auto const [target, next] = this->pending.front();
				this->pending.pop_front();
				for (auto const& action : this->cores.at(target)->handle(next, this->now))
				{
					this->execute(target, action);
				}
			}
		}

		void advance_time(duration span)
		{
			for (auto const end = this->now + span; this->now < end; this->now += milliseconds(10))
			{
				for (auto const& [id, core] : this->cores)
				{
					this->process(id, decide::tick{});
				}
			}
		}

		std::string key;
		int runs = 0;
		int replays = 0;
		std::map<instance_id, std::unique_ptr<decide::core>> cores;

	  private:
		void execute(instance_id const& from, decide::action const& action)
		{
			if (auto const* const message = std::get_if<decide::send_peer>(&action))
			{
				this->pending.emplace_back(message->to, decide::peer_received{message->message});
			}
			else if (auto const* const call = std::get_if<decide::start_plain>(&action))
			{
				++this->runs;
				this->pending.emplace_back(from, decide::plain_answered{call->call, 200, "text/plain", "signed off"});
			}
			else if (auto const* const issued = std::get_if<decide::answer_keys>(&action))
			{
				this->key = issued->keys.front();
			}
			else if (auto const* const reply = std::get_if<decide::answer_plain>(&action))
			{
				this->replays += reply->replay ? 1 : 0;
			}
		}

		time_point now;
		std::deque<std::pair<instance_id, decide::event>> pending;
	};

	decide::plain_requested make_call(std::string request, std::string key)
	{
		decide::plain_requested call;
		call.request = request_id(std::move(request));
		call.service = service_id("round-desk");
		call.method = "POST";
		call.target = "/signoffs";
		call.body = "station 12 is clean";
		call.idempotency_key = std::move(key);
		return call;
	}
}

int main()
{
	small_fleet fleet;
	auto const document = policy::seal(make_policy(), {});
	fleet.process(instance_id("entry-1"), decide::policy_read{platform_version(1), document, {}});
	fleet.advance_time(seconds(3));
	for (auto const& [id, core] : fleet.cores)
	{
		std::cout << id.str() << " has version " << core->config().version().count() << '\n';
	}
	fleet.process(instance_id("entry-1"), decide::keys_requested{request_id("k"), "", 1});
	fleet.process(instance_id("entry-2"), make_call("first", fleet.key));
	fleet.process(instance_id("entry-3"), make_call("second", fleet.key));
	fleet.advance_time(seconds(1));
	std::cout << "the call ran " << fleet.runs << " time, " << fleet.replays << " answer was a replay\n";
	return fleet.runs == 1 && fleet.replays == 1 ? EXIT_SUCCESS : EXIT_FAILURE;
}
