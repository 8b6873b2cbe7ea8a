#include <algorithm>
#include <chrono>
#include <ctime>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <malloc.h>

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <godwittrestle/base/digest.hpp>
#include <godwittrestle/decide.hpp>
#include <godwittrestle/policy.hpp>

#include "engine_model.hpp"

// Measures how the cost of each role of a daemon (cluster member, cell owner, key issuer, ...) grows with its load. The
// decision cores run in one process and in virtual time. docs/CAPACITY.md derives the cost of the target size from
// these results.
namespace
{
	using namespace godwittrestle;

	// Bytes that ZeroMQ and TCP add to a message: a frame with identity and length, and the packet headers.
	constexpr std::size_t transport_bytes = 60;
	constexpr duration link_delay = milliseconds(1);
	constexpr int data_centres = 14;

	double cpu_seconds()
	{
		timespec reading{};
		clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &reading);
		return static_cast<double>(reading.tv_sec) + static_cast<double>(reading.tv_nsec) / 1e9;
	}

	double heap_bytes()
	{
		return static_cast<double>(mallinfo2().uordblks);
	}

	std::string data_centre_of(int index)
	{
		return fmt::format("dc-{}", index % data_centres);
	}

	policy::RoutingPolicy make_policy(int accounts, int models)
	{
		policy::RoutingPolicy document;
		for (auto region = 0; region < 5; ++region)
		{
			auto& entry = *document.add_regions();
			entry.set_name(fmt::format("region-{}", region));
			for (auto centre = region; centre < data_centres; centre += 5)
			{
				entry.add_data_centres(data_centre_of(centre));
			}
		}
		for (auto model = 0; model < models; ++model)
		{
			auto& prefill = *document.add_pools();
			prefill.set_name(fmt::format("prefill-{}", model));
			prefill.set_role(policy::PREFILL);
			prefill.set_model(fmt::format("model-{}", model));
			prefill.set_prefill_tokens_per_second(40'000);
			prefill.set_kv_bytes_per_token(131'072);
			prefill.set_link_megabytes_per_second(25'000);
			prefill.set_prefill_retention_ms(900);
			auto& decode = *document.add_pools();
			decode.set_name(fmt::format("decode-{}", model));
			decode.set_role(policy::DECODE);
			decode.set_model(prefill.model());
			decode.set_slots_per_server(20);
			auto& service = *document.add_services();
			service.set_name(fmt::format("service-{}", model));
			service.set_prefill_pool(prefill.name());
			service.set_decode_pool(decode.name());
			service.set_first_token_target_ms(520);
			service.set_token_gap_target_ms(56);
			service.set_patience_ms(520);
			service.set_deadline_ms(60'000);
			service.set_objective(policy::GOODPUT);
			service.set_max_prompt_tokens(64'000);
			service.set_max_output_tokens(4'000);
		}
		for (auto account = 0; account < accounts; ++account)
		{
			auto& entry = *document.add_accounts();
			entry.set_name(fmt::format("account-{}", account));
			entry.set_token_sha256(sha256_hex(entry.name()));
			entry.set_requests_per_second(100);
			entry.set_concurrent_requests(1'000);
		}
		return document;
	}

	// Runs the decision cores of many daemons in one process. Their messages all take the same link delay; the listed
	// engines never answer.
	class daemon_cluster
	{
	  public:
		daemon_cluster(int daemons, int servers, int accounts, duration heartbeat)
			: sealed(policy::seal(make_policy(accounts, 19), {}))
		{
			decide::instance_list list;
			list.version = platform_version(1);
			for (auto index = 0; index < daemons; ++index)
			{
				auto const id = fmt::format("daemon-{:04}", index);
				list.daemons.push_back({instance_id(id), data_centre_id(data_centre_of(index)), id, false});
			}
			for (auto index = 0; index < servers; ++index)
			{
				auto const id = fmt::format("server-{:05}", index);
				auto const pool =
					fmt::format("{}-{}", index / data_centres % 3 == 0 ? "prefill" : "decode", index % 19);
				list.servers.push_back(
					{server_id(id), data_centre_id(data_centre_of(index)), pool_id(pool), id, incarnation(1), false});
			}
			for (auto const& daemon : list.daemons)
			{
				decide::core_settings settings;
				settings.instance = daemon.id;
				settings.started = incarnation(1);
				settings.data_centre = daemon.data_centre;
				settings.key_secret = "slopes";
				settings.heartbeat_interval = heartbeat;
				settings.peer_timeout = 4 * heartbeat;
				this->cores.emplace(daemon.id, std::make_unique<decide::core>(settings, decide::default_hooks()));
			}
			for (auto const& [id, core] : this->cores)
			{
				this->process(id, decide::policy_read{platform_version(1), this->sealed, {}});
				this->process(id, decide::instances_read{list});
				this->tick(id);
			}
		}

		void run_for(duration span)
		{
			this->events.run_until(this->events.now() + span);
		}

		// Lets one daemon read a policy in which one account has changed. Returns the virtual time until the policy is
		// in force on all daemons, or at least `within` if some daemon does not have it in force by then.
		duration publish_change(duration within)
		{
			auto document = this->sealed.policy();
			document.mutable_accounts(0)->set_requests_per_second(++this->last_version + 100);
			policy::seal_base const base{&this->sealed, platform_version(this->last_version - 1), {}};
			this->sealed = policy::seal(std::move(document), base);
			auto const version = platform_version(this->last_version);
			auto const began = this->events.now();
			this->process(this->cores.begin()->first, decide::policy_read{version, this->sealed, {}});
			auto const has_all = [&]
			{
				return std::ranges::all_of(
					this->cores, [&](auto const& each) { return each.second->config().version() == version; });
			};
			while (!has_all() && this->events.now() - began < within)
			{
				this->run_for(milliseconds(1));
			}
			return this->events.now() - began;
		}

		std::uint64_t messages = 0;
		std::uint64_t bytes = 0;
		std::uint64_t watchers = 0;

	  private:
		void tick(instance_id const& id)
		{
			this->process(id, decide::tick{});
			// core::next_wakeup() asks for a tick every 10 ms, also when the daemon is idle.
			this->events.schedule_after(milliseconds(10), [this, id] { this->tick(id); });
		}

		void process(instance_id const& id, decide::event const& event)
		{
			auto actions = this->cores.at(id)->handle(event, this->events.now());
			for (auto& action : actions)
			{
				if (auto* const message = std::get_if<decide::send_peer>(&action))
				{
					++this->messages;
					this->bytes += message->message.ByteSizeLong() + transport_bytes;
					this->events.schedule_after(link_delay,
						[this, to = message->to, content = std::move(message->message)]
						{ this->process(to, decide::peer_received{content}); });
				}
				else if (auto const* const watch = std::get_if<decide::set_watch>(&action))
				{
					this->watchers += watch->watching ? 1 : 0;
				}
			}
		}

		bench::event_queue events;
		policy::SealedPolicy sealed;
		std::map<instance_id, std::unique_ptr<decide::core>> cores;
		std::uint32_t last_version = 1;
	};

	void measure_cluster(int daemons, int servers, int accounts, duration heartbeat)
	{
		auto const heap_before = heap_bytes();
		daemon_cluster cluster(daemons, servers, accounts, heartbeat);
		// Waits until the state that the daemons assume at their start has expired.
		cluster.run_for(std::max<duration>(4 * heartbeat, seconds(8)));
		auto const memory = (heap_bytes() - heap_before) / daemons;
		cluster.messages = 0;
		cluster.bytes = 0;
		auto const span = 2 * heartbeat;
		auto const before = cpu_seconds();
		cluster.run_for(span);
		auto const per_second = 1e6 / static_cast<double>(span.count()) / daemons;
		auto const cpu_time = (cpu_seconds() - before) * per_second;
		auto const messages = static_cast<double>(cluster.messages) * per_second;
		auto const bytes = static_cast<double>(cluster.bytes) * per_second;
		cluster.messages = 0;
		cluster.bytes = 0;
		auto const change_before = cpu_seconds();
		auto const propagation_time = cluster.publish_change(seconds(10));
		cluster.run_for(milliseconds(200));
		auto const change_cost = (cpu_seconds() - change_before) / daemons;
		std::cout << fmt::format(
			"fleet daemons={:<5} servers={:<6} accounts={:<5} heartbeat={:4.1f}s: {:7.2f} messages/s "
			"{:8.0f} bytes/s {:6.3f}% of a core {:7.2f} MB; a change: in force after {:6.1f} ms, "
			"{:6.0f} bytes {:6.2f} ms of a core for each daemon\n",
			daemons, servers, accounts, to_milliseconds(heartbeat) / 1000, messages, bytes, 100 * cpu_time,
			memory / 1e6, to_milliseconds(propagation_time), static_cast<double>(cluster.bytes) / daemons,
			1000 * change_cost);
	}

	// Measures the cost of a daemon that owns one cell and receives all requests of the cell itself. A prefill takes
	// 100 ms and a decode step 50 ms of virtual time, whatever the load.
	void measure_cell(int engines, double requests_per_second, std::uint32_t tokens)
	{
		bench::event_queue events;
		decide::core_settings settings;
		settings.instance = instance_id("d1");
		settings.started = incarnation(1);
		settings.data_centre = data_centre_id("dc-0");
		settings.load_poll_interval = seconds(1);
		decide::core core(settings, decide::default_hooks());
		decide::instance_list list;
		list.version = platform_version(1);
		list.daemons.push_back({settings.instance, settings.data_centre, "d1", false});
		for (auto index = 0; index < engines; ++index)
		{
			auto const id = fmt::format("server-{}", index);
			auto const* const pool = index % 3 == 0 ? "prefill-0" : "decode-0";
			list.servers.push_back({server_id(id), settings.data_centre, pool_id(pool), id, incarnation(1), false});
		}
		std::map<server_id, std::vector<decide::held_request>> held;
		std::uint64_t answered = 0;
		std::uint64_t reports = 0;
		double cpu_time = 0;
		std::function<void(decide::event const&)> process;
		auto const start_stream = [&](decide::start_decode const& call)
		{
			held[call.server].push_back({call.attempt});
			for (std::uint32_t index = 0; index < tokens; ++index)
			{
				events.schedule_after(milliseconds(50) * (index + 1),
					[&, id = call.call, index] { process(decide::token_received{id, index, "token"}); });
			}
			events.schedule_after(milliseconds(50) * tokens + milliseconds(1),
				[&, id = call.call, server = call.server, attempt = call.attempt]
				{
					std::erase_if(held[server], [&](auto const& each) { return each.attempt == attempt; });
					process(decide::decode_finished{id, tokens});
				});
		};
		auto const execute = [&](decide::action const& action)
		{
			if (auto const* const prefill = std::get_if<decide::start_prefill>(&action))
			{
				events.schedule_after(milliseconds(100),
					[&, id = prefill->call] { process(decide::prefill_finished{id, "transfer", token_count(0)}); });
			}
			else if (auto const* const decode = std::get_if<decide::start_decode>(&action))
			{
				start_stream(*decode);
			}
			else if (auto const* const poll = std::get_if<decide::poll_load>(&action))
			{
				++reports;
				decide::load_report report;
				report.model = "model-0";
				auto const server = std::ranges::find(list.servers, poll->server, &decide::listed_server::id);
				report.role = server->pool.str().starts_with("prefill") ? "prefill" : "decode";
				report.held = held[poll->server];
				events.schedule_after(
					milliseconds(1), [&, id = poll->server, report] { process(decide::load_reported{id, report}); });
			}
			answered += std::holds_alternative<decide::answer_end>(action) ? 1 : 0;
		};
		process = [&](decide::event const& event)
		{
			auto const before = cpu_seconds();
			auto const actions = core.handle(event, events.now());
			cpu_time += cpu_seconds() - before;
			std::ranges::for_each(actions, execute);
		};
		std::function<void()> tick = [&]
		{
			process(decide::tick{});
			events.schedule_after(milliseconds(10), tick);
		};
		auto const token = std::string("account-0");
		process(decide::policy_read{platform_version(1), policy::seal(make_policy(1, 1), {}), {}});
		process(decide::instances_read{list});
		tick();
		events.run_until(time_point(seconds(2)));
		std::uint64_t sequence = 0;
		std::function<void()> arrive = [&]
		{
			process(decide::completion_requested{
				decide::make_request_id(settings.instance, settings.started, ++sequence), service_id("service-0"),
				token, std::make_shared<std::string const>(16'000, 'x'), token_count(tokens)});
			events.schedule_after(duration(static_cast<duration::rep>(1e6 / requests_per_second)), arrive);
		};
		if (requests_per_second > 0)
		{
			arrive();
		}
		constexpr double span_seconds = 30;
		events.run_until(time_point(seconds(12)));
		cpu_time = 0;
		answered = 0;
		reports = 0;
		events.run_until(time_point(seconds(12)) + duration(static_cast<duration::rep>(span_seconds * 1e6)));
		std::cout << fmt::format(
			"cell engines={:<3} requests/s={:<4.0f} tokens={:<4}: {:6.3f}% of a core, {:6.1f} answers/s, "
			"{:5.1f} load reports/s\n",
			engines, requests_per_second, tokens, 100 * cpu_time / span_seconds,
			static_cast<double>(answered) / span_seconds, static_cast<double>(reports) / span_seconds);
	}

	// Measures memory and CPU time of the issuer for each idempotency key.
	void measure_keys(int keys)
	{
		decide::core_settings settings;
		settings.instance = instance_id("d1");
		settings.started = incarnation(1);
		settings.data_centre = data_centre_id("dc-0");
		settings.key_secret = "slopes";
		decide::core core(settings, decide::default_hooks());
		decide::instance_list list;
		list.version = platform_version(1);
		list.daemons.push_back({settings.instance, settings.data_centre, "d1", false});
		std::ignore =
			core.handle(decide::policy_read{platform_version(1), policy::seal(make_policy(1, 1), {}), {}}, {});
		std::ignore = core.handle(decide::instances_read{list}, {});
		std::ignore = core.handle(decide::tick{}, time_point(milliseconds(1)));
		auto const heap_before = heap_bytes();
		auto const before = cpu_seconds();
		for (auto index = 0; index < keys; index += 100)
		{
			auto const now = time_point(milliseconds(10 * index));
			std::ignore = core.handle(decide::keys_requested{request_id("r"), "account-0", 100}, now);
		}
		std::cout << fmt::format("keys={:<7}: {:6.2f} bytes and {:6.2f} us of a core for each key\n", keys,
			(heap_bytes() - heap_before) / keys, 1e6 * (cpu_seconds() - before) / keys);
	}

	// Measures the size of a sealed policy, of its JSON and of a change, and the CPU time to parse and check the JSON.
	void measure_document(int accounts)
	{
		auto const sealed = policy::seal(make_policy(accounts, 19), {});
		auto const json = policy::to_json(sealed);
		auto changed = sealed.policy();
		changed.mutable_accounts(0)->set_requests_per_second(7);
		auto const next = policy::seal(changed, {&sealed, platform_version(1), {}});
		auto const delta = policy::make_delta(sealed, next);
		auto const before = cpu_seconds();
		constexpr auto repeats = 5;
		for (auto count = 0; count < repeats; ++count)
		{
			auto const is_valid = handle_failure(
				[&]() -> result<bool>
				{
					BOOST_LEAF_AUTO(document, policy::parse_sealed(json));
					BOOST_LEAF_CHECK(policy::check_sealed(document));
					return true;
				},
				[](failure const&) { return false; });
			if (!is_valid)
			{
				std::cout << "the sealed document failed to parse or to pass its check\n";
			}
		}
		std::cout << fmt::format(
			"document accounts={:<5}: {:8} bytes, as JSON {:8}, a change of one account {:5} bytes; "
			"parse and check {:6.2f} ms\n",
			accounts, sealed.ByteSizeLong(), json.size(), delta.size(), 1000 * (cpu_seconds() - before) / repeats);
	}

	// Prints the sizes of the messages that a request needs.
	void measure_messages()
	{
		wire::PeerMessage request;
		request.set_from("daemon-0001");
		request.set_incarnation(1'796'344'928'919'396);
		request.set_timestamp(1'796'344'928'919'396);
		auto& lease_request = *request.mutable_lease_request();
		lease_request.set_request("daemon-0001~1796344928919396~123456");
		lease_request.set_service("service-11");
		lease_request.set_account("account-1234");
		lease_request.set_prompt_tokens(4'000);
		lease_request.set_output_tokens(400);
		lease_request.add_prefix_hashes(1);
		lease_request.set_remaining(60'000'000);
		lease_request.set_asked(1'000'000'000);
		lease_request.set_cell("prefill-11|decode-11|region-3|2");
		wire::PeerMessage update;
		update.set_from("daemon-0001");
		update.set_incarnation(1'796'344'928'919'396);
		update.set_timestamp(1'796'344'928'919'396);
		auto& lease_update = *update.mutable_lease_update();
		lease_update.set_request(lease_request.request());
		lease_update.set_service(lease_request.service());
		lease_update.set_account(lease_request.account());
		lease_update.set_prefill_server("server-01234");
		lease_update.set_decode_server("server-01235");
		lease_update.set_prompt_tokens(4'000);
		lease_update.set_output_tokens(400);
		lease_update.set_produced_tokens(200);
		lease_update.set_phase(wire::LeaseUpdate::DECODING);
		lease_update.set_token_gap(50'000);
		lease_update.set_cell(lease_request.cell());
		std::cout << fmt::format("messages with transport: lease request {} bytes, grant or update {} bytes, one lease "
								 "in a renewal {} bytes\n",
			request.ByteSizeLong() + transport_bytes, update.ByteSizeLong() + transport_bytes,
			lease_update.ByteSizeLong());
	}

	int run(bool is_short, bool is_target_only)
	{
		std::cout << std::unitbuf;
		if (is_target_only)
		{
			measure_cluster(1'200, 12'000, 2'300, seconds(2));
			return 0;
		}
		measure_messages();
		for (auto const accounts : {100, 1'000, 2'300})
		{
			measure_document(accounts);
		}
		measure_keys(10'000);
		measure_keys(100'000);
		for (auto const engines : {4, 8, 16, 32})
		{
			measure_cell(engines, 0, 200);
			measure_cell(engines, engines * 4.0 / 3, 200);
		}
		measure_cell(32, 13.3, 400);
		for (auto const daemons : {8, 32, 64, 128, 256})
		{
			measure_cluster(daemons, 10 * daemons, 2 * daemons, milliseconds(500));
		}
		if (!is_short)
		{
			measure_cluster(600, 6'000, 1'150, seconds(2));
			measure_cluster(1'200, 12'000, 2'300, seconds(2));
		}
		return 0;
	}
}

int main(int count, char const* const* arguments)
{
	namespace options = boost::program_options;
	options::options_description description("Measures how the cost of each role of a daemon grows with its load");
	description.add_options()("help", "print this help")("short", "leave out the largest numbers of daemons")(
		"target", "measure only the target number of daemons");
	options::variables_map given;
	options::store(options::parse_command_line(count, arguments, description), given);
	if (given.contains("help"))
	{
		std::cout << description;
		return 0;
	}
	return run(given.contains("short"), given.contains("target"));
}
