#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <map>
#include <memory>
#include <thread>

#include <boost/asio/post.hpp>
#include <boost/system/system_error.hpp>
#include <fmt/format.h>

#include <godwittrestle/daemon/io_thread.hpp>

#include "../../platform/soak/loopback_proxy.hpp"
#include "daemon_group.hpp"
#include "streaming_servers.hpp"
#include "test_protocol.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;
using soak::link_fault;

// Daemons that lose their links to all servers, while callers and the other daemons reach them.
namespace
{
	constexpr std::size_t daemon_count = 6;
	constexpr std::size_t server_count = 6;
	constexpr std::size_t callers_per_daemon = 2;
	// contact-ms of the users' platform: the rule counts from this time after the cut on.
	constexpr std::chrono::milliseconds contact_time{3000};
	constexpr std::chrono::milliseconds counted_time{4000};

	// A link from each daemon to each server, with faults for single daemons.
	class server_links
	{
	  public:
		explicit server_links(std::vector<routing::registered_server> const& servers)
			: links(daemon_count)
		{
			for (auto& of_daemon : this->links)
			{
				for (auto const& server : servers)
				{
					of_daemon.push_back(std::make_unique<soak::loopback_proxy>(
						this->thread.context().get_executor(), http::parse_endpoint(server.address, "").value()));
					of_daemon.back()->start();
				}
			}
			this->thread.start();
		}

		~server_links()
		{
			this->thread.stop();
		}

		server_links(server_links const&) = delete;
		server_links& operator=(server_links const&) = delete;
		server_links(server_links&&) = delete;
		server_links& operator=(server_links&&) = delete;

		// Returns the servers' entries with the addresses at which a daemon reaches them.
		[[nodiscard]] std::vector<routing::registered_server> entries_for(
			std::size_t daemon, std::vector<routing::registered_server> servers) const
		{
			for (std::size_t number = 0; number < servers.size(); ++number)
			{
				servers[number].address = http::to_string(this->links[daemon][number]->listen_address());
			}
			return servers;
		}

		// Applies a fault to all links of the first daemons.
		void set_fault(std::size_t daemons, link_fault fault)
		{
			std::promise<void> done;
			boost::asio::post(this->thread.context(),
				[&]
				{
					for (std::size_t daemon = 0; daemon < daemons; ++daemon)
					{
						for (auto const& link : this->links[daemon])
						{
							link->set_fault(fault);
						}
					}
					done.set_value();
				});
			done.get_future().wait();
		}

	  private:
		daemon::io_thread thread;
		std::vector<std::vector<std::unique_ptr<soak::loopback_proxy>>> links;
	};

	struct first_tries
	{
		std::atomic<int> sent = 0;
		std::atomic<int> served = 0;
	};

	struct reach_counts
	{
		first_tries cut_off;
		first_tries others;
	};

	// Callers at all daemons; each sends one request after the other and never repeats one. Counts while is_counting.
	class plain_callers
	{
	  public:
		plain_callers(std::vector<http::endpoint> const& daemons, std::size_t cut_off)
		{
			for (std::size_t number = 0; number < daemons.size() * callers_per_daemon; ++number)
			{
				auto const daemon = number % daemons.size();
				auto& tries = daemon < cut_off ? this->counts.cut_off : this->counts.others;
				this->threads.emplace_back(
					[this, number, address = daemons[daemon], &tries] { this->run(number, address, tries); });
			}
		}

		~plain_callers()
		{
			this->finish();
		}

		plain_callers(plain_callers const&) = delete;
		plain_callers& operator=(plain_callers const&) = delete;
		plain_callers(plain_callers&&) = delete;
		plain_callers& operator=(plain_callers&&) = delete;

		void finish()
		{
			this->is_over = true;
			std::ranges::for_each(this->threads, [](std::thread& each) { each.join(); });
			this->threads.clear();
		}

		// Adds callers at the first daemons; their tries count as those of the first callers do.
		void add(std::vector<http::endpoint> const& daemons, std::size_t count)
		{
			for (std::size_t number = 0; number < count * daemons.size(); ++number)
			{
				auto const caller = this->threads.size();
				this->threads.emplace_back([this, caller, address = daemons[number % daemons.size()]]
					{ this->run(caller, address, this->counts.cut_off); });
			}
		}

