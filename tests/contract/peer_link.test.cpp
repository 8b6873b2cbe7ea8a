#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <thread>

#include <unistd.h>

#include <godwittrestle/daemon/core_loop.hpp>
#include <godwittrestle/daemon/peer_link.hpp>

#include "test_servers.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	// Handles SIGUSR1 with a function that does nothing, on all threads but those that block it.
	class interrupting_signal
	{
	  public:
		interrupting_signal()
		{
			struct sigaction ignored = {};
			// NOLINTNEXTLINE(cppcoreguidelines-pro-type-union-access): the handler is part of a union of the system.
			ignored.sa_handler = [](int) {
			};
			sigaction(SIGUSR1, &ignored, &this->before);
		}

		~interrupting_signal()
		{
			sigaction(SIGUSR1, &this->before, nullptr);
		}

		interrupting_signal(interrupting_signal const&) = delete;
		interrupting_signal& operator=(interrupting_signal const&) = delete;
		interrupting_signal(interrupting_signal&&) = delete;
		interrupting_signal& operator=(interrupting_signal&&) = delete;

		// Blocks the signal on the calling thread, so that the others get it.
		static void block_here()
		{
			sigset_t blocked;
			sigemptyset(&blocked);
			sigaddset(&blocked, SIGUSR1);
			pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
		}

	  private:
		struct sigaction before = {};
	};
}

TEST_CASE("a signal that interrupts the thread for messages between daemons does not end the process", "[peer_link]")
{
	interrupting_signal const signal;
	auto const address = free_endpoint();
	std::atomic<int> received = 0;
	daemon::peer_link link({address, {}, {}, 64},
		{[&](wire::PeerMessage const&) { ++received; }, [](instance_id const&) {
		 }});
	link.start();
	interrupting_signal::block_here();
	auto const send_message = [&]
	{
		wire::PeerMessage message;
		message.set_from("d1");
		link.push({instance_id("d1"), http::to_string(address), std::move(message)});
	};
	for (int round = 0; round < 300; ++round)
	{
		kill(getpid(), SIGUSR1);
		send_message();
		std::this_thread::sleep_for(std::chrono::milliseconds(1));
	}
	// Messages still pass afterwards.
	auto const received_before = received.load();
	auto const give_up_at = daemon::monotonic_now() + seconds(60);
	while (received == received_before && daemon::monotonic_now() < give_up_at)
	{
		send_message();
		std::this_thread::sleep_for(std::chrono::milliseconds(5));
	}
	REQUIRE(received > received_before);
	link.stop();
}