		std::atomic<bool> is_counting = false;
		reach_counts counts;

	  private:
		void run(std::size_t caller, http::endpoint const& address, first_tries& tries) const
		{
			constexpr std::chrono::milliseconds pause{20};
			for (int number = 0; !this->is_over; ++number)
			{
				auto const is_counted = this->is_counting.load();
				std::string answer;
				try
				{
					answer = send_to_daemon(
						address, "POST", {{"Attempt", fmt::format("p{}-{}", caller, number)}, {"Events", "2"}});
				}
				catch (boost::system::system_error const&)
				{
					// A connection that is refused or reset is a failed try.
					answer.clear();
				}
				if (is_counted)
				{
					++tries.sent;
					tries.served +=
						answer.starts_with("HTTP/1.1 200") && answer.find("id: 2\n") != std::string::npos ? 1 : 0;
				}
				std::this_thread::sleep_for(pause);
			}
		}

		std::atomic<bool> is_over = false;
		std::vector<std::thread> threads;
	};

	struct cut
	{
		link_fault fault = link_fault::silent;
		std::size_t daemons = 2;
		routing::call_kind kind = routing::call_kind::idempotent;
	};
}

TEST_CASE("daemons that are cut off from all servers still serve their callers", "[partitioned]")
{
	auto const given = GENERATE(cut{link_fault::silent, 2, routing::call_kind::idempotent},
		cut{link_fault::reset, 2, routing::call_kind::non_idempotent},
		cut{link_fault::silent, 2, routing::call_kind::non_idempotent},
		cut{link_fault::refuse_new, 2, routing::call_kind::non_idempotent},
		cut{link_fault::refuse_new, daemon_count - 1, routing::call_kind::streaming},
		cut{link_fault::silent, daemon_count - 1, routing::call_kind::streaming},
		cut{link_fault::reset, daemon_count - 1, routing::call_kind::streaming});
	auto const servers = make_servers(server_count, "v1");
	auto entries = entries_of(servers);
	auto const is_stream = given.kind == routing::call_kind::streaming;
	for (auto& each : entries)
	{
		each.role = is_stream ? routing::server_role::decode : routing::server_role::plain;
	}
	server_links links(entries);
	daemon_group daemons(daemon_count, make_route(given.kind, 3, is_stream), entries);
	for (std::size_t daemon = 0; daemon < daemon_count; ++daemon)
	{
		daemons.publish_to(daemon, links.entries_for(daemon, entries));
	}
	plain_callers callers(daemons.addresses(), given.daemons);
	std::this_thread::sleep_for(std::chrono::milliseconds(1000));
	links.set_fault(given.daemons, given.fault);
	if (given.fault == link_fault::refuse_new)
	{
		// More callers than there are connections: the open ones are heard of all the time, and don't suffice.
		constexpr std::size_t more_callers = 16;
		auto const cut_addresses = std::vector<http::endpoint>(
			daemons.addresses().begin(), daemons.addresses().begin() + static_cast<std::ptrdiff_t>(given.daemons));
		callers.add(cut_addresses, more_callers);
	}
	std::this_thread::sleep_for(contact_time);
	callers.is_counting = true;
	std::this_thread::sleep_for(counted_time);
	callers.is_counting = false;
	links.set_fault(given.daemons, link_fault::none);
	callers.finish();
	auto const& seen = callers.counts;
	auto const sent = seen.cut_off.sent.load();
	auto const served = seen.cut_off.served.load();
	auto const others_sent = seen.others.sent.load();
	auto const others_served = seen.others.served.load();
	CAPTURE(soak::to_string(given.fault), given.daemons, routing::to_string(given.kind), sent, served, others_sent,
		others_served);
	REQUIRE(sent > 0);
	REQUIRE(others_served > 0);
	// The users' rule: first tries are served at least two thirds as often as at the other daemons.
	REQUIRE(3 * served * others_sent >= 2 * others_served * sent);
	if (given.kind == routing::call_kind::non_idempotent)
	{
		std::map<std::string, int> runs;
		for (auto const& server : servers)
		{
			for (auto const& [attempt, count] : server->run_counts())
			{
				runs[attempt] += count;
			}
		}
		REQUIRE(std::ranges::all_of(runs, [](auto const& item) { return item.second == 1; }));
	}
}
